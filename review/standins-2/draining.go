package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["draining"] = draining }

// draining: an entry starts while a replica answers the second page of its list of servers that does not have yet that a
// server drains; the first page is up to date.
func draining(w *world) bool {
	const (
		lag        = 5 * time.Second
		drainBound = 3 * time.Second
	)
	// The seeds were replaced long ago: nothing listens there.
	w.seeds = []string{fmt.Sprintf("%s:%d", w.addr(1, 90), w.ports.control), fmt.Sprintf("%s:%d", w.addr(2, 90), w.ports.control)}
	w.st.put("config", "main", configSpec(7, []route{{host: host, service: "giving-app", kind: "idempotent", port: flowPort}}, "giving-app", "ledger-intake"))
	add := func(name, service, zone, ip string) *server {
		s, err := startServer(w.rec, w.st, name, service, zone, ip, w.ports.datagram)
		must(err)
		s.register(0, heartbeat)
		return s
	}
	zones := []string{"ruwi", "seeb", "qurum"}
	for i := range 14 {
		add(serverName(i), "giving-app", zones[i%3], fmt.Sprintf("127.128.0.%d", i+1))
	}
	registerIdle(w.st, 100, 500)
	leaving := add("i-f3a1c25d17", "giving-app", "ruwi", "127.128.9.1")
	old := w.addEntry("edge-ruwi-1", "ruwi", w.addr(1, 10), "127.200.1.11")
	young := w.addEntry("edge-ruwi-2", "ruwi", w.addr(1, 11), "127.200.1.12")
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
	w.waitReady(old, 5*time.Second)
	time.Sleep(5 * time.Second)

	// The server drains. It goes on serving for some seconds more than it has to.
	w.st.put("servers", leaving.name, upstreamSpec("giving-app", leaving.addr, "ruwi", "draining", 0, 9))
	acked := time.Now()
	w.rec.printf("the store has accepted that server %s drains", leaving.name)
	time.Sleep(600 * time.Millisecond)
	w.start(young)
	started := time.Now()
	w.waitReady(young, 5*time.Second)
	time.Sleep(time.Until(started.Add(stableWindow + time.Second)))
	w.rec.printf("all machines are in touch")
	c, err := newConsumer(w.rec, "127.64.0.7", w.ports.datagram, w.pick)
	must(err)
	openFlows(w, []*consumer{c}, 160)
	time.Sleep(time.Second)
	w.st.remove("servers", leaving.name)
	w.rec.printf("server %s has left", leaving.name)

	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late := 0
	for _, o := range leaving.openings {
		by := "another address"
		if o.from == young.ip {
			by = young.name
		} else if o.from == old.ip {
			by = old.name
		}
		w.rec.printf("an opening reached server %s through %s, %.3f s after the ack", leaving.name, by, o.at.Sub(acked).Seconds())
		if o.at.Sub(acked) > drainBound && (o.from == old.ip || o.from == young.ip && o.at.Sub(started) > stableWindow) {
			late++
		}
	}
	w.rec.printf("openings later than %v after the ack, through entries in touch: %d", drainBound, late)
	return late == 0
}
