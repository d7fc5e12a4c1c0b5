package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// The case route: the deployment of Sapporo (six entries in three zones, three seeds) with the spare machine of one
// zone added. One entry freezes for 3.5 s. Meanwhile the operator adds a route, and consumers open flows on it. When
// the frozen entry leaves the rotation, flows move to an entry that has its configuration through the frozen one.
const (
	kita        = "sapporo-kita"
	desk        = "rotation-desk"
	freeze      = 3500 * time.Millisecond
	stable      = 4 * time.Second
	rounds      = 3
	roundLength = 13 * time.Second
)

func routeCase(folder string) verdict {
	w, err := newWorld(folder, 0)
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
	if err := w.startSapporo(true); err != nil {
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
		for _, e := range w.entries {
			if e.ip == from.Addr() && own && s.isAlive() && e.calm(stable) {
				broken++
				why := fmt.Sprintf("%s in touch resets %s, which is open at server %s", e.name, f.name(), s.id)
				w.note("FLOW is broken: %s", why)
				if first == "" {
					first = why
				}
			}
		}
	}
	for n := 1; n <= rounds; n++ {
		begin := time.Now()
		child, parent := w.grandchild(kita)
		if child == nil {
			return verdict{err: errors.New("no entry of the zone has its updates through an entry that is no seed")}
		}
		w.note("round %d: %s has its updates through %s", n, child.name, parent.name)
		if trouble() {
			parent.signal(syscall.SIGSTOP)
		}
		time.Sleep(100 * time.Millisecond)
		added := route{name: fmt.Sprintf("r-%d", n), listen: netip.AddrPortFrom(w.ip(3, byte(n+1)), 8443), service: desk, kind: "idempotent"}
		routes = append(routes, added)
		w.writeConfig(1+n, routes, desk)
		time.Sleep(100 * time.Millisecond)
		var g sync.WaitGroup
		for i, c := range consumers {
			for j := range 4 {
				g.Add(1)
				go func() {
					defer g.Done()
					c.useRoute(added.listen, fmt.Sprintf("%d-%d-%d", n, i, j), begin.Add(6*time.Second))
				}()
			}
		}
		time.Sleep(time.Until(begin.Add(freeze)))
		if trouble() {
			parent.signal(syscall.SIGCONT)
		}
		g.Wait()
		time.Sleep(time.Until(begin.Add(roundLength)))
	}
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return verdict{broken: broken, why: fmt.Sprintf("%d resets of open flows by entries in touch; requests: %v; %s", broken, w.ends, first)}
}

// startSapporo starts the entries of the deployment, and then, if asked for, the spare machine of a zone.
func (w *world) startSapporo(withSpare bool) error {
	for i, zone := range []string{kita, "sapporo-minami", "otaru", kita, kita, "otaru"} {
		w.newEntry(fmt.Sprintf("edge-%d", i+1), w.ip(2, byte(i+1)), zone)
	}
	seeds := w.seeds
	for _, e := range w.entries[:3] {
		if len(w.seeds) == 0 {
			seeds = append(seeds, e.at(w.controlPort))
		}
	}
	for _, e := range w.entries {
		if err := e.run(seeds); err != nil {
			return err
		}
		go e.probe()
	}
	time.Sleep(5 * time.Second)
	if withSpare {
		spare := w.newEntry("edge-7", w.ip(2, 7), kita)
		if err := spare.run(seeds); err != nil {
			return err
		}
		go spare.probe()
	}
	time.Sleep(6 * time.Second)
	for _, e := range w.entries {
		if !e.calm(stable) || !e.inRotation {
			return errors.New(e.name + " did not become ready")
		}
	}
	return nil
}

// grandchild returns an entry of the zone whose parent is no seed, and the parent.
func (w *world) grandchild(zone string) (child, parent *entry) {
	for _, e := range w.entries[3:] {
		p := w.entryAt(e.parentAddr())
		if e.zone == zone && p != nil && p.zone == zone && p != w.entries[0] {
			return e, p
		}
	}
	return nil, nil
}

// useRoute opens a flow and sends requests on it, with pauses, until the end. A flow that fails is opened again, from
// a new port.
func (c *consumer) useRoute(dst netip.AddrPort, name string, end time.Time) {
	for try := 0; time.Now().Before(end) && try < 12; try++ {
		f := c.dial(dst)
		for n := 0; f.state() == "open" && time.Now().Before(end); n++ {
			f.request(fmt.Sprintf("%s-%d-%d", name, try, n), 2*time.Second)
			time.Sleep(250 * time.Millisecond)
		}
		f.close()
		time.Sleep(100 * time.Millisecond)
	}
}
