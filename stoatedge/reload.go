package stoatedge

import (
	"maps"
	"strings"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// Reload applies changed settings, or logs why the previous ones stay in force. It interrupts no flow:
// changes of addresses and names need a restart of the entry and are only logged.
func (e *Edge) Reload(set stoatsetting.Settings, err error) {
	now := clock() // house: the settings were read now
	if err != nil {
		e.log.emit(now, EventSettingsRejected, stoatevent.F("cause", err.Error()))
		return
	}
	e.reloadMu.Lock()
	defer e.reloadMu.Unlock()
	next, applied, kept := merge(e.current, set)
	if len(applied) == 0 && len(kept) == 0 {
		return
	}
	e.current = next
	e.log.setLevel(next.Level)
	e.engineMu.Lock()
	e.engine.SetRegions(next.Regions)
	e.engineMu.Unlock()
	e.post(settingsChanged{apply: next.Bound(), returnTimeout: next.Return, flowLifetime: next.Life, seeds: seedRoleOf(next)})
	e.log.emit(now, EventSettingsReloaded, stoatevent.F("applied", strings.Join(applied, ",")), stoatevent.F("kept", strings.Join(kept, ",")))
}

// merge returns the settings in force after a change to next, and names those that were applied and those
// that need a restart.
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
	// Whether evacuations are followed at all is fixed at the start: an entry that begins to follow them
	// later knows none until it has read them, and would send flows where none may go.
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

// settings returns the settings in force.
func (e *Edge) settings() stoatsetting.Settings {
	e.reloadMu.Lock()
	defer e.reloadMu.Unlock()
	return e.current
}
