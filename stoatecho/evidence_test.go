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

// six returns a world with six upstreams of the service here.
func six(t *testing.T) *world {
	w := newWorld(t)
	for i := stoatpaddle.Target(4); i <= 7; i++ {
		w.register(i, "app", "here")
	}
	return w
}

// told judges by what the entries of the data centre saw, as it stands from then on.
func (w *world) told(counts map[stoatpaddle.Target]stoatoutlier.Counts) []stoatpaddle.UpstreamID {
	var list []stoatoutlier.Report
	for target, c := range counts {
		list = append(list, stoatoutlier.Report{Key: stoatroute.KeyOf(target), Counts: c})
	}
	var marked []stoatpaddle.UpstreamID
	for range 4 {
		w.e.SetSums(w.now, list)
		for _, m := range w.e.EjectFailing(w.now, w.book.Table()) {
			marked = append(marked, m.Upstream.ID)
		}
		w.after(stoatecho.CheckInterval)
	}
	return marked
}

// opened returns how many of n new flows go to each upstream.
func (w *world) opened(n int) map[stoatpaddle.UpstreamID]int {
	got := map[stoatpaddle.UpstreamID]int{}
	for range n {
		got[w.caller(pledge).open().ID]++
	}
	return got
}

// An upstream lets two of five requests hang, answers the others and every opening, and its
// health is good. No entry sees enough; together they do. It gets no new flows for 4 s, then
// it is tried, and as it still fails it is marked for twice as long.
func TestUpstreamThatFailsAPart(t *testing.T) {
	w := six(t)
	bad := map[stoatpaddle.Target]stoatoutlier.Counts{1: {Answered: 36, Failed: 24}, 2: {Answered: 60, Failed: 1}}
	if got := w.told(bad); len(got) != 1 || got[0] != "i-1" {
		t.Fatal(got)
	}
	if got := w.opened(20); got["i-1"] != 0 {
		t.Error(got)
	}
	w.after(4 * time.Second)
	if got := w.opened(20); got["i-1"] == 0 {
		t.Error("never tried again:", got)
	}
	if got := w.told(bad); len(got) != 1 {
		t.Fatal("not marked anew:", got)
	}
	w.after(4 * time.Second)
	if got := w.opened(20); got["i-1"] != 0 {
		t.Error("the second mark is no longer than the first:", got)
	}
}

// What is no upstream's fault marks none: an overload in which all are late; entries that
// restart, so that flows go to others in the middle of requests and look unanswered, a few at
// each upstream; one failure here or there.
func TestNoUpstreamIsToBlame(t *testing.T) {
	for name, counts := range map[string]map[stoatpaddle.Target]stoatoutlier.Counts{
		"overload":          {1: {Answered: 20, Failed: 30}, 2: {Answered: 20, Failed: 24}, 4: {Answered: 20, Failed: 26}, 5: {Answered: 20, Failed: 28}, 6: {Answered: 20, Failed: 22}, 7: {Answered: 20, Failed: 25}},
		"entries restart":   {1: {Answered: 15, Failed: 5}, 2: {Answered: 15, Failed: 2}, 4: {Answered: 15, Failed: 1}, 5: {Answered: 15, Failed: 2}, 6: {Answered: 15, Failed: 3}, 7: {Answered: 15, Failed: 1}},
		"a few":             {1: {Answered: 2, Failed: 4}},
		"few of a thousand": {1: {Answered: 1000, Failed: 20}},
	} {
		if got := six(t).told(counts); len(got) != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A release: upstreams that have just started are slow, and a third of their requests owe an
// answer for half a second. They said so when they registered, and are not marked for it;
// one that still fails four seconds after it should be warm is.
func TestColdUpstreamsAreNotToBlame(t *testing.T) {
	w := newWorld(t)
	for i := stoatpaddle.Target(4); i <= 7; i++ {
		w.rev++
		w.book.Register(w.now, stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i)), Target: i, Service: "app", DataCentre: "here", Slots: 3, Created: w.rev, Cold: 5 * time.Second,
		}, w.rev)
	}
	slow := map[stoatpaddle.Target]stoatoutlier.Counts{4: {Answered: 16, Failed: 8}, 5: {Answered: 60}, 6: {Answered: 60}, 7: {Answered: 60}}
	w.after(4 * time.Second)
	if got := w.told(slow); len(got) != 0 {
		t.Error(got)
	}
	w.after(5 * time.Second)
	if got := w.told(slow); len(got) != 1 {
		t.Error("not marked when it should be warm:", got)
	}
}

// Half of the upstreams fail requests. Without a bound their load would go to the others,
// which could not bear it: two of six are marked, the worst ones.
func TestMarksAreBounded(t *testing.T) {
	got := six(t).told(map[stoatpaddle.Target]stoatoutlier.Counts{
		1: {Answered: 40, Failed: 40}, 2: {Answered: 40, Failed: 50}, 4: {Answered: 40, Failed: 15}, 5: {Answered: 60, Failed: 0}, 6: {Answered: 60, Failed: 0}, 7: {Answered: 60, Failed: 0},
	})
	if diff := cmp.Diff([]stoatpaddle.UpstreamID{"i-2", "i-1"}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against marks of upstreams that have gone, on which flows are still remembered, that use up the bound: the
// next one that fails would go on getting flows.
func TestGoneUpstreamsAreNotInTheBound(t *testing.T) {
	w := six(t)
	w.flowTo(1)
	w.flowTo(2)
	bad, good := stoatoutlier.Counts{Answered: 40, Failed: 40}, stoatoutlier.Counts{Answered: 60}
	if got := w.told(map[stoatpaddle.Target]stoatoutlier.Counts{1: bad, 2: bad, 4: good, 5: good, 6: good, 7: good}); len(got) != 2 {
		t.Fatal("marked", got)
	}
	for _, id := range []stoatpaddle.UpstreamID{"i-1", "i-2"} {
		w.rev++
		w.book.MarkGone(w.now, id, w.rev)
	}
	w.e.Retain(w.now, w.book.Table())
	got := w.told(map[stoatpaddle.Target]stoatoutlier.Counts{4: bad, 5: good, 6: good, 7: good})
	if diff := cmp.Diff([]stoatpaddle.UpstreamID{"i-4"}, got); diff != "" {
		t.Error(diff)
	}
}

// An upstream is named for the first time: those entries that saw no failure have not said
// yet that they saw answers, so that it seems to fail most of its requests.
func TestFirstCountsAreNotEnough(t *testing.T) {
	w := six(t)
	w.e.SetSums(w.now, []stoatoutlier.Report{{Key: stoatroute.KeyOf(1), Counts: stoatoutlier.Counts{Answered: 2, Failed: 6}}})
	if got := w.e.EjectFailing(w.now, w.book.Table()); len(got) != 0 {
		t.Error(got)
	}
	if got := w.told(map[stoatpaddle.Target]stoatoutlier.Counts{1: {Answered: 60, Failed: 6}}); len(got) != 0 {
		t.Error(got)
	}
}

// What an entry counts: an answer, a request that hangs for half a second; not an upload that
// goes on, and after four seconds nothing any more.
func TestCounts(t *testing.T) {
	w := newWorld(t)
	answered, hangs, sends := w.caller(feed), w.caller(pledge), w.caller(upload)
	key := map[*caller]stoatpaddle.UpstreamKey{}
	for _, c := range []*caller{answered, hangs, sends} {
		key[c] = c.open().Key
		c.ask()
	}
	w.after(50 * ms)
	answered.done()
	for range 6 {
		w.after(100 * ms)
		sends.ask()
	}
	w.caller(upload).syn(0) // time passes with packets only
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
		t.Error("upstreams without failures are reported, and nobody named them:", seen)
	}
	w.after(5 * time.Second)
	if seen := w.e.Reports(w.now, nil); len(seen) != 0 {
		t.Error(seen)
	}
}
