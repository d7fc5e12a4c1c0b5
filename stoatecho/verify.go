package stoatecho

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Final answers from a state that is as recent as any other entry's.
//
// Entries learn of changes at different moments. A route, an upstream or a restart that this entry has not heard of
// may be known to another entry, through which flows are open already. A reset from the older state would break
// them. Therefore an answer that ends a flow needs a read of the platform that began after the packet came, or
// after an earlier packet of the flow: until then the packet is held. A refusal ends no flow: an opening is held for
// a read of a replica, which costs a tenth.

// arrival says when a packet came.
type arrival struct {
	at      time.Time
	tracked bool // the flow and its upstream have taken account of the packet
}

// verified reports whether the table has the parts as of a time after the packet came.
func verified(t *stoatroute.Table, parts stoatroute.Parts, came arrival) bool {
	return t.AsOf(parts).After(came.at)
}

// established returns the flow of a packet that is known here to be open at the upstream of its cookie, or nil.
func (e *Engine) established(p *stoatpacket.Packet) *flow {
	if f := e.flows[p.Tuple]; f != nil && !f.opening && !p.Opens && f.key == p.Cookie {
		return f
	}
	return nil
}

// endVerified reports whether the platform has confirmed that the upstream of a packet is gone, after the packet came
// or after an earlier packet of its flow. The flow was open by then.
func (e *Engine) endVerified(t *stoatroute.Table, u *stoatroute.Upstream, p *stoatpacket.Packet, came arrival) bool {
	if u.State != stoatroute.Gone || verified(t, stoatroute.PartUpstreams, came) {
		return true
	}
	f, asOf := e.established(p), t.AsOf(stoatroute.PartUpstreams)
	return f != nil && !came.tracked && f.lastSeen.Before(asOf) && u.EndedAt.Before(asOf)
}

// partsFor returns the parts as they have to be read for a final answer to the packet.
func partsFor(p *stoatpacket.Packet, parts stoatroute.Parts) stoatroute.Parts {
	if p.Opens {
		return parts.OfReplica()
	}
	return parts
}

// hold returns the action for a packet that is answered once the parts of the state are verified. The reason is
// that of the final answer, unless the verification changes the decision.
func hold(a Action, reason stoatpacket.DropReason, parts stoatroute.Parts) Action {
	a.Verdict, a.Reason, a.Verify, a.Opened, a.Moved = Hold, reason, parts, false, false
	return a
}

// GiveUp returns the action for a packet whose verification takes too long or cannot begin soon. An opening is
// refused, which promises the caller only that nothing ran. A packet of an open flow is dropped without an answer,
// and its sender retransmits it.
func (e *Engine) GiveUp(p *stoatpacket.Packet, a Action) Action {
	a.Verify = 0
	if !p.Opens {
		a.Verdict, a.Reason = Drop, stoatpacket.DropUnverified
	} else if a.Verdict = Reset; a.Reason == stoatpacket.DropNoUpstream {
		e.stats.Refused++
	}
	e.count(&a)
	return a
}

// HandleHeld decides about a packet that was held until the state was verified, or until there was a table. An opening
// that is late is not placed: a copy of it may have opened the flow, here or through another entry.
func (e *Engine) HandleHeld(now time.Time, t *stoatroute.Table, h *HeldPacket) Action {
	if h.Packet.Opens && h.Action.Verify != 0 && h.Resolved(t) && e.isLate(now, h) {
		a := Action{Reason: stoatpacket.DropStale}
		e.count(&a)
		return a
	}
	return e.handle(now, t, &h.Packet, arrival{at: h.Since, tracked: h.Action.Upstream != nil && !h.Packet.Opens})
}

// maxPlacementDelay is how long after its arrival an opening may be placed: callers send a copy after 0.2 s, which may
// come through another entry, and the flow would be open twice.
const maxPlacementDelay = 150 * time.Millisecond

// isLate reports whether callers have sent a copy of a held opening, or are about to.
func (e *Engine) isLate(now time.Time, h *HeldPacket) bool {
	f := e.flows[h.Packet.Tuple]
	return now.Sub(h.Since) >= maxPlacementDelay || f != nil && f.lastSeen.After(h.Since)
}

// Resolved reports whether the table has what a held packet refers to, so that it need not be verified any more.
func (h *HeldPacket) Resolved(t *stoatroute.Table) bool {
	r := t.Route(h.Packet.Tuple.Dst)
	switch h.Action.Reason {
	case stoatpacket.DropNoRoute:
		return r != nil
	case stoatpacket.DropForged:
		u := t.Upstream(h.Packet.Cookie)
		return r != nil && u != nil && r.EverUsed(u.Service)
	case stoatpacket.DropUpstreamGone:
		u := t.Upstream(h.Packet.Cookie)
		return u != nil && u.State != stoatroute.Gone
	case stoatpacket.DropNoUpstream:
		return r != nil && slices.ContainsFunc(r.Backends, func(b stoatpaddle.Backend) bool { return len(t.Candidates(b.Service)) > 0 })
	}
	return false
}
