package stoatdemo

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatentry"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// Config configures a demo.
type Config struct {
	Flows   int // held open, over both customers
	Entries int
	Seed    uint64
	Out     io.Writer // the table and the progress line
	Log     io.Writer // the entries' events
}

// world is everything that runs in the demo.
type world struct {
	cfg       Config
	ctx       context.Context
	cancel    context.CancelFunc
	group     *errgroup.Group
	platform  *stoatfake.Platform
	server    *http.Server
	addr      netip.AddrPort
	fabric    *stoatfake.Fabric
	callers   *stoatfake.Callers
	upstreams map[stoatpaddle.UpstreamID]*stoatfake.Upstream
	servers   []*stoatfake.Server
	contracts map[stoatpaddle.CustomerID]stoatpaddle.Contract
	clients   []*client
	drained   func() bool // whether the leaving upstream kept its promise
	broken    []string    // promises that a phase found broken

	mu      sync.Mutex
	entries []*stoatentry.Entry
	sets    []stoatsetting.Settings
	born    int
	retired int64 // control bytes of entries that ended
}

const (
	segmentEvery = time.Second
	churn        = 0.02
	callTime     = 10 * time.Millisecond
	stopDeadline = 20 * time.Second
)

func newWorld(ctx context.Context, cfg Config) (*world, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	w := &world{
		cfg: cfg, ctx: ctx, cancel: cancel, group: group, platform: stoatfake.NewPlatform(),
		upstreams: map[stoatpaddle.UpstreamID]*stoatfake.Upstream{},
		contracts: map[stoatpaddle.CustomerID]stoatpaddle.Contract{},
	}
	if err := w.openPlatform(); err != nil {
		return w, err
	}
	if err := w.openTraffic(); err != nil {
		return w, err
	}
	for _, c := range customers {
		if err := w.openServers(c); err != nil {
			return w, err
		}
	}
	for range cfg.Entries {
		if err := w.addEntry(); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) openPlatform() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	w.server = &http.Server{Handler: w.platform, ReadHeaderTimeout: time.Minute}
	w.group.Go(func() error {
		_ = w.server.Serve(ln)
		return nil
	})
	return nil
}

func (w *world) openTraffic() error {
	var err error
	if w.fabric, err = stoatfake.NewFabric(w.cfg.Seed); err != nil {
		return err
	}
	var services []netip.AddrPort
	for _, c := range customers {
		services = append(services, netip.AddrPortFrom(c.addr, servicePort))
	}
	w.callers, err = stoatfake.NewCallers(w.group, w.fabric, stoatfake.CallersConfig{
		Services: services, Flows: w.cfg.Flows, SegmentInterval: segmentEvery, ChurnRate: churn, Seed: w.cfg.Seed,
	})
	return err
}

func (w *world) openServers(c customer) error {
	var flows, calls []stoatpaddle.Upstream
	for n := range flowServers {
		u, err := w.addUpstream(c.flow, n)
		if err != nil {
			return err
		}
		flows = append(flows, u)
	}
	for n := range callServers {
		s, err := stoatfake.NewServer(w.group, serverSlots, callTime)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		calls = append(calls, upstream(c.call, n, s.Addr()))
	}
	w.contracts[c.id] = c.contract(flows, calls)
	return nil
}

func (w *world) addUpstream(svc stoatpaddle.ServiceID, n int) (stoatpaddle.Upstream, error) {
	u, err := stoatfake.NewUpstream(w.group, w.callers.Addr())
	if err != nil {
		return stoatpaddle.Upstream{}, err
	}
	d := upstream(svc, n, u.Addr())
	w.upstreams[d.ID] = u
	return d, nil
}

// addEntry starts one more entry on free addresses.
func (w *world) addEntry() error {
	n := w.born
	w.born++
	dc := centres[n%len(centres)]
	set := stoatsetting.Settings{
		Instance:   stoatpaddle.InstanceID(string(dc) + "-" + strconv.Itoa(n/len(centres)+1)),
		DataCentre: dc, Cluster: "demo", PlatformAddr: w.addr, EgressAddr: w.callers.Addr(),
		LogLevel: "info", StopDeadline: stopDeadline, SettleTime: time.Minute,
	}
	for _, a := range []*netip.AddrPort{&set.TunnelAddr, &set.RelayAddr, &set.PeerAddr, &set.AdminAddr, &set.CallAddr} {
		addr, err := stoatfake.FreeAddr()
		if err != nil {
			return err
		}
		*a = addr
	}
	e, err := stoatentry.Start(w.ctx, stoatentry.Config{Settings: set, Log: w.cfg.Log})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, e)
	w.sets = append(w.sets, set)
	return nil
}

// forward tells the fabric which entries there are.
func (w *world) forward() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []netip.AddrPort
	for _, s := range w.sets {
		list = append(list, s.TunnelAddr)
	}
	w.fabric.SetEntries(list)
}

// forget takes entry i out of the world's lists.
func (w *world) forget(i int) *stoatentry.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entries[i]
	w.entries = append(w.entries[:i:i], w.entries[i+1:]...)
	w.sets = append(w.sets[:i:i], w.sets[i+1:]...)
	w.retired += e.ControlBytesSent()
	return e
}

// admin returns a client of entry i's administration API.
func (w *world) admin(i int) *stoatadmin.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	return stoatadmin.NewClient(w.sets[i].AdminAddr.String())
}

func (w *world) apply(i int, c stoatpaddle.Contract, base stoatpaddle.Version) (stoatpaddle.Version, error) {
	a, err := w.admin(i).Apply(w.ctx, c.Customer, []byte(stoatcontract.Format(c, 0)), stoatadmin.ChangeOptions{Base: base})
	return stoatpaddle.Version(a.Version), err
}

// controlBytes returns the bytes of control frames that all entries sent.
func (w *world) controlBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := w.retired
	for _, e := range w.entries {
		total += e.ControlBytesSent()
	}
	return total
}

func (w *world) close() {
	for _, c := range w.clients {
		c.stop()
	}
	w.mu.Lock()
	entries := append([]*stoatentry.Entry(nil), w.entries...)
	w.mu.Unlock()
	for _, e := range entries {
		e.Kill()
		e.Wait()
	}
	w.cancel()
	if w.callers != nil {
		w.callers.Close()
	}
	for _, u := range w.upstreams {
		u.Close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	if w.fabric != nil {
		w.fabric.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	_ = w.group.Wait()
}

// client sends calls to random entries, one after the other.
type client struct {
	w      *world
	host   string
	rnd    *rand.Rand
	done   chan struct{}
	once   sync.Once
	mu     sync.Mutex
	counts callCounts
}

// callCounts tells how calls ended.
type callCounts struct {
	answered, refused, unknown, cut, unreached int
}

func (c *client) stop() { c.once.Do(func() { close(c.done) }) }
