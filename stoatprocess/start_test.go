package stoatprocess_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// fixture holds a store with a configuration and registered upstreams, the sockets of a caller and of an
// upstream, and the address on which the entry listens.
type fixture struct {
	b        *testing.B
	store    string
	caller   *net.UDPConn
	upstream *net.UDPConn
	tunnel   netip.AddrPort
}

const upstreamCount = 18

func newFixture(b *testing.B) *fixture {
	f := &fixture{b: b}
	store := stoatfake.NewPlatform()
	srv := httptest.NewServer(store)
	b.Cleanup(srv.Close)
	f.store = strings.TrimPrefix(srv.URL, "http://")
	f.caller, f.upstream = f.listen("127.0.0.3:0"), f.listen("127.0.0.4:0")
	upstreamAddr := f.upstream.LocalAddr().(*net.UDPAddr).AddrPort()
	declaration := stoatpaddle.Declaration{Version: 1, IdleTimeout: time.Minute, Routes: []stoatpaddle.Route{{
		Listen: netip.MustParseAddrPort("198.18.0.1:443"), TargetLatency: time.Second, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}},
	}}}
	store.Write(platform.KindConfig, platform.ConfigName, platform.DeclarationSpec(&declaration))
	for i := range upstreamCount {
		reg := stoatpaddle.Registration{Service: "app", Addr: upstreamAddr, DataCentre: "here", Slots: 2}
		store.Write(platform.KindUpstream, fmt.Sprintf("i-%08x", i+1), platform.RegistrationSpec(&reg))
	}
	addr, err := stoatfake.FreeAddr()
	if err != nil {
		b.Fatal(err)
	}
	f.tunnel = addr
	return f
}

func (f *fixture) listen(addr string) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// buildProgram compiles a program with the linker flags of deploy/system.toml and returns its path.
func buildProgram(b *testing.B, pkg string) string {
	b.Helper()
	out := filepath.Join(b.TempDir(), "program")
	if text, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", out, pkg).CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, text)
	}
	return out
}

// writeSettings writes the settings file of an entry and returns its path.
func (f *fixture) writeSettings() string {
	free := func() netip.AddrPort {
		a, err := stoatfake.FreeAddr()
		if err != nil {
			f.b.Fatal(err)
		}
		return a
	}
	text := fmt.Sprintf("[instance]\nid = edge-1\ncentre = here\n[fabric]\nkind = echo\n[listen]\ntunnel = %s\nready = %s\nadmin = %s\n[platform]\naddress = %s\n",
		f.tunnel, free(), free(), f.store)
	file := filepath.Join(f.b.TempDir(), "entry.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.b.Fatal(err)
	}
	return file
}

// startOnce starts the program, sends it opening segments until one arrives at the upstream, kills it, and
// returns the processor time that it has used.
func (f *fixture) startOnce(argv ...string) time.Duration {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"}
	if err := cmd.Start(); err != nil {
		f.b.Fatal(err)
	}
	buf := make([]byte, 2048)
	for port := uint16(1024); ; port++ {
		segment := platform.AppendSegment(nil, &platform.Segment{
			Src: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), port), Dst: netip.MustParseAddrPort("198.18.0.1:443"), Opens: true,
		})
		if _, err := f.caller.WriteToUDPAddrPort(segment, f.tunnel); err != nil {
			f.b.Fatal(err)
		}
		_ = f.upstream.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		if _, err := f.upstream.Read(buf); err == nil {
			break
		}
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	for _ = f.upstream.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); ; {
		if _, err := f.upstream.Read(buf); err != nil {
			break
		}
	}
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}

// measure runs startOnce b.N times and reports the mean processor time.
func (f *fixture) measure(b *testing.B, argv ...string) {
	var sum time.Duration
	for range b.N {
		sum += f.startOnce(argv...)
	}
	b.ReportMetric(float64(sum.Microseconds())/float64(b.N)/1000, "cpu-ms/op")
}

// BenchmarkStart measures the processor time from exec to the first forwarded packet. After a power loss, a
// machine with a tenth of a core serves nobody for ten times as long as measured here.
func BenchmarkStart(b *testing.B) {
	f := newFixture(b)
	entry, whole, bare := buildProgram(b, "../cmd/stoatpaddle-entry"), buildProgram(b, "../cmd/stoatpaddle"), buildProgram(b, "./testdata/bare")
	b.Run("bare", func(b *testing.B) {
		to := f.upstream.LocalAddr().String()
		f.measure(b, bare, f.tunnel.String(), to, "http://"+f.store+"/-/objects/"+platform.KindUpstream)
	})
	b.Run("entry", func(b *testing.B) { f.measure(b, entry, "-c", f.writeSettings()) })
	b.Run("whole", func(b *testing.B) { f.measure(b, whole, "run", "-c", f.writeSettings()) })
}
