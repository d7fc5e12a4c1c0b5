package stoatmeasure

import (
	"context"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// The targets that the tests require of entries which distinguish between levels.
const (
	// keptShare is the least share of the requests in time, compared with entries that do not know levels.
	keptShare = 0.98
	// maxReadmission is how long after a burst entries may refuse openings.
	maxReadmission = time.Second
	// maxRecovery is how long after a burst requests may fail although callers' tries exceed the capacity.
	maxRecovery = 2 * time.Second
)

var mediumFleet = OverloadConfig{Entries: 9, Upstreams: 14}

// runWay runs a load with one way of deciding.
func runWay(t *testing.T, cfg OverloadConfig, way Way, seed uint64) OverloadResult {
	t.Helper()
	cfg.Seed = seed
	o, err := RunOverload(context.Background(), way.apply(cfg))
	if err != nil {
		t.Fatal(err)
	}
	all := o.All()
	t.Logf("%s, seed %d: %d of %d in time, idle %.2f, readmission %s, recovery %s, levels %+v",
		way, seed, all.InTime, all.Asked, o.IdleShare, o.Readmission, o.Recovery, o.Levels)
	return o
}

// patternConfig returns the medium fleet under a named load.
func patternConfig(t *testing.T, name string) OverloadConfig {
	t.Helper()
	for _, p := range loadPatterns {
		if p.name == name {
			cfg := mediumFleet
			if cfg.Stages = p.stages; p.with != nil {
				p.with(&cfg)
			}
			return cfg
		}
	}
	t.Fatalf("no load is named %q", name)
	return OverloadConfig{}
}

// Levels could be paid for with idle slots, or serve less urgent requests better than urgent ones. The bounds are
// required of own and of shared evidence.
func TestLevelsInOverload(t *testing.T) {
	for _, load := range []string{"x 1.5", "x 2", "x 4", "x 9"} {
		t.Run(load, func(t *testing.T) { checkTargets(t, load) })
	}
}

// The same bounds hold with more levels, an unused one, slow upstreams, and flows that carry many requests.
func TestLevelsUnderOtherConditions(t *testing.T) {
	for _, load := range []string{"five levels", "unused level", "slow quarter", "half long"} {
		t.Run(load, func(t *testing.T) { checkTargets(t, load) })
	}
}

// checkTargets requires the targets of a load.
func checkTargets(t *testing.T, load string) {
	t.Helper()
	cfg := patternConfig(t, load)
	equal := runWay(t, cfg, WayEqual, 1)
	for _, way := range []Way{WayOwn, WayShared} {
		o := runWay(t, cfg, way, 1)
		if got, before := o.All().InTime, equal.All().InTime; float64(got) < keptShare*float64(before) {
			t.Errorf("%s: %d requests in time, %d without levels", way, got, before)
		}
		if o.Urgent.share(o.Urgent.InTime) < o.Usual.share(o.Usual.InTime) {
			t.Errorf("%s: in time: urgent %.3f, usual %.3f", way, o.Urgent.share(o.Urgent.InTime), o.Usual.share(o.Usual.InTime))
		}
		if o.Readmission > maxReadmission {
			t.Errorf("%s: openings were refused until %s after the burst", way, o.Readmission)
		}
	}
}

// Of five levels, a more urgent one could be served worse than a less urgent one between the first and the last.
func TestFiveLevelsInOrder(t *testing.T) {
	for _, way := range []Way{WayOwn, WayShared} {
		o := runWay(t, patternConfig(t, "five levels"), way, 1)
		// The levels are in ascending order of urgency.
		for i := 1; i < len(o.Levels); i++ {
			less, more := o.Levels[i-1], o.Levels[i]
			served := func(x Outcomes) float64 { return x.share(x.InTime + x.Late) }
			if served(more) < served(less) {
				t.Errorf("%s: of level %d %.3f are served, of the less urgent one %.3f", way, i, served(more), served(less))
			}
		}
	}
}

// A route without traffic and with a lower priority number must not make the most urgent route that has traffic
// yield.
func TestUnusedLevelChangesNothing(t *testing.T) {
	for _, way := range []Way{WayOwn, WayShared} {
		cfg := patternConfig(t, "unused level")
		with := runWay(t, cfg, way, 1)
		cfg.Levels = twoLevels
		without := runWay(t, cfg, way, 1)
		if with.Urgent != without.Urgent || with.Usual != without.Usual {
			t.Errorf("%s: with the unused route urgent %+v, usual %+v; without urgent %+v, usual %+v", way, with.Urgent, with.Usual, without.Urgent, without.Usual)
		}
	}
}

// With one level there is nothing to prefer, and own evidence must decide as without levels.
func TestOneLevelIsNotLimited(t *testing.T) {
	cfg := patternConfig(t, "one level")
	own, equal := runWay(t, cfg, WayOwn, 1), runWay(t, cfg, WayEqual, 1)
	if own.All() != equal.All() {
		t.Errorf("%+v, without levels %+v", own.All(), equal.All())
	}
}

// After a burst, the tries of callers whose requests waited too long could keep the upstreams full for good. Without
// limits they do, which shows that the load provokes it.
func TestMetastableOverloadEnds(t *testing.T) {
	cfg := patternConfig(t, "metastable")
	calm := cfg.Stages[len(cfg.Stages)-1].Duration
	if o := runWay(t, cfg, WayAll, 1); o.Recovery < calm/2 {
		t.Errorf("without limits requests are served %s after the burst: the load provokes nothing", o.Recovery)
	}
	for _, way := range []Way{WayOwn, WayShared} {
		if o := runWay(t, cfg, way, 1); o.Recovery > maxRecovery {
			t.Errorf("%s: requests fail until %s after the burst", way, o.Recovery)
		}
	}
}

// Entries without a parent, or with sums that are too old, decide by their own evidence: urgent requests still go
// first.
func TestEvidenceIsNotShared(t *testing.T) {
	for _, way := range failureWays {
		o := runWay(t, patternConfig(t, "x 2"), way, 1)
		if o.Urgent.share(o.Urgent.InTime) < o.Usual.share(o.Usual.InTime) {
			t.Errorf("%s: in time: urgent %.3f, usual %.3f", way, o.Urgent.share(o.Urgent.InTime), o.Usual.share(o.Usual.InTime))
		}
		if o.Readmission > maxReadmission {
			t.Errorf("%s: openings were refused until %s after the burst", way, o.Readmission)
		}
	}
}

// A run must depend on its seed alone, and the load must be the same whatever entries decide.
func TestOverloadIsDeterministic(t *testing.T) {
	cfg := patternConfig(t, "resets")
	a, b, other := runWay(t, cfg, WayShared, 3), runWay(t, cfg, WayShared, 3), runWay(t, cfg, WayAll, 3)
	if a.All() != b.All() || a.IdleShare != b.IdleShare {
		t.Errorf("%+v and %+v", a.All(), b.All())
	}
	if a.All().Asked != other.All().Asked {
		t.Errorf("%d requests, %d without limits", a.All().Asked, other.All().Asked)
	}
}

// Each request must have exactly one outcome, whatever upstreams do with it.
func TestOutcomesAreComplete(t *testing.T) {
	for _, load := range []string{"resets", "hanging", "half long", "metastable"} {
		o := runWay(t, patternConfig(t, load), WayShared, 1)
		all := o.All()
		if n := all.InTime + all.Late + all.Refused + all.Lost; n != all.Asked {
			t.Errorf("%s: %d outcomes of %d requests", load, n, all.Asked)
		}
	}
}

// countingEngine observes a fixed load and records the sums that it is handed.
type countingEngine struct {
	entries int
	fresh   bool
}

func (c *countingEngine) Loads(time.Time) []stoatload.GroupLoad {
	return []stoatload.GroupLoad{{
		Group: stoatload.GroupID{Service: "app", DataCentre: "here"}, Entries: 1, Answered: 10, Rejected: 10,
		Levels: []stoatload.LevelLoad{{Priority: 1, Arrived: 10, Admitted: 10}, {Priority: 2, Arrived: 10, Admitted: 5}},
	}}
}

func (c *countingEngine) SetSharedLoads(_ time.Time, own stoatload.CentreLoad, fresh bool, _ []stoatload.CentreLoad) {
	c.fresh, c.entries = fresh, 0
	if g := own.Find("app"); fresh && g != nil {
		c.entries = g.Entries
	}
}

// All entries of a tree must learn the sum of all of them, those that are cut off must learn none, and a sum that is
// too old must not count as fresh.
func TestLoadTree(t *testing.T) {
	const entries = 85
	for name, cfg := range map[string]TreeConfig{"whole": {}, "cut": {CutShare: cutShare}, "stale": {Age: staleAge}} {
		engines := make([]loadEngine, entries)
		counting := make([]countingEngine, entries)
		for i := range engines {
			engines[i] = &counting[i]
		}
		q := &queue{}
		tree := newLoadTree(cfg, engines)
		tree.q, tree.epoch, tree.until = q, overloadEpoch, 3*time.Second
		m := newOverloadModel(smallFleet)
		tree.start(m.rnd)
		q.runUntil(3 * time.Second)
		connected := entries - int(cfg.CutShare*entries)
		for i := range counting {
			want := connected
			if i >= connected || name == "stale" && i > 0 {
				want = 0
			}
			if c := counting[i]; c.entries != want || c.fresh != (want > 0) {
				t.Errorf("%s: entry %d has a sum of %d entries (fresh: %t), want %d", name, i, c.entries, c.fresh, want)
			}
		}
	}
}
