package stoatoutlier

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
)

var (
	parentAddr = netip.MustParseAddrPort("10.0.0.1:8166")
	childA     = netip.MustParseAddrPort("10.0.0.2:8166")
	childB     = netip.MustParseAddrPort("10.0.0.3:8166")
)

func countReport(key stoatpaddle.UpstreamKey, answered, failed int) Report {
	return Report{Key: key, Counts: Counts{Answered: answered, Failed: failed}}
}

// An entry without a parent in its data centre adds up what it and the entries below it observed. A child's
// later report replaces its earlier one, and expires once the child stops reporting.
func TestAggregatorAddsUp(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	agg.HandleChildUpdate(now, childA, Update{Full: true, Reports: []Report{countReport(1, 2, 1), countReport(2, 5, 0)}})
	agg.HandleChildUpdate(now, childA, Update{Full: true, Reports: []Report{countReport(1, 3, 2), countReport(2, 5, 0)}})
	agg.HandleChildUpdate(now.Add(5*time.Second), childB, Update{Full: true, Reports: []Report{countReport(1, 4, 0)}})
	sum, _, to := agg.Aggregate(now.Add(5*time.Second), []Report{countReport(1, 1, 1)}, false)
	if diff := cmp.Diff([]Report{countReport(1, 8, 3)}, sum); diff != "" || to.IsValid() {
		t.Error(diff, to)
	}
	sum, _, _ = agg.Aggregate(now.Add(7*time.Second), []Report{countReport(1, 1, 1)}, false)
	if diff := cmp.Diff([]Report{countReport(1, 5, 1)}, sum); diff != "" {
		t.Error(diff)
	}
}

// An entry with a parent reports changes soon and unchanged reports rarely. It relies on the sum that its
// parent sent, until that sum is too old or the parent is gone.
func TestAggregatorReports(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	own := []Report{countReport(1, 1, 1)}
	agg.HandleParentUpdate(now, parentAddr, Update{Full: true, Reports: []Report{countReport(1, 40, 20)}})
	sum, report, to := agg.Aggregate(now, own, false)
	if diff := cmp.Diff([]Report{countReport(1, 40, 20)}, sum); diff != "" || to != parentAddr {
		t.Error(diff, to)
	}
	if diff := cmp.Diff(own, report.Reports); diff != "" {
		t.Error(diff)
	}
	reports := 0
	for at := 100 * time.Millisecond; at <= 4*time.Second; at += 100 * time.Millisecond {
		if _, _, to := agg.Aggregate(now.Add(at), own, false); to.IsValid() {
			reports++
		}
	}
	if reports != 2 {
		t.Error("unchanged reports were sent", reports, "times in 4 s")
	}
	if _, _, to := agg.Aggregate(now.Add(4600*time.Millisecond), append(own, countReport(2, 0, 1)), false); !to.IsValid() {
		t.Error("a new failure is not reported")
	}
	if _, report, to := agg.Aggregate(now.Add(5200*time.Millisecond), nil, false); !to.IsValid() || len(report.applyTo([]Report{countReport(1, 1, 1), countReport(2, 0, 1)})) != 0 {
		t.Error("the end of the failures is not reported:", to, report)
	}
	if _, _, to := agg.Aggregate(now.Add(20*time.Second), nil, false); to.IsValid() {
		t.Error("an empty report is sent")
	}
	if sum, _, _ := agg.Aggregate(now.Add(20*time.Second), own, false); !cmp.Equal(own, sum) {
		t.Error("an expired sum is used:", sum)
	}
	agg.HandleParentUpdate(now.Add(21*time.Second), netip.AddrPort{}, Update{})
	if sum, _, to := agg.Aggregate(now.Add(21*time.Second), own, false); !cmp.Equal(own, sum) || to.IsValid() {
		t.Error(sum, to)
	}
}

// Reports with impossible values are left out or cut. Times are sent as ages, since the clocks of two
// entries may differ by seconds.
func TestCodec(t *testing.T) {
	now, receiverNow := time.Unix(1000, 0), time.Unix(2000, 0)
	r := countReport(4000000000, 5, 6)
	r.Silence = Silence{WaitingEntries: 2, FirstWaitSince: now.Add(-300 * time.Millisecond), SecondWaitSince: now.Add(-100 * time.Millisecond), LastHeard: now.Add(-time.Second)}
	want := r
	want.FirstWaitSince, want.SecondWaitSince, want.LastHeard = receiverNow.Add(-300*time.Millisecond), receiverNow.Add(-100*time.Millisecond), receiverNow.Add(-time.Second)
	got := Decode(receiverNow, Encode(now, []Report{countReport(1, 2, 3), r}))
	if diff := cmp.Diff([]Report{countReport(1, 2, 3), want}, got); diff != "" {
		t.Error(diff)
	}
	for _, w := range []WireReport{{Answered: -1, Failed: 5}, {Answered: 1, Failed: -5}, {WaitingEntries: -1}} {
		if got := Decode(now, []WireReport{w}); len(got) != 0 {
			t.Error(got)
		}
	}
	if got := Decode(now, []WireReport{{WaitingEntries: 1, FirstWaitAgeMS: 1 << 62, SecondWaitAgeMS: -1 << 62, LastHeardAgeMS: 1 << 62}}); !got[0].FirstWaitSince.IsZero() || !got[0].LastHeard.IsZero() {
		t.Error(got)
	}
	if got := Decode(now, make([]WireReport, 10*maxReports)); len(got) != maxReports {
		t.Error(len(got))
	}
}

// Thirty entries got answers from an upstream, and two saw five requests fail. Once the sum names the
// upstream, the answers of the thirty must be reported as well: by the failures alone, the upstream would
// seem to fail most requests.
func TestAggregatorReportsUpstreamsInSum(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	own := []Report{countReport(1, 20, 0)}
	agg.HandleParentUpdate(now, parentAddr, Update{})
	if _, _, to := agg.Aggregate(now, own, false); to.IsValid() {
		t.Error("reported although nothing failed")
	}
	agg.HandleParentUpdate(now, parentAddr, Update{Full: true, Reports: []Report{countReport(1, 2, 5)}})
	_, report, to := agg.Aggregate(now.Add(time.Second), own, false)
	if diff := cmp.Diff(own, report.Reports); diff != "" || to != parentAddr {
		t.Error(diff, to)
	}
}

// An entry that begins to wait for an upstream without an answer reports that at once, even if it has just
// reported something else. It reports a sign of life from the upstream at once as well.
func TestAggregatorReportsWaitsAtOnce(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	wait := Report{Key: 1, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}
	agg.HandleParentUpdate(now, parentAddr, Update{})
	if _, _, to := agg.Aggregate(at(30*time.Millisecond), []Report{wait}, false); to != parentAddr {
		t.Error("a wait is not reported at once")
	}
	if _, _, to := agg.Aggregate(at(60*time.Millisecond), []Report{wait}, false); to.IsValid() {
		t.Error("an unchanged wait is reported again")
	}
	second := Report{Key: 2, Silence: Silence{WaitingEntries: 1, FirstWaitSince: at(70 * time.Millisecond)}}
	if _, _, to := agg.Aggregate(at(90*time.Millisecond), []Report{wait, second}, false); to != parentAddr {
		t.Error("a second wait is not reported at once")
	}
	agg.HandleParentUpdate(at(100*time.Millisecond), parentAddr, Update{Full: true, Reports: []Report{wait, second}})
	heard := Report{Key: 1, Silence: Silence{LastHeard: at(110 * time.Millisecond)}}
	if _, report, to := agg.Aggregate(at(120*time.Millisecond), []Report{heard, second}, false); to != parentAddr || len(report.Reports) != 1 || report.Full {
		t.Error("a sign of life is not reported at once:", report)
	}
}

// The reports of an entry count once: when it has moved to another relay parent, the earlier parent drops
// them.
func TestAggregatorRemovesChild(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	wait := Report{Key: 1, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}
	agg.HandleChildUpdate(now, childA, Update{Full: true, Reports: []Report{wait}})
	agg.HandleChildUpdate(now, childB, Update{Full: true, Reports: []Report{wait}})
	if sum, _, _ := agg.Aggregate(now, nil, false); sum[0].WaitingEntries != 2 {
		t.Error(sum)
	}
	agg.RemoveChild(childA)
	if sum, _, _ := agg.Aggregate(now, nil, false); sum[0].WaitingEntries != 1 {
		t.Error(sum)
	}
}

// Sums are formed in any order along the tree and give the same result.
func TestSilenceAdds(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	a, b, c := Silence{WaitingEntries: 1, FirstWaitSince: at(30)}, Silence{WaitingEntries: 1, FirstWaitSince: at(10)}, Silence{WaitingEntries: 1, FirstWaitSince: at(20), LastHeard: at(5)}
	want := Silence{WaitingEntries: 3, FirstWaitSince: at(10), SecondWaitSince: at(20), LastHeard: at(5)}
	for _, got := range []Silence{a.Add(b).Add(c), c.Add(a.Add(b)), b.Add(c).Add(a), (Silence{}).Add(c).Add(b).Add(a)} {
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	if d := want.SharedWait(at(220)); d != 200*time.Millisecond {
		t.Error(d)
	}
	if d := want.LongestWait(at(220)); d != 210*time.Millisecond {
		t.Error(d)
	}
	if d := a.SharedWait(at(500)); d != 0 {
		t.Error("shared wait of a single entry:", d)
	}
	ended := want.Add(Silence{LastHeard: at(10)})
	if !ended.Ended() || ended.SharedWait(at(500)) != 0 || ended.LongestWait(at(500)) != 0 {
		t.Error(ended)
	}
}

// The propagation delay is measured with the waits that an entry reports, from when a report is sent until
// the sum contains it. A data centre with a deeper tree waits longer before it ejects an upstream.
func TestDelayGrowsWithTree(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	agg.HandleParentUpdate(now, parentAddr, Update{})
	if d := agg.PropagationDelay(); d != initialDelay {
		t.Error("before any measurement:", d)
	}
	wait := []Report{{Key: 1, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}}
	if _, _, to := agg.Aggregate(now, wait, false); !to.IsValid() {
		t.Fatal("the wait is not reported")
	}
	agg.HandleParentUpdate(now.Add(40*time.Millisecond), parentAddr, Update{Full: true, Reports: []Report{{Key: 2, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}}})
	agg.HandleParentUpdate(now.Add(180*time.Millisecond), parentAddr, Update{Reports: wait})
	if d := agg.PropagationDelay(); d != 360*time.Millisecond {
		t.Error("after a report with a round trip of 180 ms:", d)
	}
}

// Entries wait for a hundred upstreams. Each link carries only what changed, not the full list each time,
// and the receiver still ends up with the full list.
func TestDeltaTrackerSendsChanges(t *testing.T) {
	var tracker DeltaTracker
	now := time.Unix(1000, 0)
	var list, received []Report
	sent := 0
	for i := range 100 {
		list = append(list, Report{Key: stoatpaddle.UpstreamKey(i + 1), Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}})
		u, due := tracker.Next(now.Add(time.Duration(i)*10*time.Millisecond), list, FirstWait)
		if !due {
			t.Fatal("a wait is not sent at once")
		}
		sent += len(u.Reports)
		received = u.applyTo(received)
	}
	if diff := cmp.Diff(list, received); diff != "" {
		t.Error(diff)
	}
	if sent != 100 {
		t.Error(sent, "reports for 100 waits")
	}
	u, due := tracker.Next(now.Add(1100*time.Millisecond), list[:50], FirstWait)
	if received = u.applyTo(received); !due || len(received) != 50 {
		t.Error("ended waits are still held by the receiver:", len(received))
	}
	if u, due := tracker.Next(now.Add(1110*time.Millisecond), list[:50], FirstWait); due {
		t.Errorf("sent although nothing changed: %+v", u)
	}
	if u, due := tracker.Next(now.Add(3*time.Second), list[:50], FirstWait); !due || !u.Full || len(u.Reports) != 50 {
		t.Error("the full list is not sent after fullInterval")
	}
}

// Several failures in a row are each passed on at once. When links lose packets for minutes, so that some
// entry is always waiting for some upstream, the messages stay within the budget for control traffic.
func TestPacer(t *testing.T) {
	var p Pacer
	start := time.Unix(1000, 0)
	now, rounds := start, 0
	for now.Sub(start) < time.Second {
		now = now.Add(p.RecordRound(now))
		rounds++
	}
	if rounds < 45 {
		t.Error(rounds, "rounds in the first second")
	}
	for rounds = 0; now.Sub(start) < time.Minute; rounds++ {
		now = now.Add(p.RecordRound(now))
	}
	if perSecond := float64(rounds) / 59; perSecond > 1.25*roundRate {
		t.Error(perSecond, "rounds a second for a minute")
	}
	if wait := p.RecordRound(now.Add(10 * time.Second)); wait != roundGap {
		t.Error("after a quiet period the next change waits", wait)
	}
}

// An entry that has just found a parent knows which upstreams are being waited for, but not yet which of
// them answered. Its sum is not reliable yet.
func TestStable(t *testing.T) {
	var agg Aggregator
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	agg.HandleParentUpdate(now, parentAddr, Update{})
	if agg.Stable(at(100*time.Millisecond)) || !agg.Stable(at(time.Second)) {
		t.Error("stable too early or too late after a new parent")
	}
	agg.HandleParentUpdate(at(time.Second), parentAddr, Update{})
	if !agg.Stable(at(1100 * time.Millisecond)) {
		t.Error("not stable although the parent is the same")
	}
	agg.HandleChildUpdate(at(2*time.Second), childA, Update{Full: true})
	if !agg.Stable(at(2100 * time.Millisecond)) {
		t.Error("not stable after a new child's first report")
	}
}
