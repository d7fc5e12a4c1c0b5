package stoatflow

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// packetDecision is the state of the decision about one packet.
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

// Handle decides about one packet. It allocates nothing for a known flow.
//
// The order of the steps matters: a record of the flow takes precedence over what the hash yields, because
// only the record tells to which upstream an open flow goes while views differ.
func (e *Engine) Handle(now time.Time, v *stoatview.View, in *Inbound) Action {
	p := packetDecision{now: now, tick: e.tick(now), view: v, in: in, key: in.Key, sh: e.shard(in.Key)}
	p.sh.mu.Lock()
	defer p.sh.mu.Unlock()
	if a, ok := e.handleKnown(&p); ok {
		return a
	}
	// A packet that used up its hops shows that views differ, but not where its flow goes. It is dropped,
	// the caller sends it again, and the views differ less by then. An opening packet is placed here all
	// the same, because no entry knows its flow.
	hopsExhausted := in.Header.Hops >= maxHops
	if hopsExhausted && !in.Packet.Opens {
		return Action{Verdict: Drop, Reason: stoatpacket.DropHopLimit}
	}
	if hopsExhausted {
		return p.notifyOwner(e.placeUnknown(&p))
	}
	if in.Header.Kind == KindLookup {
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

// notifyOwner has the owner notified of a flow that this entry placed without owning it, which happens while
// the views of entries name each other as the owner in a cycle. Otherwise only this entry would know the
// flow, and this entry may be about to leave.
func (p *packetDecision) notifyOwner(a Action) Action {
	owner := p.view.Owner(p.in.Service, p.key)
	if a.Verdict == Forward && owner != nil && owner.ID != p.view.Self {
		a.NotifyAddr = owner.Relay
	}
	return a
}

// handleKnown handles a packet of a flow in the table. It returns false if the flow is unknown or is to be
// placed anew.
func (e *Engine) handleKnown(p *packetDecision) (Action, bool) {
	f, ok := p.sh.flows[p.key]
	if !ok {
		return Action{}, false
	}
	sl := e.reg.Load().slots[f.slot]
	// Two flows may have the same hash. Without this check the second would follow the first, perhaps to an
	// upstream of another customer. Packets of the second go to its preferred upstream without a table
	// entry.
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

// reopens reports whether an opening packet is to be placed anew: its flow ended, or the flow never
// proceeded and its upstream now takes no new flows. Without the second case, a caller whose opening
// packets are lost would open its flow at a leaving upstream long after it was marked as leaving.
func (e *Engine) reopens(p *packetDecision, sl *slot, f flow) bool {
	if p.in.Packet.Tuple.Protocol != tcp {
		return false
	}
	return f.flags&closing != 0 || f.flags&opening != 0 && !p.in.Service.Set.Contains(sl.key)
}

// forward forwards the packet and, after a lookup, has the owner notified of the flow's upstream. A new
// owner thus learns of an active flow with its next packet, however long the records wait for the byte
// budget.
func (p *packetDecision) forward(sl *slot) Action {
	a := Action{Verdict: Forward, Upstream: sl.upstream.Load()}
	if p.in.Header.Kind == KindLookup {
		a.NotifyAddr = p.in.From
	}
	return a
}

// resetFlow resets a flow that cannot go on, so that the caller reconnects at once instead of waiting on a
// connection that no upstream serves.
func (e *Engine) resetFlow(p *packetDecision, sl *slot, f flow) Action {
	e.stats.Silent.Add(1)
	if f.flags&closing == 0 {
		e.uncountOwned(sl, &f)
		f.flags |= closing
		p.sh.flows[p.key] = f
	}
	return Action{Verdict: Reset, Upstream: sl.upstream.Load()}
}

// recordClaim records the entry that decides for the flow. A flood of opening packets while views differ
// must not fill the memory with claims; beyond the limit packets are placed by hash.
func (e *Engine) recordClaim(p *packetDecision, to netip.AddrPort) {
	if _, known := p.sh.claims[p.key]; known || len(p.sh.claims) < e.cfg.MaxOpening/shardCount {
		p.sh.claims[p.key] = claim{to: to, expires: p.tick + ticks(claimLifetime)}
	}
}

// claimLifetime is longer than entries take to learn of a change. If it were much longer, the claimant might
// have left before the claim expires.
const claimLifetime = 10 * time.Second

// answerLookup handles a lookup, which is a packet that the flow's owner relays because it does not know the
// flow.
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
	if m := p.view.PreviousOwner(p.key, p.now, e.cfg.Settle); m != nil && m.Relay != p.in.From {
		// That entry may regard itself as the owner and open the flow.
		if p.in.Packet.Opens {
			e.recordClaim(p, m.Relay)
		}
		return Action{Verdict: Relay, To: m.Relay, Header: Header{Kind: KindLookup, Hops: h.Hops + 1, Queried: h.Queried}}
	}
	// While the owner defers the flow because of a partition it does not claim the flow, and packets that
	// are relayed back to the owner would go round in a cycle.
	if p.in.Packet.Opens || !p.view.RecentlyPartitioned(p.now) {
		e.recordClaim(p, p.in.From)
	}
	return Action{Verdict: Relay, To: p.in.From, Header: Header{Kind: KindLookupMiss, Hops: h.Hops + 1, Queried: h.Queried}}
}

// relayToOwner relays the packet to the entry that owns or claimed the flow, if that is another one.
func (e *Engine) relayToOwner(p *packetDecision) (Action, bool) {
	h := p.in.Header
	owner := p.view.Owner(p.in.Service, p.key)
	ownedHere := owner == nil || owner.ID == p.view.Self
	if h.Kind == KindLookupMiss {
		// This is the answer to a lookup that this entry forwarded for the owner.
		if ownedHere || owner.Relay == p.in.From {
			return Action{}, false
		}
		e.recordClaim(p, owner.Relay)
		return Action{Verdict: Relay, To: owner.Relay, Header: Header{Kind: KindLookupMiss, Hops: h.Hops + 1, Queried: h.Queried}}, true
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
	// The sender regards this entry as the owner, and this entry regards the sender as the owner. The
	// receiver decides, because otherwise the packet would go back and forth without end.
	if h.Kind == KindRelay && owner.Relay == p.in.From {
		return Action{}, false
	}
	return e.relayTo(h, owner.Relay), true
}

// relayToClaimant relays the packet to the entry that claimed its flow. The owner sends it as a lookup, so
// that it is notified of the flow's upstream.
func (e *Engine) relayToClaimant(h Header, to netip.AddrPort, ownedHere bool) Action {
	if !ownedHere {
		return e.relayTo(h, to)
	}
	e.stats.Lookups.Add(1)
	return Action{Verdict: Relay, To: to, Header: Header{Kind: KindLookup, Hops: h.Hops + 1}}
}

// claimant returns the entry that claimed the flow here, unless the packet comes from it.
func (e *Engine) claimant(p *packetDecision) (netip.AddrPort, bool) {
	c, ok := p.sh.claims[p.key]
	if !ok || p.tick >= c.expires || c.to == p.in.From || !p.view.Alive(c.to) {
		return netip.AddrPort{}, false
	}
	return c.to, true
}

// relayTo relays the packet to the entry at the address.
func (e *Engine) relayTo(h Header, to netip.AddrPort) Action {
	e.stats.Relayed.Add(1)
	return Action{Verdict: Relay, To: to, Header: Header{Kind: KindRelay, Hops: h.Hops + 1}}
}

// promoteCopy takes a flow over from the copy that its former owner left here.
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

// lookUp relays the packet as a lookup to the next candidate that may know the flow.
func (e *Engine) lookUp(p *packetDecision) (Action, bool) {
	h := p.in.Header
	var buf [stoatview.MaxCandidates]*stoatview.Member
	candidates := p.view.Candidates(buf[:0], p.in.Service, p.key, p.now, e.cfg.Settle)
	queried := 0
	if h.Kind == KindLookupMiss {
		queried = int(h.Queried)
	}
	if queried >= len(candidates) {
		return Action{}, false
	}
	e.stats.Lookups.Add(1)
	next := Header{Kind: KindLookup, Hops: h.Hops + 1, Queried: uint8(queried + 1)}
	return Action{Verdict: Relay, To: candidates[queried].Relay, Header: next}, true
}
