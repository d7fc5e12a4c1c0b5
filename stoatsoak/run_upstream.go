package stoatsoak

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
)

// upstream is a stand-in for one life of a server: it holds flows, runs requests and answers
// callers directly.
type upstream struct {
	w       *world
	id      string
	target  uint64
	born    stoatpaddle.Incarnation
	service string
	centre  string
	conn    *net.UDPConn
	addr    netip.AddrPort

	mu    sync.Mutex
	flows map[netip.AddrPort]*served // by caller
	left  time.Duration              // when the store took its mark; 0: it serves
	warm  time.Duration              // until then it is cold
	dead  atomic.Bool
}

// served is a flow at its upstream.
type served struct {
	isn     uint32
	open    bool
	closing bool
	parts   map[uint32]string // of the request under way, by sequence number
	last    *platform.Segment // the last answer, repeated if it was lost
	lastSeq uint32            // of the first part that it answers
	running bool
}

const (
	workTime  = 30 * time.Millisecond
	queueTime = 500 * time.Millisecond // through a full queue; callers repeat after 0.2 s
	slots     = 3
	coldFor   = 2 * time.Second
	coldRate  = 5.0 // requests a second that a cold upstream bears
)

// newUpstream starts one life at the address, which is free; port 0 takes any.
func (w *world) newUpstream(service, centre string, at netip.AddrPort) (*upstream, error) {
	return w.startUpstream(firstTarget+w.lives.Add(1), service, centre, at, coldFor)
}

// firstTarget is the number of the first upstream's id.
const firstTarget = 0x5000_0000

// startUpstream starts a life of the upstream with that number, which is cold for so long; not while a
// data centre is evacuated, or what is left might not bear what callers ask.
func (w *world) startUpstream(target uint64, service, centre string, at netip.AddrPort, cold time.Duration) (*upstream, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		w: w, id: fmt.Sprintf("i-%08x", target), target: target, service: service, centre: centre, conn: conn,
		born: stoatpaddle.Incarnation(time.Now().UnixMilli()),
		addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), flows: map[netip.AddrPort]*served{},
	}
	w.mu.Lock()
	w.upstreams = append(w.upstreams, u)
	if w.evacuated == "" && cold > 0 {
		w.cold++
		u.warm = w.now() + cold
		w.after(cold, u.warmed)
	}
	w.mu.Unlock()
	w.group.Go(u.serve)
	u.register(false)
	return u, nil
}

// warmed has it say that it is not cold any more.
func (u *upstream) warmed() {
	u.w.mu.Lock()
	u.w.cold--
	u.w.mu.Unlock()
	u.mu.Lock()
	u.warm = 0
	left := u.left
	u.mu.Unlock()
	if !u.dead.Load() {
		u.register(left > 0)
	}
}

// register writes what a server says about itself, as servers do without regard to entries.
func (u *upstream) register(leaving bool) {
	u.mu.Lock()
	cold := max(0, u.warm-u.w.now())
	u.mu.Unlock()
	u.w.store.Write(platform.KindUpstream, u.id, platform.RegistrationSpec(&stoatpaddle.Registration{
		Service: stoatpaddle.ServiceID(u.service), Addr: u.addr, DataCentre: stoatpaddle.DataCentreID(u.centre), Slots: slots, Leaving: leaving, Incarnation: u.born, ColdRemaining: cold,
	}))
}

// leave marks it; it goes on for the bound and until its flows have ended.
func (u *upstream) leave(now time.Duration) {
	u.register(true)
	u.mu.Lock()
	u.left = max(now, 1)
	u.mu.Unlock()
}

// end takes it away, with its registration.
func (u *upstream) end() {
	u.dead.Store(true)
	_ = u.conn.Close()
	u.w.store.Remove(platform.KindUpstream, u.id)
	u.drop()
}

// drop takes its life out of those that there are.
func (u *upstream) drop() {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	for i, other := range u.w.upstreams {
		if other == u {
			u.w.upstreams = append(u.w.upstreams[:i], u.w.upstreams[i+1:]...)
			return
		}
	}
}

func (u *upstream) busy() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		if f.open && !f.closing {
			return true
		}
	}
	return false
}

func (u *upstream) serve() error {
	buf := make([]byte, 2048)
	var s platform.Segment
	for {
		n, err := u.conn.Read(buf)
		if err != nil {
			return nil
		}
		if n < platform.TargetSize || !platform.DecodeSegment(buf[platform.TargetSize:n], &s) {
			continue
		}
		// One that is meant for another life says nothing.
		if t := platform.GetTarget(buf); t != 0 && t != u.target {
			continue
		}
		u.take(&s)
	}
}

func (u *upstream) take(s *platform.Segment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[s.Src]
	switch {
	case s.Opens:
		if u.left > 0 {
			u.w.check.openedAt(u.w.now(), u.left, u.id)
		}
		if since := u.w.evacuatedSince(u.centre); since > 0 {
			u.w.check.openedThere(u.w.now(), since, u.id, u.centre)
		}
		if f == nil && u.warm > 0 {
			u.w.check.openedCold(u.w.now(), u.id, coldRate)
		}
		if f == nil {
			f = &served{isn: u.w.random(), parts: map[uint32]string{}}
			u.flows[s.Src] = f
		}
		u.answer(s, &platform.Segment{Opens: true, Acks: true, Seq: f.isn, Ack: s.Seq + 1})
	case f == nil:
		if !s.Resets {
			u.answer(s, &platform.Segment{Resets: true, Seq: s.Ack})
		}
	case !f.open && s.Ack != f.isn+1:
		// The handshake of another upstream.
	case s.Ends || s.Resets:
		delete(u.flows, s.Src)
	default:
		f.open = true
		if len(s.Data) > 0 {
			u.request(f, s)
		}
	}
}

// request gathers the parts of a request, and runs it once it is whole. Each part says
// "id route wanted repeatable part parts padding".
func (u *upstream) request(f *served, s *platform.Segment) {
	if f.last != nil && s.Seq-f.lastSeq < 1<<16 && s.Seq >= f.lastSeq && s.Seq < f.last.Ack {
		u.answer(s, f.last)
		return
	}
	f.parts[s.Seq] = string(s.Data)
	words := strings.SplitN(string(s.Data), " ", 7)
	if len(words) < 7 {
		return
	}
	part, parts := atoi(words[4]), atoi(words[5])
	first, end := s.Seq-uint32(part)*partSize, s.Seq+uint32(parts-part)*partSize
	for n := range parts {
		if f.parts[first+uint32(n)*partSize] == "" {
			return
		}
	}
	if f.running {
		return
	}
	f.running = true
	reply := *s
	u.w.check.ran(u.w.now(), words[0], u.service, words[2], words[3] == "true")
	takes := workTime
	if u.w.queued.Load() > 0 {
		takes = queueTime
	}
	u.w.after(takes, func() { u.finish(f, &reply, words[0], first, end) })
}

// finish answers a request that has run.
func (u *upstream) finish(f *served, s *platform.Segment, id string, first, end uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f.running, f.parts = false, map[uint32]string{}
	f.isn += 1000
	f.closing = u.left > 0
	f.last, f.lastSeq = &platform.Segment{Acks: true, Seq: f.isn, Ack: end, Ends: f.closing, Data: []byte(id + " " + u.id)}, first
	u.answer(s, f.last)
}

// answer sends to the caller of s.
func (u *upstream) answer(s, reply *platform.Segment) {
	reply.Src, reply.Dst, reply.Cookie = s.Dst, s.Src, s.Cookie
	to := netip.AddrPortFrom(s.Src.Addr(), u.w.port)
	if u.w.lost() {
		return
	}
	_, _ = u.conn.WriteToUDPAddrPort(platform.AppendSegment(nil, reply), to)
}
