package stoatecho

import (
	"math"
	"time"
)

// An upstream that is full, or whose slots are taken by requests that hang, turns the next one away at once. It has
// little in progress from here and answers fastest, so that without a penalty new flows would gather there.
const (
	// saturationWeight is the weight of the newest answer: one refusal is a reason to go elsewhere.
	saturationWeight = 0.5
	// saturationPenalty is by how much more a flow costs at an upstream that turned all away.
	saturationPenalty = 8
	// saturationDecay is the time in which it fades to a third: several times what a queue takes to empty.
	saturationDecay = 500 * time.Millisecond
)

// rejectionRate follows which part of its requests of late an upstream turned away.
type rejectionRate struct {
	share float64 // at the latest answer
	at    time.Time
}

// noteAnswer takes in whether an answer was a refusal.
func (f *rejectionRate) noteAnswer(now time.Time, refused bool) {
	share, sample := f.shareAt(now), 0.0
	if refused {
		sample = 1
	}
	f.share, f.at = share+saturationWeight*(sample-share), now
}

func (f *rejectionRate) shareAt(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp(-float64(now.Sub(f.at))/float64(saturationDecay))
}

// penalty is by how much a flow costs more for it.
func (f *rejectionRate) penalty(now time.Time) float64 { return 1 + saturationPenalty*f.shareAt(now) }
