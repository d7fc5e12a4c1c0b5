package stoatedge_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatedge"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// waitTimeout bounds how long a test waits for an event that has to come; no test depends on how soon.
const waitTimeout = 20 * time.Second

// rig has a platform, two upstreams and a caller, each on its own loopback address.
type rig struct {
	t                testing.TB
	store            *stoatfake.Platform
	addr             netip.AddrPort // of the platform
	caller           *net.UDPConn
	port             uint16 // of the caller and of the entries
	upstream         [2]*net.UDPConn
	maxEvacuateDelay time.Duration // of entries started from now on; 0: they follow no evacuations
}

const (
	flagSYN = 16
	flagACK = 64
	flagRST = 32
)

func newRig(t testing.TB) *rig {
	r := &rig{t: t, store: stoatfake.NewPlatform()}
	srv := httptest.NewServer(r.store)
	t.Cleanup(srv.Close)
	r.addr = netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	// The fabric takes packets for callers on the port on which entries listen.
	r.caller = r.listen("127.0.0.3:0")
	r.port = r.caller.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	for i := range r.upstream {
		r.upstream[i] = r.listen("127.0.0.1:0")
		r.register(i, "ready")
	}
	r.configure(1, "app")
	return r
}

func (r *rig) listen(addr string) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

var names = [2]string{"i-00000011", "i-00000022"}

func (r *rig) register(i int, state string) {
	r.store.Write(platform.KindUpstream, names[i], map[string]any{
		"service": "app", "address": r.upstream[i].LocalAddr().String(), "zone": "here", "version": "v1", "slots": 3, "state": state,
		"cold_remaining_ms": 0, "seq": 1,
	})
}

func (r *rig) configure(version int, service string) {
	r.store.Write(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "routes": []map[string]any{{"name": "r", "host": "198.18.0.1", "path_prefix": "/443/", "type": "idempotent", "service": service}},
		"services": []map[string]any{{"name": "app", "max_conns": 2000}}, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

// logBuffer is a writer that tests may read while the entry writes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) has(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), s)
}

// maxStartTries bounds how often start takes other addresses.
const maxStartTries = 5

// start starts an entry that listens on the host address and has the given seeds. Another process can take an
// address between FreeAddr and the start; the entry is then started on other ones.
func (r *rig) start(host string, seeds ...netip.AddrPort) (*stoatedge.Edge, stoatsetting.Settings, *logBuffer) {
	r.t.Helper()
	for try := 1; ; try++ {
		set := r.settings(host, seeds...)
		e, l, err := r.tryStart(stoatedge.Config{Settings: set})
		if errors.Is(err, syscall.EADDRINUSE) && try < maxStartTries {
			r.t.Log("another process has taken an address; trying other ones:", err)
			continue
		}
		if err != nil {
			r.t.Fatal(err)
		}
		return e, set, l
	}
}

// settings returns the settings of an entry that listens on the host address and has the given seeds.
func (r *rig) settings(host string, seeds ...netip.AddrPort) stoatsetting.Settings {
	r.t.Helper()
	free := func() netip.AddrPort {
		a, err := stoatfake.FreeAddr()
		if err != nil {
			r.t.Fatal(err)
		}
		return a
	}
	return stoatsetting.Settings{
		Instance: "edge-" + stoatpaddle.InstanceID(host), DataCentre: "here", LogLevel: "info", PlatformAddr: r.addr, Seeds: seeds,
		TunnelAddr: netip.AddrPortFrom(netip.MustParseAddr(host), r.port), ReadyAddr: free(), AdminAddr: free(),
		MaxEvacuateDelay: r.maxEvacuateDelay,
		MaxApplyDelay:    600 * time.Millisecond, GracePeriod: 500 * time.Millisecond, FlowLifetime: time.Minute, StopDeadline: 4 * time.Second,
	}
}

// startConfigured starts an entry, whose log it returns.
func (r *rig) startConfigured(cfg stoatedge.Config) (*stoatedge.Edge, *logBuffer) {
	r.t.Helper()
	e, l, err := r.tryStart(cfg)
	if err != nil {
		r.t.Fatal(err)
	}
	return e, l
}

// tryStart starts an entry, and returns its log.
func (r *rig) tryStart(cfg stoatedge.Config) (*stoatedge.Edge, *logBuffer, error) {
	r.t.Helper()
	l := &logBuffer{}
	cfg.Log = l
	e, err := stoatedge.Start(context.Background(), cfg)
	if err == nil {
		r.t.Cleanup(e.Kill)
	}
	return e, l, err
}

func (r *rig) wait(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("timed out waiting: " + what)
		}
	}
}

func isReady(set stoatsetting.Settings) bool {
	res, err := http.Get("http://" + set.ReadyAddr.String() + "/-/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// packet returns a caller's packet to the route, or to another port.
func packet(flags byte, sport, dport uint16, cookie uint32) []byte {
	b := make([]byte, platform.HeaderSize)
	le := binary.LittleEndian
	b[0] = flags
	le.PutUint32(b[1:], cookie)
	le.PutUint16(b[5:], dport)
	le.PutUint16(b[7:], sport)
	copy(b[9:], []byte{1, 0, 18, 198})
	copy(b[13:], []byte{3, 0, 0, 127})
	le.PutUint32(b[23:], 4242)
	if flags == flagSYN {
		le.PutUint32(b[23:], 0)
	}
	return b
}

func (r *rig) send(set stoatsetting.Settings, b []byte) {
	r.t.Helper()
	if _, err := r.caller.WriteToUDPAddrPort(b, set.TunnelAddr); err != nil {
		r.t.Fatal(err)
	}
}

// receive returns the next datagram.
func (r *rig) receive(conn *net.UDPConn) []byte {
	r.t.Helper()
	buf := make([]byte, 2000)
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	n, err := conn.Read(buf)
	if err != nil {
		r.t.Fatal("no datagram:", err)
	}
	return buf[:n]
}

// receiveAtUpstream returns which upstream got the next datagram, its target and its cookie.
func (r *rig) receiveAtUpstream() (int, uint64, uint32) {
	r.t.Helper()
	buf := make([]byte, 2000)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		for i, conn := range r.upstream {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			if n, err := conn.Read(buf); err == nil && n >= platform.TargetSize+platform.HeaderSize {
				return i, binary.BigEndian.Uint64(buf), binary.LittleEndian.Uint32(buf[9:])
			}
		}
	}
	r.t.Fatal("no packet reaches an upstream")
	return 0, 0, 0
}

// A flow from its opening to the end of its upstream. The opening packet carries the target and a cookie. A
// later packet reaches the same upstream through another entry, which never saw the flow. When the upstream
// has ended, the caller gets a reset.
func TestFlowOverTwoEntries(t *testing.T) {
	r := newRig(t)
	a, setA, _ := r.start("127.0.0.11")
	_, setB, _ := r.start("127.0.0.12")
	r.wait("both are ready", func() bool { return isReady(setA) && isReady(setB) })
	r.send(setA, packet(flagSYN, 40001, 443, 0))
	i, target, cookie := r.receiveAtUpstream()
	if target != []uint64{0x11, 0x22}[i] || cookie == 0 {
		t.Fatalf("target %x cookie %x at upstream %d", target, cookie, i)
	}
	r.send(setB, packet(flagACK, 40001, 443, cookie))
	if j, _, again := r.receiveAtUpstream(); j != i || again != cookie {
		t.Error("the flow went to", j)
	}
	r.wait("metrics name the upstream", func() bool {
		res, err := http.Get("http://" + setB.AdminAddr.String() + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = res.Body.Close() }()
		text, _ := io.ReadAll(res.Body)
		return strings.Contains(string(text), `stoatpaddle_upstream_flows{upstream="`+names[i]+`",service="app"} 1`)
	})
	r.store.Remove(platform.KindUpstream, names[i])
	r.wait("the end of the upstream is known", func() bool { return len(a.Table().Candidates("app")) == 1 })
	r.send(setA, packet(flagACK, 40001, 443, cookie))
	reset := r.receive(r.caller)
	if reset[0] != flagRST || binary.LittleEndian.Uint32(reset[19:]) != 4242 || binary.LittleEndian.Uint16(reset[5:]) != 40001 {
		t.Errorf("% x", reset)
	}
}

// A flow that cannot open is refused at once; a packet that no caller sends is counted and dropped.
func TestRefusals(t *testing.T) {
	r := newRig(t)
	e, set, l := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(set) })
	r.send(set, packet(flagSYN, 40001, 9, 0))
	if reset := r.receive(r.caller); reset[0] != flagRST {
		t.Errorf("% x", reset)
	}
	r.send(set, []byte{1, 2, 3})
	r.send(set, packet(flagSYN|flagACK, 40001, 443, 0))
	ours := packet(flagSYN, 40001, 443, 0)
	ours[13] = 11 // 127.0.0.11
	r.send(set, ours)
	r.wait("both are counted", func() bool {
		res, err := http.Get("http://" + set.AdminAddr.String() + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = res.Body.Close() }()
		text, _ := io.ReadAll(res.Body)
		return strings.Contains(string(text), `stoatpaddle_packet_dropped_total{reason="short"} 1`) &&
			strings.Contains(string(text), `stoatpaddle_packet_dropped_total{reason="flags"} 1`) &&
			strings.Contains(string(text), `stoatpaddle_packet_dropped_total{reason="own"} 1`) &&
			strings.Contains(string(text), `stoatpaddle_flow_reset_total{reason="route"} 1`)
	})
	r.wait("the refusal is logged", func() bool { return l.has(`"event":"SP1411"`) && l.has(`"reason":"route"`) })
	if n := e.Stats().Opened; n != 0 {
		t.Error(n)
	}
}

// An entry that starts while the platform is down serves with the state of its parent, and follows the
// platform when it is back.
func TestStartDuringOutage(t *testing.T) {
	r := newRig(t)
	_, setA, _ := r.start("127.0.0.11")
	r.wait("the first is ready", func() bool { return isReady(setA) })
	r.store.SetFaults(stoatfake.Faults{Down: true})
	b, setB, l := r.start("127.0.0.12", setA.AdminAddr)
	r.wait("the second is ready", func() bool { return isReady(setB) })
	// The log is written asynchronously, so the entry may be ready before the line is written.
	r.wait("the parent's state is logged", func() bool { return l.has(`"event":"SP1417"`) })
	r.send(setB, packet(flagSYN, 40001, 443, 0))
	r.receiveAtUpstream()
	r.store.SetFaults(stoatfake.Faults{})
	r.configure(2, "app")
	r.wait("the second follows the platform", func() bool {
		age := b.ViewAge(time.Now())
		return b.Table().Declaration.Version == 2 && age >= 0 && age < setB.MaxDelay()
	})
}

// Two entries get updates from a seed, one of them through the other, and make no calls to the platform. A
// change reaches both. When the seed is killed, both notice and read the platform themselves, so that the
// next change comes into force too.
func TestUpdatesFromOtherEntries(t *testing.T) {
	r := newRig(t)
	seed, setSeed, _ := r.start("127.0.0.11")
	r.wait("the seed is ready", func() bool { return isReady(setSeed) })
	b, setB, _ := r.start("127.0.0.12", setSeed.AdminAddr)
	r.wait("the second has a parent", func() bool { return depth(b) == 1 })
	c, setC, _ := r.start("127.0.0.13", setB.AdminAddr)
	r.wait("the third gets updates through the second", func() bool { return depth(c) == 2 })
	r.wait("both are ready", func() bool { return isReady(setB) && isReady(setC) })
	// With the first change, the calls from before they had a parent have ended.
	var before [2]string
	for version := 2; version <= 3; version++ {
		before = [2]string{r.calls(setB), r.calls(setC)}
		r.configure(version, "app")
		r.register(version-2, "draining")
		for _, e := range []*stoatedge.Edge{b, c} {
			r.wait("the change is in force", func() bool {
				return int(e.Table().Declaration.Version) == version && len(e.Table().Candidates("app")) == 3-version
			})
		}
	}
	if after := [2]string{r.calls(setB), r.calls(setC)}; after != before {
		t.Error("entries with a parent call the platform:", before, after)
	}
	seed.Kill()
	r.configure(4, "app")
	for _, e := range []*stoatedge.Edge{b, c} {
		r.wait("the change after the end of the seed is in force", func() bool { return e.Table().Declaration.Version == 4 })
	}
}

// A data centre is evacuated, and the evacuation is withdrawn. The seed reads it and its child gets an
// update. Both refuse new flows at once, since no other data centre has the service, and an open flow
// continues. An entry that starts meanwhile places no flow there either, not even its first one.
func TestEvacuationReachesAll(t *testing.T) {
	r := newRig(t)
	r.maxEvacuateDelay = 600 * time.Millisecond
	seed, setSeed, logSeed := r.start("127.0.0.11")
	r.wait("the seed is ready", func() bool { return isReady(setSeed) })
	b, setB, _ := r.start("127.0.0.12", setSeed.AdminAddr)
	r.wait("the second has a parent", func() bool { return depth(b) == 1 && isReady(setB) })
	r.send(setB, packet(flagSYN, 40001, 443, 0))
	i, _, cookie := r.receiveAtUpstream()
	r.store.Write(platform.KindEvacuation, "here", map[string]any{})
	for _, e := range []*stoatedge.Edge{seed, b} {
		r.wait("the evacuation is in force", func() bool { return e.Table().Evacuated("here") })
	}
	late, setLate, logLate := r.start("127.0.0.13", setSeed.AdminAddr)
	for n, set := range []stoatsetting.Settings{setSeed, setB, setLate} {
		r.send(set, packet(flagSYN, uint16(40010+n), 443, 0))
		if reset := r.receive(r.caller); reset[0] != flagRST || binary.LittleEndian.Uint16(reset[5:]) != uint16(40010+n) {
			t.Errorf("entry %d: % x", n, reset)
		}
	}
	r.send(setLate, packet(flagACK, 40001, 443, cookie))
	if j, _, _ := r.receiveAtUpstream(); j != i {
		t.Error("the open flow went to", j)
	}
	r.wait("it is logged", func() bool {
		return logSeed.has(`"event":"SP1431"`) && logLate.has(`"reason":"upstream","opens":"true","evacuated":"2"`)
	})
	r.store.Remove(platform.KindEvacuation, "here")
	for _, e := range []*stoatedge.Edge{seed, b, late} {
		r.wait("the evacuation is withdrawn", func() bool { return !e.Table().Evacuated("here") })
	}
	r.send(setB, packet(flagSYN, 40020, 443, 0))
	r.receiveAtUpstream()
}

// calls returns the lines of an entry's metrics that count the calls that the platform answered.
func (r *rig) calls(set stoatsetting.Settings) string {
	r.t.Helper()
	res, err := http.Get("http://" + set.AdminAddr.String() + "/metrics")
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	var lines []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "stoatpaddle_platform_calls_total") && strings.Contains(line, `outcome="answered"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// depth returns the number of hops from an entry that reads the platform.
func depth(e *stoatedge.Edge) int { return e.Depth() }

// The parent's connection goes silent for good without being closed, since a device between the two entries
// lost track of it. The child leaves the parent within the maximum delay and finds another way, so that a
// change comes into force.
func TestSilentParent(t *testing.T) {
	r := newRig(t)
	_, setSeed, _ := r.start("127.0.0.11")
	r.wait("the seed is ready", func() bool { return isReady(setSeed) })
	proxy := r.proxy(setSeed.AdminAddr)
	b, _, l := r.start("127.0.0.12", proxy.addr)
	r.wait("it has a parent", func() bool { return depth(b) == 1 })
	proxy.silence()
	r.configure(2, "app")
	r.wait("the change is in force", func() bool { return b.Table().Declaration.Version == 2 })
	r.wait("the silence is logged", func() bool { return l.has("silent for") })
}

// proxy forwards connections until silence is called.
type proxy struct {
	addr  netip.AddrPort
	quiet atomic.Bool
}

func (p *proxy) silence() { p.quiet.Store(true) }

func (r *rig) proxy(to netip.AddrPort) *proxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = ln.Close() })
	p := &proxy{addr: netip.MustParseAddrPort(ln.Addr().String())}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			r.t.Cleanup(func() { _, _ = in.Close(), out.Close() })
			go p.forward(in, out)
			go p.forward(out, in)
		}
	}()
	return p
}

func (p *proxy) forward(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !p.quiet.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// The platform loses its history while both watches wait, and both topics change in the gap.
func TestForgottenHistory(t *testing.T) {
	r := newRig(t)
	e, set, _ := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(set) })
	r.store.SetFaults(stoatfake.Faults{SilentWatches: true})
	r.configure(2, "app")
	r.register(0, "draining")
	r.store.CompactHistory()
	r.store.SetFaults(stoatfake.Faults{})
	r.wait("both are known", func() bool { return e.Table().Declaration.Version == 2 && len(e.Table().Candidates("app")) == 1 })
}

// A replica lags behind for good. What the platform itself answers comes into force nevertheless.
func TestLaggingReplica(t *testing.T) {
	r := newRig(t)
	e, set, _ := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(set) })
	r.store.SetFaults(stoatfake.Faults{StaleReplicas: true})
	r.register(0, "draining")
	r.wait("the leaving upstream is known", func() bool { return len(e.Table().Candidates("app")) == 1 })
}

// In a planned stop, the entry is not ready at once, forwards the packets that still come, and then exits by
// itself.
func TestStop(t *testing.T) {
	r := newRig(t)
	e, set, l := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(set) })
	e.Stop()
	if isReady(set) {
		t.Error("ready while it stops")
	}
	r.send(set, packet(flagSYN, 40001, 443, 0))
	r.receiveAtUpstream()
	e.Wait()
	if !l.has(`"event":"SP1403"`) || !l.has(`"event":"SP1404"`) {
		t.Error("the stop is not logged")
	}
}

// Changed settings: a faulty file is rejected and its fault is logged; a valid one comes into force.
func TestReload(t *testing.T) {
	r := newRig(t)
	e, set, l := r.start("127.0.0.11")
	_, err := stoatsetting.Parse("entry.ini", []byte("[instance]\nid = a\ncentre = b\n[platform]\napply = soon\n"))
	e.Reload(stoatsetting.Settings{}, err)
	set.MaxApplyDelay = time.Second
	e.Reload(set, nil)
	r.wait("both are logged", func() bool { return l.has(`"event":"SP1415"`) && l.has("soon") && l.has(`"applied":"platform.apply"`) })
}

// BenchmarkMetrics measures one scrape of the metrics.
func BenchmarkMetrics(b *testing.B) {
	r := newRig(b)
	_, set, _ := r.start("127.0.0.11")
	r.wait("it is ready", func() bool { return isReady(set) })
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		res, err := http.Get("http://" + set.AdminAddr.String() + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		n, _ := io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		b.SetBytes(n)
	}
}
