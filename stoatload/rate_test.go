package stoatload

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

var app = GroupID{Service: "app", DataCentre: "here"}

// near reports whether two figures differ by no more than the share.
func near(a, b, share float64) bool {
	return math.Abs(a-b) <= share*max(math.Abs(a), math.Abs(b), 1e-6)
}

// Guards against a rate that depends on a window: at a constant rate of events the figure approaches it, and it falls to
// nothing afterwards.
func TestRateApproachesConstantRate(t *testing.T) {
	const decay = 250 * ms
	var r Rate
	now := start
	for range 500 {
		now = now.Add(10 * ms)
		r.Add(now, decay)
	}
	if got := r.PerSecond(now.Add(5*ms), decay); !near(got, 100, 0.05) {
		t.Error(got)
	}
	if got := r.PerSecond(now.Add(6*time.Second), decay); got >= trafficFloor {
		t.Error("afterwards:", got)
	}
}

// Guards against rates that grow without bound when the clock is set back.
func TestRateAfterClockStep(t *testing.T) {
	var r Rate
	r.Add(start, 250*ms)
	if got := r.PerSecond(start.Add(-time.Hour), 250*ms); got != 4 {
		t.Error(got)
	}
}
