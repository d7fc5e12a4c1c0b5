package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["behind"] = behind }

// behind: the store turns one seed away for 0.35 s, just after servers have registered of which another seed
// does not know yet, because the replica that it watches is some seconds behind.
func behind(w *world) bool {
	const (
		lag      = 2500 * time.Millisecond
		rejected = 350 * time.Millisecond
	)
	w.seeds = []string{fmt.Sprintf("%s:%d", w.addr(1, 10), w.ports.control), fmt.Sprintf("%s:%d", w.addr(2, 10), w.ports.control)}
	first := w.addEntry("edge-ruwi-1", "ruwi", w.addr(1, 10), "127.200.1.11")
	second := w.addEntry("edge-seeb-1", "seeb", w.addr(2, 10), "127.200.1.12")
	third := w.addEntry("edge-qurum-1", "qurum", w.addr(3, 10), "127.200.1.13")
	entries := []*entry{first, second, third}
	w.st.put("config", "main", configSpec(7, []route{{host: host, service: "giving-app", kind: "idempotent", port: flowPort}}, "giving-app"))
	zones := []string{"ruwi", "seeb", "qurum"}
	servers := map[string]*server{}
	start := func(i int, zone string) *server {
		s, err := startServer(w.rec, w.st, serverName(i), "giving-app", zone, fmt.Sprintf("127.128.0.%d", i+1), w.ports.datagram)
		must(err)
		servers[s.name] = s
		s.register(0, heartbeat)
		return s
	}
	for i := range 9 {
		start(i, zones[i%3])
	}
	var rejecting atomic.Bool
	begun := make(chan time.Time, 1)
	w.st.watchBegun = func(via, kind string, exact bool) {
		if via == second.name && kind == "config" && exact {
			select {
			case begun <- time.Now():
			default:
			}
		}
	}
	if w.trouble {
		w.st.lag = func(via string, _ *http.Request) time.Duration {
			if via == second.name {
				return lag
			}
			return 0
		}
		w.st.refuse = func(via string, _ *http.Request) int {
			if via == first.name && rejecting.Load() {
				return http.StatusServiceUnavailable
			}
			return 0
		}
	}
	go w.probe()
	for _, e := range entries {
		w.start(e)
	}
	started := time.Now()
	for _, e := range entries {
		w.waitReady(e, 5*time.Second)
	}
	time.Sleep(time.Until(started.Add(5 * time.Second)))

	// More servers start. Traffic has not begun, so that they are not cold: their entries do not change any more.
	<-begun
	select {
	case <-begun:
	case <-time.After(4 * time.Second):
	}
	time.Sleep(30 * time.Millisecond)
	added := map[string]*server{}
	for i := range 4 {
		s := start(20+i, "seeb")
		added[s.name] = s
		w.rec.printf("server %s registers", s.name)
	}
	if w.trouble {
		time.Sleep(180 * time.Millisecond)
		w.rec.printf("the store turns %s away", first.name)
		rejecting.Store(true)
		w.st.cut(first.name)
		time.Sleep(rejected)
		rejecting.Store(false)
		w.rec.printf("the store serves %s again", first.name)
	}
	time.Sleep(time.Until(started.Add(10*time.Second)) + stableWindow)
	w.rec.printf("traffic begins; all machines are in touch")

	var consumers []*consumer
	for i := range 3 {
		c, err := newConsumer(w.rec, fmt.Sprintf("127.64.0.%d", 7+i), w.ports.datagram, w.pick)
		must(err)
		consumers = append(consumers, c)
	}
	flows := openFlows(w, consumers, 160)
	// A planned stop: the routers move nearly all flows to other entries.
	w.signal(third, syscall.SIGTERM)
	w.waitOut(third, 3*time.Second)
	resets := judgeFlows(w, flows, servers)
	for _, e := range entries {
		for _, l := range w.logLines(e, `SP14(07|11|20|21|33)`) {
			w.rec.printf("log of %s: %s", e.name, l)
		}
	}
	return resets == 0
}

// openFlows opens flows of several consumers and sends a request on each. It returns those that were answered.
func openFlows(w *world, consumers []*consumer, n int) []*flow {
	var flows []*flow
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			f := consumers[i%len(consumers)].newFlow(host, flowPort)
			if o := f.open(); o != answered {
				w.rec.printf("flow %v: opening %s", f, o)
				return
			}
			if o := f.request(newRequest("feed"), 2*time.Second); o != answered {
				w.rec.printf("flow %v: first request %s", f, o)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			flows = append(flows, f)
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	w.rec.printf("%d flows are open", len(flows))
	if len(flows) == 0 {
		must(broken{cause: "no flow could be opened"})
	}
	return flows
}

// judgeFlows sends a request on each flow, and returns how many flows were reset by the system although the server that
// holds them lives and has sent no reset.
func judgeFlows(w *world, flows []*flow, servers map[string]*server) int {
	var wg sync.WaitGroup
	var resets, answers atomic.Int64
	for _, f := range flows {
		wg.Go(func() {
			id := newRequest("feed")
			o := f.request(id, 2*time.Second)
			if o == answered {
				answers.Add(1)
				return
			}
			holder, sent := "", 0
			for _, s := range servers {
				s.mu.Lock()
				if h := s.flows[f.key]; h != nil && h.open {
					holder = s.name
				}
				sent += s.resetsSent[f.key]
				s.mu.Unlock()
			}
			w.rec.printf("flow %v, open at %q, sent through %s: %s is %s; resets that servers sent: %d", f, holder, f.via, id, o, sent)
			if holder != "" && sent == 0 && o == systemReset {
				resets.Add(1)
			}
		})
	}
	wg.Wait()
	w.rec.printf("%d requests on open flows were answered; flows that were reset although their server lives and did not reset them: %d", answers.Load(), resets.Load())
	return int(resets.Load())
}
