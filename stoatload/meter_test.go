package stoatload

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

var app = GroupID{Service: "app", DataCentre: "here"}

// near reports whether two figures differ by no more than the share.
func near(a, b, share float64) bool {
	return math.Abs(a-b) <= share*max(math.Abs(a), math.Abs(b), 1e-6)
}

// Guards against a meter whose rates depend on a window: at a constant rate, each figure approaches it, and a level
// without traffic is left out after three seconds.
func TestMeterMeasuresRates(t *testing.T) {
	var m Meter
	now := start
	for range 500 {
		now = now.Add(10 * ms)
		m.Opening(now, 0, true)
		m.Opening(now, 3, false)
		m.Answer(now, 40*ms)
		m.Rejection(now)
	}
	g := m.Load(now.Add(5*ms), app, 7)
	if !near(g.Answered, 100, 0.05) || !near(g.Rejected, 100, 0.05) || g.InProgress != 7 || g.Entries != 1 || g.Group != app {
		t.Errorf("%+v", g)
	}
	if !near(g.AnswerTime.Seconds(), 0.04, 0.001) || g.Unqueued != 40*ms {
		t.Error(g.AnswerTime, g.Unqueued)
	}
	if len(g.Levels) != 2 || g.Levels[0].Priority != 0 || !near(g.Levels[0].Admitted, 100, 0.05) || !near(g.Levels[1].Arrived, 100, 0.05) || g.Levels[1].Admitted != 0 {
		t.Errorf("%+v", g.Levels)
	}
	if !g.UnderPressure() || !g.Contended() || !near(g.RejectedShare(), 0.5, 0.01) {
		t.Error("rejections are not pressure")
	}
	if later := m.Load(now.Add(6*time.Second), app, 0); !later.Idle() || len(later.Levels) != 0 || later.Contended() {
		t.Errorf("%+v", later)
	}
}

// Guards against a burst that makes a queued answer time pass for the time without a queue, and against one that is
// remembered for good after the upstreams became slower.
func TestMeterRemembersUnqueuedTime(t *testing.T) {
	var m Meter
	m.Answer(start, 10*ms)
	now := start
	for now.Before(start.Add(20 * time.Second)) {
		now = now.Add(100 * ms)
		m.Answer(now, 200*ms)
	}
	if g := m.Load(now, app, 0); g.Unqueued != 10*ms || g.AnswerTime < 190*ms {
		t.Error("in the burst:", g.Unqueued, g.AnswerTime)
	}
	for now.Before(start.Add(70 * time.Second)) {
		now = now.Add(100 * ms)
		m.Answer(now, 200*ms)
	}
	if g := m.Load(now, app, 0); g.Unqueued != 200*ms {
		t.Error("after a minute:", g.Unqueued)
	}
}

// Guards against unbounded memory and against a loss of the most urgent levels, whatever priorities arrive.
func TestMeterKeepsMostUrgentLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Meter
		seen := map[int]bool{}
		for _, p := range rapid.SliceOfN(rapid.IntRange(-20, 60), 1, 200).Draw(t, "priorities") {
			m.Opening(start, p, true)
			seen[p] = true
		}
		g := m.Load(start, app, 0)
		if len(g.Levels) != min(len(seen), MaxLevels) {
			t.Fatal(len(g.Levels), len(seen))
		}
		for i, l := range g.Levels {
			if !seen[l.Priority] || i > 0 && l.Priority <= g.Levels[i-1].Priority {
				t.Fatalf("%+v", g.Levels)
			}
			delete(seen, l.Priority)
		}
		for p := range seen {
			if p < g.Levels[len(g.Levels)-1].Priority {
				t.Fatal("a more urgent level is missing:", p)
			}
		}
	})
}

// Guards against rates that grow without bound when the clock is set back.
func TestRateAfterClockStep(t *testing.T) {
	var r Rate
	r.Add(start, answerDecay)
	if got := r.PerSecond(start.Add(-time.Hour), answerDecay); got != 4 {
		t.Error(got)
	}
}
