package stoatmeasure

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// Way is how entries decide about openings in an overload.
type Way string

// The ways.
const (
	WayAll   Way = "all"   // admit every opening
	WayEqual Way = "equal" // the latency objective alone; all levels have the same priority
	WayYield Way = "yield" // refuse less urgent openings between two fixed shares of rejections
)

// overloadWays are the ways that ReportOverload compares.
var overloadWays = []Way{WayAll, WayEqual, WayYield}

// apply returns the configuration of a run of the way.
func (w Way) apply(cfg OverloadConfig) OverloadConfig {
	cfg.Way, cfg.Objective = w, overloadObjective
	if w == WayAll {
		cfg.Objective = 0
	}
	return cfg
}

// engineConfig returns the configuration of an entry's engine.
func (w Way) engineConfig(cfg stoatecho.Config) stoatecho.Config { return cfg }

// shareEvidence makes the entries add up what they observe until the given time.
func (m *overloadModel) shareEvidence(until time.Duration) {
	t := &loadTree{cfg: *m.cfg.Tree, q: &m.q, epoch: overloadEpoch}
	t.observe = func(time.Time, int) []stoatload.GroupLoad { return nil }
	t.receive = func(time.Time, int, stoatload.CentreLoad) {}
	t.start(len(m.entries), until, m.rnd)
}
