package stoatadmission

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// Limiter decides about the openings to one group at one entry. It is not safe for concurrent use.
type Limiter struct {
	cfg          Config
	rnd          *rand.Rand // created when it is first needed
	answers      answerRate
	passed, late stoatload.Rate // openings that the levels admit, and those of them whose answers would be late
	rejected     stoatload.Rate
	shared       Evidence
	levels       []level // ascending by priority
	updated      time.Time
	observed     observation // as of the latest update
	limiting     bool
	budget       float64 // openings a second in the scale of the evidence, while limiting
	ownAtShared  float64 // arrivals a second here when the shared evidence came
	threshold    float64 // ByThreshold: how many levels are admitted
	changes      []Change
	activeLevels int           // levels with recent traffic
	leastUrgent  int           // the least urgent of them
	callers      *callerCounts // while limiting
	evidenceAll  bool          // whether the budget is one of the data centre
}

// New returns a Limiter.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg} }

// Answered records an answer seen by this entry (took 0: its time does not count), and how long answers take without
// a queue (0: not known).
func (l *Limiter) Answered(now time.Time, took, unqueued time.Duration) {
	l.answers.add(now, took, unqueued)
}

// Rejected records that an upstream rejected a request.
func (l *Limiter) Rejected(now time.Time) { l.rejected.Add(now, evidenceDecay) }

// SetShared replaces the evidence of the data centre.
func (l *Limiter) SetShared(e Evidence) {
	l.shared, l.ownAtShared = e, l.ownArrivals(e.At)
}

// Decide decides about an opening and counts it.
func (l *Limiter) Decide(now time.Time, o Opening) Decision {
	l.update(now)
	v := l.levelOf(now, o.Priority)
	r := v.arrive(now, o.Route)
	d := Decision{Share: v.share, RejectedShare: l.observed.rejectedShare(), Shared: l.observed.shared, Limiting: l.limiting}
	if l.limiting {
		d.Budget = l.budget
	}
	d.Reason = l.judge(now, o, v, r)
	d.Admitted = d.Reason == Admitted
	v.count(now, d.Reason)
	return d
}

// judge returns the reason for the decision about an opening of the level; r is its route, nil if the route is not
// tracked.
func (l *Limiter) judge(now time.Time, o Opening, v *level, r *route) Reason {
	reason := Admitted
	if l.limiting {
		reason = l.judgeByLevel(now, o, v, r)
	}
	if reason != Admitted {
		return reason
	}
	l.passed.Add(now, evidenceDecay)
	if !o.Late {
		return Admitted
	}
	l.late.Add(now, evidenceDecay)
	return RefusedLate
}

// judgeByLevel returns the reason for the decision while openings are limited.
func (l *Limiter) judgeByLevel(now time.Time, o Opening, v *level, r *route) Reason {
	if o.Away {
		return RefusedAway
	}
	share := v.share
	if r != nil {
		share = r.share
	}
	if share >= 1 {
		return Admitted
	}
	x, spread := l.position(now, o)
	switch {
	case x < callerShare(share, spread):
		return Admitted
	case x < callerShare(v.share, spread):
		return RefusedByFairShare
	}
	return RefusedByLevel
}

// HasPrecedence reports whether a less urgent level than the given one had recent traffic at the latest update.
func (l *Limiter) HasPrecedence(priority int) bool {
	return l.activeLevels > 0 && l.leastUrgent > priority
}

// Limiting reports whether any level is limited, or has changes that are not taken.
func (l *Limiter) Limiting() bool {
	if l.limiting || len(l.changes) > 0 {
		return true
	}
	for i := range l.levels {
		if !l.levels[i].limitedSince.IsZero() {
			return true
		}
	}
	return false
}

// Advance brings the decisions up to date at times without openings.
func (l *Limiter) Advance(now time.Time) { l.update(now) }

// random returns the source of this entry's random numbers.
func (l *Limiter) random() *rand.Rand {
	if l.rnd == nil {
		l.rnd = rand.New(rand.NewPCG(l.cfg.Seed, ^l.cfg.Seed))
	}
	return l.rnd
}
