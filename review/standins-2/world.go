package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what is sent, answered and run to the case's record.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// broken is a case that cannot run.
type broken struct{ cause string }

func (b broken) Error() string { return b.cause }

func must(err error) {
	if err != nil {
		panic(broken{cause: err.Error()})
	}
}

// world holds one deployment on loopback addresses.
type world struct {
	rec     *record
	root    string // of the repository
	dir     string // temporary
	trouble bool
	ports   struct{ datagram, ready, control, platform uint16 }
	st      *store
	mu      sync.Mutex
	entries []*entry
	seeds   []string
	// block is the third number of the entries' addresses: the port of their metrics is fixed, and several cases may
	// run at once.
	block int
}

// entry is one entry instance, which the case starts as a process.
type entry struct {
	name, zone, ip, file string
	cmd                  *exec.Cmd
	log                  *os.File
	startedAt            time.Time
	misses               int
	inRotation           bool
	done                 chan struct{}
}

func newWorld(rec *record, root string, trouble bool, pageSize int) *world {
	dir, err := os.MkdirTemp("", "stoatreview")
	must(err)
	w := &world{rec: rec, root: root, dir: dir, trouble: trouble, block: 1 + rand.IntN(250)}
	w.pickPorts()
	w.st = newStore(rec, pageSize)
	return w
}

// addr returns an address of the machines of a zone.
func (w *world) addr(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", zone, w.block, n) }

// pickPorts picks ports that are free at a few of the addresses; they are the same on all machines.
func (w *world) pickPorts() {
	for range 50 {
		base := uint16(20000 + rand.IntN(20000))
		free := true
		for i := uint16(0); i < 4 && free; i++ {
			for _, ip := range []string{"127.0.0.1", w.addr(1, 10), w.addr(2, 10)} {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			w.ports.datagram, w.ports.ready, w.ports.control, w.ports.platform = base, base+1, base+2, base+3
			return
		}
	}
	must(broken{cause: "no free ports"})
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9@]+)\}\}`)
)

// render fills in deploy/entry.ini as the platform does.
func (w *world) render(e *entry, platform string) string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "entry.ini"))
	must(err)
	v := map[string]string{
		"node_name": e.name, "zone": e.zone, "ip": e.ip, "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.link_mbps": "1000.0",
		"bind_addrs.datagram_addr":  fmt.Sprintf("%s:%d", e.ip, w.ports.datagram),
		"bind_addrs.readiness_addr": fmt.Sprintf("%s:%d", e.ip, w.ports.ready),
		"bind_addrs.control":        fmt.Sprintf("%s:%d", e.ip, w.ports.control),
		"forwarding_mode":           "echo", "platform.address": platform,
		"bounds.config_apply_ms": "3000", "bounds.drain_ms": "3000", "bounds.grace_s": "6", "bounds.flow_lifetime_s": "60",
		"seeds": strings.Join(w.seeds, ","),
	}
	if len(w.seeds) > 0 {
		v["seeds.0"] = w.seeds[0]
	}
	out := sectionPattern.ReplaceAllStringFunc(string(text), func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if m[1] == "zones" {
			list := ""
			for _, z := range []string{"ruwi", "seeb", "qurum"} {
				list += strings.NewReplacer("{{@}}", z, "{{.}}", "muscat").Replace(m[2])
			}
			return list
		}
		if v[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return valuePattern.ReplaceAllStringFunc(out, func(s string) string { return v[strings.Trim(s, "{}")] })
}

// addEntry prepares an entry with a store address of its own.
func (w *world) addEntry(name, zone, ip, platformIP string) *entry {
	e := &entry{name: name, zone: zone, ip: ip, file: filepath.Join(w.dir, name+".conf")}
	platform := fmt.Sprintf("%s:%d", platformIP, w.ports.platform)
	must(w.st.listen(platform, name))
	must(os.WriteFile(e.file, []byte(w.render(e, platform)), 0o600))
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	return e
}

// start starts the entry's process with the command of the deploy file.
func (w *world) start(e *entry) {
	program := filepath.Join(w.root, "target", "stoatpaddle-entry")
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(program, "-c", e.file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STOATPADDLE_CONFIG=" + e.file}
	must(cmd.Start())
	done := make(chan struct{})
	w.mu.Lock()
	e.cmd, e.log, e.startedAt, e.done = cmd, log, time.Now(), done
	w.mu.Unlock()
	w.rec.printf("entry %s starts", e.name)
	go func() {
		err := cmd.Wait()
		w.rec.printf("entry %s ended: %v", e.name, err)
		_ = log.Close()
		close(done)
	}()
}

func (w *world) signal(e *entry, s syscall.Signal) {
	w.rec.printf("entry %s gets %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// probe keeps the rotation as the platform's routers do: two probes a second, out after two misses.
func (w *world) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		w.mu.Lock()
		list := slices.Clone(w.entries)
		w.mu.Unlock()
		for _, e := range list {
			go w.probeOne(client, e)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (w *world) probeOne(client *http.Client, e *entry) {
	res, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", e.ip, w.ports.ready))
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := e.inRotation
	if ok {
		e.misses, e.inRotation = 0, true
	} else if e.misses++; e.misses >= 2 {
		e.inRotation = false
	}
	if before != e.inRotation {
		w.rec.printf("router: %s in rotation: %t", e.name, e.inRotation)
	}
}

// pick selects the entry for a flow: the hash of its addresses and ports modulo the entries in rotation.
func (w *world) pick(k flowKey) (netip.AddrPort, string) { return w.pickIn("", k) }

// pickIn selects among the entries of a zone; "": of all zones.
func (w *world) pickIn(zone string, k flowKey) (netip.AddrPort, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in []*entry
	for _, e := range w.entries {
		if e.inRotation && (zone == "" || e.zone == zone) {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		return netip.AddrPort{}, ""
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, k)
	e := in[int(h.Sum32()%uint32(len(in)))]
	return netip.AddrPortFrom(netip.MustParseAddr(e.ip), w.ports.datagram), e.name
}

func (w *world) waitReady(e *entry, limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		w.mu.Lock()
		in := e.inRotation
		w.mu.Unlock()
		if in {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(broken{cause: "entry " + e.name + " does not become ready"})
}

func (w *world) waitOut(e *entry, limit time.Duration) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		w.mu.Lock()
		in := e.inRotation
		w.mu.Unlock()
		if !in {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(broken{cause: "entry " + e.name + " stays in rotation"})
}

// logLines returns the lines of an entry's log that match a pattern.
func (w *world) logLines(e *entry, pattern string) []string {
	data, _ := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
	var out []string
	re := regexp.MustCompile(pattern)
	for _, l := range strings.Split(string(data), "\n") {
		if re.MatchString(l) {
			out = append(out, l)
		}
	}
	return out
}

// end ends all processes that the case started.
func (w *world) end() {
	w.mu.Lock()
	list := slices.Clone(w.entries)
	w.mu.Unlock()
	for _, e := range list {
		if e.cmd == nil {
			continue
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}
