package stoatmeasure

import (
	"context"
	"testing"
	"time"
)

var smallFleet, largeFleet = OverloadConfig{Entries: 3, Upstreams: 4}, OverloadConfig{Entries: 30, Upstreams: 40}

// play plays stages with the first seeds, summed up. Without an objective nothing is refused for being late.
func play(t *testing.T, fleet OverloadConfig, objective time.Duration, seeds uint64, stages ...Stage) OverloadResult {
	t.Helper()
	sum := OverloadResult{Stages: make([][2]Outcomes, len(stages))}
	for seed := range seeds {
		fleet.Stages, fleet.Objective, fleet.Seed = stages, objective, seed
		o, err := RunOverload(context.Background(), fleet)
		if err != nil {
			t.Fatal(err)
		}
		sum.Usual.add(o.Usual)
		sum.Urgent.add(o.Urgent)
		sum.Bound += o.Bound
		for i := range o.Stages {
			sum.Stages[i][0].add(o.Stages[i][0])
			sum.Stages[i][1].add(o.Stages[i][1])
		}
	}
	t.Logf("%+v, objective %s: usual %+v, urgent %+v, %.2f of the bound", stages, objective, sum.Usual, sum.Urgent, sum.Goodput()/sum.Bound)
	return sum
}

func (o Outcomes) share(n int) float64 { return float64(n) / float64(o.Asked) }

// Twice what the upstreams can do, for four seconds: without a limit, more than half of the
// answers are late by the queue. With it, upstreams work as much, nine in ten of their answers
// are in time, and the more urgent requests come first.
func TestOverload(t *testing.T) {
	plain := play(t, smallFleet, 0, 10, Stage{2, 4 * time.Second})
	limited := play(t, smallFleet, overloadObjective, 10, Stage{2, 4 * time.Second})
	inTime, before := limited.Usual.InTime+limited.Urgent.InTime, plain.Usual.InTime+plain.Urgent.InTime
	if float64(inTime) < 1.7*float64(before) {
		t.Errorf("%d in time, %d without a limit", inTime, before)
	}
	answered := inTime + limited.Usual.Late + limited.Urgent.Late
	if most := before + plain.Usual.Late + plain.Urgent.Late; float64(answered) < 0.9*float64(most) {
		t.Errorf("%d answered, %d without a limit: upstreams stood idle", answered, most)
	}
	if inTime < answered*9/10 {
		t.Errorf("%d of %d answers are in time", inTime, answered)
	}
	if limited.Urgent.share(limited.Urgent.Refused) > 0.1*limited.Usual.share(limited.Usual.Refused) {
		t.Errorf("refused: urgent %+v, usual %+v", limited.Urgent, limited.Usual)
	}
}

// The same before forty upstreams that thirty entries share. An entry sees one answer of each in half a
// second, and half of all answers are refusals. Four fifths of what the upstreams can do is answered
// in time all the same, and the more urgent requests come first. TODO(admission): nine tenths, with
// what the entries of a data centre know together.
func TestOverloadSeenByMany(t *testing.T) {
	o := play(t, largeFleet, overloadObjective, 1, Stage{2, 4 * time.Second})
	most := 4 * largeFleet.capacity()
	if inTime := float64(o.Usual.InTime + o.Urgent.InTime); inTime < 0.8*most {
		t.Errorf("%.0f in time, the upstreams can do %.0f", inTime, most)
	}
	if o.Urgent.share(o.Urgent.Refused) > 0.2*o.Usual.share(o.Usual.Refused) {
		t.Errorf("refused: urgent %+v, usual %+v", o.Urgent, o.Usual)
	}
}

// A burst ends. Callers that were refused come back within milliseconds, twice, and must not
// keep the overload up: a second later nobody is refused any more, and answers are in time.
func TestOverloadEnds(t *testing.T) {
	o := play(t, smallFleet, overloadObjective, 3, Stage{4, 2 * time.Second}, Stage{0, time.Second}, Stage{0.6, 5 * time.Second})
	for _, calm := range o.Stages[2] {
		if calm.Refused > 0 || calm.share(calm.InTime) < 0.99 {
			t.Errorf("%+v", calm)
		}
	}
}

// All entries have just started and callers come in a herd. Nothing is known of any upstream,
// and that is no reason to refuse.
func TestNothingKnownIsNoOverload(t *testing.T) {
	cfg := smallFleet
	cfg.Objective, cfg.Seed = overloadObjective, 1
	m := newOverloadModel(cfg)
	var out Outcomes
	for range smallFleet.Upstreams * overloadSlots {
		m.q.after(0, func() { m.try(urgentListen, &out, m.q.now, overloadTries) })
	}
	m.q.run(time.Minute)
	if out.InTime != smallFleet.Upstreams*overloadSlots {
		t.Errorf("%+v", out)
	}
}

// The usual load, 0.6 of what the upstreams can do: nobody is refused.
func TestUsualLoadIsNotRefused(t *testing.T) {
	o := play(t, smallFleet, overloadObjective, 3, Stage{0.6, 20 * time.Second})
	for _, r := range []Outcomes{o.Usual, o.Urgent} {
		if r.Refused > 0 || r.share(r.InTime) < 0.99 {
			t.Errorf("%+v", r)
		}
	}
}

// The work alone takes as long as the objective allows. That is how it is: nothing is
// refused for it.
func TestLongWorkIsNotRefused(t *testing.T) {
	if o := play(t, smallFleet, overloadWork, 3, Stage{0.15, 10 * time.Second}); o.Usual.Refused+o.Urgent.Refused > 0 {
		t.Errorf("%+v", o)
	}
}

// No policy yields more than the bound, and where upstreams can do all that is asked the bound is all.
func TestBound(t *testing.T) {
	for _, p := range loadPatterns {
		for _, objective := range []time.Duration{0, overloadObjective} {
			if o := play(t, smallFleet, objective, 2, p.stages...); o.Goodput() > o.Bound {
				t.Errorf("%s: worth %.0f, bound %.0f", p.name, o.Goodput(), o.Bound)
			}
		}
	}
	o := play(t, smallFleet, overloadObjective, 1, Stage{0.5, 4 * time.Second})
	if all := float64(o.Usual.Asked) + urgentWorth*float64(o.Urgent.Asked); o.Bound != all {
		t.Errorf("bound %.0f of %.0f", o.Bound, all)
	}
}
