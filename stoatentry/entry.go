package stoatentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"
	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatcall"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatpeer"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Config configures an Entry.
type Config struct {
	Settings stoatsetting.Settings
	Log      io.Writer
	Workers  int // number of goroutines that read each UDP socket; 0 means 2
	// Partitioned reports whether the network between this entry and a peer is cut. Only tests set it.
	Partitioned func(id stoatpaddle.InstanceID) bool
}

const defaultWorkers = 2

// Entry is one running entry instance.
type Entry struct {
	cfg          Config
	settings     stoatsetting.Settings
	self         stoatpaddle.Instance
	log          *stoatevent.Logger
	view         atomic.Pointer[stoatview.View]
	engine       *stoatflow.Engine
	calls        *stoatcall.Handler
	platform     *stoatplatform.Client
	transport    *stoatpeer.Transport
	system       *actor.ActorSystem
	pid          *actor.PID
	metrics      *metrics.Set
	drops        [stoatpacket.DropCount]atomic.Int64
	forwarded    atomic.Int64
	handingOver  atomic.Bool
	registration atomic.Pointer[stoatpaddle.Instance]
	tunnel       *net.UDPConn
	relay        *net.UDPConn
	servers      []*http.Server
	group        *errgroup.Group
	ctx          context.Context
	cancel       context.CancelFunc
	killed       atomic.Bool
	releaseOnce  sync.Once
}

// Start opens the sockets and starts the entry's goroutines. It fails if a socket can't be opened.
func Start(ctx context.Context, cfg Config) (*Entry, error) {
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	now := clock()
	seed := uint64(now.UnixNano())
	e := &Entry{
		cfg: cfg, settings: cfg.Settings, group: group, ctx: ctx, cancel: cancel,
		log:      stoatevent.NewLogger(stoatevent.Config{Writer: cfg.Log, Level: cfg.Settings.LogLevel, Instance: string(cfg.Settings.Instance)}),
		platform: stoatplatform.New(stoatplatform.Config{Addr: cfg.Settings.PlatformAddr}),
		system:   newSystem(),
		self:     newInstance(cfg.Settings, now),
	}
	e.engine = stoatflow.New(stoatflow.Config{Self: e.self.ID, Start: now, Settle: e.settings.SettleTime, Seed: seed})
	e.calls = stoatcall.New(stoatcall.Config{
		View: e.view.Load, Clock: clock, Seed: seed, Instance: e.self.ID, Events: e.log,
	})
	e.metrics = e.newMetrics()
	if err := e.openSockets(); err != nil {
		e.Kill()
		return nil, err
	}
	node := stoatnode.New(stoatnode.Config{
		Self: e.self, Cluster: e.settings.Cluster, Seeds: e.settings.Seeds, RandomSeed: seed, StopDeadline: e.settings.StopDeadline, DeadAfter: e.settings.PeerTimeout,
	})
	e.pid = e.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &controlActor{node: node, clock: clock, perform: e.perform}
	}))
	if err := e.startTransport(); err != nil {
		e.Kill()
		return nil, err
	}
	e.log.Emit(EventListening, stoatevent.F("tunnel", e.settings.TunnelAddr.String()), stoatevent.F("admin", e.settings.AdminAddr.String()))
	e.post(stoatnode.Started{})
	e.startWorkers()
	return e, nil
}

// newInstance describes this run of the instance. Its incarnation is the start time, which grows from one run
// to the next and can be known without asking the platform or a peer.
func newInstance(s stoatsetting.Settings, now time.Time) stoatpaddle.Instance {
	return stoatpaddle.Instance{
		ID: s.Instance, Role: stoatpaddle.RoleEntry, DataCentre: s.DataCentre, State: stoatpaddle.StateJoining,
		Incarnation: stoatpaddle.Incarnation(now.UnixMilli()), Relay: s.RelayAddr, Peer: s.PeerAddr, Admin: s.AdminAddr,
	}
}

func (e *Entry) openSockets() error {
	var err error
	if e.tunnel, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.settings.TunnelAddr)); err != nil {
		return err
	}
	if e.relay, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.settings.RelayAddr)); err != nil {
		return err
	}
	admin := stoatadmin.New(stoatadmin.Config{
		Platform: e.platform, Status: e.status, Metrics: e.writeMetrics, Report: e.report, Clock: clock,
		Rand: rand.New(rand.NewPCG(uint64(e.self.Incarnation), 3)),
	})
	if err = e.serveHTTP(e.settings.AdminAddr, admin); err != nil {
		return err
	}
	return e.serveHTTP(e.settings.CallAddr, e.calls)
}

func (e *Entry) startTransport() error {
	var err error
	e.transport, err = stoatpeer.New(e.ctx, stoatpeer.Config{
		Hello: stoatmessage.Hello{Cluster: e.settings.Cluster, Instance: e.self},
		Addr:  e.settings.PeerAddr, Handler: e, Log: e.log, Partitioned: e.cfg.Partitioned,
	})
	return err
}

const headerTimeout = 10 * time.Second

// serveHTTP serves HTTP/1.1 and unencrypted HTTP/2 (h2c) on addr.
func (e *Entry) serveHTTP(addr netip.AddrPort, h http.Handler) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: &protocols}
	e.servers = append(e.servers, srv)
	e.group.Go(func() error {
		_ = srv.Serve(listener)
		return nil
	})
	return nil
}

// Stop begins the planned stop. Wait returns when the stop is complete.
func (e *Entry) Stop() { e.post(stoatnode.StopRequested{}) }

// Kill ends the entry at once, without a handover, as a crash would.
func (e *Entry) Kill() {
	if !e.killed.CompareAndSwap(false, true) {
		return
	}
	e.cancel()
	if e.tunnel != nil {
		_ = e.tunnel.Close()
	}
	if e.relay != nil {
		_ = e.relay.Close()
	}
	for _, s := range e.servers {
		_ = s.Close()
	}
}

// Wait returns when the entry has ended and released its sockets.
func (e *Entry) Wait() {
	<-e.ctx.Done()
	e.Kill()
	e.releaseOnce.Do(e.release)
}

// release stops the components. The control actor must end first: it starts goroutines in the transport's
// group and in the entry's, and a group must not get new goroutines while it is being waited for.
func (e *Entry) release() {
	if e.pid != nil {
		_ = e.system.Root.StopFuture(e.pid).Wait()
	}
	if e.transport != nil {
		e.transport.Close()
	}
	_ = e.group.Wait()
	e.system.Shutdown()
}

// Engine returns the flow engine; it is exposed for tests.
func (e *Entry) Engine() *stoatflow.Engine { return e.engine }

// Calls returns the call handler; it is exposed for tests.
func (e *Entry) Calls() *stoatcall.Handler { return e.calls }

// ControlBytesSent returns the number of bytes sent to peers in control frames since the start.
func (e *Entry) ControlBytesSent() int64 {
	sent, _ := e.transport.Bytes()
	return sent
}

// DroppedPackets returns the number of packets dropped for the given reason.
func (e *Entry) DroppedPackets(r stoatpacket.DropReason) int64 { return e.drops[r].Load() }

const statusTimeout = 2 * time.Second

// status asks the control actor for the node's status, because only that actor may read the node's state.
func (e *Entry) status() (stoatnode.Status, error) {
	response, err := e.system.Root.RequestFuture(e.pid, statusQuery{}, statusTimeout).Result()
	if err != nil {
		return stoatnode.Status{}, &stoatpaddle.UnavailableError{Op: "status", Cause: err}
	}
	s, _ := response.(stoatnode.Status)
	return s, nil
}

// Status returns the configuration in force on this entry and what it knows of instances and the platform.
func (e *Entry) Status() (stoatnode.Status, error) { return e.status() }
