package stoatedge

import (
	"maps"
	"slices"
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
	e.log.setLevel(next.LogLevel)
	e.engineMu.Lock()
	e.engine.SetRegions(next.Regions)
	e.engine.SetSpill(spillConfig(next))
	e.engineMu.Unlock()
	e.post(settingsChanged{maxDelay: next.MaxDelay(), gracePeriod: next.GracePeriod, flowLifetime: next.FlowLifetime, seeds: seedRoleOf(next)})
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
	apply("log.level", old.LogLevel != next.LogLevel, func() { out.LogLevel = next.LogLevel })
	apply("platform.apply", old.MaxApplyDelay != next.MaxApplyDelay, func() { out.MaxApplyDelay = next.MaxApplyDelay })
	apply("platform.leave", old.MaxLeaveDelay != next.MaxLeaveDelay, func() { out.MaxLeaveDelay = next.MaxLeaveDelay })
	// Whether evacuations are followed at all is fixed at the start: an entry that begins to follow them
	// later knows none until it has read them, and would send flows where none may go.
	follows := old.MaxEvacuateDelay > 0 && next.MaxEvacuateDelay > 0
	apply("platform.evacuate", follows && old.MaxEvacuateDelay != next.MaxEvacuateDelay, func() { out.MaxEvacuateDelay = next.MaxEvacuateDelay })
	keep("platform.evacuate", !follows && old.MaxEvacuateDelay != next.MaxEvacuateDelay)
	apply("regions", !maps.Equal(old.Regions, next.Regions), func() { out.Regions = next.Regions })
	apply("spill.rule", old.SpillRule != next.SpillRule, func() { out.SpillRule = next.SpillRule })
	apply("spill.exclude", !slices.Equal(old.SpillExcluded, next.SpillExcluded), func() { out.SpillExcluded = next.SpillExcluded })
	apply("platform.return", old.GracePeriod != next.GracePeriod, func() { out.GracePeriod = next.GracePeriod })
	apply("flow.life", old.FlowLifetime != next.FlowLifetime, func() { out.FlowLifetime = next.FlowLifetime })
	apply("stop.deadline", old.StopDeadline != next.StopDeadline, func() { out.StopDeadline = next.StopDeadline })
	apply("peer.seeds", !sameSeeds(old, next), func() { out.Seeds = next.Seeds })
	keep("instance.id", old.Instance != next.Instance)
	keep("instance.centre", old.DataCentre != next.DataCentre)
	keep("instance.share", old.CPUShare != next.CPUShare)
	keep("instance.link", old.LinkMbps != next.LinkMbps)
	keep("listen.tunnel", old.TunnelAddr != next.TunnelAddr)
	keep("listen.ready", old.ReadyAddr != next.ReadyAddr)
	keep("listen.admin", old.AdminAddr != next.AdminAddr)
	keep("platform.address", old.PlatformAddr != next.PlatformAddr)
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
