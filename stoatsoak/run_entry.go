package stoatsoak

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec" // house: the soak runs the deployed program as a user would; the program itself starts none
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entry is one entry of the deployment: a process of the real program, started again
// whenever it ends.
type entry struct {
	w     *world
	n     int
	name  string
	addr  netip.Addr
	conn  *net.UDPConn // of the fabric, towards this entry
	store *link
	seeds []*link // to the entries that the settings name; nil: this one
	level int     // of the log, changed to change the settings

	mu       sync.Mutex
	cmd      *exec.Cmd
	life     int
	expected bool // its end was caused by the run
	rotation bool // the fabric gives it packets
	misses   int
}

const (
	adminPort   = 9001
	readyPort   = 9002
	restart     = 300 * time.Millisecond
	probeEvery  = 500 * time.Millisecond
	probeWithin = 400 * time.Millisecond
)

// seedCount is how many entries the settings name.
const seedCount = 3

func (w *world) entryAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(100 + n/200), byte(n%200 + 1)})
}

// links returns the ways from this entry to the store and to seeds.
func (e *entry) links() []*link {
	list := []*link{e.store}
	for _, l := range e.seeds {
		if l != nil {
			list = append(list, l)
		}
	}
	return list
}

func (w *world) newEntry(n int) (*entry, error) {
	e := &entry{w: w, n: n, name: fmt.Sprintf("entry-%d", n+1), addr: w.entryAddr(n)}
	var err error
	if e.store, err = w.newLink(w.storeAddr); err != nil {
		return nil, err
	}
	for i := range min(seedCount, w.cfg.Entries) {
		var l *link
		if i != n {
			if l, err = w.newLink(netip.AddrPortFrom(w.entryAddr(i), adminPort).String()); err != nil {
				return nil, err
			}
		}
		e.seeds = append(e.seeds, l)
	}
	if e.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *entry) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.addr, port) }

func (e *entry) centre() string { return centreOf(e.n) }

// dataCentres is how many there are.
const dataCentres = 2

func centreOf(n int) string { return [dataCentres]string{"east", "west"}[n%dataCentres] }

// configure writes the settings.
func (e *entry) configure() (string, error) {
	var seeds []string
	for _, l := range e.seeds {
		addr := e.at(adminPort)
		if l != nil {
			addr = l.addr
		}
		seeds = append(seeds, addr.String())
	}
	e.mu.Lock()
	level := []string{"info", "debug"}[e.level%2]
	e.mu.Unlock()
	text := fmt.Sprintf(`[instance]
id = %s
centre = %s
[listen]
tunnel = %s
ready = %s
admin = %s
[fabric]
kind = echo
[peer]
seeds = %s
[platform]
address = %s
apply = %s
evacuate = %s
[log]
level = %s
[stop]
deadline = 6s
`, e.name, e.centre(), e.at(e.w.port), e.at(readyPort), e.at(adminPort), strings.Join(seeds, ","), e.store.addr, e.w.cfg.Limits.ApplyDelay, e.w.cfg.Limits.ApplyDelay, level)
	file := filepath.Join(e.w.cfg.Dir, e.name+".ini")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// run keeps the process running until the run ends.
func (e *entry) run() error {
	for e.w.ctx.Err() == nil {
		if err := e.start(); err != nil {
			return err
		}
		e.w.pause(restart)
	}
	return nil
}

func (e *entry) start() error {
	file, err := e.configure()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.w.cfg.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(e.w.ctx, e.w.cfg.Program, "run", "-c", file)
	cmd.Env, cmd.Stderr = []string{}, log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd, e.expected = cmd, false
	e.life++
	e.mu.Unlock()
	e.read(e.lifeName(), bufio.NewScanner(out), log)
	err = cmd.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.expected && e.w.ctx.Err() == nil {
		e.w.check.ended(e.w.now(), e.name, fmt.Sprint(err))
	}
	e.cmd = nil
	return nil
}

var inForce = regexp.MustCompile(`"event":"SP1405".*"version":"(\d+)"`)

// read keeps the log, and looks for the versions that the entry says to be in force.
func (e *entry) read(life string, lines *bufio.Scanner, log *os.File) {
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = log.Write(append(bytes.Clone(lines.Bytes()), '\n'))
		if m := inForce.FindSubmatch(lines.Bytes()); m != nil {
			e.w.check.inForce(e.w.now(), life, atoi(string(m[1])))
		}
	}
}

// signal sends one to the process, if there is one; ends tells that its end is expected then.
func (e *entry) signal(s syscall.Signal, ends bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	e.expected = e.expected || ends
	// One that has just ended is not there any more.
	_ = e.cmd.Process.Signal(s)
}

// probe follows whether the fabric gives the entry packets.
func (e *entry) probe() error {
	client := &http.Client{Timeout: probeWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	for e.w.pause(probeEvery) {
		res, err := client.Get("http://" + e.at(readyPort).String() + "/-/readyz")
		ready := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		e.mu.Lock()
		e.misses++
		if ready {
			e.misses = 0
		}
		e.rotation = ready || e.rotation && e.misses < 2
		e.mu.Unlock()
	}
	return nil
}

// lifeName names the present life.
func (e *entry) lifeName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.name + "#" + strconv.Itoa(e.life)
}

func (e *entry) inRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rotation
}
