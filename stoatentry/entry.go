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
	Workers  int // goroutines a socket; default 2
	// Partitioned tells that the network towards a peer is cut; tests set it.
	Partitioned func(id stoatpaddle.InstanceID) bool
}

const defaultWorkers = 2

// Entry is one running entry instance.
type Entry struct {
	cfg       Config
	set       stoatsetting.Settings
	self      stoatpaddle.Instance
	log       *stoatevent.Logger
	view      atomic.Pointer[stoatview.View]
	engine    *stoatflow.Engine
	calls     *stoatcall.Handler
	platform  *stoatplatform.Client
	transport *stoatpeer.Transport
	system    *actor.ActorSystem
	pid       *actor.PID
	metrics   *metrics.Set
	drops     [stoatpacket.DropCount]atomic.Int64
	forwarded atomic.Int64
	handing   atomic.Bool
	wanted    atomic.Pointer[stoatpaddle.Instance]
	tunnel    *net.UDPConn
	relay     *net.UDPConn
	servers   []*http.Server
	group     *errgroup.Group
	ctx       context.Context
	cancel    context.CancelFunc
	killed    atomic.Bool
	ended     sync.Once
}

// Start opens the sockets and begins to work.
func Start(ctx context.Context, cfg Config) (*Entry, error) {
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	now := clock()
	seed := uint64(now.UnixNano())
	e := &Entry{
		cfg: cfg, set: cfg.Settings, group: group, ctx: ctx, cancel: cancel,
		log:      stoatevent.NewLogger(stoatevent.Config{Writer: cfg.Log, Level: cfg.Settings.LogLevel, Instance: string(cfg.Settings.Instance)}),
		platform: stoatplatform.New(stoatplatform.Config{Addr: cfg.Settings.PlatformAddr}),
		system:   newSystem(),
		self:     instanceOf(cfg.Settings, now),
	}
	e.engine = stoatflow.New(stoatflow.Config{Self: e.self.ID, Start: now, Settle: e.set.SettleTime, Seed: seed})
	e.calls = stoatcall.New(stoatcall.Config{View: e.view.Load, Clock: clock, Seed: seed})
	e.metrics = e.newMetrics()
	if err := e.open(); err != nil {
		e.Kill()
		return nil, err
	}
	node := stoatnode.New(stoatnode.Config{
		Self: e.self, Cluster: e.set.Cluster, Seeds: e.set.Seeds, RandomSeed: seed, StopDeadline: e.set.StopDeadline, DeadAfter: e.set.PeerTimeout,
	})
	e.pid = e.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor {
		return &control{node: node, clock: clock, do: e.do}
	}))
	if err := e.openPeers(); err != nil {
		e.Kill()
		return nil, err
	}
	e.log.Emit(EventListening, stoatevent.F("tunnel", e.set.TunnelAddr.String()), stoatevent.F("admin", e.set.AdminAddr.String()))
	e.post(stoatnode.Started{})
	e.serve()
	return e, nil
}

// instanceOf describes this life of the instance. The start time as incarnation needs
// nobody's answer and grows from life to life.
func instanceOf(s stoatsetting.Settings, now time.Time) stoatpaddle.Instance {
	return stoatpaddle.Instance{
		ID: s.Instance, Role: stoatpaddle.RoleEntry, DataCentre: s.DataCentre, State: stoatpaddle.StateJoining,
		Incarnation: stoatpaddle.Incarnation(now.UnixMilli()), Relay: s.RelayAddr, Peer: s.PeerAddr, Admin: s.AdminAddr,
	}
}

func (e *Entry) open() error {
	var err error
	if e.tunnel, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.set.TunnelAddr)); err != nil {
		return err
	}
	if e.relay, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.set.RelayAddr)); err != nil {
		return err
	}
	admin := stoatadmin.New(stoatadmin.Config{
		Platform: e.platform, Status: e.status, Metrics: e.writeMetrics, Report: e.report, Clock: clock,
		Rand: rand.New(rand.NewPCG(uint64(e.self.Incarnation), 3)),
	})
	if err = e.listen(e.set.AdminAddr, admin); err != nil {
		return err
	}
	return e.listen(e.set.CallAddr, e.calls)
}

func (e *Entry) openPeers() error {
	var err error
	e.transport, err = stoatpeer.New(e.ctx, stoatpeer.Config{
		Hello: stoatmessage.Hello{Cluster: e.set.Cluster, Instance: e.self},
		Addr:  e.set.PeerAddr, Handler: e, Log: e.log, Partitioned: e.cfg.Partitioned,
	})
	return err
}

const headerTimeout = 10 * time.Second

// listen serves HTTP/1.1 and h2c.
func (e *Entry) listen(addr netip.AddrPort, h http.Handler) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: &protocols}
	e.servers = append(e.servers, srv)
	e.group.Go(func() error {
		_ = srv.Serve(ln)
		return nil
	})
	return nil
}

// Stop begins the planned stop; Wait returns when it is complete.
func (e *Entry) Stop() { e.post(stoatnode.StopRequested{}) }

// Kill ends the entry at once, as a crash would.
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
	e.ended.Do(e.release)
}

// release ends the parts in the order of who starts goroutines for whom: the control actor
// starts them in both groups, and a group that is waited for must not get new ones.
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

// Engine returns the flow engine, for tests and the demo.
func (e *Entry) Engine() *stoatflow.Engine { return e.engine }

// Calls returns the call handler, for tests and the demo.
func (e *Entry) Calls() *stoatcall.Handler { return e.calls }

// ControlBytesSent returns the bytes of control frames sent since the start.
func (e *Entry) ControlBytesSent() int64 {
	sent, _ := e.transport.Bytes()
	return sent
}

// DroppedPackets returns the number of packets dropped for the reason.
func (e *Entry) DroppedPackets(r stoatpacket.DropReason) int64 { return e.drops[r].Load() }

const statusTimeout = 2 * time.Second

// status asks the control actor; it is the only reader of the node's state.
func (e *Entry) status() (stoatnode.Status, error) {
	answer, err := e.system.Root.RequestFuture(e.pid, statusQuery{}, statusTimeout).Result()
	if err != nil {
		return stoatnode.Status{}, &stoatpaddle.UnavailableError{Op: "status", Cause: err}
	}
	s, _ := answer.(stoatnode.Status)
	return s, nil
}

// Status returns what is in force on this entry.
func (e *Entry) Status() (stoatnode.Status, error) { return e.status() }
