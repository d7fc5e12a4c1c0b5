package stoatmeasure

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
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
	// overloadWays are the ways that ReportOverload compares.
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
	t := &loadTree{cfg: *m.cfg.Tree, q: &m.q, epoch: overloadEpoch}
	t.observe = func(now time.Time, entry int) []stoatload.GroupLoad { return m.entries[entry].Loads(now) }
	t.receive = func(now time.Time, entry int, sum stoatload.CentreLoad) {
		m.entries[entry].SetSharedLoads(now, sum, now.Sub(sum.At) <= maxSumAge, nil)
	}
	t.start(len(m.entries), until, m.rnd)
}

// maxSumAge is the age up to which a sum decides.
const maxSumAge = time.Second
