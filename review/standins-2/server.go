package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type flowKey struct {
	src, dst     uint32
	sport, dport uint16
}

func (p *packet) key() flowKey { return flowKey{p.src, p.dst, p.sport, p.dport} }

// server is a stand-in of a server: it answers a request of one packet with one packet.
type server struct {
	name, service, zone, addr string
	id                        uint64
	callerPort                uint16
	conn                      *net.UDPConn
	work                      time.Duration
	st                        *store
	rec                       *record
	mu                        sync.Mutex
	flows                     map[flowKey]*serverFlow
	openings                  []opening // the SYNs of new flows that arrived
	resetsSent                map[flowKey]int
	runs                      map[string]int
}

// opening is the arrival of a SYN of a new flow.
type opening struct {
	at   time.Time
	from string // the address of the entry that sent it on
}

type serverFlow struct {
	seq, expected uint32 // own sequence number; next byte expected
	open, closed  bool
	answering     bool
	echo          uint32
	unacked       *packet
}

// startServer opens the server's socket; it does not register it.
func startServer(rec *record, st *store, name, service, zone, ip string, callerPort uint16) (*server, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, err
	}
	var id uint64
	if _, err := fmt.Sscanf(name[strings.LastIndexByte(name, '-')+1:], "%x", &id); err != nil {
		return nil, err
	}
	s := &server{
		name: name, service: service, zone: zone, addr: conn.LocalAddr().String(), id: id, callerPort: callerPort, conn: conn, work: 40 * time.Millisecond,
		st: st, rec: rec, flows: map[flowKey]*serverFlow{}, resetsSent: map[flowKey]int{}, runs: map[string]int{},
	}
	go s.read()
	return s, nil
}

// registerIdle registers servers of a service that no route leads to: nobody sends them anything, and they need no sockets.
func registerIdle(st *store, first, n int) {
	zones := []string{"ruwi", "seeb", "qurum"}
	for i := range n {
		addr := fmt.Sprintf("127.129.%d.%d:8080", i/250, 1+i%250)
		st.put("servers", serverName(first+i), upstreamSpec("ledger-intake", addr, zones[i%3], "ready", 0, 1))
	}
}

// register registers the server, which stays cold for the given time. Its entry changes with each heartbeat while
// it is cold; later heartbeats change only seq, and so nothing that a watch shows.
func (s *server) register(cold, heartbeat time.Duration) {
	s.st.put("servers", s.name, upstreamSpec(s.service, s.addr, s.zone, "ready", cold, 1))
	if cold == 0 {
		return
	}
	go func() {
		for seq := 2; cold > 0; seq++ {
			time.Sleep(heartbeat)
			cold = max(0, cold-heartbeat)
			s.st.put("servers", s.name, upstreamSpec(s.service, s.addr, s.zone, "ready", cold, seq))
		}
		s.rec.printf("server %s is warm; its entry does not change any more", s.name)
	}()
}

func (s *server) read() {
	buf := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if t := binary.BigEndian.Uint64(buf); t != 0 && t != s.id {
			continue // not the intended server
		}
		if p, ok := parsePacket(buf[8:n]); ok {
			s.handle(&p, from.Addr().Unmap().String())
		}
	}
}

func (s *server) send(p *packet) {
	p.seal()
	_, _ = s.conn.WriteToUDPAddrPort(p.bytes(), netip.AddrPortFrom(netip.MustParseAddr(addrText(p.dst)), s.callerPort))
}

func (s *server) reply(in *packet, flags byte, seq, ack uint32, data []byte) *packet {
	return &packet{flags: flags, echo: in.echo, src: in.dst, sport: in.dport, dst: in.src, dport: in.sport, seq: seq, ack: ack, data: data}
}

func (s *server) handle(p *packet, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := p.key()
	f := s.flows[k]
	switch {
	case p.sum != p.keyedSum():
		s.rec.printf("UNASKED: server %s got a packet that its sender did not write so: %v", s.name, p)
	case p.flags&flagRST != 0:
		delete(s.flows, k)
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &serverFlow{seq: rand.Uint32(), expected: p.seq + 1}
			s.flows[k] = f
			s.openings = append(s.openings, opening{at: time.Now(), from: from})
		}
		if !f.open {
			s.send(s.reply(p, flagSYN|flagACK, f.seq, f.expected, nil))
		}
	case f == nil || f.closed && len(p.data) > 0:
		s.resetsSent[k]++
		s.rec.printf("server %s resets a flow that it does not hold: %v", s.name, p)
		s.send(s.reply(p, flagRST, p.ack, 0, nil))
	default:
		s.handleOpen(p, f)
	}
}

func (s *server) handleOpen(p *packet, f *serverFlow) {
	if !f.open {
		if p.ack != f.seq+1 {
			return
		}
		f.open, f.seq = true, f.seq+1
	}
	f.echo = p.echo
	if f.unacked != nil && p.ack == f.unacked.seq+uint32(len(f.unacked.data)) {
		f.unacked = nil
	}
	if p.flags&flagFIN != 0 {
		f.closed = true
		s.send(s.reply(p, flagFIN|flagACK, f.seq, p.seq+1, nil))
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected {
		if f.unacked != nil {
			f.unacked.echo = f.echo
			s.send(f.unacked)
		} else {
			s.send(s.reply(p, flagACK, f.seq, f.expected, nil))
		}
		return
	}
	f.expected += uint32(len(p.data))
	id := string(p.data)
	s.runs[id]++
	s.rec.printf("server %s runs %s", s.name, id)
	in := *p
	time.AfterFunc(s.work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		out := s.reply(&in, flagACK, f.seq, f.expected, []byte("answer to "+id))
		out.echo = f.echo
		f.seq += uint32(len(out.data))
		f.unacked = out
		s.send(out)
		s.retransmit(f, out, 200*time.Millisecond, 8)
	})
}

func (s *server) retransmit(f *serverFlow, out *packet, after time.Duration, left int) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if f.unacked != out || left == 0 {
			return
		}
		out.echo = f.echo
		s.send(out)
		s.retransmit(f, out, min(2*after, 1600*time.Millisecond), left-1)
	})
}
