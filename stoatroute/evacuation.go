package stoatroute

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// evacuations are the data centres of which operators wanted that their upstreams get no new flows.
//
// One that was withdrawn stays known, with the revision of its withdrawal: an entry that is behind, or
// a replica, may still say that it holds. Whoever cannot read the platform keeps what is believed for
// as long as that lasts: a data centre that is about to lose its power must not get flows again since
// the platform is away.
type evacuations struct {
	evacuationStates map[stoatpaddle.DataCentreID]evacuationState
	evacuationsKnown bool // they were listed at least once, or need not be
}

// EvacuationSeq returns the book's count of changes at the last one of an evacuation.
func (e *evacuations) EvacuationSeq() uint64 {
	last := uint64(0)
	for _, s := range e.evacuationStates {
		last = max(last, s.change)
	}
	return last
}

type evacuationState struct {
	stoatpaddle.Evacuation
	change uint64 // the book's count of changes at its last one
	// lost is when a list of the present era first lacked the evacuation, which was known before a restore;
	// zero: none did.
	lost time.Time
}

// rewriteTime is how long after a restore operators may take to write an evacuation again that the copy
// lacks. Flows that go elsewhere for some seconds more harm less than flows to a data centre that is about
// to lose its power.
const rewriteTime = 10 * time.Second

func (e evacuations) clone(needed bool) evacuations {
	return evacuations{evacuationStates: maps.Clone(e.evacuationStates), evacuationsKnown: e.evacuationsKnown || !needed}
}

// Evacuated tells whether upstreams of the data centre are to get no new flows.
func (e *evacuations) Evacuated(d stoatpaddle.DataCentreID) bool {
	s, known := e.evacuationStates[d]
	return known && !s.Withdrawn
}

// EvacuationsSince returns the states that changed after the book's count was that, ascending by data
// centre.
func (e *evacuations) EvacuationsSince(change uint64) []stoatpaddle.Evacuation {
	var out []stoatpaddle.Evacuation
	for _, s := range e.evacuationStates {
		if s.change > change {
			out = append(out, s.Evacuation)
		}
	}
	slices.SortFunc(out, func(a, b stoatpaddle.Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// ApplyEvacuation takes in what operators want of a data centre, and tells whether that changes where flows
// may go. An earlier state than the known one is ignored, whoever brings it.
func (b *Builder) ApplyEvacuation(e stoatpaddle.Evacuation) bool {
	old, known := b.evacuationStates[e.DataCentre]
	if known && !e.Supersedes(old.Evacuation) {
		return false
	}
	if b.evacuationStates == nil {
		b.evacuationStates = map[stoatpaddle.DataCentreID]evacuationState{}
	}
	b.changes++
	b.evacuationStates[e.DataCentre] = evacuationState{Evacuation: e, change: b.changes}
	b.dirty = true
	return e.Withdrawn == (known && !old.Withdrawn)
}

// ApplyEvacuationList takes in which data centres a complete list names that is as of a revision. The
// others are not evacuated any more; it returns those that were. One that was known before a restore may
// have been lost with it, and ends with ExpireEvacuations.
func (b *Builder) ApplyEvacuationList(now time.Time, names map[stoatpaddle.DataCentreID]bool, asOf stoatpaddle.Version) []stoatpaddle.DataCentreID {
	b.evacuationsKnown, b.dirty = true, true
	return b.lift(asOf, func(d stoatpaddle.DataCentreID, s *evacuationState) bool {
		if names[d] || s.Revision != 0 {
			return !names[d]
		}
		if s.lost.IsZero() {
			s.lost = now
		}
		return false
	})
}

// ExpireEvacuations ends the evacuations that operators did not write again in time after a restore, as of
// a revision, and returns their data centres.
func (b *Builder) ExpireEvacuations(now time.Time, asOf stoatpaddle.Version) []stoatpaddle.DataCentreID {
	return b.lift(asOf, func(_ stoatpaddle.DataCentreID, s *evacuationState) bool {
		return !s.lost.IsZero() && now.Sub(s.lost) >= rewriteTime
	})
}

// RestartEvacuationGracePeriod gives operators their full time to write again from now on: they cannot while the
// platform is away.
func (b *Builder) RestartEvacuationGracePeriod(now time.Time) {
	for d, s := range b.evacuationStates {
		if !s.lost.IsZero() {
			s.lost = now
			b.evacuationStates[d] = s
		}
	}
}

// lift withdraws the evacuations that have ended, as of a revision.
func (b *Builder) lift(asOf stoatpaddle.Version, ended func(d stoatpaddle.DataCentreID, s *evacuationState) bool) []stoatpaddle.DataCentreID {
	var lifted []stoatpaddle.DataCentreID
	for d, s := range b.evacuationStates {
		if s.Withdrawn {
			continue
		}
		end := ended(d, &s)
		b.evacuationStates[d] = s
		if end && b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: asOf, Withdrawn: true}) {
			lifted = append(lifted, d)
		}
	}
	slices.Sort(lifted)
	return lifted
}
