package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// silentUpstream runs requests in slots and a queue, unless it fails.
type silentUpstream struct {
	m       *silenceModel
	fails   bool // it is one of those that fail in the trouble
	running int
	queue   []func()
	held    map[stoatpacket.Tuple]uint32 // flows, with the sequence number of the latest request taken
}

// silentFlow is one try of a caller: a flow from a port of its own.
type silentFlow struct {
	tuple  stoatpacket.Tuple
	entry  *silentEntry
	long   bool
	open   bool
	ended  bool
	seq    uint32
	ack    uint32
	waits  bool // for the answer to seq
	bound  bool // its present request began on a flow that was open
	tries  int
	first  time.Duration // when its present request was first tried
	cookie stoatpaddle.UpstreamKey
	serial int // of the present request, so that timers of earlier ones do nothing
}

// offer lets callers come: those with a long flow, and those with a flow a request.
func (m *silenceModel) offer() {
	rate := m.cfg.RequestRate * float64(m.cfg.Upstreams)
	for range int(longShare * rate * longPause.Seconds()) {
		m.q.after(time.Duration(m.rnd.Float64()*float64(longPause)), func() { m.try(true, m.q.now, 1, false) })
	}
	end := silenceFrom + silenceLast + silenceAfter
	for at := time.Duration(0); at < end; at += time.Duration(m.rnd.ExpFloat64() / ((1 - longShare) * rate) * float64(time.Second)) {
		m.q.after(at, func() { m.try(false, m.q.now, 1, false) })
	}
}

const (
	silentTries = 3
	retryAfter  = 7 * time.Millisecond
	giveUp      = 1400 * time.Millisecond // of an opening
)

// copyAfter is when a caller repeats its opening; repeatFirst and repeatMost bound the pause until
// it repeats a request.
var copyAfter = [2]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

const (
	repeatFirst = 200 * time.Millisecond
	repeatMost  = 1600 * time.Millisecond
)

// try opens a flow for a request that was first tried at that time; bound says that this was on a flow
// that was open.
func (m *silenceModel) try(long bool, first time.Duration, n int, bound bool) {
	if n == 1 && counted(first) {
		m.out.Requests++
	}
	m.port++
	f := &silentFlow{long: long, bound: bound, first: first, tries: n, entry: m.entries[m.rnd.IntN(len(m.entries))]}
	listen := silenceListen[1]
	if long {
		listen = silenceListen[0]
	}
	f.tuple = stoatpacket.Tuple{
		Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(m.port >> 24), byte(m.port >> 16), 7}), uint16(m.port)),
		Dst: listen, Protocol: stoatpaddle.ProtocolTCP,
	}
	m.flows[f.tuple] = f
	for copies := range 3 {
		wait := time.Duration(0)
		if copies > 0 {
			wait = copyAfter[copies-1]
		}
		m.q.after(wait, func() {
			if !f.open && !f.ended {
				m.send(f, stoatpacket.Packet{Opens: true, Retransmits: copies})
			}
		})
	}
	m.q.after(giveUp, func() {
		if !f.open {
			m.again(f)
		}
	})
}

// again ends a flow whose request was not answered; its caller tries once more where it may.
func (m *silenceModel) again(f *silentFlow) {
	if f.ended {
		return
	}
	f.ended = true
	delete(m.flows, f.tuple)
	if f.open && !f.waits && f.long {
		// Nothing was under way: the caller comes back with its next request.
		m.q.after(longPause, func() { m.try(true, m.q.now, 1, false) })
		return
	}
	spent := m.q.now - f.first
	if f.tries >= silentTries || spent > silenceLimit || f.open && !f.long {
		m.failed(f)
		return
	}
	m.q.after(retryAfter, func() { m.try(f.long, f.first, f.tries+1, f.bound) })
}

func (m *silenceModel) failed(f *silentFlow) {
	if counted(f.first) {
		m.out.Failed++
	}
	if f.long {
		m.q.after(longPause, func() { m.try(true, m.q.now, 1, false) })
	}
}

// send takes a packet to the flow's entry, and on to the upstream that the entry names.
func (m *silenceModel) send(f *silentFlow, p stoatpacket.Packet) {
	p.Tuple, p.Cookie = f.tuple, f.cookie
	if m.lost() {
		return
	}
	m.q.after(silenceTrip, func() {
		a := f.entry.handle(&p)
		switch {
		case a.Verdict == stoatecho.Reset:
			m.q.after(silenceTrip, func() { m.again(f) })
		case a.Verdict != stoatecho.Forward || m.lost() || m.trouble == EntryCutOff && f.entry.index == 0 && m.troubled():
		default:
			up := int(a.Upstream.Target) - 1
			m.q.after(silenceTrip, func() { m.arrive(f, up, a.Upstream.Key, &p) })
		}
	})
}

func (m *silenceModel) lost() bool {
	return m.trouble == Lossy && m.troubled() && m.rnd.Float64() < silenceLoss
}

// arrive is what an upstream does with a packet.
func (m *silenceModel) arrive(f *silentFlow, up int, key stoatpaddle.UpstreamKey, p *stoatpacket.Packet) {
	u := m.ups[up]
	if m.fails(up) {
		clear(u.held)
		if m.trouble == Refusing {
			m.q.after(silenceTrip, func() { m.again(f) })
		}
		return
	}
	if p.Opens {
		u.held[f.tuple] = 0
		m.q.after(silenceTrip, func() { m.opened(f, key) })
		return
	}
	last, holds := u.held[f.tuple]
	switch {
	case !holds:
		m.q.after(silenceTrip, func() { m.again(f) })
	case p.Ends:
		delete(u.held, f.tuple)
	case p.Size > 0 && p.Seq > last:
		u.held[f.tuple] = p.Seq
		u.run(func() { m.q.after(silenceTrip, func() { m.answered(f, p.Seq) }) })
	}
}

// run runs a request now or from the queue; one that does not fit is dropped, and its caller's
// repeat finds room.
func (u *silentUpstream) run(done func()) {
	if u.running >= silenceSlots {
		if len(u.queue) < silenceQueue {
			u.queue = append(u.queue, func() { u.run(done) })
		}
		return
	}
	u.running++
	u.m.q.after(time.Duration(float64(silenceWork)*(0.5+u.m.rnd.Float64())), func() {
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
		done()
	})
}

// opened is the caller's side of a handshake; the request follows at once.
func (m *silenceModel) opened(f *silentFlow, key stoatpaddle.UpstreamKey) {
	if f.open || f.ended {
		return
	}
	f.open, f.cookie, f.ack = true, key, 1
	m.send(f, stoatpacket.Packet{Ack: f.ack})
	m.ask(f)
}

// ask sends the flow's next request, and repeats it until it is answered or too late.
func (m *silenceModel) ask(f *silentFlow) {
	f.seq += 100
	f.serial++
	f.waits = true
	m.repeat(f, f.serial, 0, repeatFirst)
}

func (m *silenceModel) repeat(f *silentFlow, serial int, wait, next time.Duration) {
	m.q.after(wait, func() {
		if f.ended || !f.waits || f.serial != serial {
			return
		}
		if m.q.now-f.first > silenceLimit {
			f.ended = true
			delete(m.flows, f.tuple)
			m.failed(f)
			return
		}
		m.send(f, stoatpacket.Packet{Seq: f.seq, Ack: f.ack, Size: 100})
		m.repeat(f, serial, next, min(2*next, repeatMost))
	})
}

// answered is the caller's side of an answer.
func (m *silenceModel) answered(f *silentFlow, seq uint32) {
	if f.ended || !f.waits || seq != f.seq {
		return
	}
	f.waits = false
	f.ack += 1000
	if counted(f.first) && m.q.now-f.first > silenceGoal {
		m.out.Late++
		if f.bound {
			m.out.LateOnOpenFlows++
		}
	}
	m.send(f, stoatpacket.Packet{Seq: f.seq + 100, Ack: f.ack, Ends: !f.long})
	if !f.long {
		f.ended = true
		delete(m.flows, f.tuple)
		return
	}
	m.q.after(time.Duration(m.rnd.ExpFloat64()*float64(longPause)), func() {
		if f.ended {
			return
		}
		f.first, f.tries, f.bound = m.q.now, 1, true
		if counted(f.first) {
			m.out.Requests++
		}
		m.ask(f)
	})
}
