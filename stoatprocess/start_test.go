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

// rig is a store with a configuration and upstreams, and a caller's and an upstream's socket.
type rig struct {
	b        *testing.B
	store    string
	caller   *net.UDPConn
	upstream *net.UDPConn
	tunnel   netip.AddrPort
}

const upstreams = 18

func newRig(b *testing.B) *rig {
	r := &rig{b: b}
	store := stoatfake.NewPlatform()
	srv := httptest.NewServer(store)
	b.Cleanup(srv.Close)
	r.store = strings.TrimPrefix(srv.URL, "http://")
	r.caller, r.upstream = r.listen("127.0.0.3:0"), r.listen("127.0.0.4:0")
	to := r.upstream.LocalAddr().(*net.UDPAddr).AddrPort()
	d := stoatpaddle.Declaration{Version: 1, IdleTimeout: time.Minute, Routes: []stoatpaddle.Route{{
		Listen: netip.MustParseAddrPort("198.18.0.1:443"), TargetLatency: time.Second, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}},
	}}}
	store.Write(platform.KindConfig, platform.ConfigName, platform.DeclarationSpec(&d))
	for i := range upstreams {
		reg := stoatpaddle.Registration{Service: "app", Addr: to, DataCentre: "here", Slots: 2}
		store.Write(platform.KindUpstream, fmt.Sprintf("i-%08x", i+1), platform.RegistrationSpec(&reg))
	}
	addr, err := stoatfake.FreeAddr()
	if err != nil {
		b.Fatal(err)
	}
	r.tunnel = addr
	return r
}

func (r *rig) listen(addr string) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		r.b.Fatal(err)
	}
	r.b.Cleanup(func() { _ = conn.Close() })
	return conn
}

// build compiles a program as the deploy file does.
func build(b *testing.B, pkg string) string {
	b.Helper()
	out := filepath.Join(b.TempDir(), "program")
	if text, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", out, pkg).CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, text)
	}
	return out
}

// settings writes those of an entry and returns the file's name.
func (r *rig) settings() string {
	free := func() netip.AddrPort {
		a, err := stoatfake.FreeAddr()
		if err != nil {
			r.b.Fatal(err)
		}
		return a
	}
	text := fmt.Sprintf("[instance]\nid = edge-1\ncentre = here\n[fabric]\nkind = echo\n[listen]\ntunnel = %s\nready = %s\nadmin = %s\n[platform]\naddress = %s\n",
		r.tunnel, free(), free(), r.store)
	file := filepath.Join(r.b.TempDir(), "entry.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.b.Fatal(err)
	}
	return file
}

// once starts the program, sends it openings until one arrives at the upstream, and returns
// the processor time that it used until then.
func (r *rig) once(argv ...string) time.Duration {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOMAXPROCS=1"}
	if err := cmd.Start(); err != nil {
		r.b.Fatal(err)
	}
	buf := make([]byte, 2048)
	for port := uint16(1024); ; port++ {
		opening := platform.AppendSegment(nil, &platform.Segment{
			Src: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), port), Dst: netip.MustParseAddrPort("198.18.0.1:443"), Opens: true,
		})
		if _, err := r.caller.WriteToUDPAddrPort(opening, r.tunnel); err != nil {
			r.b.Fatal(err)
		}
		_ = r.upstream.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		if _, err := r.upstream.Read(buf); err == nil {
			break
		}
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	for _ = r.upstream.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); ; {
		if _, err := r.upstream.Read(buf); err != nil {
			break
		}
	}
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}

func (r *rig) measure(b *testing.B, argv ...string) {
	var sum time.Duration
	for range b.N {
		sum += r.once(argv...)
	}
	b.ReportMetric(float64(sum.Microseconds())/float64(b.N)/1000, "cpu-ms/op")
}

// The processor time from exec to the first packet that goes on: after a power loss a machine
// with a tenth of a core serves nobody for ten times as long.
func BenchmarkStart(b *testing.B) {
	r := newRig(b)
	entry, whole, bare := build(b, "../cmd/stoatpaddle-entry"), build(b, "../cmd/stoatpaddle"), build(b, "./testdata/bare")
	b.Run("bare", func(b *testing.B) {
		to := r.upstream.LocalAddr().String()
		r.measure(b, bare, r.tunnel.String(), to, "http://"+r.store+"/-/objects/"+platform.KindUpstream)
	})
	b.Run("entry", func(b *testing.B) { r.measure(b, entry, "-c", r.settings()) })
	b.Run("whole", func(b *testing.B) { r.measure(b, whole, "run", "-c", r.settings()) })
}
