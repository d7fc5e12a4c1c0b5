package stoatview

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Owner returns the entry that decides for the flow under this view, or nil if there are no entries.
func (v *View) Owner(s *Service, k stoatpaddle.FlowHash) *Member {
	return v.Entries.Owner(k, homeCentre(s.Set, k))
}

// OwnerAndNext returns the flow's owner and its successor, the entry that would own the flow if the owner
// left.
func (v *View) OwnerAndNext(s *Service, k stoatpaddle.FlowHash) (owner, next *Member) {
	return v.Entries.OwnerAndNext(k, homeCentre(s.Set, k))
}

// homeCentre returns the data centre of the flow's preferred upstream, or "" if the set is empty.
func homeCentre(set *UpstreamSet, k stoatpaddle.FlowHash) stoatpaddle.DataCentreID {
	if u := set.Preferred(k); u != nil {
		return u.DataCentre
	}
	return ""
}

// MaxCandidates limits the number of entries that are queried about one unknown flow.
const MaxCandidates = 6

// Candidates appends to buf the other entries that may know the flow, the most likely first: its owners
// under the entry sets and upstream sets that were in force less than settle ago. It appends nothing when
// the view has been unchanged for that long.
func (v *View) Candidates(buf []*Member, s *Service, k stoatpaddle.FlowHash, now time.Time, settle time.Duration) []*Member {
	if now.Sub(v.ChangedAt) >= settle {
		return buf
	}
	if now.Sub(v.partitionSeen) < settle {
		buf = v.appendCopyHolders(buf, k)
	}
	buf = v.appendOwners(buf, s, k, v.Entries, now, settle)
	for _, p := range v.PastEntries {
		if now.Sub(p.Until) >= settle {
			break
		}
		buf = v.appendOwners(buf, s, k, p.Live, now, settle)
	}
	return buf
}

// appendOwners appends the flow's owners within one entry set, under the current and the recent upstream
// sets.
func (v *View) appendOwners(
	buf []*Member, s *Service, k stoatpaddle.FlowHash, entries *EntrySet, now time.Time, settle time.Duration,
) []*Member {
	buf = v.appendCandidate(buf, entries.Owner(k, homeCentre(s.Set, k)))
	for _, p := range s.PastSets {
		if now.Sub(p.Until) >= settle {
			break
		}
		buf = v.appendCandidate(buf, entries.Owner(k, homeCentre(p.Set, k)))
	}
	return buf
}

// appendCopyHolders appends the flow's owner in each data centre. After a partition the owner in the flow's
// home data centre may be gone, but a flow whose upstream is in another data centre has a copy there.
func (v *View) appendCopyHolders(buf []*Member, k stoatpaddle.FlowHash) []*Member {
	for _, dc := range v.Entries.centres {
		buf = v.appendCandidate(buf, v.Entries.Owner(k, dc))
	}
	return buf
}

// appendCandidate appends the entry unless it is this one, is already in buf, or buf has MaxCandidates
// entries.
func (v *View) appendCandidate(buf []*Member, m *Member) []*Member {
	if m == nil || m.ID == v.Self || len(buf) >= MaxCandidates {
		return buf
	}
	for _, b := range buf {
		if b.ID == m.ID {
			return buf
		}
	}
	return append(buf, m)
}

// PreviousOwner returns the entry that owned the flow within this entry's data centre before this entry did,
// or nil if this entry is not the owner or has been for at least settle. An entry that receives a lookup
// soon after it joined forwards the lookup to the previous owner, which may know the flow.
func (v *View) PreviousOwner(k stoatpaddle.FlowHash, now time.Time, settle time.Duration) *Member {
	self := v.Entries.Find(v.Self)
	if self == nil || v.Entries.Owner(k, self.DataCentre) != self {
		return nil
	}
	for _, p := range v.PastEntries {
		if now.Sub(p.Until) >= settle {
			return nil
		}
		if m := p.Live.Owner(k, self.DataCentre); m != nil && m.ID != v.Self {
			return m
		}
	}
	return nil
}

// PartitionGrace is how long the entries beyond a partition may take to answer again, one after the other,
// once the first of them does.
const PartitionGrace = 3 * time.Second

// RecentlyPartitioned reports whether a data centre is partitioned or was less than PartitionGrace ago.
func (v *View) RecentlyPartitioned(now time.Time) bool {
	return len(v.Partitioned) > 0 || now.Sub(v.partitionSeen) < PartitionGrace
}

// MayBeBeyondPartition reports whether a packet that opens no flow, and whose flow is unknown here, may belong
// to a flow that only entries beyond a partition know. That is so in three cases: the flow's preferred
// upstream is beyond the partition; this entry has owned the flow since before the partition and would know
// the flow if it had opened here; or this entry became the owner because of the partition. For PartitionGrace
// after a partition it is so for every flow.
func (v *View) MayBeBeyondPartition(s *Service, k stoatpaddle.FlowHash, now time.Time) bool {
	if len(v.Partitioned) == 0 {
		return v.RecentlyPartitioned(now)
	}
	if v.Partitioned[homeCentre(s.FullSet, k)] {
		return true
	}
	at, ok := v.OwnedSince(s, k)
	return !ok || !at.After(v.PartitionedAt)
}

// OwnedSince returns when this entry began to own the flow, which is the end of the last entry set under
// which another entry owned it. ok is false if this entry has owned it for as long as the view records. A
// flow that opened later is known here, so a packet of an unknown flow that is not an opening packet belongs
// to a flow of the upstream set that was in force at that time.
func (v *View) OwnedSince(s *Service, k stoatpaddle.FlowHash) (at time.Time, ok bool) {
	for _, p := range v.PastEntries {
		m := p.Original.Owner(k, homeCentre(s.SetAt(p.Until.Add(-1)), k))
		if m == nil || m.ID != v.Self {
			return p.Until, true
		}
	}
	return time.Time{}, false
}
