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
}

// Edge is one running entry on an echo fabric.
type Edge struct {
	set       stoatsetting.Settings
	reloadMu  sync.Mutex // of set
	log       *eventLog
	store     *platform.Store
	engine    *stoatecho.Engine
	engineMu  sync.Mutex // of engine and hold
	hold      stoatecho.HoldQueue
	table     atomic.Pointer[stoatroute.Table]
	events    *mailbox
	cancels   [topicCount]callCancel
	metrics   *metrics.Set
	counts    counters
	conn      *net.UDPConn
	in        *reader // of conn; used by the traffic goroutine only
	own       netip.Addr
	callers   uint16 // the port at which the fabric takes packets for callers
	servers   []*http.Server
	stop      stopState
	pause     pauseWatch
	inTouch   atomic.Bool   // the platform answers
	placing   chan struct{} // closed when there is the first table that is enough to place flows
	placed    sync.Once     // of placing
	place     *place
	pool      stoatoutlier.Aggregator
	observed  chan struct{}             // what entries saw of upstreams changed
	reports   chan pendingReport        // to the relay parent
	reporting atomic.Bool               // one is under way
	rung      stoatoutlier.DeltaTracker // what children were woken for; used by the share goroutine only
	group     *errgroup.Group
	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

// Start opens the sockets and begins to work.
func Start(ctx context.Context, cfg Config) (*Edge, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	limitMemory(cfg.Settings.MemoryBytes())
	now := clock()
	seed := uint64(now.UnixNano()) ^ addrSeed(cfg.Settings.TunnelAddr)
	e := &Edge{
		set: cfg.Settings, group: group, ctx: ctx, cancel: cancel,
		log:      newEventLog(cfg.Log, cfg.Settings),
		store:    platform.NewStore(cfg.Settings.PlatformAddr),
		engine:   stoatecho.New(stoatecho.Config{DataCentre: cfg.Settings.DataCentre, Regions: cfg.Settings.Regions, Start: now, Seed: seed}),
		callers:  cfg.Settings.TunnelAddr.Port(),
		own:      cfg.Settings.TunnelAddr.Addr(),
		events:   newMailbox(),
		placing:  make(chan struct{}),
		observed: make(chan struct{}, 1),
		reports:  make(chan pendingReport, 1),
		place: newPlace(stoattree.Config{
			Self: cfg.Settings.AdminAddr, Centre: cfg.Settings.DataCentre, Seeds: cfg.Settings.Seeds, CPUShare: cfg.Settings.CPUShare, LinkMbps: cfg.Settings.LinkMbps,
			Rand: rand.New(rand.NewPCG(seed, 2)),
		}),
	}
	e.pause.ticked.Store(int64(uptime()))
	e.table.Store(&stoatroute.Table{})
	e.counts.begin()
	if err := e.openTunnel(); err != nil {
		e.Kill()
		return nil, err
	}
	k := newKeeper(keeperConfig{
		Apply: e.set.MaxDelay(), Evacuations: e.set.MaxEvacuateDelay > 0, Return: e.set.GracePeriod, Life: e.set.FlowLifetime, Seeds: namedSeeds(e.set), Seed: seed,
	})
	e.group.Go(func() error { return e.control(k) })
	e.log.emit(now, EventStart, stoatevent.F("tunnel", e.set.TunnelAddr.String()), stoatevent.F("centre", string(e.set.DataCentre)),
		stoatevent.F("platform", e.set.PlatformAddr.String()), stoatevent.F("apply", e.set.MaxApplyDelay.String()), stoatevent.F("evacuate", e.set.MaxEvacuateDelay.String()))
	e.serve()
	e.post(started{})
	e.waitForTable()
	if err := e.openServers(); err != nil {
		e.Kill()
		return nil, err
	}
	return e, nil
}

// waitForTable returns when there is a table, or when it does not come soon.
//
// The load: all entries lost power, and each millisecond of processor time until packets go
// on is eleven milliseconds at a tenth of a core. The fabric, operators and other entries get
// no use out of an entry that has no table, so their listeners, the metrics and the search for
// a parent come after the first packets.
func (e *Edge) waitForTable() {
	t := time.NewTimer(settle)
	defer t.Stop()
	select {
	case <-e.placing:
	case <-t.C:
	case <-e.ctx.Done():
	}
}

// namedSeeds is what the settings say of seeds.
func namedSeeds(set stoatsetting.Settings) naming {
	other := func(seed netip.AddrPort) bool { return seed != set.AdminAddr }
	return naming{others: slices.ContainsFunc(set.Seeds, other), self: slices.Contains(set.Seeds, set.AdminAddr)}
}

// addrSeed keeps entries that start in the same nanosecond from choosing alike.
func addrSeed(a netip.AddrPort) uint64 {
	v := a.Addr().As16()
	seed := uint64(a.Port())
	for _, b := range v {
		seed = seed*31 + uint64(b)
	}
	return seed
}

// openTunnel opens the socket that packets wait in while the table is on its way.
func (e *Edge) openTunnel() error {
	var err error
	if e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.set.TunnelAddr)); err != nil {
		return err
	}
	// Half a second of traffic at the busiest entry; what the kernel does not grant is not needed.
	_ = e.conn.SetReadBuffer(receiveBuffer)
	e.in, err = newReader(e.conn, func() bool { return e.pause.starved(uptime()) })
	return err
}

// openServers opens what is not needed to move packets.
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
	receiveBuffer = 1 << 20
	headerTimeout = 5 * time.Second
)

func (e *Edge) listen(addr netip.AddrPort, h http.Handler) error {
	// Without multipath TCP, which nothing here speaks, the library asks the kernel for less.
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

// readiness answers the fabric: an entry that cannot place flows, or is about to end, is
// not ready.
func (e *Edge) readiness(w http.ResponseWriter, _ *http.Request) {
	if e.stop.asked() || !e.table.Load().Ready() {
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

// Table returns what traffic reads now.
func (e *Edge) Table() *stoatroute.Table { return e.table.Load() }

// Stats returns what became of flows so far.
func (e *Edge) Stats() stoatecho.Stats {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	return e.engine.Stats()
}

func (e *Edge) post(ev any) { e.events.post(ev) }
