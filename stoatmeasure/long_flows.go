package stoatmeasure

import (
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

// sendRequest sends a request on an open flow that is idle, or on a new one.
func (m *overloadModel) sendRequest(r *overloadRequest) {
	idle := m.idleFlows(r)
	if len(*idle) == 0 {
		m.openLongFlow(r)
		return
	}
	f := (*idle)[len(*idle)-1]
	*idle = (*idle)[:len(*idle)-1]
	r.tries++
	m.sendRequestOn(f, r)
}

// idleFlows returns the open flows that a request may use: those of its caller, or of all callers of its level if
// these keep their flows together.
func (m *overloadModel) idleFlows(r *overloadRequest) *[]*longFlow {
	if m.cfg.LongFlows {
		return m.idle[levelListen(r.level)]
	}
	return &r.caller.idle
}

// openLongFlow opens a flow for the next try of a request.
func (m *overloadModel) openLongFlow(r *overloadRequest) {
	r.tries++
	e, tuple := m.newFlow(r)
	f := &longFlow{entry: e, tuple: tuple, seq: 1, ack: 1}
	a := f.entry.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: f.tuple, Opens: true})
	if a.Verdict != stoatecho.Forward {
		m.refuse(r, m.openLongFlow)
		return
	}
	f.cookie, f.server = a.Upstream.Key, m.servers[a.Upstream.ID]
	m.q.after(overloadRTT, func() {
		m.sendPacket(f, 0)
		m.sendRequestOn(f, r)
	})
}

// sendPacket passes a packet of the flow to its entry.
func (m *overloadModel) sendPacket(f *longFlow, size int) {
	f.entry.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: f.tuple, Cookie: f.cookie, Seq: f.seq, Ack: f.ack, Size: size})
	f.seq += uint32(size)
}

// sendRequestOn sends a request on the flow, which becomes idle when it is answered.
func (m *overloadModel) sendRequestOn(f *longFlow, r *overloadRequest) {
	m.sendPacket(f, 100)
	m.serve(f.server, func(x response) {
		m.end(r, x, m.openLongFlow)
		bytes := uint32(longAnswerBytes)
		switch x {
		case rejected:
			bytes = overloadRejection
		case reset, unanswered:
			return
		}
		m.q.after(longAckDelay, func() {
			f.ack += bytes
			m.sendPacket(f, 0)
			idle := m.idleFlows(r)
			*idle = append(*idle, f)
		})
	})
}
