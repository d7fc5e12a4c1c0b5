package stoatecho

import (
	"math"
	"time"
)

// Upstreams that reject requests get fewer new flows. An upstream that is full, or whose slots are held by
// requests that hang, rejects the next request at once. It then has little in progress from here and answers
// fastest, so that without a penalty new flows would gather there.
const (
	// saturationWeight is the weight of the newest answer: one rejection is reason enough to prefer others.
	saturationWeight = 0.5
	// saturationPenalty is the factor, less one, on the cost of a flow at an upstream that rejected everything.
	saturationPenalty = 8
	// saturationDecay is the time in which the penalty falls to 1/e: several times as long as a queue takes to
	// empty.
	saturationDecay = 500 * time.Millisecond
)

// rejectionRate tracks the share of recent requests that an upstream rejected.
type rejectionRate struct {
	share float64 // at the time of the latest answer
	at    time.Time
}

// noteAnswer records whether an answer was a rejection.
func (r *rejectionRate) noteAnswer(now time.Time, rejected bool) {
	share, sample := r.shareAt(now), 0.0
	if rejected {
		sample = 1
	}
	r.share, r.at = share+saturationWeight*(sample-share), now
}

func (r *rejectionRate) shareAt(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}
	return r.share * math.Exp(-float64(now.Sub(r.at))/float64(saturationDecay))
}

// penalty returns the factor on the cost of a flow.
func (r *rejectionRate) penalty(now time.Time) float64 { return 1 + saturationPenalty*r.shareAt(now) }
