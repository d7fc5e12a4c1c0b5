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

// entries are several entries of one data centre with synchronized clocks, which exchange reports. Each has the
// upstreams i-1, i-2 and i-4 to i-7 in its data centre.
type entries struct {
	list         []*world
	healthyFlows []*caller // an open flow of each entry at i-2, which is alive
}

func newEntries(t *testing.T, n int) *entries {
	x := &entries{}
	for i := range n {
		w := newSixUpstreamWorld(t)
		w.e = stoatecho.New(stoatecho.Config{DataCentre: "here", Start: start.Add(-time.Minute), Seed: uint64(i) + 1})
		w.declareObjectives(400 * ms)
		x.list, x.healthyFlows = append(x.list, w), append(x.healthyFlows, w.flowTo(2))
	}
	x.syncClocks()
	return x
}

// syncClocks sets the clocks of all entries to the latest one.
func (x *entries) syncClocks() {
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

// exchangeReports adds up the reports of all entries and has each entry act on the sum; it returns what each entry
// ejects.
func (x *entries) exchangeReports() [][]stoatecho.SilentUpstream {
	x.syncClocks()
	sums := map[stoatpaddle.UpstreamKey]stoatoutlier.Report{}
	// The first round finds the upstreams that entries wait for, the second one adds the signs of life of the
	// others.
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
		w.e.SetDataCentreSums(w.now, sum)
		out = append(out, w.e.EjectSilent(w.now, w.book.Table(), 150*ms))
	}
	return out
}

// flowTo opens flows at one entry until one goes to the upstream, and returns that flow.
func (w *world) flowTo(target stoatpaddle.TargetID) *caller {
	w.t.Helper()
	for range 200 {
		f := w.caller(idempotentAddr)
		if f.open().Target == target {
			return f
		}
	}
	w.t.Fatal("no flow went to", target)
	return nil
}

// openUnanswered sends openings until one goes to the upstream, which does not answer it.
func (w *world) openUnanswered(target stoatpaddle.TargetID) *caller {
	w.t.Helper()
	for range 200 {
		f := w.caller(nonIdempotentAddr)
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

// hearFromHealthy has each entry hear from i-2, which shows that the entry's own network works.
func (x *entries) hearFromHealthy() {
	for i, w := range x.list {
		x.healthyFlows[i].sendRequest()
		w.after(ms)
		x.healthyFlows[i].ackAnswer()
	}
}

// waitWithTraffic lets 0.42 s pass, in which all entries hear from i-2 only.
func (x *entries) waitWithTraffic() {
	for range 20 {
		x.after(20 * ms)
		x.hearFromHealthy()
	}
}

// An upstream falls silent. Three entries have each sent it something, too little to eject it on their own. On
// their combined reports it is ejected at all of them, and at a fourth entry that sent nothing. The pending
// flow there is not reset, since the upstream may only be full.
func TestSilenceIsPooled(t *testing.T) {
	x := newEntries(t, 4)
	waiting := x.list[2].flowTo(1)
	x.syncClocks()
	x.hearFromHealthy()
	x.list[0].openUnanswered(1)
	x.list[1].openUnanswered(1)
	waiting.sendRequest()
	x.after(210 * ms)
	x.hearFromHealthy()
	waiting.retransmit()
	x.waitWithTraffic()
	all := x.exchangeReports()
	for i, silent := range all {
		if len(silent) != 1 || silent[0].Upstream.Target != 1 || silent[0].WaitingEntries < 2 {
			t.Fatalf("entry %d: %+v", i, silent)
		}
	}
	if n := all[2][0].PendingRequests; n != 1 {
		t.Errorf("%d requests are pending at the third entry, expected one", n)
	}
	if a := waiting.retransmit(); a.Verdict != stoatecho.Forward {
		t.Errorf("an open flow was reset on the reports of entries: %+v", a)
	}
	if got := x.list[3].openFlows(30); got["i-1"] != 0 {
		t.Error("the entry that sent it nothing still opens flows there:", got)
	}
}

// Only one entry waits for an upstream, whose packet may have been lost. New flows at all entries prefer other
// upstreams, and nothing is ejected or reset.
func TestOneEntryThatWaitsEjectsNothing(t *testing.T) {
	x := newEntries(t, 3)
	open := x.list[1].flowTo(1)
	x.syncClocks()
	x.hearFromHealthy()
	x.list[0].openUnanswered(1)
	x.waitWithTraffic()
	for i, silent := range x.exchangeReports() {
		if len(silent) != 0 {
			t.Errorf("entry %d: %+v", i, silent)
		}
	}
	if got := x.list[2].openFlows(30); got["i-1"] != 0 {
		t.Error("others are not preferred:", got)
	}
	if a := open.sendRequest(); a.Verdict != stoatecho.Forward {
		t.Errorf("an open flow was reset: %+v", a)
	}
}

// Two entries lost a packet to the same upstream, and a third one hears from it. The upstream is alive: no
// entry avoids it any more, and an ejection ends.
func TestSignOfLifeEndsSilence(t *testing.T) {
	x := newEntries(t, 3)
	open := x.list[2].flowTo(1)
	x.syncClocks()
	x.hearFromHealthy()
	x.list[0].openUnanswered(1)
	x.list[1].openUnanswered(1)
	x.waitWithTraffic()
	if all := x.exchangeReports(); len(all[2]) != 1 {
		t.Fatalf("not ejected: %+v", all)
	}
	x.after(1100 * ms)
	x.hearFromHealthy()
	open.sendRequest()
	x.after(30 * ms)
	open.ackAnswer()
	if !x.list[2].e.TakeReportChange() {
		t.Error("a sign of life is not reported")
	}
	x.exchangeReports()
	x.after(ms)
	if got := x.list[0].openFlows(40); got["i-1"] == 0 {
		t.Error("still avoided at another entry:", got)
	}
}

// An entry's own link is cut: all packets it sends are lost, and it waits for all upstreams. Without a sign of
// life of any upstream it must report nothing, or a single faulty entry would disable a data centre.
func TestIsolatedEntryReportsNothing(t *testing.T) {
	x := newEntries(t, 2)
	w := x.list[0]
	for range 12 {
		w.caller(nonIdempotentAddr).syn(0)
	}
	w.after(250 * ms)
	w.caller(nonIdempotentAddr).syn(0)
	if got := w.e.Reports(w.now, nil); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// Faulty or malicious entries report that they wait for every upstream. At most a third of a group may be
// avoided on their reports, since the others could not bear the load of more.
func TestAtMostAThirdIsEjected(t *testing.T) {
	w := newSixUpstreamWorld(t)
	w.after(time.Second)
	var sum []stoatoutlier.Report
	for _, target := range []stoatpaddle.TargetID{1, 2, 4, 5, 6, 7} {
		sum = append(sum, stoatoutlier.Report{Key: stoatroute.KeyOf(target), Silence: stoatoutlier.Silence{
			WaitingEntries: 9, FirstWaitSince: w.now.Add(-900 * ms), SecondWaitSince: w.now.Add(-800 * ms),
		}})
	}
	for range 5 {
		w.e.SetDataCentreSums(w.now, sum)
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
	if got := w.openFlows(60); len(got) != 4 {
		t.Error("new flows go to", got)
	}
}

// An upstream has ended an idle flow, and refuses the caller's next request directly towards the caller, past
// the entry. Nothing comes back here, and the caller does not retransmit: that is not silence of the upstream.
// A caller whose packets are lost does retransmit.
func TestEndedFlowIsNoSilence(t *testing.T) {
	for name, c := range map[string]struct {
		retransmits bool
		want        int
	}{"ended": {false, 0}, "silent": {true, 1}} {
		x := newEntries(t, 1)
		w := x.list[0]
		f := w.flowTo(1)
		x.hearFromHealthy()
		f.sendRequest()
		w.after(100 * ms)
		x.hearFromHealthy()
		w.after(110 * ms)
		if c.retransmits {
			f.retransmit()
		}
		w.after(20 * ms)
		x.hearFromHealthy()
		if got := w.e.Reports(w.now, nil); len(got) != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// An entry joins, and the fabric hands nearly all flows to other entries than before. What these entries sent
// is answered elsewhere, and they wait in vain for a healthy upstream. They must withdraw their reports as soon
// as they receive a flow that another entry placed.
func TestMovedFlowsAreNoSilence(t *testing.T) {
	x := newEntries(t, 3)
	moved := x.list[2].flowTo(2)
	x.syncClocks()
	x.hearFromHealthy()
	x.list[0].openUnanswered(1)
	x.list[1].openUnanswered(1)
	x.after(100 * ms)
	x.hearFromHealthy()
	x.after(20 * ms)
	x.hearFromHealthy()
	for _, w := range x.list[:2] {
		if got := w.e.Reports(w.now, nil); len(got) != 1 {
			t.Fatalf("an entry does not report that it waits: %+v", got)
		}
		w.e.Handle(w.now, w.book.Table(), &stoatpacket.Packet{Tuple: moved.tuple, Cookie: moved.cookie, Seq: 100, Ack: 1, Size: 100})
	}
	for range 20 {
		x.after(20 * ms)
		x.hearFromHealthy()
	}
	for i, silent := range x.exchangeReports() {
		if len(silent) != 0 {
			t.Errorf("entry %d: %+v", i, silent)
		}
	}
}

// The local data centre is evacuated, so that all flows go to another one. An upstream there falls silent: the
// reports of two entries are enough to eject it there too.
func TestSilenceElsewhereIsPooled(t *testing.T) {
	x := newEntries(t, 3)
	for _, w := range x.list {
		w.register(4, "app", "there")
		w.register(5, "app", "there")
	}
	for _, w := range x.list {
		w.evacuate("here", false)
	}
	x.syncClocks()
	x.hearFromHealthy()
	x.list[0].openUnanswered(3)
	x.list[1].openUnanswered(3)
	x.after(210 * ms)
	x.hearFromHealthy()
	x.waitWithTraffic()
	for i, silent := range x.exchangeReports() {
		if len(silent) != 1 || silent[0].Upstream.Target != 3 {
			t.Errorf("entry %d: %+v", i, silent)
		}
	}
	if got := x.list[2].openFlows(30); got["i-3"] != 0 {
		t.Error("new flows still go to it:", got)
	}
}
