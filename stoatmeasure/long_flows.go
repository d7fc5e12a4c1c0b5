package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// With long flows, a caller sends a request on an open flow that is idle, or opens a flow if there is none. Each
// retry opens another flow.
const (
	longSlots, longQueue = 2, 8
	// longAnswerBytes is the number of bytes of an answer that a caller acknowledges first. longAckDelay is how
	// long a caller delays the acknowledgement of a single packet.
	longAnswerBytes = 1200
	longAckDelay    = 40 * time.Millisecond
	// hangShare is the share of its requests that a hanging upstream never answers; longDeadline is how long
	// callers wait for an answer.
	hangShare    = 0.6
	longDeadline = 4 * time.Second
	// reopenDelay is the time from a refusal or rejection to the next try.
	reopenDelay = overloadRTT
)

// longFlow is an open flow and the entry that its packets pass through.
type longFlow struct {
	entry    *stoatecho.Engine
	tuple    stoatpacket.Tuple
	cookie   stoatpaddle.UpstreamKey
	server   *overloadServer
	seq, ack uint32
}

// sendRequest sends a request that was first tried at the given time, on an open flow that is idle or on a new
// one.
func (m *overloadModel) sendRequest(to netip.AddrPort, out *Outcomes, first time.Duration) {
	idle := m.idle[to]
	if len(idle) == 0 {
		m.openLongFlow(to, out, first, 1)
		return
	}
	f := idle[len(idle)-1]
	m.idle[to] = idle[:len(idle)-1]
	m.sendRequestOn(f, out, first, 1)
}

// openLongFlow opens a flow for the n-th try of a request.
func (m *overloadModel) openLongFlow(to netip.AddrPort, out *Outcomes, first time.Duration, n int) {
	e, tuple := m.newFlow(to)
	f := &longFlow{entry: e, tuple: tuple, seq: 1, ack: 1}
	a := f.entry.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: f.tuple, Opens: true})
	if a.Verdict != stoatecho.Forward {
		m.retryOnNewFlow(to, out, first, n)
		return
	}
	f.cookie, f.server = a.Upstream.Key, m.servers[a.Upstream.ID]
	m.q.after(overloadRTT, func() {
		m.sendPacket(f, 0)
		m.sendRequestOn(f, out, first, n)
	})
}

// retryOnNewFlow opens another flow after the n-th try of a request, unless that was the last one.
func (m *overloadModel) retryOnNewFlow(to netip.AddrPort, out *Outcomes, first time.Duration, n int) {
	if n == overloadMaxTries {
		out.Refused++
		return
	}
	m.q.after(reopenDelay, func() { m.openLongFlow(to, out, first, n+1) })
}

// sendPacket passes a packet of the flow to its entry.
func (m *overloadModel) sendPacket(f *longFlow, size int) {
	f.entry.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: f.tuple, Cookie: f.cookie, Seq: f.seq, Ack: f.ack, Size: size})
	f.seq += uint32(size)
}

// sendRequestOn sends a request on the flow, which becomes idle when it is answered.
func (m *overloadModel) sendRequestOn(f *longFlow, out *Outcomes, first time.Duration, n int) {
	m.sendPacket(f, 100)
	m.serve(f.server, func(ran bool) {
		bytes := uint32(longAnswerBytes)
		switch {
		case !ran:
			bytes = overloadRejection
			m.retryOnNewFlow(f.tuple.Dst, out, first, n)
		case m.q.now-first <= m.cfg.Objective:
			out.InTime++
		default:
			out.Late++
		}
		m.q.after(longAckDelay, func() {
			f.ack += bytes
			m.sendPacket(f, 0)
			m.idle[f.tuple.Dst] = append(m.idle[f.tuple.Dst], f)
		})
	})
}
