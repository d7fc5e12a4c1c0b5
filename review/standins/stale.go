package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// The case stale: the deployment of Sapporo. One entry freezes for 3.5 s while consumers open long flows. Some of the
// opening packets wait at the frozen entry; their copies go through other entries once the frozen one has left the
// rotation, and the flows open. When the entry wakes, it sends the old opening packets on, to other servers.
const (
	staleRounds = 3
	// staleQuiet is the pause of the flows: their next requests are sent when the entry has been awake for longer than
	// stable_window_ms. It is shorter than idle_timeout_ms.
	staleQuiet = freeze + stable + 700*time.Millisecond
)

func staleCase(folder string) verdict {
	w, err := newWorld(folder, 0)
	if err != nil {
		return verdict{err: err}
	}
	defer w.close()
	listen := netip.AddrPortFrom(w.ip(3, 1), 8443)
	w.writeConfig(1, []route{{name: "r-0", listen: listen, service: desk, kind: "idempotent"}}, desk)
	for i := range 14 {
		zone := []string{kita, "sapporo-minami", "otaru"}[i%3]
		if _, err := w.newServer(fmt.Sprintf("i-%08x", w.random32()), desk, zone, netip.AddrPortFrom(w.ip(4, byte(i+1)), 8080), 0); err != nil {
			return verdict{err: err}
		}
	}
	if err := w.startSapporo(false); err != nil {
		return verdict{err: err}
	}
	var consumers []*consumer
	for i := range 8 {
		c, err := w.newConsumer(w.ip(5, byte(i+1)), kita)
		if err != nil {
			return verdict{err: err}
		}
		consumers = append(consumers, c)
	}
	var mu sync.Mutex
	broken, first := 0, ""
	w.onReset = func(f *consumerFlow, from netip.AddrPort, own bool, s *server) {
		mu.Lock()
		defer mu.Unlock()
		if from == s.addr || own || !s.isAlive() {
			return
		}
		for _, e := range w.entries {
			if !e.calm(stable) {
				w.note("not counted: %s isn't in touch", e.name)
				return
			}
		}
		broken++
		why := fmt.Sprintf("%s, open at server %s (%v), is reset by the server at %v", f.name(), s.id, s.addr, from)
		w.note("FLOW is broken: %s", why)
		if first == "" {
			first = why
		}
	}
	opened := 0
	for n := 1; n <= staleRounds; n++ {
		begin := time.Now()
		frozen := w.entries[3+n%2] // an entry of the zone that is no seed
		w.note("round %d", n)
		if trouble() {
			frozen.signal(syscall.SIGSTOP)
		}
		var g sync.WaitGroup
		for i, c := range consumers {
			for j := range 16 {
				g.Add(1)
				go func() {
					defer g.Done()
					time.Sleep(time.Until(begin.Add(time.Duration(j)*100*time.Millisecond + time.Duration(i)*12*time.Millisecond)))
					if c.longFlow(listen, fmt.Sprintf("%d-%d-%d", n, i, j), begin.Add(staleQuiet)) {
						mu.Lock()
						opened++
						mu.Unlock()
					}
				}()
			}
		}
		time.Sleep(time.Until(begin.Add(freeze)))
		if trouble() {
			frozen.signal(syscall.SIGCONT)
		}
		g.Wait()
		time.Sleep(time.Until(begin.Add(roundLength)))
	}
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return verdict{broken: broken, why: fmt.Sprintf("%d of %d open flows are reset by servers that don't have them; requests: %v; %s", broken, opened, w.ends, first)}
}

// longFlow opens a flow, sends a request at once and two more after the pause. It reports whether the flow opened.
func (c *consumer) longFlow(dst netip.AddrPort, name string, resume time.Time) bool {
	f := c.dial(dst)
	if f.state() != "open" {
		return false
	}
	f.request(name+"-0", 2*time.Second)
	for n := 1; n <= 2; n++ {
		time.Sleep(time.Until(resume.Add(time.Duration(n) * time.Second)))
		if f.state() == "open" {
			f.request(fmt.Sprintf("%s-%d", name, n), 2*time.Second)
		}
	}
	f.close()
	return true
}
