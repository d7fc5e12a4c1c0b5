package stoatadmission

import "time"

// Arrived returns the openings a second of the priority at this entry.
func (l *Limiter) Arrived(now time.Time, priority int) float64 {
	return l.levelOf(now, priority).arrivals.PerSecond(now, arrivalDecay)
}

// KeepAnswered raises the budget to the answers a second, for callers that send one request for each opening: what is
// answered fits. After a fall of the budget, it is found again sooner than by budgetGrowth.
func (l *Limiter) KeepAnswered(now time.Time) {
	if l.limiting {
		l.budget = max(l.budget, l.answers.perSecond(now))
	}
}
