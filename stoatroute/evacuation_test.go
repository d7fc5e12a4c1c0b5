package stoatroute_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// States of an evacuation reach an entry along several paths and in any order. The latest state must win; of a
// request and a withdrawal with the same revision, the withdrawal must win.
func TestLatestEvacuationWins(t *testing.T) {
	requested := func(revision stoatpaddle.Version) stoatpaddle.Evacuation {
		return stoatpaddle.Evacuation{DataCentre: "here", Revision: revision}
	}
	withdrawn := func(revision stoatpaddle.Version) stoatpaddle.Evacuation {
		e := requested(revision)
		e.Withdrawn = true
		return e
	}
	states := []stoatpaddle.Evacuation{requested(5), withdrawn(5), requested(8), withdrawn(9), requested(12)}
	for first := range states {
		b := stoatroute.NewBuilder(stoatroute.Config{RequireEvacuations: true})
		for i := range states {
			b.ApplyEvacuation(states[(first+i)%len(states)])
		}
		if !b.Table().Evacuated("here") {
			t.Errorf("starting with state %d: not evacuated", first)
		}
		if b.ApplyEvacuation(withdrawn(11)) || !b.ApplyEvacuation(withdrawn(12)) || b.ApplyEvacuation(withdrawn(13)) {
			t.Errorf("starting with state %d: ApplyEvacuation reports a change wrongly", first)
		}
		if b.Table().Evacuated("here") || b.Table().Evacuated("there") {
			t.Errorf("starting with state %d: evacuated", first)
		}
	}
}

// A list that is complete as of a revision lacks a data centre. Its evacuation must count as withdrawn, unless
// it was requested later than the list.
func TestListOfEvacuations(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{RequireEvacuations: true})
	for d, revision := range map[stoatpaddle.DataCentreID]stoatpaddle.Version{"old": 5, "new": 20, "kept": 6} {
		b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: revision})
	}
	withdrawn := b.ApplyEvacuationList(start, map[stoatpaddle.DataCentreID]bool{"kept": true}, 10)
	if !slices.Equal(withdrawn, []stoatpaddle.DataCentreID{"old"}) {
		t.Error(withdrawn)
	}
	table := b.Table()
	if table.Evacuated("old") || !table.Evacuated("new") || !table.Evacuated("kept") {
		t.Errorf("%+v", table.EvacuationsSince(0))
	}
}

// A running upstream becomes cold again, for example after its data centre was evacuated, and reports that
// under the same id. It must be cold for as long as it reports, also at an entry that learns of it from
// another entry.
func TestUpstreamBecomesColdAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := stoatpaddle.Registration{ID: "i-1", Target: 1, Service: "app", DataCentre: "here", Slots: 2}
	warm := func(b *stoatroute.Builder) time.Duration {
		u, _ := b.Lookup("i-1")
		return u.WarmAt.Sub(now)
	}
	b, child := stoatroute.NewBuilder(stoatroute.Config{}), stoatroute.NewBuilder(stoatroute.Config{})
	b.Register(now, r, 1)
	child.Mirror(now, stoatroute.RemoteUpdate{Upstreams: []stoatroute.RemoteUpstream{{Registration: r, Revision: 1}}, UpToDate: true})
	now = now.Add(time.Minute)
	r.ColdRemaining = 4 * time.Second
	b.Register(now, r, 2)
	child.Mirror(now, stoatroute.RemoteUpdate{Upstreams: []stoatroute.RemoteUpstream{{Registration: r, Revision: 2}}, UpToDate: true})
	if warm(b) != 4*time.Second || warm(child) != 4*time.Second {
		t.Errorf("cold for %s, at the other entry: %s", warm(b), warm(child))
	}
	now = now.Add(time.Second)
	r.ColdRemaining = 0
	b.Register(now, r, 3)
	if warm(b) > 0 {
		t.Errorf("the upstream reports that it is warm, but counts as cold for %s", warm(b))
	}
}
