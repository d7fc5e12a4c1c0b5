package stoatflow

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// place is one packet on its way through the decision.
type place struct {
	now  time.Time
	tick tick
	view *stoatview.View
	in   *Inbound
	key  stoatpaddle.FlowHash
	sh   *shard
	// replaces is set when the packet opens anew a flow that was tracked.
	replaces bool
}

// Handle decides about one packet; it allocates nothing for a known flow.
//
// The order matters: what an entry knows goes before what it would compute, since only
// knowledge tells where an open flow went under views that differ.
func (e *Engine) Handle(now time.Time, v *stoatview.View, in *Inbound) Action {
	p := place{now: now, tick: e.tick(now), view: v, in: in, key: in.Key, sh: e.shard(in.Key)}
	p.sh.mu.Lock()
	defer p.sh.mu.Unlock()
	if a, ok := e.known(&p); ok {
		return a
	}
	// A packet that went round until its hops were used up says that views differ, not
	// where its flow goes. It is sent again by its caller, and by then they agree more. An
	// opening one is placed here all the same: nobody knows its flow.
	spent := in.Header.Hops >= maxHops
	if spent && !in.Packet.Opens {
		return Action{Verdict: Drop, Reason: stoatpacket.DropHopLimit}
	}
	if spent {
		return p.tellOwner(e.decide(&p))
	}
	if in.Header.Kind == KindLookup {
		return e.answer(&p)
	}
	if a, ok := e.pass(&p); ok {
		return a
	}
	if a, ok := e.promote(&p); ok {
		return a
	}
	if a, ok := e.ask(&p); ok {
		return a
	}
	return p.tellOwner(e.decide(&p))
}

// tellOwner has the owner told of a flow that this entry placed although it does not own
// it, as happens while views point in a circle. Else only this entry would know the flow,
// and perhaps it is about to leave.
func (p *place) tellOwner(a Action) Action {
	owner := p.view.Owner(p.in.Service, p.key)
	if a.Verdict == Forward && owner != nil && owner.ID != p.view.Self {
		a.NotifyAddr = owner.Relay
	}
	return a
}

// known forwards a packet of a flow in the table.
func (e *Engine) known(p *place) (Action, bool) {
	f, ok := p.sh.flows[p.key]
	if !ok {
		return Action{}, false
	}
	sl := e.reg.Load().slots[f.slot]
	// Two flows may share a hash. Without this check the second would follow the first,
	// perhaps to another customer's upstream. It goes without state to its first choice.
	if sl.ref != p.in.Service.Ref {
		return e.stray(p), true
	}
	pkt := p.in.Packet
	if pkt.ICMP {
		return Action{Verdict: Forward, Upstream: sl.up.Load()}, true
	}
	if pkt.Opens && e.reopens(p, sl, f) {
		e.forget(p.view, p.sh, p.key, f)
		p.replaces = f.flags&tracked != 0
		return Action{}, false
	}
	silent := e.progress(p, sl, &f)
	if pkt.Ends && f.flags&closing == 0 {
		e.uncount(sl, &f)
		f.flags |= closing
	}
	f.seen = p.tick
	f.flags &^= told
	p.sh.flows[p.key] = f
	if silent || p.view.Upstream(sl.key) == nil {
		return e.abandon(p, sl, f), true
	}
	return p.forward(sl), true
}

// reopens tells whether an opening packet is to be placed anew: its flow ended, or the
// caller got no answer and the upstream leaves now. Without the second, an opening packet
// that was lost would open at a leaving upstream long after the mark.
func (e *Engine) reopens(p *place, sl *slot, f flow) bool {
	if p.in.Packet.Tuple.Protocol != tcp {
		return false
	}
	return f.flags&closing != 0 || f.flags&opening != 0 && !p.in.Service.Set.Contains(sl.key)
}

// forward sends the packet on and, if its owner had to ask, tells it where the flow goes:
// an active flow passes to a new owner with its next packet, however long the records
// within the byte budget take.
func (p *place) forward(sl *slot) Action {
	a := Action{Verdict: Forward, Upstream: sl.up.Load()}
	if p.in.Header.Kind == KindLookup {
		a.NotifyAddr = p.in.From
	}
	return a
}

// abandon resets a flow that cannot live: the caller reconnects at once instead of
// waiting on a connection that nothing serves any more.
func (e *Engine) abandon(p *place, sl *slot, f flow) Action {
	e.stats.Silent.Add(1)
	if f.flags&closing == 0 {
		e.uncount(sl, &f)
		f.flags |= closing
		p.sh.flows[p.key] = f
	}
	return Action{Verdict: Reset, Upstream: sl.up.Load()}
}

// point remembers the entry that decides for the flow. A flood of openings while views
// differ must not fill the memory with claims; beyond the cap a packet is placed by hash.
func (e *Engine) point(p *place, to netip.AddrPort) {
	if _, known := p.sh.moved[p.key]; known || len(p.sh.moved) < e.cfg.MaxOpening/shardCount {
		p.sh.moved[p.key] = moved{to: to, until: p.tick + ticks(movedFor)}
	}
}

// movedFor outlasts the time in which entries learn of a change; an entry may have left
// by the end of a longer one.
const movedFor = 10 * time.Second

// answer serves a packet whose owner asks whether the flow is known here.
func (e *Engine) answer(p *place) Action {
	if c, ok := p.sh.copies[p.key]; ok && !p.in.Packet.Opens {
		sl := e.reg.Load().slots[c.slot]
		if sl.ref == p.in.Service.Ref {
			return p.forward(sl)
		}
	}
	if to, ok := e.claimed(p); ok {
		return e.relay(p.in.Header, to)
	}
	h := p.in.Header
	if m := p.view.PreviousOwner(p.key, p.now, e.cfg.Settle); m != nil && m.Relay != p.in.From {
		// That entry may believe that it owns the flow itself, and open it.
		if p.in.Packet.Opens {
			e.point(p, m.Relay)
		}
		return Action{Verdict: Relay, To: m.Relay, Header: Header{Kind: KindLookup, Hops: h.Hops + 1, Queried: h.Queried}}
	}
	// An asker that waits for the end of a cut claims nothing, and a packet sent on to
	// it would go round in a circle.
	if p.in.Packet.Opens || !p.view.RecentlyPartitioned(p.now) {
		e.point(p, p.in.From)
	}
	return Action{Verdict: Relay, To: p.in.From, Header: Header{Kind: KindLookupMiss, Hops: h.Hops + 1, Queried: h.Queried}}
}

// pass relays the packet to the entry that owns the flow, if that is another one.
func (e *Engine) pass(p *place) (Action, bool) {
	h := p.in.Header
	owner := p.view.Owner(p.in.Service, p.key)
	mine := owner == nil || owner.ID == p.view.Self
	if h.Kind == KindLookupMiss {
		// The answer to a question that this entry asked on for the owner.
		if mine || owner.Relay == p.in.From {
			return Action{}, false
		}
		e.point(p, owner.Relay)
		return Action{Verdict: Relay, To: owner.Relay, Header: Header{Kind: KindLookupMiss, Hops: h.Hops + 1, Queried: h.Queried}}, true
	}
	if h.Hops >= maxRelays {
		return Action{}, false
	}
	if to, ok := e.claimed(p); ok {
		return e.toClaimer(h, to, mine), true
	}
	if mine {
		return Action{}, false
	}
	// The sender believes that this entry owns the flow, and this entry that the sender
	// does. One has to decide; it is the receiver, or the packet would never end.
	if h.Kind == KindRelay && owner.Relay == p.in.From {
		return Action{}, false
	}
	return e.relay(h, owner.Relay), true
}

// toClaimer passes the packet to the entry that claimed its flow; the owner asks, so that
// it is told where the flow goes.
func (e *Engine) toClaimer(h Header, to netip.AddrPort, mine bool) Action {
	if !mine {
		return e.relay(h, to)
	}
	e.stats.Lookups.Add(1)
	return Action{Verdict: Relay, To: to, Header: Header{Kind: KindLookup, Hops: h.Hops + 1}}
}

// claimed returns the entry that claimed the flow here, unless the packet comes from it.
func (e *Engine) claimed(p *place) (netip.AddrPort, bool) {
	m, ok := p.sh.moved[p.key]
	if !ok || p.tick >= m.until || m.to == p.in.From || !p.view.Alive(m.to) {
		return netip.AddrPort{}, false
	}
	return m.to, true
}

func (e *Engine) relay(h Header, to netip.AddrPort) Action {
	e.stats.Relayed.Add(1)
	return Action{Verdict: Relay, To: to, Header: Header{Kind: KindRelay, Hops: h.Hops + 1}}
}

// promote takes a flow over from the copy that its dead owner left here.
func (e *Engine) promote(p *place) (Action, bool) {
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

// ask relays the packet to the next entry that may know the flow.
func (e *Engine) ask(p *place) (Action, bool) {
	h := p.in.Header
	var buf [stoatview.MaxCandidates]*stoatview.Member
	list := p.view.Candidates(buf[:0], p.in.Service, p.key, p.now, e.cfg.Settle)
	asked := 0
	if h.Kind == KindLookupMiss {
		asked = int(h.Queried)
	}
	if asked >= len(list) {
		return Action{}, false
	}
	e.stats.Lookups.Add(1)
	next := Header{Kind: KindLookup, Hops: h.Hops + 1, Queried: uint8(asked + 1)}
	return Action{Verdict: Relay, To: list[asked].Relay, Header: next}, true
}
