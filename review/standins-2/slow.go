package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["slow"] = slow }

// slow: a seed is stopped and started as planned while the store is slow, and servers register meanwhile.
func slow(w *world) bool {
	const answer = 240 * time.Millisecond // sixty times four milliseconds
	w.seeds = []string{fmt.Sprintf("%s:%d", w.addr(1, 10), w.ports.control), fmt.Sprintf("%s:%d", w.addr(2, 10), w.ports.control)}
	first := w.addEntry("edge-ruwi-1", "ruwi", w.addr(1, 10), "127.200.1.11")
	second := w.addEntry("edge-seeb-1", "seeb", w.addr(2, 10), "127.200.1.12")
	third := w.addEntry("edge-qurum-1", "qurum", w.addr(3, 10), "127.200.1.13")
	entries := []*entry{first, second, third}
	w.st.put("config", "main", configSpec(7, []route{{host: host, service: "giving-app", kind: "idempotent", port: flowPort}}, "giving-app", "ledger-intake"))
	zones := []string{"ruwi", "seeb", "qurum"}
	servers := map[string]*server{}
	start := func(name, service, zone, ip string) *server {
		s, err := startServer(w.rec, w.st, name, service, zone, ip, w.ports.datagram)
		must(err)
		servers[s.name] = s
		s.register(0, heartbeat)
		return s
	}
	for i := range 9 {
		start(serverName(i), "giving-app", zones[i%3], fmt.Sprintf("127.128.0.%d", i+1))
	}
	registerIdle(w.st, 100, 1600)
	begun := make(chan struct{}, 1)
	w.st.watchBegun = func(via, kind string, exact bool) {
		if via == second.name && kind == "config" && exact {
			select {
			case begun <- struct{}{}:
			default:
			}
		}
	}
	go w.probe()
	for _, e := range entries {
		w.start(e)
	}
	for _, e := range entries {
		w.waitReady(e, 5*time.Second)
	}
	time.Sleep(3 * time.Second)
	w.signal(first, syscall.SIGTERM)
	<-first.done
	<-begun
	select {
	case <-begun:
	case <-time.After(4 * time.Second):
	}
	if w.trouble {
		w.rec.printf("the store is slow")
		w.st.delay.Store(int64(answer))
	}
	w.start(first)
	// More servers start; traffic has not begun, so that they are not cold.
	time.Sleep(60 * time.Millisecond)
	for i := range 4 {
		s := start(fmt.Sprintf("i-00a%d5e17%d3", i, 9-i), "giving-app", "seeb", fmt.Sprintf("127.128.9.%d", 1+i))
		w.rec.printf("server %s registers", s.name)
	}
	time.Sleep(4 * time.Second)
	w.st.delay.Store(0)
	w.rec.printf("the store is as fast as usual")
	w.waitReady(first, 5*time.Second)
	time.Sleep(stableWindow + 4*time.Second)
	w.rec.printf("traffic begins; all machines are in touch")
	var consumers []*consumer
	for i := range 3 {
		c, err := newConsumer(w.rec, fmt.Sprintf("127.64.0.%d", 7+i), w.ports.datagram, w.pick)
		must(err)
		consumers = append(consumers, c)
	}
	flows := openFlows(w, consumers, 160)
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
