package main

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// consumer is a stand-in for one consumer address. Its packets go through the router of its zone.
type consumer struct {
	w     *world
	addr  netip.Addr
	zone  string
	conn  *net.UDPConn
	mu    sync.Mutex
	flows map[tuple]*consumerFlow
	port  uint16
}

// consumerFlow is one flow of a consumer.
type consumerFlow struct {
	c        *consumer
	t        tuple
	mu       sync.Mutex
	seq      uint32
	ack      uint32
	echo     uint32
	open     bool
	ended    string // why it ended; empty: it has not
	resetBy  netip.AddrPort
	ownReset bool
	signal   chan struct{}
	answers  map[string]bool
}

func (w *world) newConsumer(addr netip.Addr, zone string) (*consumer, error) {
	c := &consumer{w: w, addr: addr, zone: zone, flows: map[tuple]*consumerFlow{}, port: 20000}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.datagramPort))); err != nil {
		return nil, err
	}
	go c.run()
	return c, nil
}

func (c *consumer) run() {
	buf := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p packet
		valid, own := decode(buf[:n], &p)
		if !valid {
			c.w.note("MIXED-UP packet at consumer %s", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flows[tuple{p.dst, p.src}]
		c.mu.Unlock()
		if f != nil {
			f.receive(from, &p, own)
		}
	}
}

func (f *consumerFlow) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

func (f *consumerFlow) send(p packet) {
	p.src, p.dst = f.t.src, f.t.dst
	f.c.w.route(f.c.zone, f.t, p.encode(nil))
}

func (f *consumerFlow) receive(from netip.AddrPort, p *packet, own bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended != "" {
		return
	}
	switch {
	case p.flags&flagRST != 0:
		// On an open flow, a reset of the system's own counts only if its number is near the last acknowledgement.
		if own && f.open && p.seq-f.ack+76800 > 2*76800 {
			return
		}
		f.ended, f.resetBy, f.ownReset = "reset", from, own
		f.c.w.flowReset(f, from, own)
	case p.flags&flagSYN != 0:
		f.echo = p.echo
		if f.open || p.ack != f.seq {
			return
		}
		f.open, f.ack = true, p.seq+1
		f.send(packet{flags: flagACK, echo: f.echo, seq: f.seq, ack: f.ack})
	default:
		f.echo = p.echo
		if len(p.data) > 0 && p.seq == f.ack {
			f.ack += uint32(len(p.data))
			f.answers[requestID(p.data)] = true
		}
		if len(p.data) > 0 {
			f.send(packet{flags: flagACK, echo: f.echo, seq: f.seq, ack: f.ack})
		}
	}
	f.wake()
}

// dial opens a flow to a route: the SYN, copies after 200 and 600 ms, the end after 1.4 s.
func (c *consumer) dial(dst netip.AddrPort) *consumerFlow {
	c.mu.Lock()
	c.port++
	f := &consumerFlow{c: c, t: tuple{netip.AddrPortFrom(c.addr, c.port), dst}, seq: c.w.random32(), signal: make(chan struct{}, 1), answers: map[string]bool{}}
	c.flows[f.t] = f
	c.mu.Unlock()
	start := time.Now()
	isn := f.seq
	f.mu.Lock()
	f.seq++ // the SYN takes one number
	f.mu.Unlock()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.until(start.Add(at), func() bool { return f.open || f.ended != "" })
		f.mu.Lock()
		done := f.open || f.ended != ""
		if !done && copies == 3 {
			f.ended, done = "no answer", true
		}
		f.mu.Unlock()
		if done {
			return f
		}
		f.send(packet{flags: flagSYN, seq: isn, ack: uint32(copies)})
	}
	return f
}

// until waits until the condition holds, or for the end.
func (f *consumerFlow) until(end time.Time, cond func() bool) {
	for {
		f.mu.Lock()
		ok := cond()
		f.mu.Unlock()
		left := time.Until(end)
		if ok || left <= 0 {
			return
		}
		select {
		case <-f.signal:
		case <-time.After(left):
		}
	}
}

// request sends one request on the flow and waits for its answer.
func (f *consumerFlow) request(id string, limit time.Duration) bool {
	data := []byte(fmt.Sprintf("GET /now HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\n\r\n", id))
	f.mu.Lock()
	seq := f.seq
	f.seq += uint32(len(data))
	f.mu.Unlock()
	start, pause := time.Now(), 200*time.Millisecond
	f.c.w.asked(f, id)
	for {
		f.mu.Lock()
		p := packet{flags: flagACK, echo: f.echo, seq: seq, ack: f.ack, data: data}
		f.mu.Unlock()
		f.send(p)
		next := time.Now().Add(pause)
		pause = min(2*pause, 1600*time.Millisecond)
		if end := start.Add(limit); next.After(end) {
			next = end
		}
		f.until(next, func() bool { return f.answers[id] || f.ended != "" })
		f.mu.Lock()
		answered, ended := f.answers[id], f.ended != ""
		f.mu.Unlock()
		if answered || ended || time.Since(start) >= limit {
			f.c.w.done(f, id, answered)
			return answered
		}
	}
}

// close ends the flow.
func (f *consumerFlow) close() {
	f.mu.Lock()
	p := packet{flags: flagACK | flagFIN, echo: f.echo, seq: f.seq, ack: f.ack}
	ended := f.ended != ""
	if !ended {
		f.ended = "closed"
	}
	f.mu.Unlock()
	if !ended {
		f.send(p)
	}
}

func (f *consumerFlow) state() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.ended != "":
		return f.ended
	case f.open:
		return "open"
	}
	return "opening"
}

func (f *consumerFlow) name() string {
	return strings.Join([]string{f.t.src.String(), f.t.dst.String()}, ">")
}
