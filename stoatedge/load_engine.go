package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// loadEngine is the part of the engine that measures loads, and decides by those of other entries. The caller holds
// engineMu.
type loadEngine interface {
	// Loads returns the load that this entry observes of the groups with traffic.
	Loads(now time.Time) []stoatload.GroupLoad
	// SetSharedLoads replaces the load of this data centre, if it is recent enough for decisions, and those of others.
	SetSharedLoads(now time.Time, own stoatload.CentreLoad, fresh bool, others []stoatload.CentreLoad)
}

// loadEngineOf returns what measures the loads of this entry; nil: the engine does not.
func loadEngineOf(cfg Config, engine any) loadEngine {
	if cfg.loads != nil {
		return cfg.loads
	}
	x, _ := engine.(loadEngine)
	return x
}
