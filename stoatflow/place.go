package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// placeUnknown chooses the upstream of a flow that no queried entry knows.
func (e *Engine) placeUnknown(p *packetDecision) Action {
	pkt := p.in.Packet
	switch {
	case pkt.ICMP:
		return e.forwardStateless(p)
	case pkt.Opens && pkt.Tuple.Protocol == stoatpaddle.ProtocolTCP:
		return e.openFlow(p)
	default:
		return e.adoptOpen(p)
	}
}

// forwardStateless forwards a packet to its preferred upstream without adding the flow to the table.
func (e *Engine) forwardStateless(p *packetDecision) Action {
	u := p.in.Service.Set.Preferred(p.key)
	if u == nil {
		return Action{Verdict: Drop, Reason: stoatpacket.DropNoUpstream}
	}
	return Action{Verdict: Forward, Upstream: u}
}

// openFlow places a new TCP flow.
func (e *Engine) openFlow(p *packetDecision) Action {
	preferred := p.in.Service.Set.Preferred(p.key)
	if preferred == nil {
		return Action{Verdict: Reset, Reason: stoatpacket.DropNoUpstream}
	}
	// Flows that open but never proceed must not grow the table without limit. Beyond the limit a flow goes
	// to its preferred upstream without an entry in the table. Its next packet finds the same upstream by
	// hash, so the flow is not harmed.
	if p.sh.openingCount >= e.cfg.MaxOpening/shardCount {
		e.stats.Flooded.Add(1)
		return Action{Verdict: Forward, Upstream: preferred}
	}
	sl, i, ok := e.choose(p, preferred)
	if !ok {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	if !sl.usage.admit(p.now, p.in.Service.Limits, len(p.view.Entries.Members)) {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	if u := sl.upstream.Load(); u.MaxOpenRate > 0 {
		sl.openRate.take(p.now, p.entryShare(u.MaxOpenRate))
	}
	e.stats.Opened.Add(1)
	if sl.key != preferred.Key {
		e.stats.Tracked.Add(1)
	}
	return e.insert(p, sl, i, opening)
}

// copyLag is how long an entry may take to send the copies of newly tracked flows. Copies that an entry has
// not sent when it dies are lost.
const copyLag = 5 * time.Second

// adoptOpen places a flow that may be open already. This entry would know a flow that opened after it became
// the owner, so the upstream set that was in force when the ownership changed applies.
func (e *Engine) adoptOpen(p *packetDecision) Action {
	s := p.in.Service
	if p.view.RecentlyPartitioned(p.now) && (p.view.MayBeBeyondPartition(s, p.key, p.now) || !p.waitedForPartition()) {
		return e.deferPlacement(p)
	}
	set := s.Set
	if at, ok := p.view.OwnedSince(s, p.key); ok {
		set = s.SetAt(at.Add(-copyLag))
	}
	u := set.Preferred(p.key)
	if u == nil || p.view.Upstream(u.Key) == nil || p.in.Packet.Opens && !s.Set.Contains(u.Key) {
		u = s.Set.Preferred(p.key)
	}
	if u == nil {
		return Action{Verdict: Drop, Reason: stoatpacket.DropNoUpstream}
	}
	if p.view.Partitioned[u.DataCentre] {
		return e.deferPlacement(p)
	}
	sl, i := e.reg.Load().find(u.Key)
	// Opening packets fill the table to half of this limit at most, so that a flood of them leaves room for
	// flows that are open.
	if sl == nil || p.sh.openingCount >= 2*e.cfg.MaxOpening/shardCount {
		return Action{Verdict: Forward, Upstream: u}
	}
	// Every UDP packet may be the first of its flow, so unknown ones count against the limit.
	if p.in.Packet.Opens && !sl.usage.admit(p.now, s.Limits, len(p.view.Entries.Members)) {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	e.stats.Adopted.Add(1)
	return e.insert(p, sl, i, opening)
}

// waitedForPartition reports whether the flow has been deferred for so long that the entries which may know
// it would have answered again had the partition ended.
func (p *packetDecision) waitedForPartition() bool {
	d, known := p.sh.deferred[p.key]
	return known && p.tick-d.firstSeen >= ticks(stoatview.PartitionGrace)
}

// deferPlacement drops a packet of a flow that entries beyond a partition may know. If the packet were
// placed by hash it would reach an upstream that resets the flow, which could otherwise go on after the
// partition. A caller whose packets reach no entry that knows the flow is reset in the end, so that it can
// reconnect here.
func (e *Engine) deferPlacement(p *packetDecision) Action {
	d, known := p.sh.deferred[p.key]
	if !known {
		d.firstSeen = p.tick
	}
	d.packets++
	d.lastSeen = p.tick
	if d.packets > silentRepeats && p.tick-d.firstSeen >= ticks(silentAfter) {
		delete(p.sh.deferred, p.key)
		e.stats.Silent.Add(1)
		return Action{Verdict: Reset}
	}
	if known || len(p.sh.deferred) < e.cfg.MaxOpening/shardCount {
		p.sh.deferred[p.key] = d
	}
	return Action{Verdict: Drop, Reason: stoatpacket.DropPartitioned}
}

// insert adds the flow to the table and forwards its packet.
func (e *Engine) insert(p *packetDecision, sl *slot, i slotIndex, flags flag) Action {
	f := flow{lastSeen: p.tick, stuckSince: p.tick, seq: p.in.Packet.Seq, slot: i, flags: flags}
	if flags&opening != 0 {
		p.sh.openingCount++
	}
	preferred := p.in.Service.Set.Preferred(p.key)
	if preferred == nil || preferred.Key != sl.key {
		f.flags |= tracked
	}
	e.countOwned(sl, &f)
	if p.in.Packet.Ends {
		e.uncountOwned(sl, &f)
		f.flags |= closing
	}
	p.sh.flows[p.key] = f
	// Another entry may hold a record of an earlier flow that this flow replaces. If ownership changed
	// since, nothing told that entry to drop the record. The new record overwrites it.
	if (f.flags&tracked != 0 || p.replacesTracked) && f.flags&closing == 0 {
		e.enqueueCopies(p.view, p.in.Service, p.key, sl)
	}
	return Action{Verdict: Forward, Upstream: sl.upstream.Load()}
}

// countOwned adds the flow to this entry's load unless it is counted already.
func (e *Engine) countOwned(sl *slot, f *flow) {
	if f.flags&owned == 0 {
		f.flags |= owned
		sl.open.Add(1)
		sl.usage.open.Add(1)
	}
}

// uncountOwned removes the flow from this entry's load if it is counted.
func (e *Engine) uncountOwned(sl *slot, f *flow) {
	if f.flags&owned != 0 {
		f.flags &^= owned
		sl.open.Add(-1)
		sl.usage.open.Add(-1)
	}
}

// removeFlow removes the flow from the table and queues the removal of its copies at the other entries.
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
