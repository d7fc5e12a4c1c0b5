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
	Limits  TimeLimits
	Plan    []Step // nil: by the seed
	// Restores makes restores of the store the disturbances of the plan by the seed.
	Restores bool
	// InjectBreach breaks one promise on purpose, to see that it is noticed; the run ends when it is.
	InjectBreach Guarantee
	Progress     io.Writer // progress
}

// Result is what a run showed.
type Result struct {
	Seed     uint64
	Steps    []Step
	Counts   Counts
	Breaches []Breach
}

// world is the deployment and everything around it.
type world struct {
	cfg       Config
	start     time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	group     *errgroup.Group
	check     *checker
	store     *stoatfake.Platform
	storeAddr string
	port      uint16       // of the fabric, and of callers
	net       byte         // the second byte of the run's addresses
	claimed   *net.UDPConn // no other run uses them while it is open
	entries   []*entry
	ids       atomic.Uint64
	lives     atomic.Uint64
	queued    atomic.Int64 // so many reasons for upstreams to answer late

	// mu is never held while an upstream's is taken: upstreams take it while they answer.
	mu        sync.Mutex
	upstreams []*upstream
	sockets   []*net.UDPConn // of callers
	rnd       *rand.Rand
	lossy     bool
	version   int
	routes    map[string]routed
	cold      int    // upstreams that have just started
	evacuated string // a data centre
	// evacuatedAt is when the store took that.
	evacuatedAt time.Duration
	copies      []stoatfake.Snapshot // of the store, the latest ones
}

// routed is a route that was added or removed at a time.
type routed struct {
	listen  netip.AddrPort
	allowed bool
	acked   time.Duration
	version int // of the configuration that changed it
}

var (
	feedAddr   = netip.MustParseAddrPort("198.18.0.1:443")
	pledgeAddr = netip.MustParseAddrPort("198.18.0.1:80")
	uploadAddr = netip.MustParseAddrPort("198.18.0.2:443")
)

// kinds are what callers ask for.
func kinds() []*kind {
	return []*kind{
		{name: "feed", service: "app", listen: feedAddr, repeatable: true, long: true, parts: 1, every: 150 * time.Millisecond},
		{name: "pledge", service: "app", listen: pledgeAddr, parts: 1, every: 200 * time.Millisecond},
		{name: "upload", service: "intake", listen: uploadAddr, repeatable: true, parts: 4, every: 300 * time.Millisecond},
	}
}

const (
	callersPerKind = 4
	appUpstreams   = 4
	intakeServers  = 2
	firstPort      = 8600 // of the fabric
)

// Run plays one run. A breach is no error.
func Run(ctx context.Context, cfg Config) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Length)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	w := &world{
		cfg: cfg, start: time.Now(), ctx: ctx, cancel: cancel, group: group, check: newChecker(cfg.Limits), store: stoatfake.NewPlatform(),
		port: firstPort + uint16(cfg.Seed%1000), rnd: rand.New(rand.NewPCG(cfg.Seed, 12)), routes: map[string]routed{},
	}
	if cfg.InjectBreach != "" {
		w.check.noticed = func(p Guarantee) {
			if p == cfg.InjectBreach {
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
	err := w.play(plan)
	cancel()
	w.shut()
	if waited := group.Wait(); err == nil {
		err = waited
	}
	// Not before its processes have ended: another run would find their ports in use.
	if w.claimed != nil {
		_ = w.claimed.Close()
	}
	counts, breaches := w.check.result()
	return Result{Seed: cfg.Seed, Steps: plan, Counts: counts, Breaches: breaches}, err
}

func (w *world) play(plan []Step) error {
	if err := w.claim(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddr = ln.Addr().String()
	srv := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	w.group.Go(func() error {
		_ = srv.Serve(ln)
		return nil
	})
	defer func() { _ = srv.Close() }()
	w.configure(func(map[string]routed) {})
	for i := range appUpstreams + intakeServers {
		service := "app"
		if i >= appUpstreams {
			service = "intake"
		}
		if _, err := w.startUpstream(firstTarget+w.lives.Add(1), service, centreOf(i), netip.MustParseAddrPort("127.0.0.1:0"), 0); err != nil {
			return err
		}
	}
	for n := range w.cfg.Entries {
		e, err := w.newEntry(n)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	// The time until all serve is no failure of theirs.
	settled := w.check.begin(0)
	for _, e := range w.entries {
		w.group.Go(e.run)
		w.group.Go(e.probe)
	}
	w.pause(time.Second)
	settled(w.now())
	if err := w.callers(); err != nil {
		return err
	}
	w.group.Go(w.look)
	// A run that breaks a promise on purpose is about being noticed, at any speed.
	if w.cfg.InjectBreach == "" {
		w.group.Go(w.watchStalls)
	}
	w.group.Go(w.summarize)
	w.group.Go(w.copyStore)
	for _, s := range plan {
		w.pause(s.At - w.now())
		w.apply(s)
	}
	<-w.ctx.Done()
	return nil
}

// summarize says each minute what was done so far.
func (w *world) summarize() error {
	for w.pause(time.Minute) {
		c, breaches := w.check.result()
		_, _ = fmt.Fprintf(w.cfg.Progress, "%.0f s: %d requests, %d late, %d failed, %d breaches\n", w.now().Seconds(), c.Requests, c.ServedLate, c.Failed, len(breaches))
	}
	return nil
}

func (w *world) callers() error {
	for i, k := range kinds() {
		for n := range callersPerKind {
			c, err := w.newCaller(i*callersPerKind + n)
			if err != nil {
				return err
			}
			w.group.Go(func() error { return c.run(k) })
		}
	}
	return nil
}

// shut ends what was started, and nothing else.
func (w *world) shut() {
	for _, e := range w.entries {
		e.signal(syscall.SIGCONT, true)
		e.signal(syscall.SIGKILL, true)
		for _, l := range e.links() {
			l.close()
		}
		_ = e.conn.Close()
	}
	w.mu.Lock()
	for _, conn := range w.sockets {
		_ = conn.Close()
	}
	w.mu.Unlock()
	for _, u := range w.living() {
		u.end()
	}
}

const (
	nets     = 250  // 127.1.x.y to 127.250.x.y
	lockPort = 8599 // of the address that a run holds to itself
)

// claim finds a part of the loopback addresses that no other run on this machine uses, and
// keeps it until its processes have ended.
func (w *world) claim() error {
	var last error
	for i := range uint64(nets) {
		n := byte(1 + (w.cfg.Seed+i)%nets)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, 255, 1}), lockPort)))
		if err == nil {
			w.net, w.claimed = n, conn
			return nil
		}
		last = err
	}
	return last
}

func (w *world) now() time.Duration { return time.Since(w.start) }

// pause waits, and tells whether the run goes on.
func (w *world) pause(d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// after does something later, unless the run ends before.
func (w *world) after(d time.Duration, do func()) {
	w.group.Go(func() error {
		if w.pause(d) {
			do()
		}
		return nil
	})
}

func (w *world) random() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Uint32() >> 1
}

func (w *world) jitter(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return d/2 + time.Duration(w.rnd.Int64N(int64(d)))
}

// lost tells whether a datagram is lost now.
func (w *world) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossy && w.rnd.IntN(10) == 0
}

// configure writes the operators' configuration, changed.
func (w *world) configure(change func(routes map[string]routed)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.rnd.IntN(3)
	change(w.routes)
	w.writeConfiguration()
}

// writeConfiguration writes what the operators want; mu is held.
func (w *world) writeConfiguration() {
	d := stoatpaddle.Declaration{
		Version: stoatpaddle.Version(w.version), IdleTimeout: 15 * time.Second, MaxFlows: map[stoatpaddle.ServiceID]int{"app": 2000, "intake": 2000},
		ColdRates: map[stoatpaddle.ServiceID]float64{"app": coldRate, "intake": coldRate},
	}
	add := func(listen netip.AddrPort, service string, repeatable bool) {
		d.Routes = append(d.Routes, stoatpaddle.Route{
			Listen: listen, Backends: []stoatpaddle.Backend{{Service: stoatpaddle.ServiceID(service), Weight: 1}},
			Idempotent: repeatable, TargetLatency: aim, Priority: 1,
		})
	}
	for _, k := range kinds() {
		add(k.listen, k.service, k.repeatable)
	}
	for _, r := range w.routes {
		if r.allowed {
			add(r.listen, "app", true)
		}
	}
	w.store.Write(platform.KindConfig, platform.ConfigName, platform.DeclarationSpec(&d))
}

// living returns the upstreams there are.
func (w *world) living() []*upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*upstream(nil), w.upstreams...)
}

// holder returns the upstream that holds the flow, if it lives and is known to be its own.
func (w *world) holder(f *flow) *upstream {
	for _, u := range w.living() {
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

// LogFiles names the files that tell what happened.
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
