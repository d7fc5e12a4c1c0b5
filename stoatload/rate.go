package stoatload

import (
	"math"
	"time"
)

// Rate is an event rate in which the weight of an event decays exponentially with its age. Rates of several
// entries can be added without a common window.
type Rate struct {
	perSecond float64 // at the time of the latest event
	at        time.Time
}

// Add records an event; decay is the time in which its weight falls to 1/e.
func (r *Rate) Add(now time.Time, decay time.Duration) {
	r.perSecond, r.at = r.PerSecond(now, decay)+1/decay.Seconds(), now
}

// PerSecond returns the rate in events a second.
func (r *Rate) PerSecond(now time.Time, decay time.Duration) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-float64(max(0, now.Sub(r.at)))/float64(decay))
}
