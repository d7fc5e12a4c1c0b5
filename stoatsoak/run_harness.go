package stoatsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// Config configures a run.
type Config struct {
	Program string // the program's file
	Dir     string // of settings and logs
	Seed    uint64
	Length  time.Duration
	Entries int
	Bounds  Bounds
	Plan    []Step // nil: by the seed
	// Restores makes restores of the store the disturbances of the plan by the seed.
	Restores bool
	// Sabotage breaks one promise on purpose, to see that it is noticed; the run ends when it is.
	Sabotage Promise
	Out      io.Writer // progress
}

// Result is what a run showed.
type Result struct {
	Seed     uint64
	Steps    []Step
	Counts   Counts
	Breaches []Breach
}

// harness is the deployment and everything around it.
type harness struct {
	cfg           Config
	start         time.Time
	ctx           context.Context
	cancel        context.CancelFunc
	group         *errgroup.Group
	check         *checker
	store         *stoatfake.Platform
	storeAddr     string
	port          uint16       // of the fabric, and of callers
	subnet        byte         // the second byte of the run's addresses
	subnetLock    *net.UDPConn // no other run uses them while it is open
	entries       []*entry
	lastRequestID atomic.Uint64
	lastTargetID  atomic.Uint64
	slowdowns     atomic.Int64 // so many reasons for upstreams to answer late

	// mu is never held while an upstream's is taken: upstreams take it while they answer.
	mu            sync.Mutex
	upstreams     []*upstream
	callerConns   []*net.UDPConn // of callers
	rnd           *rand.Rand
	lossy         bool
	version       int
	routes        map[string]routeChange
	coldUpstreams int    // upstreams that have just started
	evacuated     string // a data centre
	// evacuatedAt is when the store took that.
	evacuatedAt time.Duration
	snapshots   []stoatfake.Copy // of the store, the latest ones
}

// routeChange is a route that was added or removed at a time.
type routeChange struct {
	listen  netip.AddrPort
	allowed bool
	ackedAt time.Duration
	version int // of the configuration that changed it
}

var (
	feedAddr   = netip.MustParseAddrPort("198.18.0.1:443")
	pledgeAddr = netip.MustParseAddrPort("198.18.0.1:80")
	uploadAddr = netip.MustParseAddrPort("198.18.0.2:443")
)

// requestTypes are what callers ask for.
func requestTypes() []*requestType {
	return []*requestType{
		{name: "feed", service: "app", listen: feedAddr, repeatable: true, reusesFlow: true, parts: 1, interval: 150 * time.Millisecond},
		{name: "pledge", service: "app", listen: pledgeAddr, parts: 1, interval: 200 * time.Millisecond},
		{name: "upload", service: "intake", listen: uploadAddr, repeatable: true, parts: 4, interval: 300 * time.Millisecond},
	}
}

const (
	callersPerType  = 4
	appUpstreams    = 4
	intakeUpstreams = 2
	firstPort       = 8600 // of the fabric
)

// Run plays one run. A breach is no error.
func Run(ctx context.Context, cfg Config) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Length)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	h := &harness{
		cfg: cfg, start: time.Now(), ctx: ctx, cancel: cancel, group: group, check: newChecker(cfg.Bounds), store: stoatfake.NewPlatform(),
		port: firstPort + uint16(cfg.Seed%1000), rnd: rand.New(rand.NewPCG(cfg.Seed, 12)), routes: map[string]routeChange{},
	}
	if cfg.Sabotage != "" {
		h.check.onBreach = func(g Promise) {
			if g == cfg.Sabotage {
				cancel()
			}
		}
	}
	plan := cfg.Plan
	if plan == nil {
		plan = NewPlan(cfg.Seed, cfg.Length)
		if cfg.Restores {
			plan = NewRestorePlan(cfg.Seed, cfg.Length)
		}
	}
	err := h.runPlan(plan)
	cancel()
	h.shutdown()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	// Not before its processes have ended: another run would find their ports in use.
	if h.subnetLock != nil {
		_ = h.subnetLock.Close()
	}
	counts, breaches := h.check.result()
	return Result{Seed: cfg.Seed, Steps: plan, Counts: counts, Breaches: breaches}, err
}

func (h *harness) runPlan(plan []Step) error {
	if err := h.reserveSubnet(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.storeAddr = ln.Addr().String()
	srv := &http.Server{Handler: h.store, ReadHeaderTimeout: time.Minute}
	h.group.Go(func() error {
		_ = srv.Serve(ln)
		return nil
	})
	defer func() { _ = srv.Close() }()
	h.changeConfig(func(map[string]routeChange) {})
	for i := range appUpstreams + intakeUpstreams {
		service := "app"
		if i >= appUpstreams {
			service = "intake"
		}
		if _, err := h.startUpstream(firstTargetID+h.lastTargetID.Add(1), service, centreOf(i), netip.MustParseAddrPort("127.0.0.1:0"), 0); err != nil {
			return err
		}
	}
	for n := range h.cfg.Entries {
		e, err := h.newEntry(n)
		if err != nil {
			return err
		}
		h.entries = append(h.entries, e)
	}
	// The time until all serve is no failure of theirs.
	startupDone := h.check.beginDisturbance(0)
	for _, e := range h.entries {
		h.group.Go(e.run)
		h.group.Go(e.probe)
	}
	h.sleep(time.Second)
	startupDone(h.now())
	if err := h.startCallers(); err != nil {
		return err
	}
	h.group.Go(h.probeRoutes)
	// A run that breaks a promise on purpose is about being noticed, at any speed.
	if h.cfg.Sabotage == "" {
		h.group.Go(h.watchStalls)
	}
	h.group.Go(h.summarize)
	h.group.Go(h.snapshotStore)
	for _, s := range plan {
		h.sleep(s.At - h.now())
		h.startStep(s)
	}
	<-h.ctx.Done()
	return nil
}

// summarize says each minute what was done so far.
func (h *harness) summarize() error {
	for h.sleep(time.Minute) {
		c, breaches := h.check.result()
		_, _ = fmt.Fprintf(h.cfg.Out, "%.0f s: %d requests, %d late, %d failed, %d breaches\n", h.now().Seconds(), c.Asked, c.Late, c.Failed, len(breaches))
	}
	return nil
}

func (h *harness) startCallers() error {
	for i, typ := range requestTypes() {
		for n := range callersPerType {
			c, err := h.newCaller(i*callersPerType + n)
			if err != nil {
				return err
			}
			h.group.Go(func() error { return c.run(typ) })
		}
	}
	return nil
}

// shutdown ends what was started, and nothing else.
func (h *harness) shutdown() {
	for _, e := range h.entries {
		e.signal(syscall.SIGCONT, true)
		e.signal(syscall.SIGKILL, true)
		for _, p := range e.proxies() {
			p.close()
		}
		_ = e.conn.Close()
	}
	h.mu.Lock()
	for _, conn := range h.callerConns {
		_ = conn.Close()
	}
	h.mu.Unlock()
	for _, u := range h.liveUpstreams() {
		u.stop()
	}
}

const (
	subnetCount    = 250  // 127.1.x.y to 127.250.x.y
	subnetLockPort = 8599 // of the address that a run holds to itself
)

// reserveSubnet finds a part of the loopback addresses that no other run on this machine uses, and
// keeps it until its processes have ended.
func (h *harness) reserveSubnet() error {
	var lastErr error
	for i := range uint64(subnetCount) {
		n := byte(1 + (h.cfg.Seed+i)%subnetCount)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 255, 1}), subnetLockPort)))
		if err == nil {
			h.subnet, h.subnetLock = n, conn
			return nil
		}
		lastErr = err
	}
	return lastErr
}

func (h *harness) now() time.Duration { return time.Since(h.start) }

// sleep waits, and tells whether the run goes on.
func (h *harness) sleep(d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-h.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// after does something later, unless the run ends before.
func (h *harness) after(d time.Duration, do func()) {
	h.group.Go(func() error {
		if h.sleep(d) {
			do()
		}
		return nil
	})
}

func (h *harness) random() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rnd.Uint32() >> 1
}

func (h *harness) jitter(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return d/2 + time.Duration(h.rnd.Int64N(int64(d)))
}

// dropsDatagram tells whether a datagram is dropsDatagram now.
func (h *harness) dropsDatagram() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lossy && h.rnd.IntN(10) == 0
}

// changeConfig writes the operators' configuration, changed.
func (h *harness) changeConfig(change func(routes map[string]routeChange)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version += 1 + h.rnd.IntN(3)
	change(h.routes)
	h.writeConfig()
}

// writeConfig writes what the operators want; mu is held.
func (h *harness) writeConfig() {
	d := stoatpaddle.Declaration{
		Version: stoatpaddle.Version(h.version), IdleTimeout: 15 * time.Second, MaxFlows: map[stoatpaddle.ServiceID]int{"app": 2000, "intake": 2000},
		ColdRates: map[stoatpaddle.ServiceID]float64{"app": coldRate, "intake": coldRate},
	}
	add := func(listen netip.AddrPort, service string, repeatable bool) {
		d.Routes = append(d.Routes, stoatpaddle.Route{
			Listen: listen, Backends: []stoatpaddle.Backend{{Service: stoatpaddle.ServiceID(service), Weight: 1}},
			Idempotent: repeatable, TargetLatency: targetLatency, Priority: 1,
		})
	}
	for _, typ := range requestTypes() {
		add(typ.listen, typ.service, typ.repeatable)
	}
	for _, r := range h.routes {
		if r.allowed {
			add(r.listen, "app", true)
		}
	}
	h.store.Write(platform.KindConfig, platform.ConfigName, platform.DeclarationSpec(&d))
}

// liveUpstreams returns the upstreams there are.
func (h *harness) liveUpstreams() []*upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*upstream(nil), h.upstreams...)
}

// upstreamOf returns the upstream that holds the flow, if it lives and is known to be its own.
func (h *harness) upstreamOf(f *flow) *upstream {
	for _, u := range h.liveUpstreams() {
		u.mu.Lock()
		s := u.flows[f.tuple[0]]
		u.mu.Unlock()
		if s != nil && s.open && !u.dead.Load() {
			return u
		}
	}
	return nil
}

func atoi(s string) int {
	// What is no number was written by nobody here.
	n, _ := strconv.Atoi(s)
	return n
}

// Logs names the files that tell what happened.
func Logs(dir string) string {
	list, err := os.ReadDir(dir)
	if err != nil {
		return dir
	}
	var names []string
	for _, f := range list {
		if strings.HasSuffix(f.Name(), ".log") {
			names = append(names, f.Name())
		}
	}
	return fmt.Sprintf("%s: %s", dir, strings.Join(names, " "))
}
