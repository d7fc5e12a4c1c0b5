package stoatflow

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// standing is what a view says of one flow.
type standing struct {
	owner, next, local *stoatview.Member // local: the owner in the upstream's data centre
	tracked            bool
}

func standingOf(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) standing {
	first := s.Set.Preferred(k)
	var st standing
	home := stoatpaddle.DataCentreID("")
	if first != nil {
		home = first.DataCentre
	}
	st.tracked = first == nil || first.Key != sl.key
	st.owner, st.next = v.Entries.OwnerAndNext(k, home)
	if dc := sl.up.Load().DataCentre; dc != home {
		st.local = v.Entries.Owner(k, dc)
	}
	return st
}

func (st standing) owns(id stoatpaddle.InstanceID) bool { return st.owner != nil && st.owner.ID == id }

// scan compares a shard's flows with a new view: what departs from it now is tracked,
// copied to the next owner, and handed over where another entry owns it.
func (e *Engine) scan(now time.Time, v *stoatview.View, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	before := sh.scanned
	sh.scanned = v
	if before != nil && before.Entries == v.Entries && sameSets(before, v) {
		return
	}
	e.scanCopies(now, v, sh)
	for _, k := range sortedKeys(sh.flows) {
		f := sh.flows[k]
		if f.flags&closing == 0 {
			e.scanFlow(before, v, sh, k, f)
		}
	}
}

func sameSets(a, b *stoatview.View) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i, s := range a.Services {
		if s.Ref != b.Services[i].Ref || s.Set != b.Services[i].Set {
			return false
		}
	}
	return true
}

// sortedKeys makes the order in which records leave independent of the map's.
func sortedKeys[T any](m map[stoatpaddle.FlowHash]T) []stoatpaddle.FlowHash {
	keys := make([]stoatpaddle.FlowHash, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (e *Engine) scanFlow(before, v *stoatview.View, sh *shard, k stoatpaddle.FlowHash, f flow) {
	sl := e.reg.Load().slots[f.slot]
	s := v.Service(sl.ref)
	if s == nil {
		e.forget(v, sh, k, f)
		return
	}
	var old standing
	if before != nil {
		if was := before.Service(sl.ref); was != nil {
			old = standingOf(before, was, k, sl)
		}
	}
	st := standingOf(v, s, k, sl)
	f.flags &^= tracked | backed
	if st.tracked {
		f.flags |= tracked | backed
	}
	if st.owns(v.Self) {
		e.count(sl, &f)
	} else {
		e.uncount(sl, &f)
	}
	sh.flows[k] = f
	if st.tracked || leavesUnclear(v, s, k, sl) {
		e.spread(v, old, st, k, sl)
	}
}

// leavesUnclear tells whether this entry leaves during a cut and the flow's upstream is
// not its first choice of the whole set. A newcomer could not tell the flow from one that
// lives beyond the cut, so it is handed over although its place can be computed.
func leavesUnclear(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) bool {
	if len(v.Partitioned) == 0 || v.Entries.Find(v.Self) != nil {
		return false
	}
	first := s.FullSet.Preferred(k)
	return first == nil || first.Key != sl.key
}

// spread queues the records that the change from old to st calls for.
func (e *Engine) spread(v *stoatview.View, old, st standing, k stoatpaddle.FlowHash, sl *slot) {
	r := Record{Key: k, Upstream: sl.key}
	if !st.owns(v.Self) {
		if st.owner != nil && (!old.tracked || !same(old.owner, st.owner)) {
			e.out.move(st.owner.ID, r)
		}
		return
	}
	fresh := !old.tracked || !old.owns(v.Self)
	if st.next != nil && (fresh || !same(old.next, st.next)) {
		e.out.copy(st.next.ID, r)
	}
	if other(st.local, v.Self, st.next) && (fresh || !same(old.local, st.local)) {
		e.out.copy(st.local.ID, r)
	}
}

func same(a, b *stoatview.Member) bool { return a != nil && b != nil && a.ID == b.ID }

// other tells whether m is an entry apart from this one and the next owner.
func other(m *stoatview.Member, self stoatpaddle.InstanceID, next *stoatview.Member) bool {
	return m != nil && m.ID != self && !same(m, next)
}

// scanCopies takes over the flows whose copies this entry holds and now owns.
func (e *Engine) scanCopies(now time.Time, v *stoatview.View, sh *shard) {
	r := e.reg.Load()
	for _, k := range sortedKeys(sh.copies) {
		c := sh.copies[k]
		sl := r.slots[c.slot]
		s := v.Service(sl.ref)
		if s == nil {
			delete(sh.copies, k)
			continue
		}
		owner, _ := v.OwnerAndNext(s, k)
		if owner == nil || owner.ID != v.Self {
			continue
		}
		delete(sh.copies, k)
		e.stats.Promoted.Add(1)
		e.own(now, v, s, sh, k, sl, c.slot)
	}
}

// own puts a flow into the table that another entry knew, and copies it on.
func (e *Engine) own(
	now time.Time, v *stoatview.View, s *stoatview.Service, sh *shard, k stoatpaddle.FlowHash, sl *slot, i slotIndex,
) {
	old, known := sh.flows[k]
	if known && (old.flags&told == 0 || old.slot == i) {
		return
	}
	if known {
		e.uncount(e.reg.Load().slots[old.slot], &old)
	}
	f := flow{seen: e.tick(now), slot: i, flags: told}
	st := standingOf(v, s, k, sl)
	if st.tracked {
		f.flags |= tracked | backed
	}
	if st.owns(v.Self) {
		e.count(sl, &f)
	}
	sh.flows[k] = f
	if st.tracked {
		e.spread(v, standing{}, st, k, sl)
	}
}

// copyOut queues the copies of a flow that has just become tracked.
//
// The copy in the upstream's data centre only serves when that is cut off, and most flows
// are short, so it waits for backUp.
func (e *Engine) copyOut(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) {
	st := standingOf(v, s, k, sl)
	if st.owns(v.Self) {
		st.local = nil
	}
	e.spread(v, standing{}, st, k, sl)
}

// backUp queues the copy in the upstream's data centre of a flow that has lived for a while.
func (e *Engine) backUp(v *stoatview.View, sh *shard, k stoatpaddle.FlowHash) {
	f := sh.flows[k]
	sl := e.reg.Load().slots[f.slot]
	s := v.Service(sl.ref)
	if s == nil {
		return
	}
	f.flags |= backed
	sh.flows[k] = f
	if st := standingOf(v, s, k, sl); st.owns(v.Self) && other(st.local, v.Self, st.next) {
		e.out.copy(st.local.ID, Record{Key: k, Upstream: sl.key})
	}
}

// dropOut queues the removal of a flow's copies.
func (e *Engine) dropOut(v *stoatview.View, k stoatpaddle.FlowHash, f flow, sl *slot) {
	s := v.Service(sl.ref)
	if s == nil {
		return
	}
	st := standingOf(v, s, k, sl)
	if !st.owns(v.Self) {
		return
	}
	if st.next != nil {
		e.out.drop(st.next.ID, k)
	}
	if f.flags&backed != 0 && other(st.local, v.Self, st.next) {
		e.out.drop(st.local.ID, k)
	}
}
