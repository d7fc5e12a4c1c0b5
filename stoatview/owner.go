package stoatview

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Owner returns the entry that decides for the flow now, or nil.
func (v *View) Owner(s *Service, k stoatpaddle.FlowHash) *Member {
	return v.Entries.Owner(k, homeOf(s.Set, k))
}

// OwnerAndNext returns the flow's owner and the entry that would own it next.
func (v *View) OwnerAndNext(s *Service, k stoatpaddle.FlowHash) (owner, next *Member) {
	return v.Entries.OwnerAndNext(k, homeOf(s.Set, k))
}

func homeOf(set *UpstreamSet, k stoatpaddle.FlowHash) stoatpaddle.DataCentreID {
	if u := set.Preferred(k); u != nil {
		return u.DataCentre
	}
	return ""
}

// MaxCandidates bounds the entries that are asked about one unknown flow.
const MaxCandidates = 6

// Candidates appends to buf the other entries that may know the flow, most likely
// first: its owners under the rings and sets that were in force less than settle ago.
// It returns nothing in a settled view.
func (v *View) Candidates(buf []*Member, s *Service, k stoatpaddle.FlowHash, now time.Time, settle time.Duration) []*Member {
	if now.Sub(v.ChangedAt) >= settle {
		return buf
	}
	if now.Sub(v.cut) < settle {
		buf = v.copyHolders(buf, k)
	}
	buf = v.candidatesUnder(buf, s, k, v.Entries, now, settle)
	for _, p := range v.PastEntries {
		if now.Sub(p.Until) >= settle {
			break
		}
		buf = v.candidatesUnder(buf, s, k, p.Live, now, settle)
	}
	return buf
}

func (v *View) candidatesUnder(
	buf []*Member, s *Service, k stoatpaddle.FlowHash, ring *EntrySet, now time.Time, settle time.Duration,
) []*Member {
	buf = v.addCandidate(buf, ring.Owner(k, homeOf(s.Set, k)))
	for _, p := range s.PastSets {
		if now.Sub(p.Until) >= settle {
			break
		}
		buf = v.addCandidate(buf, ring.Owner(k, homeOf(p.Set, k)))
	}
	return buf
}

// copyHolders adds the owner in each data centre: after one was cut off, the flow's own
// may be gone, but a flow whose upstream is not in its home has a copy where that is.
func (v *View) copyHolders(buf []*Member, k stoatpaddle.FlowHash) []*Member {
	for _, dc := range v.Entries.centres {
		buf = v.addCandidate(buf, v.Entries.Owner(k, dc))
	}
	return buf
}

func (v *View) addCandidate(buf []*Member, m *Member) []*Member {
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

// PreviousOwner returns the entry of this one's data centre that owned the flow's share of it
// before this one did, if that changed less than settle ago, or nil. An entry that is
// asked about a flow soon after it joined asks on: the one before it may know.
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

// PartitionGrace is how long the entries beyond a cut may take to be heard again, one after
// the other, once the first one is.
const PartitionGrace = 3 * time.Second

// RecentlyPartitioned tells whether a data centre is cut off or was a moment ago.
func (v *View) RecentlyPartitioned(now time.Time) bool {
	return len(v.Partitioned) > 0 || now.Sub(v.cut) < PartitionGrace
}

// MayBeBeyondPartition tells whether an unknown packet that opens nothing may belong to a flow that
// only entries beyond a cut know: its first choice is there, or this entry owned it before
// the cut and would know it, or took it over because of the cut.
func (v *View) MayBeBeyondPartition(s *Service, k stoatpaddle.FlowHash, now time.Time) bool {
	if len(v.Partitioned) == 0 {
		return v.RecentlyPartitioned(now)
	}
	if v.Partitioned[homeOf(s.FullSet, k)] {
		return true
	}
	at, ok := v.OwnedSince(s, k)
	return !ok || !at.After(v.PartitionedAt)
}

// OwnedSince returns when this entry began to own the flow: the end of the last ring
// under which another one did; ok is false if it always has, as far back as is known.
// What opened since is known here, so an unknown packet that opens nothing belongs to
// the set that was in force then.
func (v *View) OwnedSince(s *Service, k stoatpaddle.FlowHash) (at time.Time, ok bool) {
	for _, p := range v.PastEntries {
		m := p.Original.Owner(k, homeOf(s.SetAt(p.Until.Add(-1)), k))
		if m == nil || m.ID != v.Self {
			return p.Until, true
		}
	}
	return time.Time{}, false
}
