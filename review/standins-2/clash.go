package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["clash"] = clash }

// clash: a server leaves as planned whose name has the same 32-bit fold as that of a younger one. Then the entries are
// stopped and started in turn.
func clash(w *world) bool {
	const (
		leaving  = "i-1f5a3c9d27"
		younger  = "i-2b5a3c9d13" // 0x5a3c9d13 ^ 0x2b is 0x5a3c9d27 ^ 0x1f
		other    = "i-2b5a3c9d14"
		drainFor = 4 * time.Second
	)
	w.seeds = []string{fmt.Sprintf("%s:%d", w.addr(1, 10), w.ports.control), fmt.Sprintf("%s:%d", w.addr(2, 10), w.ports.control)}
	first := w.addEntry("edge-ruwi-1", "ruwi", w.addr(1, 10), "127.200.1.11")
	second := w.addEntry("edge-seeb-1", "seeb", w.addr(2, 10), "127.200.1.12")
	third := w.addEntry("edge-qurum-1", "qurum", w.addr(3, 10), "127.200.1.13")
	entries := []*entry{first, second, third}
	w.st.put("config", "main", configSpec(7, []route{{host: host, service: "giving-app", kind: "idempotent", port: flowPort}}, "giving-app"))
	servers := map[string]*server{}
	start := func(name, zone string) *server {
		s, err := startServer(w.rec, w.st, name, "giving-app", zone, fmt.Sprintf("127.128.0.%d", len(servers)+1), w.ports.datagram)
		must(err)
		servers[s.name] = s
		s.register(0, heartbeat)
		return s
	}
	leaver := start(leaving, "ruwi")
	name := younger
	if !w.trouble {
		name = other
	}
	start(name, "ruwi")
	for i := range 10 {
		start(serverName(i), []string{"ruwi", "seeb", "qurum"}[i%3])
	}
	go w.probe()
	for _, e := range entries {
		w.start(e)
	}
	for _, e := range entries {
		w.waitReady(e, 5*time.Second)
	}
	time.Sleep(6 * time.Second)

	w.rec.printf("server %s drains", leaving)
	w.st.put("servers", leaving, upstreamSpec("giving-app", leaver.addr, "ruwi", "draining", 0, 9))
	time.Sleep(drainFor)
	w.st.remove("servers", leaving)
	_ = leaver.conn.Close()
	w.rec.printf("server %s has left", leaving)
	time.Sleep(3 * time.Second)

	// The entries are stopped and started in turn.
	w.signal(first, syscall.SIGTERM)
	<-first.done
	w.start(first)
	w.waitOut(first, 3*time.Second)
	w.waitReady(first, 5*time.Second)
	time.Sleep(stableWindow + time.Second)
	w.rec.printf("all machines are in touch")
	var consumers []*consumer
	for i := range 3 {
		c, err := newConsumer(w.rec, fmt.Sprintf("127.64.0.%d", 7+i), w.ports.datagram, w.pick)
		must(err)
		consumers = append(consumers, c)
	}
	flows := openFlows(w, consumers, 200)
	w.signal(second, syscall.SIGTERM)
	w.waitOut(second, 3*time.Second)
	resets := judgeFlows(w, flows, servers)
	for _, e := range entries {
		for _, l := range w.logLines(e, `SP14(07|11|19|20|21|33)`) {
			w.rec.printf("log of %s: %s", e.name, l)
		}
	}
	return resets == 0
}
