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

// Config configures the demo.
type Config struct {
	Flows   int // kept open, for both customers together
	Entries int
	Seed    uint64
	Out     io.Writer // receives the table and the summary
	Log     io.Writer // receives the entries' log lines
}

// environment is everything that runs in the demo.
type environment struct {
	cfg           Config
	log           *runLog
	ctx           context.Context
	cancel        context.CancelFunc
	group         *errgroup.Group
	platform      *stoatfake.Platform
	server        *http.Server
	addr          netip.AddrPort // of the platform
	fabric        *stoatfake.Fabric
	callers       *stoatfake.Callers
	upstreams     map[stoatpaddle.UpstreamID]*stoatfake.Upstream
	servers       []*stoatfake.Server
	contracts     map[stoatpaddle.CustomerID]stoatpaddle.Contract
	clients       []*client
	drainedInTime func() bool // whether the leaving upstream got its last new flow in time
	violations    []string    // guarantees that a phase found violated

	mu           sync.Mutex
	entries      []*stoatentry.Entry
	settings     []stoatsetting.Settings
	started      int   // entries so far
	retiredBytes int64 // control bytes of entries that have ended
}

const (
	segmentInterval = time.Second
	churnRate       = 0.02                  // share of the flows that is replaced per second
	callTime        = 10 * time.Millisecond // how long a call takes at its upstream
	stopDeadline    = 20 * time.Second
)

// newEnvironment starts everything but the traffic. The result has to be closed after an error too.
func newEnvironment(ctx context.Context, cfg Config, log *runLog) (*environment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	env := &environment{
		cfg: cfg, log: log, ctx: ctx, cancel: cancel, group: group, platform: stoatfake.NewPlatform(),
		upstreams: map[stoatpaddle.UpstreamID]*stoatfake.Upstream{},
		contracts: map[stoatpaddle.CustomerID]stoatpaddle.Contract{},
	}
	if err := env.openPlatform(); err != nil {
		return env, err
	}
	if err := env.openTraffic(); err != nil {
		return env, err
	}
	for _, c := range customers {
		if err := env.openServers(c); err != nil {
			return env, err
		}
	}
	for range cfg.Entries {
		if err := env.addEntry(); err != nil {
			return env, err
		}
	}
	return env, nil
}

func (env *environment) openPlatform() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	env.server = &http.Server{Handler: env.platform, ReadHeaderTimeout: time.Minute}
	env.group.Go(func() error {
		_ = env.server.Serve(ln)
		return nil
	})
	return nil
}

func (env *environment) openTraffic() error {
	var err error
	if env.fabric, err = stoatfake.NewFabric(env.cfg.Seed); err != nil {
		return err
	}
	var services []netip.AddrPort
	for _, c := range customers {
		services = append(services, netip.AddrPortFrom(c.addr, servicePort))
	}
	env.callers, err = stoatfake.NewCallers(env.group, env.fabric, stoatfake.CallersConfig{
		Services: services, Flows: env.cfg.Flows, SegmentInterval: segmentInterval, ChurnRate: churnRate, Seed: env.cfg.Seed,
		OnBroken: env.log.addBrokenFlow,
	})
	return err
}

func (env *environment) openServers(c customer) error {
	var flows, calls []stoatpaddle.Upstream
	for n := range flowServers {
		u, err := env.addUpstream(c.flow, n)
		if err != nil {
			return err
		}
		flows = append(flows, u)
	}
	for n := range callServers {
		s, err := stoatfake.NewServer(env.group, slotsPerServer, callTime)
		if err != nil {
			return err
		}
		env.servers = append(env.servers, s)
		calls = append(calls, upstream(c.call, n, s.Addr()))
	}
	env.contracts[c.id] = c.contract(flows, calls)
	return nil
}

func (env *environment) addUpstream(svc stoatpaddle.ServiceID, n int) (stoatpaddle.Upstream, error) {
	u, err := stoatfake.NewUpstream(env.group, env.callers.Addr())
	if err != nil {
		return stoatpaddle.Upstream{}, err
	}
	d := upstream(svc, n, u.Addr())
	env.upstreams[d.ID] = u
	return d, nil
}

// addEntry starts one more entry on free addresses.
func (env *environment) addEntry() error {
	n := env.started
	env.started++
	dc := centres[n%len(centres)]
	set := stoatsetting.Settings{
		Instance:   stoatpaddle.InstanceID(string(dc) + "-" + strconv.Itoa(n/len(centres)+1)),
		DataCentre: dc, Cluster: "demo", PlatformAddr: env.addr, EgressAddr: env.callers.Addr(),
		LogLevel: "info", StopDeadline: stopDeadline, SettleTime: time.Minute,
	}
	for _, a := range []*netip.AddrPort{&set.TunnelAddr, &set.RelayAddr, &set.PeerAddr, &set.AdminAddr, &set.CallAddr} {
		addr, err := stoatfake.FreeAddr()
		if err != nil {
			return err
		}
		*a = addr
	}
	e, err := stoatentry.Start(env.ctx, stoatentry.Config{Settings: set, Log: env.log})
	if err != nil {
		return err
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.entries = append(env.entries, e)
	env.settings = append(env.settings, set)
	return nil
}

// updateFabric makes the fabric send to the present entries.
func (env *environment) updateFabric() {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []netip.AddrPort
	for _, s := range env.settings {
		list = append(list, s.TunnelAddr)
	}
	env.fabric.SetEntries(list)
}

// removeEntry removes entry i from the lists and returns it. It does not stop the entry.
func (env *environment) removeEntry(i int) *stoatentry.Entry {
	env.mu.Lock()
	defer env.mu.Unlock()
	e := env.entries[i]
	env.entries = append(env.entries[:i:i], env.entries[i+1:]...)
	env.settings = append(env.settings[:i:i], env.settings[i+1:]...)
	env.retiredBytes += e.ControlBytesSent()
	return e
}

// admin returns a client for the administration API of entry i.
func (env *environment) admin(i int) *stoatadmin.Client {
	env.mu.Lock()
	defer env.mu.Unlock()
	return stoatadmin.NewClient(env.settings[i].AdminAddr.String())
}

// apply applies a contract through entry i, based on the given version.
func (env *environment) apply(i int, c stoatpaddle.Contract, base stoatpaddle.Version) (stoatpaddle.Version, error) {
	a, err := env.admin(i).Apply(env.ctx, c.Customer, []byte(stoatcontract.Format(c, 0)), stoatadmin.ChangeOptions{Base: base})
	return stoatpaddle.Version(a.Version), err
}

// controlBytes returns the bytes of control frames that all entries have sent.
func (env *environment) controlBytes() int64 {
	env.mu.Lock()
	defer env.mu.Unlock()
	total := env.retiredBytes
	for _, e := range env.entries {
		total += e.ControlBytesSent()
	}
	return total
}

func (env *environment) close() {
	for _, c := range env.clients {
		c.stop()
	}
	env.mu.Lock()
	entries := append([]*stoatentry.Entry(nil), env.entries...)
	env.mu.Unlock()
	for _, e := range entries {
		e.Kill()
		e.Wait()
	}
	env.cancel()
	if env.callers != nil {
		env.callers.Close()
	}
	for _, u := range env.upstreams {
		u.Close()
	}
	for _, s := range env.servers {
		s.Close()
	}
	if env.fabric != nil {
		env.fabric.Close()
	}
	if env.server != nil {
		_ = env.server.Close()
	}
	_ = env.group.Wait()
}

// client sends calls to random entries, one after the other.
type client struct {
	env    *environment
	host   string
	rnd    *rand.Rand
	done   chan struct{}
	once   sync.Once
	mu     sync.Mutex
	counts callCounts
}

// callCounts counts how calls ended. A call is unknown if the entry answered with a status that does not tell
// whether the call ran, cut if its connection failed or timed out, and unreached if no connection was made.
type callCounts struct {
	answered, refused, unknown, cut, unreached int
}

func (c *client) stop() { c.once.Do(func() { close(c.done) }) }
