package stoatmeasure

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
)

// Way is how entries decide about openings in an overload.
type Way string

// The ways.
const (
	WayAll       Way = "all"       // admit every opening
	WayEqual     Way = "equal"     // the latency objective alone; all levels have the same priority
	WayOwn       Way = "own"       // a budget by the entry's own evidence
	WayShared    Way = "shared"    // a budget by the evidence of the data centre
	WayRandom    Way = "random"    // as WayShared, and each opening is a new draw
	WayThreshold Way = "threshold" // a threshold on levels by the evidence of the data centre
	WayCut       Way = "cut"       // as WayShared, and half of the entries have no parent
	WayStale     Way = "stale"     // as WayShared, and all sums are too old to be used
)

var (
	overloadWays = []Way{WayAll, WayEqual, WayOwn, WayShared, WayRandom, WayThreshold}
	// failureWays show what follows when evidence is not shared as it should be.
	failureWays = []Way{WayCut, WayStale}
)

const (
	cutShare = 0.5
	// staleAge is more than the age at which a limiter ignores a sum.
	staleAge = 2 * time.Second
)

// apply returns the configuration of a run of the way.
func (w Way) apply(cfg OverloadConfig) OverloadConfig {
	cfg.Way, cfg.Objective = w, overloadObjective
	switch w {
	case WayAll:
		cfg.Objective = 0
	case WayShared, WayRandom, WayThreshold:
		cfg.Tree = &TreeConfig{}
	case WayCut:
		cfg.Tree = &TreeConfig{CutShare: cutShare}
	case WayStale:
		cfg.Tree = &TreeConfig{Age: staleAge}
	}
	return cfg
}

// hasLevels reports whether entries distinguish between the levels.
func (w Way) hasLevels() bool { return w != WayAll && w != WayEqual }

// admission returns the configuration of the entries' limiters.
func (w Way) admission() stoatadmission.Config {
	switch w {
	case WayOwn:
		return stoatadmission.Config{Source: stoatadmission.OwnEvidence}
	case WayRandom:
		return stoatadmission.Config{Order: stoatadmission.AtRandom}
	case WayThreshold:
		return stoatadmission.Config{Method: stoatadmission.ByThreshold}
	}
	return stoatadmission.Config{}
}

// shareEvidence makes the entries add up what they observe until the given time.
func (m *overloadModel) shareEvidence(until time.Duration) {
	engines := make([]loadEngine, len(m.entries))
	for i, e := range m.entries {
		engines[i] = e
	}
	t := newLoadTree(*m.cfg.Tree, engines)
	t.q, t.epoch, t.until = &m.q, overloadEpoch, until
	t.start(rand.New(rand.NewPCG(m.cfg.Seed, treeStream)))
}
