package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// The case planned: the deployment of Sapporo with planned work only. The entries of one zone are stopped and started in
// turn, while the operator adds a route every 1.5 s and consumers open flows on the newest one. The seeds are down, and
// reads with allow_stale are 4 s old; both are allowed at any time.
const (
	plannedLag    = 4 * time.Second
	plannedLength = 40 * time.Second
	routeEvery    = 1500 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
)

func plannedCase(folder string) verdict {
	w, err := newWorld(folder, plannedLag)
	if err != nil {
		return verdict{err: err}
	}
	defer w.close()
	routes := []route{{name: "r-0", listen: netip.AddrPortFrom(w.ip(3, 1), 8443), service: desk, kind: "idempotent"}}
	w.writeConfig(1, routes, desk)
	for i := range 5 {
		if _, err := w.newServer(fmt.Sprintf("i-%08x", w.random32()), desk, kita, netip.AddrPortFrom(w.ip(4, byte(i+1)), 8080), 0); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(plannedLag + time.Second)
	w.seeds = []netip.AddrPort{netip.AddrPortFrom(w.ip(9, 1), w.controlPort), netip.AddrPortFrom(w.ip(9, 2), w.controlPort)}
	if err := w.startSapporo(false); err != nil {
		return verdict{err: err}
	}
	var mu sync.Mutex
	broken, first := 0, ""
	w.onReset = func(f *consumerFlow, from netip.AddrPort, own bool, s *server) {
		mu.Lock()
		defer mu.Unlock()
		if !own || !s.isAlive() {
			return
		}
		broken++
		why := fmt.Sprintf("%s resets %s, which is open at server %s", w.entryName(from), f.name(), s.id)
		w.note("FLOW is broken: %s", why)
		if first == "" {
			first = why
		}
	}
	end := time.Now().Add(plannedLength)
	var g sync.WaitGroup
	newest := routes[0].listen
	for i := range 8 {
		c, err := w.newConsumer(w.ip(5, byte(i+1)), kita)
		if err != nil {
			return verdict{err: err}
		}
		for j := range 6 {
			g.Add(1)
			go func() {
				defer g.Done()
				for n := 0; time.Now().Before(end); n++ {
					mu.Lock()
					dst := newest
					mu.Unlock()
					f := c.dial(dst)
					stop := time.Now().Add(4 * time.Second)
					for k := 0; f.state() == "open" && time.Now().Before(stop); k++ {
						f.request(fmt.Sprintf("%d-%d-%d-%d", i, j, n, k), 2*time.Second)
						time.Sleep(250 * time.Millisecond)
					}
					f.close()
				}
			}()
		}
	}
	g.Add(1)
	go func() {
		defer g.Done()
		for n := 1; time.Now().Before(end.Add(-2 * time.Second)); n++ {
			added := route{name: fmt.Sprintf("r-%d", n), listen: netip.AddrPortFrom(w.ip(3, byte(n+1)), 8443), service: desk, kind: "idempotent"}
			routes = append(routes, added)
			w.writeConfig(1+n, routes, desk)
			time.Sleep(100 * time.Millisecond)
			mu.Lock()
			newest = added.listen
			mu.Unlock()
			time.Sleep(routeEvery - 100*time.Millisecond)
		}
	}()
	for n := 0; trouble() && time.Now().Before(end.Add(-8*time.Second)); n++ {
		e := w.entries[[]int{0, 3, 4}[n%3]] // the entries of the zone
		e.signal(syscall.SIGTERM)
		<-e.exited
		time.Sleep(restartDelay)
		if err := e.run(w.seeds); err != nil {
			return verdict{err: err}
		}
		time.Sleep(2 * time.Second)
	}
	g.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return verdict{broken: broken, why: fmt.Sprintf("%d resets of open flows by entries; requests: %v; %s", broken, w.ends, first)}
}
