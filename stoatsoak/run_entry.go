package stoatsoak

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec" // house: the soak runs the deployed program as a user would; the program itself starts no processes
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entry is an entry of the deployment: a process of the real program, which the harness starts again whenever
// it exits.
type entry struct {
	h            *harness
	index        int
	name         string
	addr         netip.Addr
	conn         *net.UDPConn // the fabric's socket for this entry
	storeProxy   *proxy
	seedProxies  []*proxy // one per entry that the settings list as seed; nil for this entry itself
	levelChanges int      // counts changes of the log level, which stand for any change of the settings

	mu           sync.Mutex
	cmd          *exec.Cmd
	starts       int
	exitExpected bool // the harness ended the process
	routable     bool // the fabric sends packets to the entry
	failedProbes int
}

const (
	adminPort     = 9001
	readyPort     = 9002
	restartDelay  = 300 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
)

// seedCount is the number of entries that the settings list as seeds.
const seedCount = 3

func (h *harness) entryAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, h.subnet, byte(100 + n/200), byte(n%200 + 1)})
}

// proxies returns the proxies between this entry and the store and seeds.
func (e *entry) proxies() []*proxy {
	list := []*proxy{e.storeProxy}
	for _, p := range e.seedProxies {
		if p != nil {
			list = append(list, p)
		}
	}
	return list
}

func (h *harness) newEntry(n int) (*entry, error) {
	e := &entry{h: h, index: n, name: fmt.Sprintf("entry-%d", n+1), addr: h.entryAddr(n)}
	var err error
	if e.storeProxy, err = h.newProxy(h.storeAddr); err != nil {
		return nil, err
	}
	for i := range min(seedCount, h.cfg.Entries) {
		var p *proxy
		if i != n {
			if p, err = h.newProxy(netip.AddrPortFrom(h.entryAddr(i), adminPort).String()); err != nil {
				return nil, err
			}
		}
		e.seedProxies = append(e.seedProxies, p)
	}
	if e.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *entry) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(e.addr, port) }

func (e *entry) centre() string { return centreOf(e.index) }

// dataCentres is the number of data centres, which entries and upstreams are distributed over.
const dataCentres = 2

func centreOf(n int) string { return [dataCentres]string{"east", "west"}[n%dataCentres] }

// writeSettings writes the entry's settings file and returns its name.
func (e *entry) writeSettings() (string, error) {
	var seeds []string
	for _, p := range e.seedProxies {
		addr := e.at(adminPort)
		if p != nil {
			addr = p.addr
		}
		seeds = append(seeds, addr.String())
	}
	e.mu.Lock()
	level := []string{"info", "debug"}[e.levelChanges%2]
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
`, e.name, e.centre(), e.at(e.h.port), e.at(readyPort), e.at(adminPort), strings.Join(seeds, ","), e.storeProxy.addr, e.h.cfg.Limits.ApplyDelay, e.h.cfg.Limits.ApplyDelay, level)
	file := filepath.Join(e.h.cfg.Dir, e.name+".ini")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// run starts the process, and starts it again after each exit, until the run ends.
func (e *entry) run() error {
	for e.h.ctx.Err() == nil {
		if err := e.start(); err != nil {
			return err
		}
		e.h.sleep(restartDelay)
	}
	return nil
}

func (e *entry) start() error {
	file, err := e.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.h.cfg.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(e.h.ctx, e.h.cfg.Program, "run", "-c", file)
	cmd.Env, cmd.Stderr = []string{}, log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd, e.exitExpected = cmd, false
	e.starts++
	e.mu.Unlock()
	e.readLog(e.processName(), bufio.NewScanner(out), log)
	err = cmd.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.exitExpected && e.h.ctx.Err() == nil {
		e.h.check.entryExited(e.h.now(), e.name, fmt.Sprint(err))
	}
	e.cmd = nil
	return nil
}

var appliedVersion = regexp.MustCompile(`"event":"SP1405".*"version":"(\d+)"`)

// readLog copies the process's log to a file and passes the configuration versions that are reported to be in
// force to the checker.
func (e *entry) readLog(process string, lines *bufio.Scanner, log *os.File) {
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, _ = log.Write(append(bytes.Clone(lines.Bytes()), '\n'))
		if match := appliedVersion.FindSubmatch(lines.Bytes()); match != nil {
			e.h.check.versionApplied(e.h.now(), process, atoi(string(match[1])))
		}
	}
}

// signal sends a signal to the process, if it is running. If expectExit is set, the exit that follows is no
// breach.
func (e *entry) signal(sig syscall.Signal, expectExit bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	e.exitExpected = e.exitExpected || expectExit
	// An error means that the process has just exited.
	_ = e.cmd.Process.Signal(sig)
}

// probe keeps track of whether the entry is in the fabric's rotation. An entry leaves it after two failed
// readiness probes.
func (e *entry) probe() error {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for e.h.sleep(probeInterval) {
		res, err := client.Get("http://" + e.at(readyPort).String() + "/-/readyz")
		ready := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		e.mu.Lock()
		e.failedProbes++
		if ready {
			e.failedProbes = 0
		}
		e.routable = ready || e.routable && e.failedProbes < 2
		e.mu.Unlock()
	}
	return nil
}

// processName identifies the current process of the entry.
func (e *entry) processName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.name + "#" + strconv.Itoa(e.starts)
}

func (e *entry) inRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.routable
}
