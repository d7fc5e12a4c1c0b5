package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// Requests on long flows: a caller uses an open flow that is idle, or opens one, and each further try opens one.
const (
	longSlots, longQueue = 2, 8
	// longAnswer is what a caller acknowledges first of an answer, and longAckDelay how long it keeps the
	// acknowledgement of a single packet back.
	longAnswer   = 1200
	longAckDelay = 40 * time.Millisecond
	// hangShare is the part of its requests that a hanging upstream never answers; longDeadline is how long
	// callers wait for them.
	hangShare    = 0.6
	longDeadline = 4 * time.Second
	// reopenAfter is how long a caller takes from a refusal to the next try.
	reopenAfter = overloadTrip
)

// longFlow is an open flow and the entry that its packets pass.
type longFlow struct {
	entry    *stoatecho.Engine
	tuple    stoatpacket.Tuple
	cookie   stoatpaddle.UpstreamKey
	server   *overloadServer
	seq, ack uint32
}

// ask sends a request that was first asked at that time on an open flow that is idle, or on a new one.
func (m *overloadModel) ask(to netip.AddrPort, out *Outcomes, first time.Duration) {
	idle := m.idle[to]
	if len(idle) == 0 {
		m.openLong(to, out, first, 1)
		return
	}
	f := idle[len(idle)-1]
	m.idle[to] = idle[:len(idle)-1]
	m.askOn(f, out, first, 1)
}

// openLong opens a flow for the n-th try of a request.
func (m *overloadModel) openLong(to netip.AddrPort, out *Outcomes, first time.Duration, n int) {
	e, tuple := m.newFlow(to)
	f := &longFlow{entry: e, tuple: tuple, seq: 1, ack: 1}
	a := f.entry.Handle(m.now(), m.book.Table(), &stoatpacket.Packet{Tuple: f.tuple, Opens: true})
	if a.Verdict != stoatecho.Forward {
		m.retryLong(to, out, first, n)
		return
	}
	f.cookie, f.server = a.Upstream.Key, m.servers[a.Upstream.ID]
	m.q.after(overloadTrip, func() {
		m.send(f, 0)
		m.askOn(f, out, first, n)
	})
}

func (m *overloadModel) retryLong(to netip.AddrPort, out *Outcomes, first time.Duration, n int) {
	if n == overloadTries {
		out.Refused++
		return
	}
	m.q.after(reopenAfter, func() { m.openLong(to, out, first, n+1) })
}

// send has a packet of the flow pass its entry.
func (m *overloadModel) send(f *longFlow, size int) {
	f.entry.Handle(m.now(), m.book.Table(), &stoatpacket.Packet{Tuple: f.tuple, Cookie: f.cookie, Seq: f.seq, Ack: f.ack, Size: size})
	f.seq += uint32(size)
}

// askOn sends a request on the flow, which is idle again once it is answered.
func (m *overloadModel) askOn(f *longFlow, out *Outcomes, first time.Duration, n int) {
	m.send(f, 100)
	m.serve(f.server, func(ran bool) {
		bytes := uint32(longAnswer)
		switch {
		case !ran:
			bytes = overloadRefusal
			m.retryLong(f.tuple.Dst, out, first, n)
		case m.q.now-first <= m.cfg.Objective:
			out.InTime++
		default:
			out.Late++
		}
		m.q.after(longAckDelay, func() {
			f.ack += bytes
			m.send(f, 0)
			m.idle[f.tuple.Dst] = append(m.idle[f.tuple.Dst], f)
		})
	})
}
