package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// consumer is a stand-in of a consumer's machine: one address with many flows.
type consumer struct {
	addr  uint32
	conn  *net.UDPConn
	route func(k flowKey) (netip.AddrPort, string) // the entry that the router picks for a flow
	rec   *record
	mu    sync.Mutex
	next  uint16
	flows map[uint16]*flow
}

// outcome is how an exchange ended.
type outcome string

const (
	answered    outcome = "answered"
	systemReset outcome = "reset by the system"
	serverReset outcome = "reset by a server"
	timedOut    outcome = "timed out"
)

// flow is a consumer's end of a flow.
type flow struct {
	c        *consumer
	key      flowKey
	seq, ack uint32
	echo     uint32
	opened   bool // the handshake's last packet was sent
	dead     bool
	in       chan packet
	via      string // the entry that took the last packet
	lastSent time.Time
}

func newConsumer(rec *record, ip string, port uint16, pick func(k flowKey) (netip.AddrPort, string)) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: int(port)})
	if err != nil {
		return nil, err
	}
	c := &consumer{addr: addrOf(ip), conn: conn, route: pick, rec: rec, next: uint16(1024 + rand.IntN(1000)), flows: map[uint16]*flow{}}
	go c.read()
	return c, nil
}

func (c *consumer) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, ok := parsePacket(buf[:n])
		if !ok {
			c.rec.printf("MIXED: %s got bytes that are no packet", addrText(c.addr))
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dport]
		c.mu.Unlock()
		if f == nil || f.key.dst != p.src || f.key.dport != p.sport {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

func (c *consumer) newFlow(dst string, dport uint16) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	f := &flow{c: c, key: flowKey{src: c.addr, dst: addrOf(dst), sport: c.next, dport: dport}, seq: rand.Uint32(), in: make(chan packet, 64)}
	c.flows[c.next] = f
	return f
}

func (f *flow) send(flags byte, data []byte, seq, ack uint32) {
	p := (&packet{flags: flags, echo: f.echo, src: f.key.src, sport: f.key.sport, dst: f.key.dst, dport: f.key.dport, seq: seq, ack: ack, data: data}).seal()
	to, via := f.c.route(f.key)
	f.via, f.lastSent = via, time.Now()
	if to.IsValid() {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.bytes(), to)
	}
}

// recv waits for a packet of the flow until a time. It reports resets, and no packets that change nothing.
func (f *flow) recv(until time.Time) (packet, outcome) {
	for {
		select {
		case <-time.After(time.Until(until)):
			return packet{}, timedOut
		case p := <-f.in:
			if p.flags&flagRST != 0 {
				if p.sum != 0 && p.sum == p.keyedSum() {
					f.dead = true
					return p, serverReset
				}
				if d := int64(int32(p.seq - f.ack)); p.sum == 0 && (!f.opened || d <= 76800 && d >= -76800) {
					f.dead = true
					return p, systemReset
				}
				continue
			}
			if p.sum != p.keyedSum() {
				f.c.rec.printf("MIXED: a consumer got a packet that its sender did not write so: %v", &p)
				continue
			}
			f.echo = p.echo
			return p, answered
		}
	}
}

// open opens the flow.
func (f *flow) open() outcome {
	begun := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := 0; i+1 < len(copies); i++ {
		f.send(flagSYN, nil, f.seq, uint32(i))
		f.c.rec.printf("flow %v: SYN, copy %d, sent through %s", f, i, f.via)
		for {
			p, o := f.recv(begun.Add(copies[i+1]))
			if o == timedOut {
				break
			}
			if o != answered {
				return o
			}
			if p.flags&flagSYN != 0 && p.ack == f.seq+1 {
				f.seq++
				f.ack = p.seq + 1
				f.opened = true
				f.send(flagACK, nil, f.seq, f.ack)
				f.c.rec.printf("flow %v: opened with echo %08x", f, f.echo)
				return answered
			}
		}
	}
	return timedOut
}

var requestCount atomic.Int64

func newRequest(kind string) string { return fmt.Sprintf("%s-%d", kind, requestCount.Add(1)) }

// request sends one request on the open flow and waits for its answer.
func (f *flow) request(id string, limit time.Duration) outcome {
	end := time.Now().Add(limit)
	data := []byte(id)
	after := 200 * time.Millisecond
	for time.Now().Before(end) {
		f.send(flagACK, data, f.seq, f.ack)
		f.c.rec.printf("flow %v: %s sent through %s", f, id, f.via)
		until := time.Now().Add(after)
		if until.After(end) {
			until = end
		}
		for {
			p, o := f.recv(until)
			if o == timedOut {
				break
			}
			if o != answered {
				return o
			}
			if len(p.data) > 0 && p.seq == f.ack && p.ack == f.seq+uint32(len(data)) {
				if string(p.data) != "answer to "+id {
					f.c.rec.printf("MIXED: %s got %q", id, p.data)
				}
				f.seq, f.ack = f.seq+uint32(len(data)), f.ack+uint32(len(p.data))
				f.send(flagACK, nil, f.seq, f.ack)
				f.c.rec.printf("flow %v: %s is answered", f, id)
				return answered
			}
		}
		after = min(2*after, 1600*time.Millisecond)
	}
	return timedOut
}

func (f *flow) close() {
	if f.opened && !f.dead {
		f.send(flagFIN|flagACK, nil, f.seq, f.ack)
	}
	f.c.mu.Lock()
	delete(f.c.flows, f.key.sport)
	f.c.mu.Unlock()
}

func (f *flow) String() string {
	return fmt.Sprintf("%s:%d>%s:%d", addrText(f.key.src), f.key.sport, addrText(f.key.dst), f.key.dport)
}
