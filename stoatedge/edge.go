package stoatedge

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
)

// Config configures an Edge.
type Config struct {
	Settings stoatsetting.Settings
	Log      io.Writer
	loads    loadEngine // nil: the engine itself; only tests set it
}

// Edge is one running entry on an echo fabric.
type Edge struct {
	current         stoatsetting.Settings
	reloadMu        sync.Mutex // guards current
	log             *eventLog
	store           *platform.Store
	engine          *stoatecho.Engine
	engineMu        sync.Mutex          // guards engine, held and verifier
	held            stoatecho.HoldQueue // packets that came before the first table
	verifier        *stoatecho.Verifier
	table           atomic.Pointer[stoatroute.Table]
	events          *eventQueue
	cancels         [topicCount]callCancel
	metrics         *metrics.Set
	counts          counters
	conn            *net.UDPConn
	reader          *reader // reads conn; used by the traffic goroutine only
	ownAddr         netip.Addr
	callerPort      uint16 // port on which the fabric takes packets for callers
	servers         []*http.Server
	stop            stopState
	pause           pauseDetector
	platformAnswers atomic.Bool   // whether the platform answers
	tableReady      chan struct{} // closed when the first table with which flows can be placed is in force
	tableReadyOnce  sync.Once     // closes tableReady
	relay           *relayState
	aggregator      stoatoutlier.Aggregator
	observed        chan struct{}             // signals that what entries observed of upstreams changed
	reports         chan pendingReport        // to the parent
	reportPending   atomic.Bool               // a report is in progress
	loads           *loadExchange             // nil: loads are not exchanged
	wakeTracker     stoatoutlier.DeltaTracker // what children were last woken for; used by shareObservations only
	group           *errgroup.Group
	ctx             context.Context
	cancel          context.CancelFunc
	closeOnce       sync.Once
}

// Start opens the sockets and starts an entry.
func Start(ctx context.Context, cfg Config) (*Edge, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	limitMemory(cfg.Settings.MemoryBytes())
	now := clock()
	seed := uint64(now.UnixNano()) ^ addrSeed(cfg.Settings.TunnelAddr)
	e := &Edge{
		current: cfg.Settings, group: group, ctx: ctx, cancel: cancel,
		log:        newEventLog(cfg.Log, cfg.Settings),
		store:      platform.NewStore(cfg.Settings.PlatformAddr),
		engine:     stoatecho.New(stoatecho.Config{DataCentre: cfg.Settings.DataCentre, Regions: cfg.Settings.Regions, Start: now, Seed: seed, Spill: spillConfig(cfg.Settings)}),
		callerPort: cfg.Settings.TunnelAddr.Port(),
		ownAddr:    cfg.Settings.TunnelAddr.Addr(),
		events:     newEventQueue(),
		verifier:   stoatecho.NewVerifier(),
		tableReady: make(chan struct{}),
		observed:   make(chan struct{}, 1),
		reports:    make(chan pendingReport, 1),
		relay: newRelayState(stoattree.Config{
			Self: cfg.Settings.AdminAddr, Centre: cfg.Settings.DataCentre, Seeds: cfg.Settings.Seeds, CPUShare: cfg.Settings.CPUShare, LinkMbps: cfg.Settings.LinkMbps,
			Rand: rand.New(rand.NewPCG(seed, 2)),
		}),
	}
	e.loads = newLoadExchange(cfg.Settings, loadEngineOf(cfg, e.engine))
	e.pause.lastTick.Store(int64(uptime()))
	e.table.Store(&stoatroute.Table{})
	e.counts.initMetrics()
	if err := e.openTunnel(); err != nil {
		e.Kill()
		return nil, err
	}
	ctl := newController(controllerConfig{
		MaxDelay: e.current.MaxDelay(), Evacuations: e.current.MaxEvacuateDelay > 0, GracePeriod: e.current.GracePeriod, FlowLifetime: e.current.FlowLifetime, Seeds: seedRoleOf(e.current), Seed: seed,
	})
	e.group.Go(func() error { return e.control(ctl) })
	e.log.emit(now, EventStart, stoatevent.F("tunnel", e.current.TunnelAddr.String()), stoatevent.F("centre", string(e.current.DataCentre)),
		stoatevent.F("platform", e.current.PlatformAddr.String()), stoatevent.F("apply", e.current.MaxApplyDelay.String()), stoatevent.F("evacuate", e.current.MaxEvacuateDelay.String()))
	e.startWorkers()
	e.post(started{})
	e.waitForTable()
	if err := e.openServers(); err != nil {
		e.Kill()
		return nil, err
	}
	return e, nil
}

// waitForTable returns when there is a table, or when none comes within answerWait.
//
// After a power loss of all entries, each millisecond of processor time before packets are forwarded takes
// eleven milliseconds at a tenth of a core. An entry without a table is of no use to the fabric, to operators
// or to other entries, so their listeners, the metrics and the search for a parent come after the first
// packets.
func (e *Edge) waitForTable() {
	t := time.NewTimer(answerWait)
	defer t.Stop()
	select {
	case <-e.tableReady:
	case <-t.C:
	case <-e.ctx.Done():
	}
}

// seedRoleOf returns whether the settings name this entry as a seed, and whether they name others.
func seedRoleOf(set stoatsetting.Settings) seedRole {
	other := func(seed netip.AddrPort) bool { return seed != set.AdminAddr }
	return seedRole{otherSeeds: slices.ContainsFunc(set.Seeds, other), isSeed: slices.Contains(set.Seeds, set.AdminAddr)}
}

// addrSeed keeps entries that start in the same nanosecond from making the same random choices.
func addrSeed(a netip.AddrPort) uint64 {
	v := a.Addr().As16()
	seed := uint64(a.Port())
	for _, b := range v {
		seed = seed*31 + uint64(b)
	}
	return seed
}

// openTunnel opens the packet socket. Packets wait in its buffer until there is a table.
func (e *Edge) openTunnel() error {
	var err error
	if e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.current.TunnelAddr)); err != nil {
		return err
	}
	// The buffer holds half a second of traffic at the busiest entry. The kernel may grant less, and the entry
	// works with that too.
	_ = e.conn.SetReadBuffer(receiveBufferBytes)
	e.reader, err = newReader(e.conn, func() time.Duration { return e.pause.gap(uptime()) }, e.pause.pausedSince)
	return err
}

// openServers opens the listeners that are not needed to forward packets.
func (e *Edge) openServers() error {
	set := e.settings()
	e.metrics = e.newMetrics()
	if err := e.listen(set.ReadyAddr, http.HandlerFunc(e.readiness)); err != nil {
		return err
	}
	if err := e.listen(set.AdminAddr, e.admin()); err != nil || !set.MetricsAddr.IsValid() {
		return err
	}
	return e.listen(set.MetricsAddr, http.HandlerFunc(e.writeMetrics))
}

const (
	receiveBufferBytes = 1 << 20
	headerTimeout      = 5 * time.Second
)

func (e *Edge) listen(addr netip.AddrPort, h http.Handler) error {
	// Without multipath TCP, which nothing here uses, the library makes fewer system calls.
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	ln, err := cfg.Listen(e.ctx, "tcp4", addr.String())
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	e.servers = append(e.servers, srv)
	e.group.Go(func() error {
		_ = srv.Serve(ln)
		return nil
	})
	return nil
}

// readiness answers the fabric's readiness check: an entry that cannot place flows, or is about to exit, is
// not ready.
func (e *Edge) readiness(w http.ResponseWriter, _ *http.Request) {
	if e.stop.requested() || !e.table.Load().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Kill ends the entry at once, as a crash would.
func (e *Edge) Kill() {
	e.cancel()
	e.closeOnce.Do(func() {
		if e.conn != nil {
			_ = e.conn.Close()
		}
		for _, s := range e.servers {
			_ = s.Close()
		}
		e.events.close()
		_ = e.group.Wait()
		e.log.close()
	})
}

// Wait returns when the entry has ended and released its sockets.
func (e *Edge) Wait() {
	<-e.ctx.Done()
	e.Kill()
}

// Table returns the routing table that traffic uses now.
func (e *Edge) Table() *stoatroute.Table { return e.table.Load() }

// Stats returns the flow counters since the start.
func (e *Edge) Stats() stoatecho.Stats {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.engine.Stats()
}

func (e *Edge) post(ev any) { e.events.post(ev) }
