package stoatroute

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// evacuations holds the data centres that operators have evacuated, which means that their upstreams get no
// new flows.
//
// A withdrawn evacuation stays known with the revision of its withdrawal, because an entry that is behind or
// a replica may still report the evacuation. While an entry cannot read the platform it keeps all evacuations
// that it knows: a data centre that is about to lose power must not get flows again only because the platform
// does not answer.
type evacuations struct {
	evacuationStates map[stoatpaddle.DataCentreID]evacuationState
	evacuationsKnown bool // the evacuations were listed at least once, or need not be known
}

// EvacuationSeq returns the builder's change sequence number at the last change of an evacuation.
func (e *evacuations) EvacuationSeq() uint64 {
	last := uint64(0)
	for _, s := range e.evacuationStates {
		last = max(last, s.changeSeq)
	}
	return last
}

type evacuationState struct {
	stoatpaddle.Evacuation
	changeSeq uint64 // the builder's change sequence number at its last change
	// missingSince is when a list of the current era first lacked the evacuation, which was known before a
	// restore. It is zero if no list did.
	missingSince time.Time
}

// evacuationGracePeriod is how long after a restore operators have to write an evacuation again that the
// restored copy lacks. Sending flows elsewhere for some more seconds does less harm than sending them to a
// data centre that is about to lose power.
const evacuationGracePeriod = 10 * time.Second

// clone returns a copy for a table. If evacuations are not required, they count as known.
func (e evacuations) clone(required bool) evacuations {
	return evacuations{evacuationStates: maps.Clone(e.evacuationStates), evacuationsKnown: e.evacuationsKnown || !required}
}

// Evacuated reports whether the data centre is evacuated, so that its upstreams get no new flows.
func (e *evacuations) Evacuated(d stoatpaddle.DataCentreID) bool {
	s, known := e.evacuationStates[d]
	return known && !s.Withdrawn
}

// EvacuationsSince returns the evacuations that changed after the given change sequence number, ascending by
// data centre.
func (e *evacuations) EvacuationsSince(seq uint64) []stoatpaddle.Evacuation {
	var out []stoatpaddle.Evacuation
	for _, s := range e.evacuationStates {
		if s.changeSeq > seq {
			out = append(out, s.Evacuation)
		}
	}
	slices.SortFunc(out, func(a, b stoatpaddle.Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// ApplyEvacuation records that a data centre is evacuated or that its evacuation is withdrawn, and reports
// whether that changes where flows may go. A state that is earlier than the known one is ignored, whoever sends
// it.
func (b *Builder) ApplyEvacuation(e stoatpaddle.Evacuation) bool {
	old, known := b.evacuationStates[e.DataCentre]
	if known && !e.Supersedes(old.Evacuation) {
		return false
	}
	if b.evacuationStates == nil {
		b.evacuationStates = map[stoatpaddle.DataCentreID]evacuationState{}
	}
	b.changeSeq++
	b.evacuationStates[e.DataCentre] = evacuationState{Evacuation: e, changeSeq: b.changeSeq}
	b.dirty = true
	return e.Withdrawn == (known && !old.Withdrawn)
}

// ApplyEvacuationList applies a list of evacuations that is complete as of a revision. It withdraws all
// evacuations that the list lacks and returns their data centres. An evacuation that was known before a
// restore may have been lost in the restore; it is withdrawn later by ExpireEvacuations.
func (b *Builder) ApplyEvacuationList(now time.Time, names map[stoatpaddle.DataCentreID]bool, asOf stoatpaddle.Version) []stoatpaddle.DataCentreID {
	b.evacuationsKnown, b.dirty = true, true
	return b.withdrawEnded(asOf, func(d stoatpaddle.DataCentreID, s *evacuationState) bool {
		if names[d] || s.Revision != 0 {
			return !names[d]
		}
		if s.missingSince.IsZero() {
			s.missingSince = now
		}
		return false
	})
}

// ExpireEvacuations withdraws, as of a revision, the evacuations that operators did not write again in time
// after a restore, and returns their data centres.
func (b *Builder) ExpireEvacuations(now time.Time, asOf stoatpaddle.Version) []stoatpaddle.DataCentreID {
	return b.withdrawEnded(asOf, func(_ stoatpaddle.DataCentreID, s *evacuationState) bool {
		return !s.missingSince.IsZero() && now.Sub(s.missingSince) >= evacuationGracePeriod
	})
}

// RestartEvacuationGracePeriod restarts the time that operators have to write evacuations again, because they
// cannot do so while the platform does not answer.
func (b *Builder) RestartEvacuationGracePeriod(now time.Time) {
	for d, s := range b.evacuationStates {
		if !s.missingSince.IsZero() {
			s.missingSince = now
			b.evacuationStates[d] = s
		}
	}
}

// withdrawEnded withdraws, as of a revision, the evacuations for which ended returns true, and returns their
// data centres.
func (b *Builder) withdrawEnded(asOf stoatpaddle.Version, ended func(d stoatpaddle.DataCentreID, s *evacuationState) bool) []stoatpaddle.DataCentreID {
	var withdrawn []stoatpaddle.DataCentreID
	for d, s := range b.evacuationStates {
		if s.Withdrawn {
			continue
		}
		end := ended(d, &s)
		b.evacuationStates[d] = s
		if end && b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: asOf, Withdrawn: true}) {
			withdrawn = append(withdrawn, d)
		}
	}
	slices.Sort(withdrawn)
	return withdrawn
}
