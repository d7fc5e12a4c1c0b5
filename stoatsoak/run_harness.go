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
	"slices"
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
	Program string // path of the program
	Dir     string // directory for settings and logs
	Seed    uint64
	Length  time.Duration
	Entries int
	Limits  TimeLimits
	Plan    []Step // nil means that the seed determines the steps
	// Restores makes restores of the store the only faults of the plan that the seed determines.
	Restores bool
	// Crowds makes the plan that the seed determines one of NewCrowdPlan.
	Crowds bool
	// InjectBreach makes the harness violate one guarantee, to test that the checker detects the breach. The run
	// ends once the breach is detected.
	InjectBreach Guarantee
	Progress     io.Writer // receives the steps and a summary every minute
}

// Result is the result of a run.
type Result struct {
	Seed     uint64
	Steps    []Step
	Counts   Counts
	Breaches []Breach
}

// harness runs the deployment and the fakes around it, and injects faults.
type harness struct {
	cfg             Config
	start           time.Time
	ctx             context.Context
	cancel          context.CancelFunc
	group           *errgroup.Group
	check           *checker
	store           *stoatfake.Platform
	storeAddr       string
	port            uint16       // tunnel port of the entries, and port of the callers' sockets
	subnet          byte         // second byte of the run's loopback addresses
	subnetLock      *net.UDPConn // while it is open, no other run uses the subnet
	entries         []*entry
	lastRequestID   atomic.Uint64
	issuedTargetIDs atomic.Uint64
	slowdowns       atomic.Int64 // number of steps that make upstreams answer slowly now
	// crowds is set if the plan has crowds. Then one route is urgent, callers are in data centres, and upstreams
	// have limited slots.
	crowds bool
	crowd  []*caller   // the additional callers of a crowd
	cut    atomic.Bool // data centres are cut off from each other

	// Code that holds mu must not lock the mutex of an upstream, as upstreams lock mu while they hold their own.
	mu            sync.Mutex
	upstreams     []*upstream
	callerConns   []*net.UDPConn
	rnd           *rand.Rand
	lossy         bool
	version       int
	routes        map[string]routeChange
	coldUpstreams int    // number of upstreams whose cold phase has not ended
	evacuated     string // the evacuated data centre, or empty
	// evacuatedAt is the time at which that data centre was evacuated.
	evacuatedAt time.Duration
	snapshots   []stoatfake.Snapshot // the latest ones of the store, oldest first
}

// routeChange is the latest change of a route, which was added or removed.
type routeChange struct {
	listen  netip.AddrPort
	added   bool
	ackedAt time.Duration
	version int // of the configuration with the change
}

var (
	feedAddr   = netip.MustParseAddrPort("198.18.0.1:443")
	pledgeAddr = netip.MustParseAddrPort("198.18.0.1:80")
	uploadAddr = netip.MustParseAddrPort("198.18.0.2:443")
)

// requestTypes returns the types of requests that callers send.
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
	firstPort       = 8600 // of a range of 1000, from which the seed selects one
)

// Run performs one run. Breaches are part of the result and are not errors.
func Run(ctx context.Context, cfg Config) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Length)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	h := &harness{
		cfg: cfg, start: time.Now(), ctx: ctx, cancel: cancel, group: group, check: newChecker(cfg.Limits), store: stoatfake.NewPlatform(),
		port: firstPort + uint16(cfg.Seed%1000), rnd: rand.New(rand.NewPCG(cfg.Seed, 12)), routes: map[string]routeChange{},
	}
	if cfg.InjectBreach != "" {
		h.check.onBreach = func(g Guarantee) {
			if g == cfg.InjectBreach {
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
		if cfg.Crowds {
			plan = NewCrowdPlan(cfg.Seed, cfg.Length)
		}
	}
	h.crowds = slices.ContainsFunc(plan, func(s Step) bool { return s.Kind == CrowdCentre })
	err := h.runPlan(plan)
	cancel()
	h.shutdown()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	// The subnet is released only when the run's processes have ended. Another run would find their ports in use
	// before that.
	if h.subnetLock != nil {
		_ = h.subnetLock.Close()
	}
	counts, breaches := h.check.result()
	return Result{Seed: cfg.Seed, Steps: plan, Counts: counts, Breaches: breaches}, err
}

// runPlan starts the deployment and the fakes around it, and performs the steps of the plan.
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
		if _, err := h.startUpstream(firstTargetID+h.issuedTargetIDs.Add(1), service, centreOf(i), netip.MustParseAddrPort("127.0.0.1:0"), 0); err != nil {
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
	if h.crowds {
		h.connectSeeds()
	}
	// No guarantee applies until all entries serve.
	recordEnd := h.check.beginDisturbance(0)
	for _, e := range h.entries {
		h.group.Go(e.run)
		h.group.Go(e.probe)
	}
	h.sleep(time.Second)
	recordEnd(h.now())
	if err := h.startCallers(); err != nil {
		return err
	}
	h.group.Go(h.probeRoutes)
	// A run with an injected breach must detect it on a machine of any speed, so no stall may excuse it.
	if h.cfg.InjectBreach == "" {
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

// summarize writes the totals so far every minute.
func (h *harness) summarize() error {
	for h.sleep(time.Minute) {
		c, breaches := h.check.result()
		_, _ = fmt.Fprintf(h.cfg.Progress, "%.0f s: %d requests, %d late, %d failed, %d breaches\n", h.now().Seconds(), c.Requests, c.ServedLate, c.Failed, len(breaches))
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
			if h.crowds {
				c.centre = centreOf(n)
			}
			h.group.Go(func() error { return c.run(typ) })
		}
	}
	if h.crowds {
		return h.addCrowd()
	}
	return nil
}

// shutdown ends the processes and closes the sockets that this run started, and no others.
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
	for _, u := range h.listUpstreams() {
		u.stop()
	}
}

const (
	subnetCount    = 250  // 127.1.x.y to 127.250.x.y
	subnetLockPort = 8599 // port of the socket that reserves a subnet
)

// reserveSubnet reserves a subnet of the loopback addresses that no other run on this machine uses. The
// reservation lasts until subnetLock is closed.
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

// sleep waits for d or the end of the run. It reports whether the run goes on.
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

// after calls do after a delay, unless the run ends before.
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

// jitter returns a random duration from half of d to one and a half of d.
func (h *harness) jitter(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return d/2 + time.Duration(h.rnd.Int64N(int64(d)))
}

// dropsDatagram decides whether the next datagram is lost.
func (h *harness) dropsDatagram() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lossy && h.rnd.IntN(10) == 0
}

// changeConfig changes the routes and writes the configuration with a higher version, as operators do.
func (h *harness) changeConfig(change func(routes map[string]routeChange)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version += 1 + h.rnd.IntN(3)
	change(h.routes)
	h.writeConfig()
}

// writeConfig writes the current configuration to the store. The caller must hold mu.
func (h *harness) writeConfig() {
	d := stoatpaddle.Declaration{
		Version: stoatpaddle.Version(h.version), IdleTimeout: 15 * time.Second, MaxFlows: map[stoatpaddle.ServiceID]int{"app": 2000, "intake": 2000},
		ColdRates: map[stoatpaddle.ServiceID]float64{"app": coldRate, "intake": coldRate},
	}
	add := func(listen netip.AddrPort, service string, repeatable bool) {
		priority := 1
		if h.crowds && listen == pledgeAddr {
			priority = 0
		}
		d.Routes = append(d.Routes, stoatpaddle.Route{
			Listen: listen, Backends: []stoatpaddle.Backend{{Service: stoatpaddle.ServiceID(service), Weight: 1}},
			Idempotent: repeatable, TargetLatency: targetLatency, Priority: priority,
		})
	}
	for _, typ := range requestTypes() {
		add(typ.listen, typ.service, typ.repeatable)
	}
	for _, r := range h.routes {
		if r.added {
			add(r.listen, "app", true)
		}
	}
	h.store.Write(platform.KindConfig, platform.ConfigName, platform.DeclarationSpec(&d))
}

// listUpstreams returns a copy of the list of upstreams. It includes those that have crashed until they are
// removed.
func (h *harness) listUpstreams() []*upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*upstream(nil), h.upstreams...)
}

// upstreamOf returns the live upstream at which the flow is open, or nil.
func (h *harness) upstreamOf(f *flow) *upstream {
	for _, u := range h.listUpstreams() {
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
	// The numbers come from this package's own requests and from the entries' logs, so they are valid.
	n, _ := strconv.Atoi(s)
	return n
}

// LogFiles returns the directory and the names of its log files.
func LogFiles(dir string) string {
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
