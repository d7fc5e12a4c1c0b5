package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// entries are several entries of one data centre with one clock, which pool what they see. The
// first upstreams of each are i-1, i-2 and i-4 to i-7.
type entries struct {
	list []*world
	well []*caller // an open flow of each at i-2, which is well
}

func newEntries(t *testing.T, n int) *entries {
	x := &entries{}
	for i := range n {
		w := six(t)
		w.e = stoatecho.New(stoatecho.Config{DataCentre: "here", Start: start.Add(-time.Minute), Seed: uint64(i) + 1})
		w.objectives(400 * ms)
		x.list, x.well = append(x.list, w), append(x.well, w.flowTo(2))
	}
	x.level()
	return x
}

// level gives all entries the same time.
func (x *entries) level() {
	latest := x.list[0].now
	for _, w := range x.list {
		if w.now.After(latest) {
			latest = w.now
		}
	}
	for _, w := range x.list {
		w.now = latest
	}
}

func (x *entries) after(d time.Duration) {
	for _, w := range x.list {
		w.after(d)
	}
}

// pool adds up what all entries saw and has each judge by it; it returns what each ejects.
func (x *entries) pool() [][]stoatecho.SilentUpstream {
	x.level()
	sums := map[stoatpaddle.UpstreamKey]stoatoutlier.Report{}
	// Once to learn who is waited for, once more with what the others heard of them.
	for range 2 {
		named := map[stoatpaddle.UpstreamKey]bool{}
		for k := range sums {
			named[k] = true
		}
		sums = map[stoatpaddle.UpstreamKey]stoatoutlier.Report{}
		for _, w := range x.list {
			for _, r := range w.e.Reports(w.now, named) {
				s := sums[r.Key]
				sums[r.Key] = stoatoutlier.Report{Key: r.Key, Counts: s.Counts.Add(r.Counts), Silence: s.Silence.Add(r.Silence)}
			}
		}
	}
	var sum []stoatoutlier.Report
	for _, r := range sums {
		if r.Failed > 0 || r.WaitingEntries > 0 {
			sum = append(sum, r)
		}
	}
	var out [][]stoatecho.SilentUpstream
	for _, w := range x.list {
		w.e.SetSums(w.now, sum)
		out = append(out, w.e.EjectSilent(w.now, w.book.Table(), 150*ms))
	}
	return out
}

// flowTo opens flows at one entry until one is at the upstream, and returns it.
func (w *world) flowTo(target stoatpaddle.Target) *caller {
	w.t.Helper()
	for range 200 {
		f := w.caller(feed)
		if f.open().Target == target {
			return f
		}
	}
	w.t.Fatal("no flow went to", target)
	return nil
}

// opening sends openings until one goes to the upstream, which does not answer it.
func (w *world) opening(target stoatpaddle.Target) *caller {
	w.t.Helper()
	for range 200 {
		f := w.caller(pledge)
		a := f.syn(0)
		f.cookie = a.Upstream.Key
		if a.Upstream.Target == target {
			return f
		}
		w.after(ms)
		f.send(stoatpacket.Packet{Ack: 1})
		f.send(stoatpacket.Packet{Ack: 1, Ends: true})
	}
	w.t.Fatal("no opening went to", target)
	return nil
}

// sign lets each entry hear of i-2, so that its own network is known to be well.
func (x *entries) sign() {
	for i, w := range x.list {
		x.well[i].ask()
		w.after(ms)
		x.well[i].done()
	}
}

// wait lets time pass, 0.42 s, in which all entries hear of i-2 only.
func (x *entries) wait() {
	for range 20 {
		x.after(20 * ms)
		x.sign()
	}
}

// An upstream falls silent. Three entries have each sent it something; none alone has enough for an
// ejection. Together they have: it is ejected at all of them, also at the fourth one that sent
// nothing. The caller who waits there keeps its flow: the upstream may only be full.
func TestSilenceIsPooled(t *testing.T) {
	x := newEntries(t, 4)
	waiting := x.list[2].flowTo(1)
	x.level()
	x.sign()
	x.list[0].opening(1)
	x.list[1].opening(1)
	waiting.ask()
	x.after(210 * ms)
	x.sign()
	waiting.again()
	x.wait()
	all := x.pool()
	for i, silent := range all {
		if len(silent) != 1 || silent[0].Upstream.Target != 1 || silent[0].WaitingEntries < 2 {
			t.Fatalf("entry %d: %+v", i, silent)
		}
	}
	if n := all[2][0].PendingRequests; n != 1 {
		t.Errorf("%d requests wait at the third entry, expected one", n)
	}
	if a := waiting.again(); a.Verdict != stoatecho.Forward {
		t.Errorf("an open flow was reset on what entries saw: %+v", a)
	}
	if got := x.list[3].opened(30); got["i-1"] != 0 {
		t.Error("the entry that sent it nothing goes on:", got)
	}
}

// The same, but one entry alone waits: a packet of it may be lost. Others are preferred for new
// flows, at all entries, and nothing is ejected or reset.
func TestOneEntryThatWaitsEjectsNothing(t *testing.T) {
	x := newEntries(t, 3)
	open := x.list[1].flowTo(1)
	x.level()
	x.sign()
	x.list[0].opening(1)
	x.wait()
	for i, silent := range x.pool() {
		if len(silent) != 0 {
			t.Errorf("entry %d: %+v", i, silent)
		}
	}
	if got := x.list[2].opened(30); got["i-1"] != 0 {
		t.Error("others are not preferred:", got)
	}
	if a := open.ask(); a.Verdict != stoatecho.Forward {
		t.Errorf("an open flow was reset: %+v", a)
	}
}

// Two entries lost a packet to the same upstream. A third one hears from it meanwhile: it lives,
// and nobody avoids it. If they had ejected it before, that ends.
func TestSignOfLifeEndsSilence(t *testing.T) {
	x := newEntries(t, 3)
	open := x.list[2].flowTo(1)
	x.level()
	x.sign()
	x.list[0].opening(1)
	x.list[1].opening(1)
	x.wait()
	if all := x.pool(); len(all[2]) != 1 {
		t.Fatalf("not ejected: %+v", all)
	}
	x.after(1100 * ms)
	x.sign()
	open.ask()
	x.after(30 * ms)
	open.done()
	if !x.list[2].e.TakeReportChange() {
		t.Error("a sign of life is not passed on")
	}
	x.pool()
	x.after(ms)
	if got := x.list[0].opened(40); got["i-1"] == 0 {
		t.Error("still avoided at another entry:", got)
	}
}

// An entry's own link is cut: every packet it sends is lost, and it waits for all upstreams. With no
// sign from anyone it says nothing, or one broken entry would empty a data centre.
func TestCutEntrySaysNothing(t *testing.T) {
	x := newEntries(t, 2)
	w := x.list[0]
	for range 12 {
		w.caller(pledge).syn(0)
	}
	w.after(250 * ms)
	w.caller(pledge).syn(0)
	if got := w.e.Reports(w.now, nil); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// Entries that are confused, or lie, wait for every upstream. At most a third of a group is avoided
// on their word: the others would not bear the load of more.
func TestThirdIsAvoidedAtMost(t *testing.T) {
	w := six(t)
	w.after(time.Second)
	var sum []stoatoutlier.Report
	for _, target := range []stoatpaddle.Target{1, 2, 4, 5, 6, 7} {
		sum = append(sum, stoatoutlier.Report{Key: stoatroute.KeyOf(target), Silence: stoatoutlier.Silence{
			WaitingEntries: 9, FirstWaitSince: w.now.Add(-900 * ms), SecondWaitSince: w.now.Add(-800 * ms),
		}})
	}
	for range 5 {
		w.e.SetSums(w.now, sum)
		w.e.EjectSilent(w.now, w.book.Table(), 150*ms)
	}
	avoided := 0
	for _, p := range w.e.UpstreamStates(w.now) {
		if p.Ejected {
			avoided++
		}
	}
	if avoided != 2 {
		t.Error(avoided, "of 6 are ejected")
	}
	if got := w.opened(60); len(got) != 4 {
		t.Error("new flows go to", got)
	}
}

// An upstream has ended a flow that was idle, and refuses the caller's next request towards the
// caller, past the entry. Nothing comes back here, and the caller does not repeat itself: that is
// no silence. One whose packets are lost does repeat itself.
func TestEndedFlowIsNoSilence(t *testing.T) {
	for name, c := range map[string]struct {
		repeats bool
		want    int
	}{"ended": {false, 0}, "silent": {true, 1}} {
		x := newEntries(t, 1)
		w := x.list[0]
		f := w.flowTo(1)
		x.sign()
		f.ask()
		w.after(100 * ms)
		x.sign()
		w.after(110 * ms)
		if c.repeats {
			f.again()
		}
		w.after(20 * ms)
		x.sign()
		if got := w.e.Reports(w.now, nil); len(got) != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// An entry joins: the fabric hands nearly all flows to other entries than before. What three entries
// sent is answered elsewhere, and they wait in vain for an upstream that is well. As soon as a flow
// comes to them that another one placed, they take that back.
func TestMovedFlowsAreNoSilence(t *testing.T) {
	x := newEntries(t, 3)
	moved := x.list[2].flowTo(2)
	x.level()
	x.sign()
	x.list[0].opening(1)
	x.list[1].opening(1)
	x.after(100 * ms)
	x.sign()
	x.after(20 * ms)
	x.sign()
	for _, w := range x.list[:2] {
		if got := w.e.Reports(w.now, nil); len(got) != 1 {
			t.Fatalf("they do not wait: %+v", got)
		}
		w.e.Handle(w.now, w.book.Table(), &stoatpacket.Packet{Tuple: moved.tuple, Cookie: moved.cookie, Seq: 100, Ack: 1, Size: 100})
	}
	for range 20 {
		x.after(20 * ms)
		x.sign()
	}
	for i, silent := range x.pool() {
		if len(silent) != 0 {
			t.Errorf("entry %d: %+v", i, silent)
		}
	}
}

// The own data centre is evacuated, and all flows of its entries go to another one. An upstream there
// falls silent: two entries that wait for it are enough here too.
func TestSilenceElsewhereIsPooled(t *testing.T) {
	x := newEntries(t, 3)
	for _, w := range x.list {
		w.register(4, "app", "there")
		w.register(5, "app", "there")
	}
	for _, w := range x.list {
		w.evacuate("here", false)
	}
	x.level()
	x.sign()
	x.list[0].opening(3)
	x.list[1].opening(3)
	x.after(210 * ms)
	x.sign()
	x.wait()
	for i, silent := range x.pool() {
		if len(silent) != 1 || silent[0].Upstream.Target != 3 {
			t.Errorf("entry %d: %+v", i, silent)
		}
	}
	if got := x.list[2].opened(30); got["i-3"] != 0 {
		t.Error("new flows go on to it:", got)
	}
}
