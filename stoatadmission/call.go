package stoatadmission

import "time"

// Arrived returns the openings a second of the priority at this entry.
func (l *Limiter) Arrived(now time.Time, priority int) float64 {
	return l.levelOf(now, priority).arrivals.PerSecond(now, arrivalDecay)
}
