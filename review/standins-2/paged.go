package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"syscall"
	"time"
)

func init() { scenarios["paged"] = paged }

const (
	heartbeat    = 770 * time.Millisecond
	stableWindow = 4 * time.Second
	host         = "127.18.0.1"
	flowPort     = 8443
)

// serverName returns the name of a server: like the platform's, with 40 bits that look random. All are before f0.
func serverName(i int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, "server", i)
	return fmt.Sprintf("i-%010x", h.Sum64()%0xf000000000)
}

// paged: an entry starts while a replica answers the second page of its list of servers that is some seconds
// behind the one that answered the first page.
func paged(w *world) bool {
	const lag = 5 * time.Second
	// The seeds were replaced long ago: nothing listens there.
	w.seeds = []string{fmt.Sprintf("%s:%d", w.addr(1, 90), w.ports.control), fmt.Sprintf("%s:%d", w.addr(2, 90), w.ports.control)}
	w.st.put("config", "main", configSpec(7, []route{{host: host, service: "giving-app", kind: "idempotent", port: flowPort}}, "giving-app", "ledger-intake"))
	all := map[string]*server{}
	add := func(name, service, zone, ip string) *server {
		s, err := startServer(w.rec, w.st, name, service, zone, ip, w.ports.datagram)
		must(err)
		all[s.name] = s
		return s
	}
	zones := []string{"ruwi", "seeb", "qurum"}
	for i := range 14 {
		add(serverName(i), "giving-app", zones[i%3], fmt.Sprintf("127.128.0.%d", i+1)).register(0, heartbeat)
	}
	registerIdle(w.st, 100, 500)
	old := w.addEntry("edge-ruwi-1", "ruwi", w.addr(1, 10), "127.200.1.11")
	stopped := w.addEntry("edge-ruwi-2", "ruwi", w.addr(1, 11), "127.200.1.12")
	young := w.addEntry("edge-ruwi-3", "ruwi", w.addr(1, 12), "127.200.1.13")
	if w.trouble {
		// A call with allow_stale may return data that is seconds old. The pages of one list are calls of their own.
		w.st.lag = func(_ string, r *http.Request) time.Duration {
			if r.URL.Path == "/-/objects/servers" && r.URL.Query().Get("after") != "" {
				return lag
			}
			return 0
		}
	}
	go w.probe()
	time.Sleep(6 * time.Second)
	w.start(old)
	w.start(stopped)
	w.waitReady(old, 5*time.Second)
	w.waitReady(stopped, 5*time.Second)
	time.Sleep(2 * time.Second)

	// A server is added; it is warm after two seconds.
	added := add("i-f3a1c25d17", "giving-app", "ruwi", "127.128.9.1")
	added.register(2*time.Second, heartbeat)
	w.rec.printf("server %s registers", added.name)
	time.Sleep(2600 * time.Millisecond)
	w.start(young)
	w.waitReady(young, 5*time.Second)
	time.Sleep(stableWindow + time.Second)
	w.rec.printf("from here on all machines are in touch")

	c, err := newConsumer(w.rec, "127.64.0.7", w.ports.datagram, w.pick)
	must(err)
	flows := openFlows(w, []*consumer{c}, 160)
	// A planned stop: the routers move nearly all flows to other entries.
	w.signal(stopped, syscall.SIGTERM)
	w.waitOut(stopped, 3*time.Second)
	resets := judgeFlows(w, flows, all)
	for _, e := range []*entry{old, stopped, young} {
		for _, l := range w.logLines(e, `SP1411`) {
			w.rec.printf("log of %s: %s", e.name, l)
		}
	}
	return resets == 0
}
