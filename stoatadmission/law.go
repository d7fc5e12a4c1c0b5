package stoatadmission

import "time"

// update brings the budget and the admitted shares up to date.
func (l *Limiter) update(now time.Time) {
	passed := now.Sub(l.updated)
	if passed < updateInterval {
		return
	}
	l.updated = now
	l.observe(now)
	switch {
	case l.cfg.Method == Unlimited || l.activeLevels < 2:
		l.end()
	case l.limiting && l.observed.count() < keepEvidence:
		l.end()
	case !l.limiting && (l.observed.count() < beginEvidence || l.observed.prompt <= 0):
	case l.cfg.Method == ByThreshold:
		l.moveThreshold(min(passed, maxStep))
	default:
		l.moveBudget(min(passed, maxStep))
	}
	l.allocate(now)
}

// end ends limiting.
func (l *Limiter) end() { l.limiting, l.budget, l.callers = false, 0, nil }

// moveBudget moves the budget for the time that passed.
func (l *Limiter) moveBudget(passed time.Duration) {
	o := &l.observed
	excess := o.excess()
	switch {
	case !l.limiting:
		// What is admitted now is too much. At an entry that starts in an overload, it is what the others admit.
		l.limiting, l.budget = true, o.admitted
	case l.evidenceAll != o.shared:
		l.budget = min(o.arrived, l.rescaled())
	}
	l.evidenceAll = o.shared
	dt := passed.Seconds()
	if excess > 0 {
		l.budget -= budgetGain * excess * dt
	} else {
		growth := budgetGrowth * o.total() * (1 - o.rejectedShare()/rejectedTarget)
		growth *= o.idleShare() * max(0, 1-l.lateShare()/lateTarget)
		l.budget += (growth - excess) * dt
	}
	if o.shared && l.budget < o.arrived {
		l.budget += (1 - o.idleShare()) * (o.admitted - l.budget) * dt / agreementTime.Seconds()
	}
	// The most urgent level is admitted whatever the budget; a lower one would only delay the growth.
	l.budget = max(l.budget, l.mostUrgentRate())
	if l.budget > surplus*o.arrived {
		l.end()
	}
}

// lateShare returns the share of the openings admitted by level whose answers would be late.
func (l *Limiter) lateShare() float64 {
	passed := l.passed.PerSecond(l.updated, evidenceDecay)
	if passed == 0 {
		return 0
	}
	return l.late.PerSecond(l.updated, evidenceDecay) / passed
}

// rescaled returns the budget in the scale of the present evidence when it changes between an entry and its data
// centre: the same share of the openings stays admitted.
func (l *Limiter) rescaled() float64 { return l.admittedShare() * l.observed.arrived }

// admittedShare returns the share of the openings of all levels that is admitted, by the latest allocation.
func (l *Limiter) admittedShare() float64 {
	arrived, admitted := 0.0, 0.0
	for i := range l.levels {
		v := &l.levels[i]
		arrived += v.sharedRate
		admitted += v.share * v.sharedRate
	}
	if arrived == 0 {
		return 1
	}
	return admitted / arrived
}

// mostUrgentRate returns the arrivals of the most urgent level with traffic.
func (l *Limiter) mostUrgentRate() float64 {
	for i := range l.levels {
		if v := &l.levels[i]; l.active(l.updated, v) {
			return v.sharedRate
		}
	}
	return 0
}

// Steps of the threshold, in levels a second: as in DAGOR, it falls five times as fast as it rises.
const (
	thresholdFall = 0.5
	thresholdRise = 0.1
)

// moveThreshold moves the threshold by a fixed step.
func (l *Limiter) moveThreshold(passed time.Duration) {
	n := float64(l.activeLevels)
	if !l.limiting {
		l.limiting, l.threshold = true, n
	}
	if l.observed.rejectedShare() > rejectedTarget {
		l.threshold = max(1, l.threshold-thresholdFall*passed.Seconds())
		return
	}
	if l.threshold += thresholdRise * passed.Seconds(); l.threshold >= n {
		l.end()
	}
}

// allocate sets the admitted share of each level.
func (l *Limiter) allocate(now time.Time) {
	rest, rank := l.budget-l.promptCut(), 0
	for i := range l.levels {
		v := &l.levels[i]
		share := 1.0
		switch {
		case !l.limiting || !l.active(now, v):
		case rank == 0:
			rank++
		case l.cfg.Method == ByThreshold:
			share = bounded(l.threshold - float64(rank))
			rank++
		case v.sharedRate > 0:
			share = bounded(rest / v.sharedRate)
			rank++
		}
		rest -= v.sharedRate
		v.setShare(now, share)
		l.noteShare(now, v)
	}
}

// promptCut returns what is taken off the budget for the present rejections.
func (l *Limiter) promptCut() float64 { return promptGain * max(0, l.observed.prompt) }

// bounded returns the share of a level that is not the most urgent one.
func bounded(share float64) float64 { return min(1, max(guaranteedShare, share)) }
