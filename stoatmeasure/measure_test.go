package stoatmeasure

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Callers' flows must survive every planned change, and the death of an entry may cost only what that entry
// tracked and had not copied yet. Each experiment runs at a twentieth of its size, with a seed, so that the
// outcome is the same every time.
func TestBounds(t *testing.T) {
	bounds := map[string]float64{
		"1 steady": 0, "2 all change at once": 0, "3a one entry dies": 0.001, "3b two entries die": 0.01,
		"3c one dies within 2": 0.005, "4 rolling replacement": 0, "5 partition within 2": 0, "7 weights amended": 0,
	}
	for _, x := range Experiments() {
		for _, upstreams := range []int{14, 4} {
			t.Run(x.Name, func(t *testing.T) {
				t.Parallel()
				r := Run(x, Config{
					Entries: 9, Upstreams: upstreams, Flows: 3000, OpenRate: 150, Preference: stoatpaddle.PreferBalance, Seed: 3,
				})
				if most := int(bounds[x.Name] * float64(r.Flows)); r.Broken > most {
					t.Errorf("%d of %d flows broken, %d allowed", r.Broken, r.Flows, most)
				}
				if r.LateOpenDelay > 3*time.Second {
					t.Errorf("a flow opened at a leaving upstream %s after the mark", r.LateOpenDelay)
				}
				if r.Flows < 2000 || r.Opened < 1000 {
					t.Errorf("the experiment did not run: %+v", r)
				}
			})
		}
	}
}

// The experiments must be able to fail: the naive entry breaks flows when the set of upstreams changes.
func TestNaiveBreaks(t *testing.T) {
	r := Run(Experiments()[1], Config{Entries: 9, Upstreams: 14, Flows: 1000, OpenRate: 50, Preference: stoatpaddle.PreferFewTracked, Seed: 1})
	if r.NaiveBroken < r.Flows/50 {
		t.Errorf("naive broke %d of %d", r.NaiveBroken, r.Flows)
	}
}

// Two runs with the same seed must agree exactly, so that a broken flow can be reproduced.
func TestDeterministic(t *testing.T) {
	cfg := Config{Entries: 9, Upstreams: 14, Flows: 1000, OpenRate: 100, Preference: stoatpaddle.PreferBalance, Seed: 5}
	if a, b := Run(Experiments()[1], cfg), Run(Experiments()[1], cfg); a != b {
		t.Errorf("%+v\n%+v", a, b)
	}
}
