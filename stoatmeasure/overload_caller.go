package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

const (
	// callerInterval is the mean time between two requests of a caller at full load.
	callerInterval = 2 * time.Second
	// starvedFrom is the number of requests of a caller without any answer from which it counts as starved.
	starvedFrom = 4
)

// caller is a client with an address of its own.
type caller struct {
	addr            netip.Addr
	keepsFlows      bool // it sends several requests on a flow
	idle            []*longFlow
	asked, answered int
}

// newCallers returns the callers of a level that send so many requests a second at full load, and of which a share
// keeps flows open.
func newCallers(level int, rate, longShare float64) []caller {
	out := make([]caller, max(1, int(rate*callerInterval.Seconds())))
	for i := range out {
		out[i].keepsFlows = float64(i) < longShare*float64(len(out))
		out[i].addr = netip.AddrFrom4([4]byte{100, byte(level), byte(i >> 8), byte(i)})
	}
	return out
}

// overloadRequest is a request, which may take several tries.
type overloadRequest struct {
	level  int
	caller *caller
	out    *Outcomes
	first  time.Duration // when it was first tried
	tries  int
}

// newRequest sends a request of a random level.
func (m *overloadModel) newRequest(stage int) {
	level := m.cfg.pickLevel(m.loadRnd.Float64())
	r := &overloadRequest{level: level, out: &m.result.Stages[stage][level], first: m.q.now}
	r.caller = &m.callers[level][m.loadRnd.IntN(len(m.callers[level]))]
	r.caller.asked++
	r.out.Asked++
	if r.caller.keepsFlows {
		m.sendRequest(r)
		return
	}
	m.openFlow(r)
}

// newFlow returns the five-tuple of a new flow and the entry that its packets pass through.
func (m *overloadModel) newFlow(r *overloadRequest) (*stoatecho.Engine, stoatpacket.Tuple) {
	m.port++
	r.out.Openings++
	e := m.entries[m.rnd.IntN(len(m.entries))]
	src := netip.AddrPortFrom(r.caller.addr, m.port)
	return e, stoatpacket.Tuple{Src: src, Dst: levelListen(r.level), Protocol: stoatpaddle.ProtocolTCP}
}

// openFlow opens a flow for the next try of a request.
func (m *overloadModel) openFlow(r *overloadRequest) {
	r.tries++
	e, tuple := m.newFlow(r)
	a := e.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: tuple, Opens: true})
	if a.Verdict != stoatecho.Forward {
		m.refuse(r, m.openFlow)
		return
	}
	send := func(p stoatpacket.Packet) {
		p.Tuple, p.Cookie = tuple, a.Upstream.Key
		e.Handle(m.now(), m.routes.Table(), &p)
	}
	m.q.after(overloadRTT, func() {
		send(stoatpacket.Packet{Seq: 1, Ack: 1})
		send(stoatpacket.Packet{Seq: 1, Ack: 1, Size: 100})
		over := false
		if m.cfg.Patience > 0 {
			m.q.after(m.cfg.Patience, func() {
				if !over {
					over = true
					send(stoatpacket.Packet{Seq: 101, Ack: 1, Ends: true})
					m.end(r, unanswered, m.openFlow)
				}
			})
		}
		m.serve(m.servers[a.Upstream.ID], func(x response) {
			if over {
				return
			}
			over = true
			m.end(r, x, m.openFlow)
			switch x {
			case answered:
				send(stoatpacket.Packet{Seq: 101, Ack: overloadAnswer, Ends: true})
			case rejected:
				send(stoatpacket.Packet{Seq: 101, Ack: overloadRejection, Ends: true})
			}
		})
	})
}

// refuse handles the refusal of an opening by an entry.
func (m *overloadModel) refuse(r *overloadRequest, retry func(*overloadRequest)) {
	m.noteRefusal()
	if !m.retry(r, retry) {
		m.fail(r, &r.out.Refused)
	}
}

// end records how a try ended at its upstream. Another try follows a rejection, and for requests that may run
// twice any failure except a hang, which lasts until the caller's deadline.
func (m *overloadModel) end(r *overloadRequest, x response, retry func(*overloadRequest)) {
	late := m.q.now-r.first > m.cfg.deadline()
	switch {
	case x == answered:
		r.caller.answered++
		if late {
			r.out.Late++
			return
		}
		r.out.InTime++
	case x != rejected && !m.cfg.Levels[r.level].Idempotent, x == unanswered && m.cfg.Patience == 0:
		m.fail(r, &r.out.Lost)
	case !m.retry(r, retry):
		r.out.Rejected++
		m.fail(r, &r.out.Refused)
	}
}

// fail counts a request that gets no answer.
func (m *overloadModel) fail(r *overloadRequest, count *int) {
	*count++
	m.noteFailure(r.first)
}

// retry schedules the next try of a request, unless the last one was made.
func (m *overloadModel) retry(r *overloadRequest, try func(*overloadRequest)) bool {
	if r.tries == overloadMaxTries {
		return false
	}
	m.q.after(reopenDelay, func() { try(r) })
	return true
}
