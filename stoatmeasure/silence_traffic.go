package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// silenceUpstream runs requests in slots and a queue, unless it fails.
type silenceUpstream struct {
	m           *silenceModel
	fails       bool // it is one of those that fail during the fault
	running     int
	queue       []func()
	lastRequest map[stoatpacket.Tuple]uint32 // sequence number of the latest request, by flow
}

// silenceFlow is one flow of a caller. Each flow has a port of its own.
type silenceFlow struct {
	tuple      stoatpacket.Tuple
	entry      *silenceEntry
	long       bool
	open       bool
	ended      bool
	seq        uint32
	ack        uint32
	awaiting   bool // the answer to seq is pending
	onOpenFlow bool // the current request began on a flow that was already open
	tries      int
	firstTried time.Duration // when the current request was first tried
	cookie     stoatpaddle.UpstreamKey
	requestNo  int // number of the current request, so that timers of earlier ones do nothing
}

// offerLoad starts the callers: those that keep a long flow, and those that open a flow for each request.
func (m *silenceModel) offerLoad() {
	rate := m.cfg.RequestRate * float64(m.cfg.Upstreams)
	for range int(longFlowShare * rate * longFlowPause.Seconds()) {
		m.q.after(time.Duration(m.rnd.Float64()*float64(longFlowPause)), func() { m.openFlow(true, m.q.now, 1, false) })
	}
	end := faultStart + faultDuration + countedAfterFault
	for at := time.Duration(0); at < end; at += time.Duration(m.rnd.ExpFloat64() / ((1 - longFlowShare) * rate) * float64(time.Second)) {
		m.q.after(at, func() { m.openFlow(false, m.q.now, 1, false) })
	}
}

const (
	silenceMaxTries = 3
	retryDelay      = 7 * time.Millisecond
	openingTimeout  = 1400 * time.Millisecond // after which a caller gives up on an opening
)

// openingRetransmits are the times at which a caller repeats its opening.
var openingRetransmits = [2]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

const (
	// A caller repeats a request after minRetransmitDelay, and then with doubling delays up to
	// maxRetransmitDelay.
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 1600 * time.Millisecond
)

// openFlow opens a flow for the n-th try of a request that was first tried at the given time. onOpenFlow tells
// whether the first try was on a flow that was already open.
func (m *silenceModel) openFlow(long bool, first time.Duration, n int, onOpenFlow bool) {
	if n == 1 && counted(first) {
		m.result.Requests++
	}
	m.port++
	f := &silenceFlow{long: long, onOpenFlow: onOpenFlow, firstTried: first, tries: n, entry: m.entries[m.rnd.IntN(len(m.entries))]}
	listen := silenceListen[1]
	if long {
		listen = silenceListen[0]
	}
	f.tuple = stoatpacket.Tuple{
		Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(m.port >> 24), byte(m.port >> 16), 7}), uint16(m.port)),
		Dst: listen, Protocol: stoatpaddle.ProtocolTCP,
	}
	m.flows[f.tuple] = f
	for retransmits := range 3 {
		wait := time.Duration(0)
		if retransmits > 0 {
			wait = openingRetransmits[retransmits-1]
		}
		m.q.after(wait, func() {
			if !f.open && !f.ended {
				m.send(f, stoatpacket.Packet{Opens: true, Retransmits: retransmits})
			}
		})
	}
	m.q.after(openingTimeout, func() {
		if !f.open {
			m.retry(f)
		}
	})
}

// retry ends a flow whose request was not answered; the caller tries again if it may.
func (m *silenceModel) retry(f *silenceFlow) {
	if f.ended {
		return
	}
	f.ended = true
	delete(m.flows, f.tuple)
	if f.open && !f.awaiting && f.long {
		// No request was pending: the caller opens a flow again for its next one.
		m.q.after(longFlowPause, func() { m.openFlow(true, m.q.now, 1, false) })
		return
	}
	spent := m.q.now - f.firstTried
	if f.tries >= silenceMaxTries || spent > silenceTimeout || f.open && !f.long {
		m.countFailure(f)
		return
	}
	m.q.after(retryDelay, func() { m.openFlow(f.long, f.firstTried, f.tries+1, f.onOpenFlow) })
}

// countFailure counts a failed request. A caller with a long flow sends its next request later.
func (m *silenceModel) countFailure(f *silenceFlow) {
	if counted(f.firstTried) {
		m.result.Failed++
	}
	if f.long {
		m.q.after(longFlowPause, func() { m.openFlow(true, m.q.now, 1, false) })
	}
}

// send sends a packet to the flow's entry, which forwards it to an upstream.
func (m *silenceModel) send(f *silenceFlow, p stoatpacket.Packet) {
	p.Tuple, p.Cookie = f.tuple, f.cookie
	if m.packetLost() {
		return
	}
	m.q.after(silenceOneWayDelay, func() {
		a := f.entry.handle(&p)
		switch {
		case a.Verdict == stoatecho.Reset:
			m.q.after(silenceOneWayDelay, func() { m.retry(f) })
		case a.Verdict != stoatecho.Forward || m.packetLost() || m.fault == EntryCutOff && f.entry.index == 0 && m.faultActive():
		default:
			up := int(a.Upstream.Target) - 1
			m.q.after(silenceOneWayDelay, func() { m.receive(f, up, a.Upstream.Key, &p) })
		}
	})
}

func (m *silenceModel) packetLost() bool {
	return m.fault == Lossy && m.faultActive() && m.rnd.Float64() < silenceLossRate
}

// receive handles a packet at an upstream.
func (m *silenceModel) receive(f *silenceFlow, up int, key stoatpaddle.UpstreamKey, p *stoatpacket.Packet) {
	u := m.upstreams[up]
	if m.fails(up) {
		clear(u.lastRequest)
		if m.fault == Refusing {
			m.q.after(silenceOneWayDelay, func() { m.retry(f) })
		}
		return
	}
	if p.Opens {
		u.lastRequest[f.tuple] = 0
		m.q.after(silenceOneWayDelay, func() { m.handleOpened(f, key) })
		return
	}
	last, known := u.lastRequest[f.tuple]
	switch {
	case !known:
		m.q.after(silenceOneWayDelay, func() { m.retry(f) })
	case p.Ends:
		delete(u.lastRequest, f.tuple)
	case p.Size > 0 && p.Seq > last:
		u.lastRequest[f.tuple] = p.Seq
		u.run(func() { m.q.after(silenceOneWayDelay, func() { m.handleAnswer(f, p.Seq) }) })
	}
}

// run runs a request now or from the queue. A request that does not fit is dropped and never answered, since
// receive ignores the caller's repeats of it.
func (u *silenceUpstream) run(done func()) {
	if u.running >= silenceSlots {
		if len(u.queue) < silenceQueue {
			u.queue = append(u.queue, func() { u.run(done) })
		}
		return
	}
	u.running++
	u.m.q.after(time.Duration(float64(silenceServiceTime)*(0.5+u.m.rnd.Float64())), func() {
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
		done()
	})
}

// handleOpened completes a handshake at the caller, which sends its request at once.
func (m *silenceModel) handleOpened(f *silenceFlow, key stoatpaddle.UpstreamKey) {
	if f.open || f.ended {
		return
	}
	f.open, f.cookie, f.ack = true, key, 1
	m.send(f, stoatpacket.Packet{Ack: f.ack})
	m.sendRequest(f)
}

// sendRequest sends the flow's next request, and repeats it until it is answered or the caller gives up.
func (m *silenceModel) sendRequest(f *silenceFlow) {
	f.seq += 100
	f.requestNo++
	f.awaiting = true
	m.retransmit(f, f.requestNo, 0, minRetransmitDelay)
}

// retransmit sends a request after a delay, and repeats it with doubling delays until it is answered or the
// caller gives up.
func (m *silenceModel) retransmit(f *silenceFlow, requestNo int, wait, next time.Duration) {
	m.q.after(wait, func() {
		if f.ended || !f.awaiting || f.requestNo != requestNo {
			return
		}
		if m.q.now-f.firstTried > silenceTimeout {
			f.ended = true
			delete(m.flows, f.tuple)
			m.countFailure(f)
			return
		}
		m.send(f, stoatpacket.Packet{Seq: f.seq, Ack: f.ack, Size: 100})
		m.retransmit(f, requestNo, next, min(2*next, maxRetransmitDelay))
	})
}

// handleAnswer handles an answer at the caller.
func (m *silenceModel) handleAnswer(f *silenceFlow, seq uint32) {
	if f.ended || !f.awaiting || seq != f.seq {
		return
	}
	f.awaiting = false
	f.ack += 1000
	if counted(f.firstTried) && m.q.now-f.firstTried > silenceObjective {
		m.result.Late++
		if f.onOpenFlow {
			m.result.LateOnOpenFlows++
		}
	}
	m.send(f, stoatpacket.Packet{Seq: f.seq + 100, Ack: f.ack, Ends: !f.long})
	if !f.long {
		f.ended = true
		delete(m.flows, f.tuple)
		return
	}
	m.q.after(time.Duration(m.rnd.ExpFloat64()*float64(longFlowPause)), func() {
		if f.ended {
			return
		}
		f.firstTried, f.tries, f.onOpenFlow = m.q.now, 1, true
		if counted(f.firstTried) {
			m.result.Requests++
		}
		m.sendRequest(f)
	})
}
