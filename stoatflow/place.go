package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// placeUnknown places a flow that no entry knows.
func (e *Engine) placeUnknown(p *packetDecision) Action {
	pkt := p.in.Packet
	switch {
	case pkt.ICMP:
		return e.forwardStateless(p)
	case pkt.Opens && pkt.Tuple.Protocol == stoatpaddle.ProtocolTCP:
		return e.open(p)
	default:
		return e.adoptOpen(p)
	}
}

// forwardStateless forwards a packet to its first choice, without state.
func (e *Engine) forwardStateless(p *packetDecision) Action {
	u := p.in.Service.Set.First(p.key)
	if u == nil {
		return Action{Verdict: Drop, Reason: stoatpacket.DropNoUpstream}
	}
	return Action{Verdict: Forward, Upstream: u}
}

// open places a new TCP flow.
func (e *Engine) open(p *packetDecision) Action {
	first := p.in.Service.Set.First(p.key)
	if first == nil {
		return Action{Verdict: Reset, Reason: stoatpacket.DropNoUpstream}
	}
	// Openings that never proceed must not grow the table without bound. Beyond the
	// cap a flow goes to its first choice without being remembered: its next packet
	// finds the same place by hash, so it lives like any other.
	if p.sh.openingCount >= e.cfg.MaxOpen/shardCount {
		e.stats.Flooded.Add(1)
		return Action{Verdict: Forward, Upstream: first}
	}
	sl, i, ok := e.choose(p, first)
	if !ok {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	if !sl.usage.admit(p.now, p.in.Service.Limits, len(p.view.Ring.Members)) {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	if u := sl.upstream.Load(); u.Opens > 0 {
		sl.openRate.take(p.now, p.entryShare(u.Opens))
	}
	e.stats.Opened.Add(1)
	if sl.key != first.Key {
		e.stats.Tracked.Add(1)
	}
	return e.insert(p, sl, i, opening)
}

// copyLag is how long copies of newly tracked flows may take to leave a dying entry.
const copyLag = 5 * time.Second

// adoptOpen places a flow that is open already, by the set that it can belong to.
func (e *Engine) adoptOpen(p *packetDecision) Action {
	s := p.in.Service
	if p.view.CutLately(p.now) && (p.view.Elsewhere(s, p.key, p.now) || !p.waitedForPartition()) {
		return e.deferPlacement(p)
	}
	set := s.Set
	if at, ok := p.view.TakenOver(s, p.key); ok {
		set = s.SetAt(at.Add(-copyLag))
	}
	u := set.First(p.key)
	if u == nil || p.view.Upstream(u.Key) == nil || p.in.Packet.Opens && !s.Set.Has(u.Key) {
		u = s.Set.First(p.key)
	}
	if u == nil {
		return Action{Verdict: Drop, Reason: stoatpacket.DropNoUpstream}
	}
	if p.view.Cut[u.DataCentre] {
		return e.deferPlacement(p)
	}
	sl, i := e.reg.Load().find(u.Key)
	// Opening packets fill the table to half of this at most, so that a flood of them
	// leaves room for flows that go on.
	if sl == nil || p.sh.openingCount >= 2*e.cfg.MaxOpen/shardCount {
		return Action{Verdict: Forward, Upstream: u}
	}
	// Every UDP packet may be a flow's first: unknown ones count against the limit.
	if p.in.Packet.Opens && !sl.usage.admit(p.now, s.Limits, len(p.view.Ring.Members)) {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	e.stats.Adopted.Add(1)
	return e.insert(p, sl, i, opening)
}

// waitedForPartition tells whether the flow has been waiting for long enough that the entries which
// might know it would have been heard again, were the cut over.
func (p *packetDecision) waitedForPartition() bool {
	w, known := p.sh.deferred[p.key]
	return known && p.tick-w.firstSeen >= ticks(stoatview.CutGrace)
}

// deferPlacement drops a packet of a flow that entries beyond a cut may know. Placed by hash, it
// would reach an upstream that resets the flow, which may live on once the cut is over.
// A caller who finds no other way is reset in the end, so that it can reconnect here.
func (e *Engine) deferPlacement(p *packetDecision) Action {
	w, known := p.sh.deferred[p.key]
	if !known {
		w.firstSeen = p.tick
	}
	w.packets++
	w.seen = p.tick
	if w.packets > silentRepeats && p.tick-w.firstSeen >= ticks(silentAfter) {
		delete(p.sh.deferred, p.key)
		e.stats.Silent.Add(1)
		return Action{Verdict: Reset}
	}
	if known || len(p.sh.deferred) < e.cfg.MaxOpen/shardCount {
		p.sh.deferred[p.key] = w
	}
	return Action{Verdict: Drop, Reason: stoatpacket.DropElsewhere}
}

// insert remembers the flow and forwards its packet.
func (e *Engine) insert(p *packetDecision, sl *slot, i slotIndex, flags flag) Action {
	f := flow{lastSeen: p.tick, stuckSince: p.tick, seq: p.in.Packet.Seq, slot: i, flags: flags}
	if flags&opening != 0 {
		p.sh.openingCount++
	}
	first := p.in.Service.Set.First(p.key)
	if first == nil || first.Key != sl.key {
		f.flags |= tracked
	}
	e.countOwned(sl, &f)
	if p.in.Packet.Ends {
		e.uncountOwned(sl, &f)
		f.flags |= closing
	}
	p.sh.flows[p.key] = f
	// Another entry may hold a record of the flow that this one replaces, and not have
	// been told to drop it because its owner changed; the new record overrides it.
	if (f.flags&tracked != 0 || p.replacesTracked) && f.flags&closing == 0 {
		e.enqueueCopies(p.view, p.in.Service, p.key, sl)
	}
	return Action{Verdict: Forward, Upstream: sl.upstream.Load()}
}

func (e *Engine) countOwned(sl *slot, f *flow) {
	if f.flags&owned == 0 {
		f.flags |= owned
		sl.open.Add(1)
		sl.usage.open.Add(1)
	}
}

func (e *Engine) uncountOwned(sl *slot, f *flow) {
	if f.flags&owned != 0 {
		f.flags &^= owned
		sl.open.Add(-1)
		sl.usage.open.Add(-1)
	}
}

// removeFlow removes the flow from the table and its copies from the other entries.
func (e *Engine) removeFlow(v *stoatview.View, sh *shard, k stoatpaddle.FlowHash, f flow) {
	sl := e.reg.Load().slots[f.slot]
	e.uncountOwned(sl, &f)
	if f.flags&opening != 0 {
		sh.openingCount--
	}
	delete(sh.flows, k)
	if f.flags&tracked != 0 {
		e.enqueueDrops(v, k, f, sl)
	}
}
