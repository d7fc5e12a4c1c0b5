package stoatview

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Owner returns the entry that decides for the flow now, or nil.
func (v *View) Owner(s *Service, k stoatpaddle.FlowHash) *Member {
	return v.Ring.Owner(k, homeCentre(s.Set, k))
}

// OwnerNext returns the flow's owner and the entry that would own it next.
func (v *View) OwnerNext(s *Service, k stoatpaddle.FlowHash) (owner, next *Member) {
	return v.Ring.OwnerNext(k, homeCentre(s.Set, k))
}

func homeCentre(set *Set, k stoatpaddle.FlowHash) stoatpaddle.DataCentreID {
	if u := set.First(k); u != nil {
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
	if now.Sub(v.Changed) >= settle {
		return buf
	}
	if now.Sub(v.partitionSeen) < settle {
		buf = v.appendCopyHolders(buf, k)
	}
	buf = v.appendOwners(buf, s, k, v.Ring, now, settle)
	for _, p := range v.Past {
		if now.Sub(p.Until) >= settle {
			break
		}
		buf = v.appendOwners(buf, s, k, p.Ring, now, settle)
	}
	return buf
}

func (v *View) appendOwners(
	buf []*Member, s *Service, k stoatpaddle.FlowHash, ring *Ring, now time.Time, settle time.Duration,
) []*Member {
	buf = v.appendCandidate(buf, ring.Owner(k, homeCentre(s.Set, k)))
	for _, p := range s.Past {
		if now.Sub(p.Until) >= settle {
			break
		}
		buf = v.appendCandidate(buf, ring.Owner(k, homeCentre(p.Set, k)))
	}
	return buf
}

// appendCopyHolders adds the owner in each data centre: after one was cut off, the flow's own
// may be gone, but a flow whose upstream is not in its home has a copy where that is.
func (v *View) appendCopyHolders(buf []*Member, k stoatpaddle.FlowHash) []*Member {
	for _, dc := range v.Ring.centres {
		buf = v.appendCandidate(buf, v.Ring.Owner(k, dc))
	}
	return buf
}

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

// Before returns the entry of this one's data centre that owned the flow's share of it
// before this one did, if that changed less than settle ago, or nil. An entry that is
// asked about a flow soon after it joined asks on: the one before it may know.
func (v *View) Before(k stoatpaddle.FlowHash, now time.Time, settle time.Duration) *Member {
	self := v.Ring.Find(v.Self)
	if self == nil || v.Ring.Owner(k, self.DataCentre) != self {
		return nil
	}
	for _, p := range v.Past {
		if now.Sub(p.Until) >= settle {
			return nil
		}
		if m := p.Ring.Owner(k, self.DataCentre); m != nil && m.ID != v.Self {
			return m
		}
	}
	return nil
}

// CutGrace is how long the entries beyond a cut may take to be heard again, one after
// the other, once the first one is.
const CutGrace = 3 * time.Second

// CutLately tells whether a data centre is cut off or was a moment ago.
func (v *View) CutLately(now time.Time) bool {
	return len(v.Cut) > 0 || now.Sub(v.partitionSeen) < CutGrace
}

// Elsewhere tells whether an unknown packet that opens nothing may belong to a flow that
// only entries beyond a cut know: its first choice is there, or this entry owned it before
// the cut and would know it, or took it over because of the cut.
func (v *View) Elsewhere(s *Service, k stoatpaddle.FlowHash, now time.Time) bool {
	if len(v.Cut) == 0 {
		return v.CutLately(now)
	}
	if v.Cut[homeCentre(s.Whole, k)] {
		return true
	}
	at, ok := v.TakenOver(s, k)
	return !ok || !at.After(v.CutAt)
}

// TakenOver returns when this entry began to own the flow: the end of the last ring
// under which another one did; ok is false if it always has, as far back as is known.
// What opened since is known here, so an unknown packet that opens nothing belongs to
// the set that was in force then.
func (v *View) TakenOver(s *Service, k stoatpaddle.FlowHash) (at time.Time, ok bool) {
	for _, p := range v.Past {
		m := p.Full.Owner(k, homeCentre(s.SetAt(p.Until.Add(-1)), k))
		if m == nil || m.ID != v.Self {
			return p.Until, true
		}
	}
	return time.Time{}, false
}
