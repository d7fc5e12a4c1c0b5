package stoatedge_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatedge"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// overloadedLoad returns a load of data centre here whose upstreams reject half of the requests.
func overloadedLoad() []stoatload.GroupLoad { return loadOf("here", 100, 1) }

// idleLoad returns a load of data centre there, which has room. Its two levels make it one that is exchanged.
func idleLoad() []stoatload.GroupLoad {
	l := loadOf("there", 2, 0)
	l[0].InProgress, l[0].AnswerTime = 0.1, l[0].Unqueued
	l[0].Levels = []stoatload.LevelLoad{{Priority: 0, Arrived: 1, Admitted: 1}, {Priority: 1, Arrived: 1, Admitted: 1}}
	return l
}

// startSpill starts two seeds that tell of an overload here and of room there, and an entry below the first one, which
// has the settings that change makes.
func (r *rig) startSpill(change func(set *stoatsetting.Settings)) (*stoatedge.Edge, stoatsetting.Settings, *logBuffer) {
	r.t.Helper()
	r.store.Write(platform.KindUpstream, names[1], map[string]any{
		"service": "app", "address": r.upstream[1].LocalAddr().String(), "zone": "there", "version": "v1", "slots": 3, "state": "ready", "cold_remaining_ms": 0, "seq": 2,
	})
	setA, setB := r.settings("127.0.0.31"), r.settings("127.0.0.41")
	setA.Seeds = []netip.AddrPort{setA.AdminAddr, setB.AdminAddr}
	setB.Seeds, setB.DataCentre = setA.Seeds, "there"
	a := r.startLoadsWith(setA, overloadedLoad())
	r.startLoadsWith(setB, idleLoad())
	set := r.settings("127.0.0.11", a.set.AdminAddr)
	change(&set)
	e, l := r.startConfigured(stoatedge.Config{Settings: set})
	r.wait("the entry is ready", func() bool { return isReady(set) })
	r.wait("it has a parent", func() bool { return depth(e) == 1 })
	r.wait("it has an upstream in either data centre", func() bool {
		return len(e.Table().CandidatesIn("app", "here")) == 1 && len(e.Table().CandidatesIn("app", "there")) == 1
	})
	r.send(set, packet(flagSYN, 40001, 443, 0))
	return e, set, l
}

// spillOf returns the spillover in the status of the entry; false: there is none.
func (r *rig) spillOf(set stoatsetting.Settings) (stoatstatus.Spill, bool) {
	s, err := stoatadmin.NewClient(set.AdminAddr.String()).Status(context.Background())
	if err != nil || len(s.Spills) != 1 {
		return stoatstatus.Spill{}, false
	}
	return s.Spills[0], true
}

// roomIs returns a condition: the status shows the room of the other data centre, and that it is usable or not.
func (r *rig) roomIs(set stoatsetting.Settings, rule string, spilling, usable bool) func() bool {
	return func() bool {
		s, ok := r.spillOf(set)
		return ok && s.Service == "app" && s.Rule == rule && s.Spilling == spilling && s.RejectedShare > 0.4 &&
			len(s.Targets) == 1 && s.Targets[0].Centre == "there" && s.Targets[0].Usable == usable && s.Targets[0].PerSecond > 0 == usable
	}
}

// Guards against rooms that operators do not see, and against settings that are read and not applied: with a reload, a
// data centre is excluded and allowed again, and the rule changes.
func TestSpillFollowsReload(t *testing.T) {
	r := newRig(t)
	e, set, l := r.startSpill(func(*stoatsetting.Settings) {})
	r.wait("openings go to the data centre with room", r.roomIs(set, "room", true, true))
	r.wait("this is logged", func() bool { return l.has(`"event":"SP1442"`) && l.has(`"targets":"there=`) })
	set.SpillExcluded = []stoatpaddle.DataCentreID{"there"}
	e.Reload(set, nil)
	r.wait("the excluded data centre has no room, and the spill ends", r.roomIs(set, "room", false, false))
	r.wait("both are logged", func() bool { return l.has(`"event":"SP1443"`) && l.has(`"applied":"spill.exclude"`) })
	set.SpillExcluded, set.SpillRule = nil, stoatsetting.SpillByBoth
	e.Reload(set, nil)
	r.wait("the other rule is in force", r.roomIs(set, "both", true, true))
	set.SpillRule = stoatsetting.SpillNever
	e.Reload(set, nil)
	r.wait("no rule is in force", func() bool {
		s, err := stoatadmin.NewClient(set.AdminAddr.String()).Status(context.Background())
		return err == nil && len(s.Spills) == 0 && l.has(`"applied":"spill.rule"`)
	})
}

// Guards against settings that only a reload applies.
func TestSpillSettingsAtStart(t *testing.T) {
	r := newRig(t)
	_, set, l := r.startSpill(func(set *stoatsetting.Settings) {
		set.SpillRule, set.SpillExcluded = stoatsetting.SpillByBoth, []stoatpaddle.DataCentreID{"there"}
	})
	r.wait("the excluded data centre has no room", r.roomIs(set, "both", false, false))
	if l.has(`"event":"SP1442"`) {
		t.Error("a spill to an excluded data centre is logged")
	}
}
