package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// evacuate has operators evacuate a data centre, or take it back.
func (w *world) evacuate(d stoatpaddle.DataCentreID, withdrawn bool) {
	w.rev++
	w.book.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: w.rev, Withdrawn: withdrawn})
}

// only declares one route, to flows of which those regions are open.
func (w *world) only(regions ...stoatpaddle.RegionID) {
	w.rev++
	w.book.ApplyDeclaration(stoatpaddle.Declaration{Version: w.rev, Routes: []stoatpaddle.Route{
		{Listen: feed, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}, Idempotent: true, Regions: regions},
	}}, w.rev)
}

// The own data centre is evacuated. Its callers' new flows go to the other one, also copies of
// openings that were sent there before; open flows go on, whatever they carry. Taken back, it gets
// flows again at once.
func TestEvacuatedDataCentreGetsNothingNew(t *testing.T) {
	w := newWorld(t)
	open := w.flowTo(1)
	opening := w.caller(feed)
	if a := opening.syn(0); a.Upstream.DataCentre != "here" {
		t.Fatalf("%+v", a)
	}
	w.evacuate("here", false)
	w.after(200 * ms)
	if a := opening.syn(1); a.Verdict != stoatecho.Forward || a.Upstream.ID != "i-3" {
		t.Errorf("the copy of an opening: %+v", a)
	}
	for range 20 {
		if up := w.caller(feed).open(); up.ID != "i-3" {
			t.Error("a new flow went to", up.ID)
		}
		mustGoOn(t, "open flow", open.ask())
		open.done()
	}
	w.evacuate("here", true)
	home := 0
	for range 20 {
		if w.caller(feed).open().DataCentre == "here" {
			home++
		}
	}
	if home < 15 {
		t.Errorf("%d of 20 flows came home", home)
	}
}

// The only data centre that has a service is evacuated, or the other one's upstreams are ejected, or
// full. No evacuated upstream is a last resort: the caller is refused at once, and told why.
func TestEvacuatedIsNoLastResort(t *testing.T) {
	w := newWorld(t)
	w.evacuate("here", false)
	a := w.caller(upload).syn(0)
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Evacuated] != 1 {
		t.Errorf("%v", a.Excluded)
	}
	w.evacuate("there", false)
	a = w.caller(feed).syn(0)
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Evacuated] != 3 {
		t.Errorf("%v", a.Excluded)
	}
}

// The upstream that is left elsewhere has let openings go unanswered. That it is worse than the
// evacuated ones does not matter: it is tried, or the caller refused.
func TestEjectedGoesBeforeEvacuated(t *testing.T) {
	w := newWorld(t)
	w.evacuate("here", false)
	for range 4 {
		c := w.caller(feed)
		for copies, gap := range []time.Duration{200 * ms, 400 * ms, 700 * ms} {
			if a := c.syn(copies); a.Verdict == stoatecho.Forward && a.Upstream.DataCentre == "here" {
				t.Errorf("copy %d went to %s", copies, a.Upstream.ID)
			}
			w.after(gap)
		}
	}
}

// A route allows one region. Its flows go only to data centres there, also when those are elsewhere
// and the own one has room; a data centre whose region nobody names is in none. Open flows go on
// when the list changes.
func TestRegionsOfARoute(t *testing.T) {
	w := newWorld(t)
	open := w.flowTo(1)
	w.e.SetRegions(stoatfilter.Regions{"here": "south", "there": "north"})
	w.only("north")
	for range 10 {
		if up := w.caller(feed).open(); up.DataCentre != "there" {
			t.Error("outside its regions:", up.ID)
		}
	}
	mustGoOn(t, "open flow outside", open.ask())
	w.only("north", "south")
	if up := w.caller(feed).open(); up.DataCentre != "here" {
		t.Error("not at home though that is allowed:", up.ID)
	}
	w.e.SetRegions(stoatfilter.Regions{"here": "south"})
	w.only("north")
	a := w.caller(feed).syn(0)
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Outside] != 3 {
		t.Errorf("%v", a.Excluded)
	}
}

// Three data centres of one service, of which the own one is evacuated. Both others get its flows, by
// the room that they have.
func TestEvacuatedTrafficSpreads(t *testing.T) {
	w := newWorld(t)
	for target := stoatpaddle.Target(20); target < 24; target++ {
		w.register(target, "app", "there")
		w.register(target+10, "app", "yonder")
	}
	w.evacuate("here", false)
	got := map[stoatpaddle.DataCentreID]int{}
	for range 60 {
		c := w.caller(feed)
		got[c.open().DataCentre]++
		c.ask()
	}
	if got["here"] != 0 || got["there"] < 20 || got["yonder"] < 20 {
		t.Error(got)
	}
}

// All upstreams of the own data centre are cold, and bear few requests. As long as this entry has no
// turn there, its flows go to the other data centre, which is warm; if that is evacuated, they are
// refused at once. Once they are warm they get flows again.
func TestColdUpstreamsAreSpared(t *testing.T) {
	w := newWorld(t)
	w.rev++
	w.book.ApplyDeclaration(stoatpaddle.Declaration{
		Version: w.rev, ColdRates: map[stoatpaddle.ServiceID]float64{"app": 3},
		Routes: []stoatpaddle.Route{{Listen: feed, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}, Idempotent: true}},
	}, w.rev)
	for target := stoatpaddle.Target(1); target <= 2; target++ {
		w.rev++
		w.book.Register(w.now, stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID([]string{"", "i-1", "i-2"}[target]), Target: target, Service: "app", DataCentre: "here", Slots: 3, Cold: 4 * time.Second,
		}, w.rev)
	}
	for range 10 {
		if up := w.caller(feed).open(); up.DataCentre != "there" {
			t.Error("a cold upstream got a flow that it may not bear:", up.ID)
		}
	}
	w.evacuate("there", false)
	a := w.caller(feed).syn(0)
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Cold] != 2 || a.Excluded[stoatfilter.Evacuated] != 1 {
		t.Errorf("%v", a.Excluded)
	}
	w.after(4 * time.Second)
	if up := w.caller(feed).open(); up.DataCentre != "here" {
		t.Error(up.ID)
	}
}
