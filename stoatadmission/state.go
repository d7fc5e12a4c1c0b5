package stoatadmission

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// Change reports that a level began or ended to be limited.
type Change struct {
	At            time.Time
	Priority      int
	Limited       bool
	Share         float64 // of its openings that are admitted
	RejectedShare float64
	Shared        bool
	Refused       int64         // openings of the level that were refused for it since the start of the entry
	Lasted        time.Duration // for a level that is not limited any more: how long it was
}

// noteShare notes whether a level begins or ends to be limited.
func (l *Limiter) noteShare(now time.Time, v *level) {
	switch {
	case v.share < 1 && v.limitedSince.IsZero():
		v.limitedSince, v.fullSince = now, time.Time{}
		l.change(now, v, true)
	case v.share < 1:
		v.fullSince = time.Time{}
	case v.limitedSince.IsZero():
	case v.fullSince.IsZero():
		v.fullSince = now
	case now.Sub(v.fullSince) >= endedAfter:
		l.change(now, v, false)
		v.limitedSince, v.fullSince = time.Time{}, time.Time{}
	}
}

func (l *Limiter) change(now time.Time, v *level, limited bool) {
	if len(l.changes) >= maxChanges {
		return
	}
	c := Change{
		At: now, Priority: v.priority, Limited: limited, Share: v.share, RejectedShare: l.observed.rejectedShare(), Shared: l.observed.shared,
		Refused: v.counts[RefusedByLevel] + v.counts[RefusedByFairShare],
	}
	if !limited {
		c.Lasted = now.Sub(v.limitedSince)
	}
	l.changes = append(l.changes, c)
}

// TakeChanges returns the changes since the last call.
func (l *Limiter) TakeChanges() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// LevelState is the state of a level.
type LevelState struct {
	Priority     int
	Arrived      float64 // openings a second at this entry
	Admitted     float64
	Counts       [ReasonCount]int64 // openings since the start, by decision
	Share        float64            // of its openings that are admitted
	LimitedSince time.Time          // zero: it is not limited
}

// State is the state of a Limiter.
type State struct {
	Limiting      bool
	Shared        bool // whether the evidence of the data centre decides
	Budget        float64
	RejectedShare float64
	Levels        []LevelState // ascending by priority
}

// State returns the state.
func (l *Limiter) State(now time.Time) State {
	l.update(now)
	s := State{Limiting: l.limiting, Shared: l.observed.shared, Budget: l.budget, RejectedShare: l.observed.rejectedShare()}
	for i := range l.levels {
		v := &l.levels[i]
		s.Levels = append(s.Levels, LevelState{
			Priority: v.priority, Arrived: v.arrivals.PerSecond(now, arrivalDecay), Admitted: v.admissions.PerSecond(now, arrivalDecay),
			Counts: v.counts, Share: v.share, LimitedSince: v.limitedSince,
		})
	}
	return s
}

// Load returns what this entry observed, except the group and what is in progress.
func (l *Limiter) Load(now time.Time) stoatload.GroupLoad {
	g := stoatload.GroupLoad{
		Entries: 1, Answered: l.answers.perSecond(now), Rejected: l.rejected.PerSecond(now, evidenceDecay),
		AnswerTime: time.Duration(l.answers.mean), Unqueued: l.answers.unqueued,
	}
	for i := range l.levels {
		if v := &l.levels[i]; now.Sub(v.lastArrival) <= levelIdle {
			g.Levels = append(g.Levels, stoatload.LevelLoad{Priority: v.priority, Arrived: v.arrivals.PerSecond(now, arrivalDecay), Admitted: v.admissions.PerSecond(now, arrivalDecay)})
		}
	}
	return g
}
