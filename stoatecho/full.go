package stoatecho

import (
	"math"
	"time"
)

// An upstream that is full, or whose slots are taken by requests that hang, turns the next one away at once. It has
// little in progress from here and answers fastest, so that without a penalty new flows would gather there.
const (
	// fullWeight is the weight of the newest answer: one refusal is a reason to go elsewhere.
	fullWeight = 0.5
	// fullPenalty is by how much more a flow costs at an upstream that turned all away.
	fullPenalty = 8
	// fullAge is the time in which it fades to a third: several times what a queue takes to empty.
	fullAge = 500 * time.Millisecond
)

// full follows which part of its requests of late an upstream turned away.
type full struct {
	share float64 // at the latest answer
	at    time.Time
}

// replied takes in whether an answer was a refusal.
func (f *full) replied(now time.Time, refused bool) {
	share, x := f.shareAt(now), 0.0
	if refused {
		x = 1
	}
	f.share, f.at = share+fullWeight*(x-share), now
}

func (f *full) shareAt(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp(-float64(now.Sub(f.at))/float64(fullAge))
}

// penalty is by how much a flow costs more for it.
func (f *full) penalty(now time.Time) float64 { return 1 + fullPenalty*f.shareAt(now) }
