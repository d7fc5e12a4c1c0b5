package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// evacuate evacuates a data centre, or withdraws its evacuation.
func (w *world) evacuate(d stoatpaddle.DataCentreID, withdrawn bool) {
	w.rev++
	w.builder.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: d, Revision: w.rev, Withdrawn: withdrawn})
}

// declareRegions declares one route that is limited to the given regions.
func (w *world) declareRegions(regions ...stoatpaddle.RegionID) {
	w.rev++
	w.builder.ApplyDeclaration(stoatpaddle.Declaration{Version: w.rev, Routes: []stoatpaddle.Route{
		{Listen: idempotentAddr, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}, Idempotent: true, Regions: regions},
	}}, w.rev)
}

// The local data centre is evacuated. New flows go to the other one, and so do retransmitted openings that were
// sent to the evacuated one before; open flows go on. Once the evacuation is withdrawn, the local data centre gets
// flows again at once.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	w := newWorld(t)
	open := w.flowTo(1)
	opening := w.caller(idempotentAddr)
	if a := opening.syn(0); a.Upstream.DataCentre != "here" {
		t.Fatalf("%+v", a)
	}
	w.evacuate("here", false)
	w.after(200 * ms)
	if a := opening.syn(1); a.Verdict != stoatecho.Forward || a.Upstream.ID != "i-3" {
		t.Errorf("the copy of an opening: %+v", a)
	}
	for range 20 {
		if up := w.caller(idempotentAddr).open(); up.ID != "i-3" {
			t.Error("a new flow went to", up.ID)
		}
		wantForward(t, "open flow", open.sendRequest())
		open.ackAnswer()
	}
	w.evacuate("here", true)
	own := 0
	for range 20 {
		if w.caller(idempotentAddr).open().DataCentre == "here" {
			own++
		}
	}
	if own < 15 {
		t.Errorf("%d of 20 flows went to the local data centre", own)
	}
}

// All data centres that have a service are evacuated. An evacuated upstream is not used even as a last resort: the
// caller is refused, and the reason is counted.
func TestEvacuatedIsNoLastResort(t *testing.T) {
	w := newWorld(t)
	w.evacuate("here", false)
	c := w.caller(intakeAddr)
	a := c.afterRead(c.syn(0))
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Evacuated] != 1 {
		t.Errorf("%v", a.Excluded)
	}
	w.evacuate("there", false)
	c = w.caller(idempotentAddr)
	a = c.afterRead(c.syn(0))
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Evacuated] != 3 {
		t.Errorf("%v", a.Excluded)
	}
}

// The only upstream in a data centre that is not evacuated has left openings unanswered. It is still tried
// before the evacuated ones, or the caller is refused.
func TestEjectedGoesBeforeEvacuated(t *testing.T) {
	w := newWorld(t)
	w.evacuate("here", false)
	for range 4 {
		c := w.caller(idempotentAddr)
		for copies, gap := range []time.Duration{200 * ms, 400 * ms, 700 * ms} {
			if a := c.syn(copies); a.Verdict == stoatecho.Forward && a.Upstream.DataCentre == "here" {
				t.Errorf("copy %d went to %s", copies, a.Upstream.ID)
			}
			w.after(gap)
		}
	}
}

// A route allows one region. Its new flows go only to data centres in that region, even if the local one has
// room; a data centre without a region is in none. Open flows go on when the regions of the route change.
func TestRegionsOfARoute(t *testing.T) {
	w := newWorld(t)
	open := w.flowTo(1)
	w.e.SetRegions(stoatfilter.Regions{"here": "south", "there": "north"})
	w.declareRegions("north")
	for range 10 {
		if up := w.caller(idempotentAddr).open(); up.DataCentre != "there" {
			t.Error("outside its regions:", up.ID)
		}
	}
	wantForward(t, "open flow outside", open.sendRequest())
	w.declareRegions("north", "south")
	if up := w.caller(idempotentAddr).open(); up.DataCentre != "here" {
		t.Error("not in the local data centre though that is allowed:", up.ID)
	}
	w.e.SetRegions(stoatfilter.Regions{"here": "south"})
	w.declareRegions("north")
	c := w.caller(idempotentAddr)
	a := c.afterRead(c.syn(0))
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.OutsideRegions] != 3 {
		t.Errorf("%v", a.Excluded)
	}
}

// The local one of three data centres of a service is evacuated. Both others get its flows in proportion to their
// free slots.
func TestEvacuatedTrafficSpreads(t *testing.T) {
	w := newWorld(t)
	for target := stoatpaddle.TargetID(20); target < 24; target++ {
		w.register(target, "app", "there")
		w.register(target+10, "app", "yonder")
	}
	w.evacuate("here", false)
	got := map[stoatpaddle.DataCentreID]int{}
	for range 60 {
		c := w.caller(idempotentAddr)
		got[c.open().DataCentre]++
		c.sendRequest()
	}
	if got["here"] != 0 || got["there"] < 20 || got["yonder"] < 20 {
		t.Error(got)
	}
}

// All upstreams of the local data centre are cold and have a rate limit. While this entry may not send them
// flows, its flows go to the other data centre, which is warm; if that one is evacuated, they are
// refused. Once the upstreams are warm, they get flows again.
func TestColdUpstreamsGetLimitedFlows(t *testing.T) {
	w := newWorld(t)
	w.rev++
	w.builder.ApplyDeclaration(stoatpaddle.Declaration{
		Version: w.rev, ColdRates: map[stoatpaddle.ServiceID]float64{"app": 3},
		Routes: []stoatpaddle.Route{{Listen: idempotentAddr, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}, Idempotent: true}},
	}, w.rev)
	for target := stoatpaddle.TargetID(1); target <= 2; target++ {
		w.rev++
		w.builder.Register(w.now, stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID([]string{"", "i-1", "i-2"}[target]), Target: target, Service: "app", DataCentre: "here", Slots: 3, ColdRemaining: 4 * time.Second,
		}, w.rev)
	}
	for range 10 {
		if up := w.caller(idempotentAddr).open(); up.DataCentre != "there" {
			t.Error("a cold upstream got a flow beyond its rate limit:", up.ID)
		}
	}
	w.evacuate("there", false)
	c := w.caller(idempotentAddr)
	a := c.afterRead(c.syn(0))
	wantReset(t, a, stoatpacket.DropNoUpstream)
	if a.Excluded[stoatfilter.Cold] != 2 || a.Excluded[stoatfilter.Evacuated] != 1 {
		t.Errorf("%v", a.Excluded)
	}
	w.after(4 * time.Second)
	if up := w.caller(idempotentAddr).open(); up.DataCentre != "here" {
		t.Error(up.ID)
	}
}
