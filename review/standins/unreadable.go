package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The case unreadable: six entries in three zones, with the bounds of the page demands. Another writer keeps one entry of
// the kind servers in the store that is JSON but can't be read as a server: arrays within arrays. Then a server reports
// that it is draining.
const (
	drainBound  = 5 * time.Second
	calmDemands = 5 * time.Second // stable_window_ms
	nested      = 9999
)

func unreadableCase(folder string) verdict {
	w, err := newWorld(folder, 0)
	if err != nil {
		return verdict{err: err}
	}
	defer w.close()
	w.bounds = boundsDemands
	go w.store.expire()
	listen := netip.AddrPortFrom(w.ip(3, 1), 8443)
	w.writeConfig(1, []route{{name: "r-0", listen: listen, service: desk, kind: "idempotent"}}, desk)
	var servers []*server
	for i := range 6 {
		zone := []string{kita, "sapporo-minami", "otaru"}[i%3]
		s, err := w.newServer(fmt.Sprintf("i-%08x", w.random32()), desk, zone, netip.AddrPortFrom(w.ip(4, byte(i+1)), 8080), time.Now().UnixMilli())
		if err != nil {
			return verdict{err: err}
		}
		servers = append(servers, s)
	}
	if err := w.startSapporo(false); err != nil {
		return verdict{err: err}
	}
	leaving := servers[0]
	var mu sync.Mutex
	var acked time.Time
	before, broken, first := 0, 0, ""
	w.onOpening = func(s *server, _ tuple, from netip.AddrPort) {
		mu.Lock()
		defer mu.Unlock()
		if s != leaving {
			return
		}
		if acked.IsZero() {
			before++
			return
		}
		late := time.Since(acked)
		for _, e := range w.entries {
			if e.ip == from.Addr() && late > drainBound && e.calm(calmDemands) {
				broken++
				why := fmt.Sprintf("%s in touch sends a new flow to server %s %.1f s after its draining was acknowledged", e.name, s.id, late.Seconds())
				w.note("DRAIN is broken: %s", why)
				if first == "" {
					first = why
				}
			}
		}
	}
	end := time.Now().Add(18 * time.Second)
	var g sync.WaitGroup
	for i := range 8 {
		c, err := w.newConsumer(w.ip(5, byte(i+1)), kita)
		if err != nil {
			return verdict{err: err}
		}
		g.Add(1)
		go func() {
			defer g.Done()
			for n := 0; time.Now().Before(end); n++ {
				f := c.dial(listen)
				if f.state() == "open" {
					f.request(fmt.Sprintf("%d-%d", i, n), 2*time.Second)
				}
				f.close()
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble() {
		// Like a server it writes its entry again at each interval, since the store would remove it otherwise.
		go func() {
			for {
				rev := w.store.put("servers", "notes", json.RawMessage(strings.Repeat("[", nested)+strings.Repeat("]", nested)))
				w.note("another writer writes servers/notes, %d bytes, revision %d", 2*nested, rev)
				time.Sleep(heartbeat)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	rev := leaving.setState("draining")
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	w.note("the store acknowledges that server %s is draining, revision %d", leaving.id, rev)
	g.Wait()
	leaving.end()
	w.store.remove("servers", leaving.id)
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return verdict{broken: broken, why: fmt.Sprintf("%d new flows reach the server later than 5 s after the ack (%d in the time before it); requests: %v; %s", broken, before, w.ends, first)}
}
