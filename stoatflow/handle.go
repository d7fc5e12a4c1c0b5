package stoatflow

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// packetDecision is one packet on its way through the decision.
type packetDecision struct {
	now  time.Time
	tick tick
	view *stoatview.View
	in   *Inbound
	key  stoatpaddle.FlowHash
	sh   *shard
	// replacesTracked is set when the packet opens anew a flow that was tracked.
	replacesTracked bool
}

// Handle decides about one packet; it allocates nothing for a known flow.
//
// The order matters: what an entry knows goes before what it would compute, since only
// knowledge tells where an open flow went under views that differ.
func (e *Engine) Handle(now time.Time, v *stoatview.View, in *Inbound) Action {
	p := packetDecision{now: now, tick: e.tick(now), view: v, in: in, key: in.Key, sh: e.shard(in.Key)}
	p.sh.mu.Lock()
	defer p.sh.mu.Unlock()
	if a, ok := e.handleKnown(&p); ok {
		return a
	}
	// A packet that went round until its hops were used up says that views differ, not
	// where its flow goes. It is sent again by its caller, and by then they agree more. An
	// opening one is placed here all the same: nobody knows its flow.
	hopsExhausted := in.Header.Hops >= maxHops
	if hopsExhausted && !in.Packet.Opens {
		return Action{Verdict: Drop, Reason: stoatpacket.DropHops}
	}
	if hopsExhausted {
		return p.notifyOwner(e.placeUnknown(&p))
	}
	if in.Header.Kind == Asked {
		return e.answerLookup(&p)
	}
	if a, ok := e.relayToOwner(&p); ok {
		return a
	}
	if a, ok := e.promoteCopy(&p); ok {
		return a
	}
	if a, ok := e.lookUp(&p); ok {
		return a
	}
	return p.notifyOwner(e.placeUnknown(&p))
}

// notifyOwner has the owner told of a flow that this entry placed although it does not own
// it, as happens while views point in a circle. Else only this entry would know the flow,
// and perhaps it is about to leave.
func (p *packetDecision) notifyOwner(a Action) Action {
	owner := p.view.Owner(p.in.Service, p.key)
	if a.Verdict == Forward && owner != nil && owner.ID != p.view.Self {
		a.Tell = owner.Relay
	}
	return a
}

// handleKnown forwards a packet of a flow in the table.
func (e *Engine) handleKnown(p *packetDecision) (Action, bool) {
	f, ok := p.sh.flows[p.key]
	if !ok {
		return Action{}, false
	}
	sl := e.reg.Load().slots[f.slot]
	// Two flows may share a hash. Without this check the second would follow the first,
	// perhaps to another customer's upstream. It goes without state to its first choice.
	if sl.ref != p.in.Service.Ref {
		return e.forwardStateless(p), true
	}
	pkt := p.in.Packet
	if pkt.ICMP {
		return Action{Verdict: Forward, Upstream: sl.upstream.Load()}, true
	}
	if pkt.Opens && e.reopens(p, sl, f) {
		e.removeFlow(p.view, p.sh, p.key, f)
		p.replacesTracked = f.flags&tracked != 0
		return Action{}, false
	}
	silent := e.updateProgress(p, sl, &f)
	if pkt.Ends && f.flags&closing == 0 {
		e.uncountOwned(sl, &f)
		f.flags |= closing
	}
	f.lastSeen = p.tick
	f.flags &^= recordOnly
	p.sh.flows[p.key] = f
	if silent || p.view.Upstream(sl.key) == nil {
		return e.resetFlow(p, sl, f), true
	}
	return p.forward(sl), true
}

// reopens tells whether an opening packet is to be placed anew: its flow ended, or the
// caller got no answer and the upstream leaves now. Without the second, an opening packet
// that was lost would open at a leaving upstream long after the mark.
func (e *Engine) reopens(p *packetDecision, sl *slot, f flow) bool {
	if p.in.Packet.Tuple.Protocol != tcp {
		return false
	}
	return f.flags&closing != 0 || f.flags&opening != 0 && !p.in.Service.Set.Has(sl.key)
}

// forward sends the packet on and, if its owner had to ask, tells it where the flow goes:
// an active flow passes to a new owner with its next packet, however long the records
// within the byte budget take.
func (p *packetDecision) forward(sl *slot) Action {
	a := Action{Verdict: Forward, Upstream: sl.upstream.Load()}
	if p.in.Header.Kind == Asked {
		a.Tell = p.in.From
	}
	return a
}

// resetFlow resets a flow that cannot live: the caller reconnects at once instead of
// waiting on a connection that nothing serves any more.
func (e *Engine) resetFlow(p *packetDecision, sl *slot, f flow) Action {
	e.stats.Silent.Add(1)
	if f.flags&closing == 0 {
		e.uncountOwned(sl, &f)
		f.flags |= closing
		p.sh.flows[p.key] = f
	}
	return Action{Verdict: Reset, Upstream: sl.upstream.Load()}
}

// recordClaim remembers the entry that decides for the flow. A flood of openings while views
// differ must not fill the memory with claims; beyond the cap a packet is placed by hash.
func (e *Engine) recordClaim(p *packetDecision, to netip.AddrPort) {
	if _, known := p.sh.claims[p.key]; known || len(p.sh.claims) < e.cfg.MaxOpen/shardCount {
		p.sh.claims[p.key] = claim{to: to, expires: p.tick + ticks(claimLifetime)}
	}
}

// claimLifetime outlasts the time in which entries learn of a change; an entry may have left
// by the end of a longer one.
const claimLifetime = 10 * time.Second

// answerLookup serves a packet whose owner asks whether the flow is known here.
func (e *Engine) answerLookup(p *packetDecision) Action {
	if c, ok := p.sh.copies[p.key]; ok && !p.in.Packet.Opens {
		sl := e.reg.Load().slots[c.slot]
		if sl.ref == p.in.Service.Ref {
			return p.forward(sl)
		}
	}
	if to, ok := e.claimant(p); ok {
		return e.relayTo(p.in.Header, to)
	}
	h := p.in.Header
	if m := p.view.Before(p.key, p.now, e.cfg.Settle); m != nil && m.Relay != p.in.From {
		// That entry may believe that it owns the flow itself, and open it.
		if p.in.Packet.Opens {
			e.recordClaim(p, m.Relay)
		}
		return Action{Verdict: Relay, To: m.Relay, Header: Header{Kind: Asked, Hops: h.Hops + 1, Asked: h.Asked}}
	}
	// An asker that waits for the end of a cut claims nothing, and a packet sent on to
	// it would go round in a circle.
	if p.in.Packet.Opens || !p.view.CutLately(p.now) {
		e.recordClaim(p, p.in.From)
	}
	return Action{Verdict: Relay, To: p.in.From, Header: Header{Kind: Unknown, Hops: h.Hops + 1, Asked: h.Asked}}
}

// relayToOwner relays the packet to the entry that owns the flow, if that is another one.
func (e *Engine) relayToOwner(p *packetDecision) (Action, bool) {
	h := p.in.Header
	owner := p.view.Owner(p.in.Service, p.key)
	ownedHere := owner == nil || owner.ID == p.view.Self
	if h.Kind == Unknown {
		// The answer to a question that this entry asked on for the owner.
		if ownedHere || owner.Relay == p.in.From {
			return Action{}, false
		}
		e.recordClaim(p, owner.Relay)
		return Action{Verdict: Relay, To: owner.Relay, Header: Header{Kind: Unknown, Hops: h.Hops + 1, Asked: h.Asked}}, true
	}
	if h.Hops >= maxRelays {
		return Action{}, false
	}
	if to, ok := e.claimant(p); ok {
		return e.relayToClaimant(h, to, ownedHere), true
	}
	if ownedHere {
		return Action{}, false
	}
	// The sender believes that this entry owns the flow, and this entry that the sender
	// does. One has to decide; it is the receiver, or the packet would never end.
	if h.Kind == Relayed && owner.Relay == p.in.From {
		return Action{}, false
	}
	return e.relayTo(h, owner.Relay), true
}

// relayToClaimant passes the packet to the entry that claimed its flow; the owner asks, so that
// it is told where the flow goes.
func (e *Engine) relayToClaimant(h Header, to netip.AddrPort, ownedHere bool) Action {
	if !ownedHere {
		return e.relayTo(h, to)
	}
	e.stats.Asked.Add(1)
	return Action{Verdict: Relay, To: to, Header: Header{Kind: Asked, Hops: h.Hops + 1}}
}

// claimant returns the entry that claimant the flow here, unless the packet comes from it.
func (e *Engine) claimant(p *packetDecision) (netip.AddrPort, bool) {
	m, ok := p.sh.claims[p.key]
	if !ok || p.tick >= m.expires || m.to == p.in.From || !p.view.Alive(m.to) {
		return netip.AddrPort{}, false
	}
	return m.to, true
}

func (e *Engine) relayTo(h Header, to netip.AddrPort) Action {
	e.stats.Relayed.Add(1)
	return Action{Verdict: Relay, To: to, Header: Header{Kind: Relayed, Hops: h.Hops + 1}}
}

// promoteCopy takes a flow over from the copy that its dead owner left here.
func (e *Engine) promoteCopy(p *packetDecision) (Action, bool) {
	c, ok := p.sh.copies[p.key]
	if !ok || p.in.Packet.Opens {
		return Action{}, false
	}
	sl := e.reg.Load().slots[c.slot]
	if sl.ref != p.in.Service.Ref || p.view.Upstream(sl.key) == nil {
		return Action{}, false
	}
	delete(p.sh.copies, p.key)
	e.stats.Promoted.Add(1)
	return e.insert(p, sl, c.slot, 0), true
}

// lookUp relays the packet to the next entry that may know the flow.
func (e *Engine) lookUp(p *packetDecision) (Action, bool) {
	h := p.in.Header
	var buf [stoatview.MaxCandidates]*stoatview.Member
	candidates := p.view.Candidates(buf[:0], p.in.Service, p.key, p.now, e.cfg.Settle)
	asked := 0
	if h.Kind == Unknown {
		asked = int(h.Asked)
	}
	if asked >= len(candidates) {
		return Action{}, false
	}
	e.stats.Asked.Add(1)
	next := Header{Kind: Asked, Hops: h.Hops + 1, Asked: uint8(asked + 1)}
	return Action{Verdict: Relay, To: candidates[asked].Relay, Header: next}, true
}
