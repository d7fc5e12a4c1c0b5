package stoatedge

import (
	"maps"
	"strings"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// Reload takes changed settings in, or says why the ones before stay in force. Nothing that
// flows is interrupted: addresses and names need a start of the entry and are only named.
func (e *Edge) Reload(set stoatsetting.Settings, err error) {
	now := clock() // house: the settings were read now
	if err != nil {
		e.log.emit(now, EventSettingsRejected, stoatevent.F("cause", err.Error()))
		return
	}
	e.reloadMu.Lock()
	defer e.reloadMu.Unlock()
	next, applied, kept := merge(e.set, set)
	if len(applied) == 0 && len(kept) == 0 {
		return
	}
	e.set = next
	e.log.level(next.Level)
	e.engineMu.Lock()
	e.engine.SetRegions(next.Regions)
	e.engineMu.Unlock()
	e.post(rebound{apply: next.Bound(), back: next.Return, life: next.Life, seeds: namedSeeds(next)})
	e.log.emit(now, EventSettingsReloaded, stoatevent.F("applied", strings.Join(applied, ",")), stoatevent.F("kept", strings.Join(kept, ",")))
}

// merge returns the settings in force after a change to next, and names what was applied
// and what needs a start.
func merge(old, next stoatsetting.Settings) (stoatsetting.Settings, []string, []string) {
	out := old
	var applied, kept []string
	apply := func(name string, changed bool, set func()) {
		if changed {
			applied = append(applied, name)
			set()
		}
	}
	keep := func(name string, changed bool) {
		if changed {
			kept = append(kept, name)
		}
	}
	apply("log.level", old.Level != next.Level, func() { out.Level = next.Level })
	apply("platform.apply", old.Apply != next.Apply, func() { out.Apply = next.Apply })
	apply("platform.leave", old.Leave != next.Leave, func() { out.Leave = next.Leave })
	// Whether evacuations are followed at all is settled at the start: one that comes to follow them
	// would know none until it has read them, and send flows where none may go.
	follows := old.Evacuate > 0 && next.Evacuate > 0
	apply("platform.evacuate", follows && old.Evacuate != next.Evacuate, func() { out.Evacuate = next.Evacuate })
	keep("platform.evacuate", !follows && old.Evacuate != next.Evacuate)
	apply("regions", !maps.Equal(old.Regions, next.Regions), func() { out.Regions = next.Regions })
	apply("platform.return", old.Return != next.Return, func() { out.Return = next.Return })
	apply("flow.life", old.Life != next.Life, func() { out.Life = next.Life })
	apply("stop.deadline", old.Stop != next.Stop, func() { out.Stop = next.Stop })
	apply("peer.seeds", !sameSeeds(old, next), func() { out.Seeds = next.Seeds })
	keep("instance.id", old.Instance != next.Instance)
	keep("instance.centre", old.DataCentre != next.DataCentre)
	keep("instance.share", old.Share != next.Share)
	keep("instance.link", old.Link != next.Link)
	keep("listen.tunnel", old.Tunnel != next.Tunnel)
	keep("listen.ready", old.Ready != next.Ready)
	keep("listen.admin", old.Admin != next.Admin)
	keep("platform.address", old.Platform != next.Platform)
	keep("fabric.kind", old.Fabric != next.Fabric)
	return out, applied, kept
}

func sameSeeds(a, b stoatsetting.Settings) bool {
	if len(a.Seeds) != len(b.Seeds) {
		return false
	}
	for i := range a.Seeds {
		if a.Seeds[i] != b.Seeds[i] {
			return false
		}
	}
	return true
}

// settings returns what is in force.
func (e *Edge) settings() stoatsetting.Settings {
	e.reloadMu.Lock()
	defer e.reloadMu.Unlock()
	return e.set
}
