package stoatecho_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// newSixUpstreamWorld returns a world with six upstreams of service app in this data centre.
func newSixUpstreamWorld(t *testing.T) *world {
	w := newWorld(t)
	for i := stoatpaddle.TargetID(4); i <= 7; i++ {
		w.register(i, "app", "here")
	}
	return w
}

// ejectFailing reports the counts as the sum of the data centre for a second, and returns the upstreams that
// are ejected.
func (w *world) ejectFailing(counts map[stoatpaddle.TargetID]stoatoutlier.Counts) []stoatpaddle.UpstreamID {
	var list []stoatoutlier.Report
	for target, c := range counts {
		list = append(list, stoatoutlier.Report{Key: stoatroute.KeyOf(target), Counts: c})
	}
	var ejected []stoatpaddle.UpstreamID
	for range 4 {
		w.e.SetDataCentreSums(w.now, list)
		for _, m := range w.e.EjectFailing(w.now, w.builder.Table()) {
			ejected = append(ejected, m.Upstream.ID)
		}
		w.after(stoatecho.CheckInterval)
	}
	return ejected
}

// openFlows opens n flows, and returns how many went to each upstream.
func (w *world) openFlows(n int) map[stoatpaddle.UpstreamID]int {
	got := map[stoatpaddle.UpstreamID]int{}
	for range n {
		got[w.caller(nonIdempotentAddr).open().ID]++
	}
	return got
}

// An upstream that seems healthy lets two of five requests hang, and answers the others and every opening. No
// single entry sees enough of that, but together they do. The upstream gets no new flows for 4 s. Then it is tried
// again and, as it still fails requests, ejected for twice as long.
func TestUpstreamThatFailsSomeRequests(t *testing.T) {
	w := newSixUpstreamWorld(t)
	bad := map[stoatpaddle.TargetID]stoatoutlier.Counts{1: {Answered: 36, Failed: 24}, 2: {Answered: 60, Failed: 1}}
	if got := w.ejectFailing(bad); len(got) != 1 || got[0] != "i-1" {
		t.Fatal(got)
	}
	if got := w.openFlows(20); got["i-1"] != 0 {
		t.Error(got)
	}
	w.after(4 * time.Second)
	if got := w.openFlows(20); got["i-1"] == 0 {
		t.Error("never tried again:", got)
	}
	if got := w.ejectFailing(bad); len(got) != 1 {
		t.Fatal("not ejected again:", got)
	}
	w.after(4 * time.Second)
	if got := w.openFlows(20); got["i-1"] != 0 {
		t.Error("the second ejection is no longer than the first:", got)
	}
}

// Failures that are not the fault of a single upstream eject none: an overload in which all upstreams are late;
// restarts of entries, after which a few requests at each upstream look unanswered since their flows moved; a
// few failures.
func TestNoEjectionWithoutUpstreamFault(t *testing.T) {
	for name, counts := range map[string]map[stoatpaddle.TargetID]stoatoutlier.Counts{
		"overload":          {1: {Answered: 20, Failed: 30}, 2: {Answered: 20, Failed: 24}, 4: {Answered: 20, Failed: 26}, 5: {Answered: 20, Failed: 28}, 6: {Answered: 20, Failed: 22}, 7: {Answered: 20, Failed: 25}},
		"entries restart":   {1: {Answered: 15, Failed: 5}, 2: {Answered: 15, Failed: 2}, 4: {Answered: 15, Failed: 1}, 5: {Answered: 15, Failed: 2}, 6: {Answered: 15, Failed: 3}, 7: {Answered: 15, Failed: 1}},
		"a few":             {1: {Answered: 2, Failed: 4}},
		"few of a thousand": {1: {Answered: 1000, Failed: 20}},
	} {
		if got := newSixUpstreamWorld(t).ejectFailing(counts); len(got) != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// During a release, a third of the requests of upstreams that have just started are pending for half a second.
// Their registrations say that they are cold, and they are not ejected for it. An upstream that still fails
// requests four seconds after it should be warm is ejected.
func TestColdUpstreamsMayFailRequests(t *testing.T) {
	w := newWorld(t)
	for i := stoatpaddle.TargetID(4); i <= 7; i++ {
		w.rev++
		w.builder.Register(w.now, stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i)), Target: i, Service: "app", DataCentre: "here", Slots: 3, CreateRevision: w.rev, ColdRemaining: 5 * time.Second,
		}, w.rev)
	}
	slow := map[stoatpaddle.TargetID]stoatoutlier.Counts{4: {Answered: 16, Failed: 8}, 5: {Answered: 60}, 6: {Answered: 60}, 7: {Answered: 60}}
	w.after(4 * time.Second)
	if got := w.ejectFailing(slow); len(got) != 0 {
		t.Error(got)
	}
	w.after(5 * time.Second)
	if got := w.ejectFailing(slow); len(got) != 1 {
		t.Error("not ejected when it should be warm:", got)
	}
}

// Half of the upstreams fail requests. The others could not bear the load of all of them: only the worst two of
// six are ejected.
func TestFailureEjectionsAreBounded(t *testing.T) {
	got := newSixUpstreamWorld(t).ejectFailing(map[stoatpaddle.TargetID]stoatoutlier.Counts{
		1: {Answered: 40, Failed: 40}, 2: {Answered: 40, Failed: 50}, 4: {Answered: 40, Failed: 15}, 5: {Answered: 60, Failed: 0}, 6: {Answered: 60, Failed: 0}, 7: {Answered: 60, Failed: 0},
	})
	if diff := cmp.Diff([]stoatpaddle.UpstreamID{"i-2", "i-1"}, got); diff != "" {
		t.Error(diff)
	}
}

// Ejected upstreams that are gone, but still have remembered flows, must not count towards the bound: otherwise
// the next upstream that fails would still get flows.
func TestGoneUpstreamsDoNotCountInBound(t *testing.T) {
	w := newSixUpstreamWorld(t)
	w.flowTo(1)
	w.flowTo(2)
	bad, good := stoatoutlier.Counts{Answered: 40, Failed: 40}, stoatoutlier.Counts{Answered: 60}
	if got := w.ejectFailing(map[stoatpaddle.TargetID]stoatoutlier.Counts{1: bad, 2: bad, 4: good, 5: good, 6: good, 7: good}); len(got) != 2 {
		t.Fatal("ejected", got)
	}
	for _, id := range []stoatpaddle.UpstreamID{"i-1", "i-2"} {
		w.rev++
		w.builder.MarkGone(w.now, id, w.rev)
	}
	w.e.Retain(w.now, w.builder.Table())
	got := w.ejectFailing(map[stoatpaddle.TargetID]stoatoutlier.Counts{4: bad, 5: good, 6: good, 7: good})
	if diff := cmp.Diff([]stoatpaddle.UpstreamID{"i-4"}, got); diff != "" {
		t.Error(diff)
	}
}

// An upstream is reported for the first time. The entries that saw no failure have not reported its answers
// yet, so that it seems to fail most of its requests: it must not be ejected yet.
func TestFirstCountsAreNotEnough(t *testing.T) {
	w := newSixUpstreamWorld(t)
	w.e.SetDataCentreSums(w.now, []stoatoutlier.Report{{Key: stoatroute.KeyOf(1), Counts: stoatoutlier.Counts{Answered: 2, Failed: 6}}})
	if got := w.e.EjectFailing(w.now, w.builder.Table()); len(got) != 0 {
		t.Error(got)
	}
	if got := w.ejectFailing(map[stoatpaddle.TargetID]stoatoutlier.Counts{1: {Answered: 60, Failed: 6}}); len(got) != 0 {
		t.Error(got)
	}
}

// An entry counts an answer, and a request that has been pending for half a second. It does not count an upload
// that goes on, and after four seconds it forgets the counts.
func TestCounts(t *testing.T) {
	w := newWorld(t)
	answered, hangs, sends := w.caller(idempotentAddr), w.caller(nonIdempotentAddr), w.caller(intakeAddr)
	key := map[*caller]stoatpaddle.UpstreamKey{}
	for _, c := range []*caller{answered, hangs, sends} {
		key[c] = c.open().Key
		c.sendRequest()
	}
	w.after(50 * ms)
	answered.ackAnswer()
	for range 6 {
		w.after(100 * ms)
		sends.sendRequest()
	}
	w.caller(intakeAddr).syn(0) // the engine handles timeouts only when a packet comes
	seen := w.e.Reports(w.now, map[stoatpaddle.UpstreamKey]bool{key[answered]: true, key[sends]: true})
	got := map[stoatpaddle.UpstreamKey]stoatoutlier.Counts{}
	for _, s := range seen {
		got[s.Key] = s.Counts
	}
	want := map[stoatpaddle.UpstreamKey]stoatoutlier.Counts{}
	want[key[answered]] = stoatoutlier.Counts{Answered: 1}
	want[key[sends]] = stoatoutlier.Counts{}
	want[key[hangs]] = want[key[hangs]].Add(stoatoutlier.Counts{Failed: 1})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if seen := w.e.Reports(w.now, nil); len(seen) != 1 {
		t.Error("upstreams without failures are reported although no other entry reported them:", seen)
	}
	w.after(5 * time.Second)
	if seen := w.e.Reports(w.now, nil); len(seen) != 0 {
		t.Error(seen)
	}
}
