package stoatflow

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// placement is where a flow and its copies belong under a view.
type placement struct {
	// local is the owner within the data centre of the upstream; it is nil if that is also the data centre
	// of the preferred upstream.
	owner, next, local *stoatview.Member
	tracked            bool
}

// placementOf returns the placement of a flow that goes to the upstream in sl.
func placementOf(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) placement {
	preferred := s.Set.Preferred(k)
	var pl placement
	home := stoatpaddle.DataCentreID("")
	if preferred != nil {
		home = preferred.DataCentre
	}
	pl.tracked = preferred == nil || preferred.Key != sl.key
	pl.owner, pl.next = v.Entries.OwnerAndNext(k, home)
	if dc := sl.upstream.Load().DataCentre; dc != home {
		pl.local = v.Entries.Owner(k, dc)
	}
	return pl
}

func (pl placement) owns(id stoatpaddle.InstanceID) bool { return pl.owner != nil && pl.owner.ID == id }

// scanShard compares a shard's flows with a new view. Flows that do not go to their preferred upstream
// under the view become tracked and are copied, and tracked flows that another entry owns are handed over.
func (e *Engine) scanShard(now time.Time, v *stoatview.View, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	prev := sh.scannedView
	sh.scannedView = v
	if prev != nil && prev.Entries == v.Entries && sameSets(prev, v) {
		return
	}
	e.scanCopies(now, v, sh)
	for _, k := range sortedKeys(sh.flows) {
		f := sh.flows[k]
		if f.flags&closing == 0 {
			e.scanFlow(prev, v, sh, k, f)
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

// sortedKeys returns the keys in ascending order, so that records are sent in an order that does not depend
// on the map.
func sortedKeys[T any](m map[stoatpaddle.FlowHash]T) []stoatpaddle.FlowHash {
	keys := make([]stoatpaddle.FlowHash, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// scanFlow updates one flow for the new view and queues its records.
func (e *Engine) scanFlow(prev, v *stoatview.View, sh *shard, k stoatpaddle.FlowHash, f flow) {
	sl := e.reg.Load().slots[f.slot]
	s := v.Service(sl.ref)
	if s == nil {
		e.removeFlow(v, sh, k, f)
		return
	}
	var old placement
	if prev != nil {
		if prevService := prev.Service(sl.ref); prevService != nil {
			old = placementOf(prev, prevService, k, sl)
		}
	}
	pl := placementOf(v, s, k, sl)
	f.flags &^= tracked | backedUp
	if pl.tracked {
		f.flags |= tracked | backedUp
	}
	if pl.owns(v.Self) {
		e.countOwned(sl, &f)
	} else {
		e.uncountOwned(sl, &f)
	}
	sh.flows[k] = f
	if pl.tracked || ambiguousOnLeave(v, s, k, sl) {
		e.enqueueRecords(v, old, pl, k, sl)
	}
}

// ambiguousOnLeave reports whether this entry leaves during a partition and the flow's upstream is not the
// preferred one of the full set. The next owner could not tell the flow from one that lives beyond the
// partition, so it is handed over although its upstream can be computed.
func ambiguousOnLeave(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) bool {
	if len(v.Partitioned) == 0 || v.Entries.Find(v.Self) != nil {
		return false
	}
	preferred := s.FullSet.Preferred(k)
	return preferred == nil || preferred.Key != sl.key
}

// enqueueRecords queues the records that the change of the placement from old to pl requires.
func (e *Engine) enqueueRecords(v *stoatview.View, old, pl placement, k stoatpaddle.FlowHash, sl *slot) {
	r := Record{Key: k, Upstream: sl.key}
	if !pl.owns(v.Self) {
		if pl.owner != nil && (!old.tracked || !sameMember(old.owner, pl.owner)) {
			e.outbox.enqueueMove(pl.owner.ID, r)
		}
		return
	}
	newlyOwned := !old.tracked || !old.owns(v.Self)
	if pl.next != nil && (newlyOwned || !sameMember(old.next, pl.next)) {
		e.outbox.enqueueCopy(pl.next.ID, r)
	}
	if thirdEntry(pl.local, v.Self, pl.next) && (newlyOwned || !sameMember(old.local, pl.local)) {
		e.outbox.enqueueCopy(pl.local.ID, r)
	}
}

func sameMember(a, b *stoatview.Member) bool { return a != nil && b != nil && a.ID == b.ID }

// thirdEntry reports whether m is neither this entry nor the next owner.
func thirdEntry(m *stoatview.Member, self stoatpaddle.InstanceID, next *stoatview.Member) bool {
	return m != nil && m.ID != self && !sameMember(m, next)
}

// scanCopies takes over the flows of which this entry holds a copy and that it owns under the view.
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
		e.insertFromRecord(now, v, s, sh, k, sl, c.slot)
	}
}

// insertFromRecord adds to the table a flow that another entry knew and queues its copies. Of two records
// the later one counts, but a record does not replace a flow of which a packet arrived here.
func (e *Engine) insertFromRecord(
	now time.Time, v *stoatview.View, s *stoatview.Service, sh *shard, k stoatpaddle.FlowHash, sl *slot, i slotIndex,
) {
	old, known := sh.flows[k]
	if known && (old.flags&recordOnly == 0 || old.slot == i) {
		return
	}
	if known {
		e.uncountOwned(e.reg.Load().slots[old.slot], &old)
	}
	f := flow{lastSeen: e.tick(now), slot: i, flags: recordOnly}
	pl := placementOf(v, s, k, sl)
	if pl.tracked {
		f.flags |= tracked | backedUp
	}
	if pl.owns(v.Self) {
		e.countOwned(sl, &f)
	}
	sh.flows[k] = f
	if pl.tracked {
		e.enqueueRecords(v, placement{}, pl, k, sl)
	}
}

// enqueueCopies queues the copies of a flow that has just become tracked.
//
// The copy in the data centre of the upstream is needed only if that data centre is partitioned, and most
// flows are short, so enqueueBackup queues it later.
func (e *Engine) enqueueCopies(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) {
	pl := placementOf(v, s, k, sl)
	if pl.owns(v.Self) {
		pl.local = nil
	}
	e.enqueueRecords(v, placement{}, pl, k, sl)
}

// enqueueBackup queues the copy in the data centre of the upstream, for a flow that has lived for a while.
func (e *Engine) enqueueBackup(v *stoatview.View, sh *shard, k stoatpaddle.FlowHash) {
	f := sh.flows[k]
	sl := e.reg.Load().slots[f.slot]
	s := v.Service(sl.ref)
	if s == nil {
		return
	}
	f.flags |= backedUp
	sh.flows[k] = f
	if pl := placementOf(v, s, k, sl); pl.owns(v.Self) && thirdEntry(pl.local, v.Self, pl.next) {
		e.outbox.enqueueCopy(pl.local.ID, Record{Key: k, Upstream: sl.key})
	}
}

// enqueueDrops queues the removal of a flow's copies.
func (e *Engine) enqueueDrops(v *stoatview.View, k stoatpaddle.FlowHash, f flow, sl *slot) {
	s := v.Service(sl.ref)
	if s == nil {
		return
	}
	pl := placementOf(v, s, k, sl)
	if !pl.owns(v.Self) {
		return
	}
	if pl.next != nil {
		e.outbox.enqueueDrop(pl.next.ID, k)
	}
	if f.flags&backedUp != 0 && thirdEntry(pl.local, v.Self, pl.next) {
		e.outbox.enqueueDrop(pl.local.ID, k)
	}
}
