package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

type tuple struct{ src, dst netip.AddrPort }

// server is a stand-in for one boot of a server: it registers itself, accepts flows and answers requests.
type server struct {
	w       *world
	id      string
	num     uint64
	service string
	zone    string
	addr    netip.AddrPort
	born    int64 // 0: it is not written
	mu      sync.Mutex
	conn    *net.UDPConn
	state   string
	seq     int
	alive   bool
	flows   map[tuple]*serverFlow
	beating bool
}

type serverFlow struct {
	isn      uint32 // own first sequence number
	next     uint32 // sequence number expected from the consumer
	sent     uint32 // own next sequence number
	echo     uint32
	opened   time.Time
	last     []byte // the last answer's data
	lastSeq  uint32
	acked    uint32
	attempts int
}

const heartbeat = 770 * time.Millisecond

func (w *world) newServer(id, service, zone string, addr netip.AddrPort, born int64) (*server, error) {
	num, err := strconv.ParseUint(id[strings.LastIndexByte(id, '-')+1:], 16, 64)
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: id, num: num, service: service, zone: zone, addr: addr, born: born, state: "ready", alive: true, flows: map[tuple]*serverFlow{}, beating: true}
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr)); err != nil {
		return nil, err
	}
	s.beat()
	go s.run()
	go func() {
		for {
			time.Sleep(heartbeat)
			s.mu.Lock()
			on := s.alive
			s.mu.Unlock()
			if !on {
				return
			}
			s.beat()
		}
	}()
	return s, nil
}

// beat writes the server's entry.
func (s *server) beat() uint64 {
	s.mu.Lock()
	if !s.alive || !s.beating {
		s.mu.Unlock()
		return 0
	}
	s.seq++
	spec := map[string]any{"service": s.service, "address": s.addr.String(), "zone": s.zone, "version": "v1", "slots": 2, "state": s.state, "cold_remaining_ms": 0, "seq": s.seq}
	if s.born != 0 {
		spec["born"] = s.born
	}
	s.mu.Unlock()
	data, _ := json.Marshal(spec)
	return s.w.store.put("servers", s.id, data)
}

func (s *server) setState(state string) uint64 {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	return s.beat()
}

// end ends the server at once.
func (s *server) end() {
	s.mu.Lock()
	s.alive = false
	s.mu.Unlock()
	_ = s.conn.Close()
}

func (s *server) isAlive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive
}

func (s *server) run() {
	buf := make([]byte, 4096)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		var p packet
		if valid, _ := decode(buf[8:n], &p); !valid {
			s.w.note("MIXED-UP packet at server %s", s.id)
			continue
		}
		if to := binary.BigEndian.Uint64(buf[:8]); to != 0 && to != s.num {
			continue // it is not the intended server
		}
		p.data = append([]byte(nil), p.data...)
		s.handle(from, &p)
	}
}

// send sends a packet of the flow to its consumer.
func (s *server) send(t tuple, p packet) {
	p.src, p.dst = t.dst, t.src
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(nil), netip.AddrPortFrom(t.src.Addr(), s.w.datagramPort))
}

func (s *server) handle(from netip.AddrPort, p *packet) {
	t := tuple{p.src, p.dst}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[t]
	switch {
	case p.flags&flagRST != 0:
		delete(s.flows, t)
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{isn: s.w.random32(), next: p.seq + 1}
			f.sent = f.isn + 1
			s.flows[t] = f
		}
		f.echo = p.echo
		s.w.opening(s, t, from)
		s.send(t, packet{flags: flagSYN | flagACK, echo: f.echo, seq: f.isn, ack: f.next})
	case f == nil || f.opened.IsZero() && p.ack != f.isn+1:
		s.send(t, packet{flags: flagRST, echo: p.echo, seq: p.ack, ack: p.seq})
		s.w.note("server %s resets %v>%v, which it does not hold", s.id, t.src, t.dst)
	default:
		s.data(t, f, p)
	}
}

// data handles a packet of an open flow; s.mu is held.
func (s *server) data(t tuple, f *serverFlow, p *packet) {
	f.echo = p.echo
	if f.opened.IsZero() {
		f.opened = time.Now()
		s.w.flowOpened(s, t)
	}
	f.acked = p.ack
	switch {
	case p.flags&flagFIN != 0:
		s.send(t, packet{flags: flagACK | flagFIN, echo: f.echo, seq: f.sent, ack: p.seq + 1})
		delete(s.flows, t)
	case len(p.data) == 0:
	case p.seq != f.next:
		// A copy: its answer may have been lost.
		if f.last != nil {
			s.send(t, packet{flags: flagACK, echo: f.echo, seq: f.lastSeq, ack: f.next, data: f.last})
		}
	default:
		f.next += uint32(len(p.data))
		id := requestID(p.data)
		s.w.ran(s, id)
		s.send(t, packet{flags: flagACK, echo: f.echo, seq: f.sent, ack: f.next})
		time.AfterFunc(s.w.workTime, func() { s.respond(t, f, id) })
	}
}

func (s *server) respond(t tuple, f *serverFlow, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive || s.flows[t] != f {
		return
	}
	body := strings.Repeat("x", 600)
	f.last = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, len(body), body))
	f.lastSeq = f.sent
	f.sent += uint32(len(f.last))
	s.send(t, packet{flags: flagACK, echo: f.echo, seq: f.lastSeq, ack: f.next, data: f.last})
	s.resend(t, f, f.sent, 200*time.Millisecond, 0)
}

// resend repeats an answer that is not acknowledged, with growing pauses.
func (s *server) resend(t tuple, f *serverFlow, upTo uint32, pause time.Duration, n int) {
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if n >= 8 || !s.alive || s.flows[t] != f || int32(f.acked-upTo) >= 0 || f.sent != upTo {
			return
		}
		s.send(t, packet{flags: flagACK, echo: f.echo, seq: f.lastSeq, ack: f.next, data: f.last})
		s.resend(t, f, upTo, min(2*pause, 1600*time.Millisecond), n+1)
	})
}

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
