package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// decide places a flow that no entry knows.
func (e *Engine) decide(p *place) Action {
	pkt := p.in.Packet
	switch {
	case pkt.ICMP:
		return e.stray(p)
	case pkt.Opens && pkt.Tuple.Protocol == stoatpaddle.ProtocolTCP:
		return e.open(p)
	default:
		return e.adopt(p)
	}
}

// stray forwards a packet to its first choice, without state.
func (e *Engine) stray(p *place) Action {
	u := p.in.Service.Set.Preferred(p.key)
	if u == nil {
		return Action{Verdict: Drop, Reason: stoatpacket.DropNoUpstream}
	}
	return Action{Verdict: Forward, Upstream: u}
}

// open places a new TCP flow.
func (e *Engine) open(p *place) Action {
	first := p.in.Service.Set.Preferred(p.key)
	if first == nil {
		return Action{Verdict: Reset, Reason: stoatpacket.DropNoUpstream}
	}
	// Openings that never proceed must not grow the table without bound. Beyond the
	// cap a flow goes to its first choice without being remembered: its next packet
	// finds the same place by hash, so it lives like any other.
	if p.sh.opening >= e.cfg.MaxOpening/shardCount {
		e.stats.Flooded.Add(1)
		return Action{Verdict: Forward, Upstream: first}
	}
	sl, i, ok := e.choose(p, first)
	if !ok {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	if !sl.use.admit(p.now, p.in.Service.Limits, len(p.view.Entries.Members)) {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	if u := sl.up.Load(); u.Opens > 0 {
		sl.opens.take(p.now, p.part(u.Opens))
	}
	e.stats.Opened.Add(1)
	if sl.key != first.Key {
		e.stats.Tracked.Add(1)
	}
	return e.insert(p, sl, i, opening)
}

// copyLag is how long copies of newly tracked flows may take to leave a dying entry.
const copyLag = 5 * time.Second

// adopt places a flow that is open already, by the set that it can belong to.
func (e *Engine) adopt(p *place) Action {
	s := p.in.Service
	if p.view.RecentlyPartitioned(p.now) && (p.view.MayBeBeyondPartition(s, p.key, p.now) || !p.patient()) {
		return e.wait(p)
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
		return e.wait(p)
	}
	sl, i := e.reg.Load().find(u.Key)
	// Opening packets fill the table to half of this at most, so that a flood of them
	// leaves room for flows that go on.
	if sl == nil || p.sh.opening >= 2*e.cfg.MaxOpening/shardCount {
		return Action{Verdict: Forward, Upstream: u}
	}
	// Every UDP packet may be a flow's first: unknown ones count against the limit.
	if p.in.Packet.Opens && !sl.use.admit(p.now, s.Limits, len(p.view.Entries.Members)) {
		e.stats.Refused.Add(1)
		return Action{Verdict: Reset, Reason: stoatpacket.DropLimit}
	}
	e.stats.Adopted.Add(1)
	return e.insert(p, sl, i, opening)
}

// patient tells whether the flow has been waiting for long enough that the entries which
// might know it would have been heard again, were the cut over.
func (p *place) patient() bool {
	w, known := p.sh.waiting[p.key]
	return known && p.tick-w.since >= ticks(stoatview.PartitionGrace)
}

// wait drops a packet of a flow that entries beyond a cut may know. Placed by hash, it
// would reach an upstream that resets the flow, which may live on once the cut is over.
// A caller who finds no other way is reset in the end, so that it can reconnect here.
func (e *Engine) wait(p *place) Action {
	w, known := p.sh.waiting[p.key]
	if !known {
		w.since = p.tick
	}
	w.packets++
	w.seen = p.tick
	if w.packets > silentRepeats && p.tick-w.since >= ticks(silentAfter) {
		delete(p.sh.waiting, p.key)
		e.stats.Silent.Add(1)
		return Action{Verdict: Reset}
	}
	if known || len(p.sh.waiting) < e.cfg.MaxOpening/shardCount {
		p.sh.waiting[p.key] = w
	}
	return Action{Verdict: Drop, Reason: stoatpacket.DropPartitioned}
}

// insert remembers the flow and forwards its packet.
func (e *Engine) insert(p *place, sl *slot, i slotIndex, flags flag) Action {
	f := flow{seen: p.tick, stuck: p.tick, seq: p.in.Packet.Seq, slot: i, flags: flags}
	if flags&opening != 0 {
		p.sh.opening++
	}
	first := p.in.Service.Set.Preferred(p.key)
	if first == nil || first.Key != sl.key {
		f.flags |= tracked
	}
	e.count(sl, &f)
	if p.in.Packet.Ends {
		e.uncount(sl, &f)
		f.flags |= closing
	}
	p.sh.flows[p.key] = f
	// Another entry may hold a record of the flow that this one replaces, and not have
	// been told to drop it because its owner changed; the new record overrides it.
	if (f.flags&tracked != 0 || p.replaces) && f.flags&closing == 0 {
		e.copyOut(p.view, p.in.Service, p.key, sl)
	}
	return Action{Verdict: Forward, Upstream: sl.up.Load()}
}

func (e *Engine) count(sl *slot, f *flow) {
	if f.flags&owned == 0 {
		f.flags |= owned
		sl.open.Add(1)
		sl.use.open.Add(1)
	}
}

func (e *Engine) uncount(sl *slot, f *flow) {
	if f.flags&owned != 0 {
		f.flags &^= owned
		sl.open.Add(-1)
		sl.use.open.Add(-1)
	}
}

// forget removes the flow from the table and its copies from the other entries.
func (e *Engine) forget(v *stoatview.View, sh *shard, k stoatpaddle.FlowHash, f flow) {
	sl := e.reg.Load().slots[f.slot]
	e.uncount(sl, &f)
	if f.flags&opening != 0 {
		sh.opening--
	}
	delete(sh.flows, k)
	if f.flags&tracked != 0 {
		e.dropOut(v, k, f, sl)
	}
}
