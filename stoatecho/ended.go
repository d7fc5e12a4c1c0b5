package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// When an open flow is reset for its upstream's end: only when the platform says that it has ended.
//
// The failure: nine times the usual traffic. Upstreams answer after half a second, callers repeat
// after 0.2 s, links of entries and their sockets hold packets for as long, and two entries wait for
// the same full upstream. An entry sees callers' packets only, so that all of this looks like an
// upstream that is dead; flows of minutes of age were reset, hundreds at once, whose upstreams served.
// No evidence of an entry's own tells a queue from a death, and what two entries see is one queue. So
// silence keeps new flows away (ejection), which costs nothing if it is wrong, and nothing else.

// OrphanedFlow is a flow to reset of which no packet is at hand: its caller waits for an answer.
type OrphanedFlow struct {
	Tuple    stoatpacket.Tuple
	Ack      uint32 // what its caller acknowledged last
	Upstream *stoatroute.Upstream
}

// hasEnded tells whether flows of the upstream are to be reset. A registration ends too when its
// upstream alone cannot reach the platform: one that has answered since keeps its open flows, and
// gets no new ones.
func (e *Engine) hasEnded(u *stoatroute.Upstream) bool {
	if u.State != stoatroute.Gone {
		return false
	}
	h := e.health[u.Key]
	return h == nil || !h.answer.After(u.EndedAt)
}

// TakeOrphanedFlows returns the flows that wait for an answer of upstreams which ended since the last call.
//
// The failure: an upstream takes a request and dies. Its caller has nothing to repeat and waits until
// it gives up, or its next repeat is 1.6 s away; told now, it is served elsewhere in time.
//
// A registration ends too when its upstream alone cannot reach the platform. One that lives is at work
// on what it was asked a moment ago, and its answers must reach their callers: so only requests are given
// up that wait for longer than callers wait until they repeat, at an upstream that gave no sign for as long.
func (e *Engine) TakeOrphanedFlows(now time.Time, t *stoatroute.Table) []OrphanedFlow {
	var out []OrphanedFlow
	ended := map[*stoatroute.Upstream]bool{}
	for _, u := range t.UpstreamsSince(e.endedUpTo) {
		h := e.health[u.Key]
		if u.State == stoatroute.Gone && h != nil && h.busy > 0 && now.Sub(h.sign) >= repeatLeast && t.Upstream(u.Key) == u {
			ended[u] = e.hasEnded(u)
		}
	}
	e.endedUpTo = t.ChangeSeq
	if len(ended) == 0 {
		return nil
	}
	for tuple, f := range e.flows {
		u := t.Upstream(f.key)
		if f.asked.IsZero() || now.Sub(f.asked) < repeatLeast || !ended[u] || t.Route(tuple.Dst) == nil {
			continue
		}
		out = append(out, OrphanedFlow{Tuple: tuple, Ack: f.ack, Upstream: u})
		e.forget(tuple)
	}
	e.stats.Resets[stoatpacket.DropUpstreamGone] += int64(len(out))
	return out
}
