package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Open flows are reset because of their upstream only when the platform says that the upstream has ended.
//
// Silence is no proof of that. Under nine times the usual traffic, upstreams answer after half a second and
// callers retransmit after 0.2 s. The links and sockets of entries delay packets for as long, and two entries
// wait for the same full upstream. As an entry sees only the callers' packets, all of this looks like a dead
// upstream: hundreds of flows, minutes old, were reset at once although their upstreams were serving. An
// entry's own evidence cannot tell a queue from a dead upstream, and two entries may see the same queue. So
// silence only ejects the upstream, which keeps new flows away and does no harm if it is wrong.

// OrphanedFlow is a flow to reset that waits for an answer of an upstream which has ended. There is no packet
// of its caller to answer with a reset.
type OrphanedFlow struct {
	Tuple    stoatpacket.Tuple
	Ack      uint32 // the caller's last acknowledgement number
	Upstream *stoatroute.Upstream
}

// hasEnded reports whether flows of the upstream are to be reset. A registration also ends if only the
// upstream's connection to the platform is lost: an upstream that has answered since then keeps its open flows
// and gets no new ones.
func (e *Engine) hasEnded(u *stoatroute.Upstream) bool {
	if u.State != stoatroute.Gone {
		return false
	}
	h := e.health[u.Key]
	return h == nil || !h.lastAnswer.After(u.EndedAt)
}

// TakeOrphanedFlows forgets and returns the flows that wait for an answer of an upstream which has ended. There may be
// more of them once the upstreams are verified as of a time after lastEnd; zero: there are no more.
//
// If an upstream dies after it received a request, its caller has nothing to retransmit and waits until it
// gives up, or retransmits only after 1.6 s. A reset lets the caller try elsewhere in time.
//
// A registration also ends if only the upstream's connection to the platform is lost. Such an upstream still
// works on recent requests, and their answers have to reach the callers. So a flow is returned only if its
// request has been pending for as long as callers wait before they retransmit, at an upstream that has given no
// sign of life for as long. And the upstream may have registered again since: its end is taken for final only
// after a read of the platform that began later.
func (e *Engine) TakeOrphanedFlows(now time.Time, t *stoatroute.Table) (list []OrphanedFlow, lastEnd time.Time) {
	for _, u := range t.UpstreamsSince(e.endedUpTo) {
		h := e.health[u.Key]
		if u.State == stoatroute.Gone && h != nil && h.pendingRequests > 0 && t.Upstream(u.Key) == u {
			e.unverifiedEnds[u.Key] = true
		}
	}
	e.endedUpTo = t.ChangeSeq
	ended, lastEnd := e.takeVerifiedEnds(now, t)
	if len(ended) == 0 {
		return nil, lastEnd
	}
	for tuple, f := range e.flows {
		u := t.Upstream(f.key)
		if f.requestStart.IsZero() || now.Sub(f.requestStart) < minRetransmitInterval || !ended[u] || t.Route(tuple.Dst) == nil {
			continue
		}
		list = append(list, OrphanedFlow{Tuple: tuple, Ack: f.requestAck, Upstream: u})
		e.forget(tuple)
	}
	e.stats.Resets[stoatpacket.DropUpstreamGone] += int64(len(list))
	return list, lastEnd
}

// takeVerifiedEnds removes the upstreams whose end the table verifies or refutes from those that wait for it, and
// returns those that have ended and been silent, and when the last of the others ended.
func (e *Engine) takeVerifiedEnds(now time.Time, t *stoatroute.Table) (ended map[*stoatroute.Upstream]bool, lastEnd time.Time) {
	ended = map[*stoatroute.Upstream]bool{}
	for k := range e.unverifiedEnds {
		u, h := t.Upstream(k), e.health[k]
		switch {
		case u == nil || u.State != stoatroute.Gone || h == nil || h.pendingRequests == 0:
		case !t.AsOf(stoatroute.PartUpstreams).After(u.EndedAt):
			if u.EndedAt.After(lastEnd) {
				lastEnd = u.EndedAt
			}
			continue
		case now.Sub(h.lastAlive) >= minRetransmitInterval && e.hasEnded(u):
			ended[u] = true
		}
		delete(e.unverifiedEnds, k)
	}
	return ended, lastEnd
}
