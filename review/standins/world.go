package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins of one run, and the entries, which are processes of the real program.
type world struct {
	start                                time.Time
	dir                                  string // temporary, for settings
	subnet                               byte
	datagramPort, readyPort, controlPort uint16
	store                                *store
	workTime                             time.Duration
	seeds                                []netip.AddrPort // of the settings; empty: the first entries of the zones
	bounds                               string
	record                               *os.File
	recordMu                             sync.Mutex
	mu                                   sync.Mutex
	entries                              []*entry
	routerConn                           *net.UDPConn
	opened                               map[tuple]*server // flows that are open: the server that has the end of the handshake
	ends                                 map[string]int    // how requests and flows ended
	onReset                              func(f *consumerFlow, from netip.AddrPort, own bool, s *server)
	onOpening                            func(s *server, t tuple, from netip.AddrPort)
}

func newWorld(folder string, lag time.Duration) (*world, error) {
	w := &world{start: time.Now(), opened: map[tuple]*server{}, ends: map[string]int{}, workTime: 22 * time.Millisecond, bounds: boundsSapporo}
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	w.subnet = byte(20 + rand.Intn(200))
	for _, p := range []*uint16{&w.datagramPort, &w.readyPort, &w.controlPort} {
		if *p, err = w.freePort(); err != nil {
			return nil, err
		}
	}
	storePort, err := w.freePort()
	if err != nil {
		return nil, err
	}
	if w.store, err = newStore(netip.AddrPortFrom(w.ip(1, 1), storePort).String(), lag); err != nil {
		return nil, err
	}
	w.routerConn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IP(w.ip(1, 2).AsSlice())})
	return w, err
}

// ip returns a loopback address of this run.
func (w *world) ip(a, b byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.subnet, a, b}) }

func (w *world) freePort() (uint16, error) {
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(1, 1), 0).String())
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return uint16(ln.Addr().(*net.TCPAddr).Port), nil
}

func (w *world) since() float64 { return time.Since(w.start).Seconds() }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.since(), fmt.Sprintf(format, args...))
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[what]++
}

var (
	randomMu sync.Mutex
	random   = rand.New(rand.NewSource(time.Now().UnixNano()))
)

func (w *world) random32() uint32 {
	randomMu.Lock()
	defer randomMu.Unlock()
	return random.Uint32()
}

func (w *world) opening(s *server, t tuple, from netip.AddrPort) {
	w.note("server %s gets the SYN of %v>%v through %s", s.id, t.src, t.dst, w.entryName(from))
	if w.onOpening != nil {
		w.onOpening(s, t, from)
	}
}

func (w *world) flowOpened(s *server, t tuple) {
	w.mu.Lock()
	w.opened[t] = s
	w.mu.Unlock()
	w.note("flow %v>%v is open at server %s", t.src, t.dst, s.id)
}

func (w *world) ran(s *server, id string) { w.note("server %s runs request %s", s.id, id) }

func (w *world) asked(f *consumerFlow, id string) { w.note("%s sends request %s", f.name(), id) }

func (w *world) done(f *consumerFlow, id string, answered bool) {
	if answered {
		w.count("answered")
		w.note("request %s is answered", id)
		return
	}
	w.count("not answered")
	w.note("request %s is not answered; flow: %s", id, f.state())
}

// flowReset records a reset that a consumer got; f.mu is held.
func (w *world) flowReset(f *consumerFlow, from netip.AddrPort, own bool) {
	w.mu.Lock()
	s := w.opened[f.t]
	w.mu.Unlock()
	who := w.entryName(from)
	w.note("%s gets a reset from %s (open at a server: %v, reset of the system's own: %v)", f.name(), who, s != nil, own)
	if w.onReset != nil && s != nil {
		w.onReset(f, from, own, s)
	}
}

func (w *world) entryName(from netip.AddrPort) string {
	for _, e := range w.entries {
		if e.ip == from.Addr() {
			return e.name
		}
	}
	return from.String()
}

// The entries.

type entry struct {
	w          *world
	name       string
	ip         netip.Addr
	zone       string
	cmd        *exec.Cmd
	mu         sync.Mutex
	parent     string // address of its parent, as it logs
	lines      []string
	inRotation bool
	misses     int
	touched    time.Time // when it was last started, stopped or continued
	exited     chan struct{}
}

var parentFound = regexp.MustCompile(`"event":"SP1420".*"parent":"([^"]*)"`)

// The bounds of the Sapporo installation, and those of the installations on the page demands.
const (
	boundsSapporo = `apply   = 3000ms
leave   = 3000ms`
	boundsDemands = `apply   = 5000ms
leave   = 5000ms
evacuate = 5000ms`
)

// settings returns the file as deploy/entry.ini renders it.
func (e *entry) settings(seeds []netip.AddrPort) string {
	var list []string
	for _, s := range seeds {
		list = append(list, s.String())
	}
	return fmt.Sprintf(`[instance]
id     = %s
centre = %s
share = 0.088
memory = 284
link = 1000.0

[listen]
tunnel = %s
ready  = %s
admin  = %s
metrics = %s:9109

[fabric]
kind = echo

[peer]
seeds = %s

[platform]
address = %s
%s

[regions]
%s = hokkaido

[stop]
deadline = 6s

[flow]
life = 60s
`, e.name, e.zone, e.at(e.w.datagramPort), e.at(e.w.readyPort), e.at(e.w.controlPort), e.ip, strings.Join(list, ","), e.w.store.addr, e.w.bounds, e.zone)
}

func (e *entry) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.ip, port) }

func (w *world) newEntry(name string, ip netip.Addr, zone string) *entry {
	e := &entry{w: w, name: name, ip: ip, zone: zone}
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	return e
}

const program = "target/stoatpaddle-entry"

// run starts the process with the command of the deploy file.
func (e *entry) run(seeds []netip.AddrPort) error {
	file := filepath.Join(e.w.dir, e.name+".conf")
	if err := os.WriteFile(file, []byte(e.settings(seeds)), 0o600); err != nil {
		return err
	}
	e.cmd = exec.Command(program, "-c", file)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STOATPADDLE_CONFIG=" + file}
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	e.cmd.Stderr = e.cmd.Stdout
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.touched, e.exited = time.Now(), make(chan struct{})
	e.mu.Unlock()
	exited := e.exited
	e.w.note("entry %s starts", e.name)
	go func() {
		e.read(out)
		err := e.cmd.Wait()
		e.w.note("entry %s has ended: %v", e.name, err)
		close(exited)
	}()
	return nil
}

func (e *entry) read(out io.Reader) {
	log, err := os.Create(filepath.Join(e.w.dir, e.name+".log"))
	if err == nil {
		defer log.Close()
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if log != nil {
			fmt.Fprintln(log, line)
		}
		if m := parentFound.FindStringSubmatch(line); m != nil {
			e.mu.Lock()
			e.parent = m[1]
			e.mu.Unlock()
		}
		for _, number := range []string{"SP1405", "SP1406", "SP1408", "SP1409", "SP1420", "SP1421", "SP1423", "SP1429"} {
			if strings.Contains(line, `"event":"`+number+`"`) {
				e.w.note("log of %s: %.300s", e.name, line)
			}
		}
	}
}

func (e *entry) signal(sig syscall.Signal) {
	e.w.note("entry %s gets signal %v", e.name, sig)
	e.mu.Lock()
	e.touched = time.Now()
	e.mu.Unlock()
	_ = e.cmd.Process.Signal(sig)
}

// calm reports whether nothing was done to the process for that long.
func (e *entry) calm(window time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.touched) >= window
}

func (e *entry) parentAddr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parent
}

// probe keeps the entry in or out of the rotation: twice per second, out after two misses.
func (e *entry) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		begin := time.Now()
		res, err := client.Get("http://" + e.at(e.w.readyPort).String() + "/-/readyz")
		ready := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		e.mu.Lock()
		was := e.inRotation
		e.misses++
		if ready {
			e.misses, e.inRotation = 0, true
		} else if e.misses >= 2 {
			e.inRotation = false
		}
		now := e.inRotation
		e.mu.Unlock()
		if was != now {
			e.w.note("entry %s in rotation: %v", e.name, now)
		}
		time.Sleep(time.Until(begin.Add(500 * time.Millisecond)))
	}
}

// route sends a consumer's packet to an entry of its zone, by a hash over the addresses and ports.
func (w *world) route(zone string, t tuple, data []byte) {
	var all, in []*entry
	w.mu.Lock()
	entries := w.entries
	w.mu.Unlock()
	for _, e := range entries {
		if e.zone != zone {
			continue
		}
		all = append(all, e)
		e.mu.Lock()
		if e.inRotation {
			in = append(in, e)
		}
		e.mu.Unlock()
	}
	if 2*len(in) < len(all) {
		in = all
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, t.src.String()+">"+t.dst.String())
	e := in[int(h.Sum32()>>4)%len(in)]
	_, _ = w.routerConn.WriteToUDPAddrPort(data, e.at(w.datagramPort))
}

// close ends all processes.
func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
		}
	}
	for _, e := range w.entries {
		if e.exited != nil {
			select {
			case <-e.exited:
			case <-time.After(3 * time.Second):
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}
