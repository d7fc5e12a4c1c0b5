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

// upstream is a fake server, from its start to its stop or crash. It holds flows, runs requests and answers
// callers directly, not through an entry.
type upstream struct {
	h           *harness
	id          string
	targetID    uint64
	incarnation stoatpaddle.Incarnation
	service     string
	centre      string
	conn        *net.UDPConn
	addr        netip.AddrPort

	mu        sync.Mutex
	flows     map[netip.AddrPort]*upstreamFlow // by the caller's address
	leftAt    time.Duration                    // when it was marked as leaving; 0 means that it is not leaving
	coldUntil time.Duration                    // end of its cold phase; 0 means that it is not cold
	busySlots int
	waiting   []*job
	dead      atomic.Bool
}

// upstreamFlow is the upstream's side of a flow.
type upstreamFlow struct {
	seq          uint32
	open         bool
	closing      bool
	parts        map[uint32]string // of the request being received, by sequence number
	lastAnswer   *platform.Segment // sent again if the caller retransmits its request
	lastFirstSeq uint32            // sequence number of the first part of the request that lastAnswer answers
	running      bool
}

const (
	workTime      = 30 * time.Millisecond
	slowWorkTime  = 500 * time.Millisecond // as with a full queue; exceeds the 0.2 s after which callers retransmit
	upstreamSlots = 3
	coldDuration  = 2 * time.Second
	coldRate      = 5.0 // requests per second that a cold upstream can handle
)

// newUpstream starts a cold upstream with a new ID at the address. Port 0 stands for any free port.
func (h *harness) newUpstream(service, centre string, at netip.AddrPort) (*upstream, error) {
	return h.startUpstream(firstTargetID+h.issuedTargetIDs.Add(1), service, centre, at, coldDuration)
}

// firstTargetID is the base of the upstreams' IDs.
const firstTargetID = 0x5000_0000

// startUpstream starts an upstream with the given ID, which is cold for the given time. While a data centre is
// evacuated, the upstream starts warm, as the remaining upstreams might otherwise lack the capacity for all
// requests.
func (h *harness) startUpstream(targetID uint64, service, centre string, at netip.AddrPort, cold time.Duration) (*upstream, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		h: h, id: fmt.Sprintf("i-%08x", targetID), targetID: targetID, service: service, centre: centre, conn: conn,
		incarnation: stoatpaddle.Incarnation(time.Now().UnixMilli()),
		addr:        conn.LocalAddr().(*net.UDPAddr).AddrPort(), flows: map[netip.AddrPort]*upstreamFlow{},
	}
	h.mu.Lock()
	h.upstreams = append(h.upstreams, u)
	if h.evacuated == "" && cold > 0 {
		h.coldUpstreams++
		u.coldUntil = h.now() + cold
		h.after(cold, u.endCold)
	}
	h.mu.Unlock()
	h.group.Go(u.serve)
	u.register(false)
	return u, nil
}

// endCold ends the cold phase and registers the upstream as warm.
func (u *upstream) endCold() {
	u.h.mu.Lock()
	u.h.coldUpstreams--
	u.h.mu.Unlock()
	u.mu.Lock()
	u.coldUntil = 0
	left := u.leftAt
	u.mu.Unlock()
	if !u.dead.Load() {
		u.register(left > 0)
	}
}

// register writes the upstream's registration to the store. Like a real server, it needs no entry for that.
func (u *upstream) register(leaving bool) {
	u.mu.Lock()
	cold := max(0, u.coldUntil-u.h.now())
	u.mu.Unlock()
	u.h.store.Write(platform.KindUpstream, u.id, platform.RegistrationSpec(&stoatpaddle.Registration{
		Service: stoatpaddle.ServiceID(u.service), Addr: u.addr, DataCentre: stoatpaddle.DataCentreID(u.centre), Slots: upstreamSlots, Leaving: leaving, Incarnation: u.incarnation, ColdRemaining: cold,
	}))
}

// startLeaving marks the upstream as leaving. It serves until the time limit for leaving has passed and its flows
// have ended.
func (u *upstream) startLeaving(now time.Duration) {
	u.register(true)
	u.mu.Lock()
	u.leftAt = max(now, 1)
	u.mu.Unlock()
}

// stop ends the upstream and removes its registration.
func (u *upstream) stop() {
	u.dead.Store(true)
	_ = u.conn.Close()
	u.h.store.Remove(platform.KindUpstream, u.id)
	u.removeFromHarness()
}

// removeFromHarness removes the upstream from the harness's list of upstreams.
func (u *upstream) removeFromHarness() {
	u.h.mu.Lock()
	defer u.h.mu.Unlock()
	for i, other := range u.h.upstreams {
		if other == u {
			u.h.upstreams = append(u.h.upstreams[:i], u.h.upstreams[i+1:]...)
			return
		}
	}
}

func (u *upstream) hasOpenFlow() bool {
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
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		if u.h.isCutOff(from.Addr(), u.centre) {
			continue
		}
		if n < platform.TargetSize || !platform.DecodeSegment(buf[platform.TargetSize:n], &s) {
			continue
		}
		// A packet for another upstream, which had this address before, is ignored.
		if t := platform.GetTarget(buf); t != 0 && t != u.targetID {
			continue
		}
		u.handleSegment(&s)
	}
}

func (u *upstream) handleSegment(s *platform.Segment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[s.Src]
	switch {
	case s.Opens:
		if u.leftAt > 0 {
			u.h.check.openedAtLeaving(u.h.now(), u.leftAt, u.id)
		}
		if since := u.h.evacuatedSince(u.centre); since > 0 {
			u.h.check.openedAtEvacuated(u.h.now(), since, u.id, u.centre)
		}
		if f == nil && u.coldUntil > 0 {
			u.h.check.openedAtCold(u.h.now(), u.id, coldRate)
		}
		if f == nil {
			f = &upstreamFlow{seq: u.h.random(), parts: map[uint32]string{}}
			u.flows[s.Src] = f
		}
		u.answer(s, &platform.Segment{Opens: true, Acks: true, Seq: f.seq, Ack: s.Seq + 1})
	case f == nil:
		if !s.Resets {
			u.answer(s, &platform.Segment{Resets: true, Seq: s.Ack})
		}
	case !f.open && s.Ack != f.seq+1:
		// The packet acknowledges the handshake of another upstream and is ignored.
	case s.Ends || s.Resets:
		delete(u.flows, s.Src)
	default:
		f.open = true
		if len(s.Data) > 0 {
			u.handlePart(f, s)
		}
	}
}

// handlePart collects the parts of a request and runs the request once it is complete. The text of a part is
// "id type service repeatable part parts padding", with the service of the request's route.
func (u *upstream) handlePart(f *upstreamFlow, s *platform.Segment) {
	if f.lastAnswer != nil && s.Seq-f.lastFirstSeq < 1<<16 && s.Seq >= f.lastFirstSeq && s.Seq < f.lastAnswer.Ack {
		u.answer(s, f.lastAnswer)
		return
	}
	f.parts[s.Seq] = string(s.Data)
	fields := strings.SplitN(string(s.Data), " ", 7)
	if len(fields) < 7 {
		return
	}
	part, parts := atoi(fields[4]), atoi(fields[5])
	firstSeq, endSeq := s.Seq-uint32(part)*partSize, s.Seq+uint32(parts-part)*partSize
	for n := range parts {
		if f.parts[firstSeq+uint32(n)*partSize] == "" {
			return
		}
	}
	if f.running {
		return
	}
	f.running = true
	u.enqueue(&job{flow: f, last: *s, id: fields[0], routeService: fields[2], repeatable: fields[3] == "true", firstSeq: firstSeq, endSeq: endSeq})
}

// finishRequest answers a request.
func (u *upstream) finishRequest(j *job, size uint32, text string) {
	f := j.flow
	f.running, f.parts = false, map[uint32]string{}
	f.seq += size
	f.closing = u.leftAt > 0
	f.lastAnswer, f.lastFirstSeq = &platform.Segment{Acks: true, Seq: f.seq, Ack: j.endSeq, Ends: f.closing, Data: []byte(j.id + " " + text)}, j.firstSeq
	u.answer(&j.last, f.lastAnswer)
}

// answer sends a reply to the caller that sent s.
func (u *upstream) answer(s, reply *platform.Segment) {
	reply.Src, reply.Dst, reply.Cookie = s.Dst, s.Src, s.Cookie
	to := netip.AddrPortFrom(s.Src.Addr(), u.h.port)
	if u.h.dropsDatagram() {
		return
	}
	_, _ = u.conn.WriteToUDPAddrPort(platform.AppendSegment(nil, reply), to)
}
