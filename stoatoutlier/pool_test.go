package stoatoutlier

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
)

var (
	above  = netip.MustParseAddrPort("10.0.0.1:8166")
	belowA = netip.MustParseAddrPort("10.0.0.2:8166")
	belowB = netip.MustParseAddrPort("10.0.0.3:8166")
)

func saw(key stoatpaddle.UpstreamKey, answered, failed int) Report {
	return Report{Key: key, Counts: Counts{Answered: answered, Failed: failed}}
}

// An entry without a parent in its data centre adds up what it and those below it saw; what a
// child saw counts once, and not any more when the child is gone.
func TestPoolAddsUp(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	p.HandleChildUpdate(now, belowA, Update{Full: true, Reports: []Report{saw(1, 2, 1), saw(2, 5, 0)}})
	p.HandleChildUpdate(now, belowA, Update{Full: true, Reports: []Report{saw(1, 3, 2), saw(2, 5, 0)}})
	p.HandleChildUpdate(now.Add(5*time.Second), belowB, Update{Full: true, Reports: []Report{saw(1, 4, 0)}})
	sum, _, to := p.Aggregate(now.Add(5*time.Second), []Report{saw(1, 1, 1)}, false)
	if diff := cmp.Diff([]Report{saw(1, 8, 3)}, sum); diff != "" || to.IsValid() {
		t.Error(diff, to)
	}
	sum, _, _ = p.Aggregate(now.Add(7*time.Second), []Report{saw(1, 1, 1)}, false)
	if diff := cmp.Diff([]Report{saw(1, 5, 1)}, sum); diff != "" {
		t.Error(diff)
	}
}

// An entry with a parent reports to it what changed soon, and what stays the same rarely; it
// goes by the sum that it is told, until that is old or the parent is gone.
func TestPoolReports(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	own := []Report{saw(1, 1, 1)}
	p.HandleParentUpdate(now, above, Update{Full: true, Reports: []Report{saw(1, 40, 20)}})
	sum, report, to := p.Aggregate(now, own, false)
	if diff := cmp.Diff([]Report{saw(1, 40, 20)}, sum); diff != "" || to != above {
		t.Error(diff, to)
	}
	if diff := cmp.Diff(own, report.Reports); diff != "" {
		t.Error(diff)
	}
	reports := 0
	for at := 100 * time.Millisecond; at <= 4*time.Second; at += 100 * time.Millisecond {
		if _, _, to := p.Aggregate(now.Add(at), own, false); to.IsValid() {
			reports++
		}
	}
	if reports != 2 {
		t.Error("the same was reported", reports, "times in 4 s")
	}
	if _, _, to := p.Aggregate(now.Add(4600*time.Millisecond), append(own, saw(2, 0, 1)), false); !to.IsValid() {
		t.Error("what is new waits")
	}
	if _, report, to := p.Aggregate(now.Add(5200*time.Millisecond), nil, false); !to.IsValid() || len(report.onto([]Report{saw(1, 1, 1), saw(2, 0, 1)})) != 0 {
		t.Error("the end is not reported:", to, report)
	}
	if _, _, to := p.Aggregate(now.Add(20*time.Second), nil, false); to.IsValid() {
		t.Error("nothing is reported")
	}
	if sum, _, _ := p.Aggregate(now.Add(20*time.Second), own, false); !cmp.Equal(own, sum) {
		t.Error("an old sum is gone by:", sum)
	}
	p.HandleParentUpdate(now.Add(21*time.Second), netip.AddrPort{}, Update{})
	if sum, _, to := p.Aggregate(now.Add(21*time.Second), own, false); !cmp.Equal(own, sum) || to.IsValid() {
		t.Error(sum, to)
	}
}

// A report that nobody can have made is cut, not believed. Times are sent as ages, since two
// entries' clocks may differ by seconds.
func TestCodec(t *testing.T) {
	now, there := time.Unix(1000, 0), time.Unix(2000, 0)
	r := saw(4000000000, 5, 6)
	r.Silence = Silence{WaitingEntries: 2, FirstWaitSince: now.Add(-300 * time.Millisecond), SecondWaitSince: now.Add(-100 * time.Millisecond), LastHeard: now.Add(-time.Second)}
	want := r
	want.FirstWaitSince, want.SecondWaitSince, want.LastHeard = there.Add(-300*time.Millisecond), there.Add(-100*time.Millisecond), there.Add(-time.Second)
	got := Decode(there, Encode(now, []Report{saw(1, 2, 3), r}))
	if diff := cmp.Diff([]Report{saw(1, 2, 3), want}, got); diff != "" {
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

// Thirty entries answer an upstream's requests, two saw five fail. What the thirty saw has to reach
// the sum once the upstream is named there: by the failures alone it would fail most requests.
func TestPoolReportsWhatOthersName(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	own := []Report{saw(1, 20, 0)}
	p.HandleParentUpdate(now, above, Update{})
	if _, _, to := p.Aggregate(now, own, false); to.IsValid() {
		t.Error("reported though nobody failed")
	}
	p.HandleParentUpdate(now, above, Update{Full: true, Reports: []Report{saw(1, 2, 5)}})
	_, report, to := p.Aggregate(now.Add(time.Second), own, false)
	if diff := cmp.Diff(own, report.Reports); diff != "" || to != above {
		t.Error(diff, to)
	}
}

// An entry waits for an upstream in vain and says so at once, also while it has just reported. Once
// it hears from the upstream it says that at once too.
func TestPoolReportsClaimsAtOnce(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	wait := Report{Key: 1, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}
	p.HandleParentUpdate(now, above, Update{})
	if _, _, to := p.Aggregate(at(30*time.Millisecond), []Report{wait}, false); to != above {
		t.Error("a wait is not reported")
	}
	if _, _, to := p.Aggregate(at(60*time.Millisecond), []Report{wait}, false); to.IsValid() {
		t.Error("the same is reported again")
	}
	second := Report{Key: 2, Silence: Silence{WaitingEntries: 1, FirstWaitSince: at(70 * time.Millisecond)}}
	if _, _, to := p.Aggregate(at(90*time.Millisecond), []Report{wait, second}, false); to != above {
		t.Error("a second wait is held back")
	}
	p.HandleParentUpdate(at(100*time.Millisecond), above, Update{Full: true, Reports: []Report{wait, second}})
	heard := Report{Key: 1, Silence: Silence{LastHeard: at(110 * time.Millisecond)}}
	if _, report, to := p.Aggregate(at(120*time.Millisecond), []Report{heard, second}, false); to != above || len(report.Reports) != 1 || report.Full {
		t.Error("a sign of life is held back:", report)
	}
}

// What an entry saw counts once: when it has gone to another relay parent, the earlier one drops it.
func TestPoolForgets(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	wait := Report{Key: 1, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}
	p.HandleChildUpdate(now, belowA, Update{Full: true, Reports: []Report{wait}})
	p.HandleChildUpdate(now, belowB, Update{Full: true, Reports: []Report{wait}})
	if sum, _, _ := p.Aggregate(now, nil, false); sum[0].WaitingEntries != 2 {
		t.Error(sum)
	}
	p.RemoveChild(belowA)
	if sum, _, _ := p.Aggregate(now, nil, false); sum[0].WaitingEntries != 1 {
		t.Error(sum)
	}
}

// Sums are made in any order along the tree, and come out the same.
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
		t.Error("one entry alone:", d)
	}
	ended := want.Add(Silence{LastHeard: at(10)})
	if !ended.Ended() || ended.SharedWait(at(500)) != 0 || ended.LongestWait(at(500)) != 0 {
		t.Error(ended)
	}
}

// How long a sign of life takes is followed by what an entry says itself: from when its claim leaves
// until the sum has it. A data centre with a deeper tree waits longer before it ejects.
func TestDelayFollowsTheTree(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	p.HandleParentUpdate(now, above, Update{})
	if d := p.PropagationDelay(); d != delayFirst {
		t.Error("at first", d)
	}
	wait := []Report{{Key: 1, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}}
	if _, _, to := p.Aggregate(now, wait, false); !to.IsValid() {
		t.Fatal("not reported")
	}
	p.HandleParentUpdate(now.Add(40*time.Millisecond), above, Update{Full: true, Reports: []Report{{Key: 2, Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}}}})
	p.HandleParentUpdate(now.Add(180*time.Millisecond), above, Update{Reports: wait})
	if d := p.PropagationDelay(); d != 360*time.Millisecond {
		t.Error("after a claim that took 180 ms:", d)
	}
}

// A hundred upstreams are waited for. What changed goes through each link, not all of it each time,
// and the other side has the same all the same.
func TestStreamSendsWhatChanged(t *testing.T) {
	var s DeltaTracker
	now := time.Unix(1000, 0)
	var list, there []Report
	sent := 0
	for i := range 100 {
		list = append(list, Report{Key: stoatpaddle.UpstreamKey(i + 1), Silence: Silence{WaitingEntries: 1, FirstWaitSince: now}})
		u, due := s.Next(now.Add(time.Duration(i)*10*time.Millisecond), list, FirstWait)
		if !due {
			t.Fatal("a claim is held back")
		}
		sent += len(u.Reports)
		there = u.onto(there)
	}
	if diff := cmp.Diff(list, there); diff != "" {
		t.Error(diff)
	}
	if sent != 100 {
		t.Error(sent, "reports for 100 claims")
	}
	u, due := s.Next(now.Add(1100*time.Millisecond), list[:50], FirstWait)
	if there = u.onto(there); !due || len(there) != 50 {
		t.Error("what ended is left:", len(there))
	}
	if u, due := s.Next(now.Add(1110*time.Millisecond), list[:50], FirstWait); due {
		t.Errorf("nothing changed: %+v", u)
	}
	if u, due := s.Next(now.Add(3*time.Second), list[:50], FirstWait); !due || !u.Full || len(u.Reports) != 50 {
		t.Error("not sent whole after a while")
	}
}

// A failure is passed on at once, some times in a row. Links that lose packets for minutes, so that
// some entry waits for some upstream all the time, do not use up what control traffic may take.
func TestPacer(t *testing.T) {
	var p Pacer
	start := time.Unix(1000, 0)
	now, turns := start, 0
	for now.Sub(start) < time.Second {
		now = now.Add(p.RecordRound(now))
		turns++
	}
	if turns < 45 {
		t.Error(turns, "turns in the first second")
	}
	for turns = 0; now.Sub(start) < time.Minute; turns++ {
		now = now.Add(p.RecordRound(now))
	}
	if perSecond := float64(turns) / 59; perSecond > 1.25*turnRate {
		t.Error(perSecond, "turns a second for a minute")
	}
	if wait := p.RecordRound(now.Add(10 * time.Second)); wait != turnGap {
		t.Error("after a calm the next change waits", wait)
	}
}

// An entry that has just found its place in the tree knows who is waited for, and not yet who answered.
func TestSteady(t *testing.T) {
	var p Aggregator
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	p.HandleParentUpdate(now, above, Update{})
	if p.Stable(at(100*time.Millisecond)) || !p.Stable(at(time.Second)) {
		t.Error("after a new parent")
	}
	p.HandleParentUpdate(at(time.Second), above, Update{})
	if !p.Stable(at(1100 * time.Millisecond)) {
		t.Error("the parent is the same")
	}
	p.HandleChildUpdate(at(2*time.Second), belowA, Update{Full: true})
	if !p.Stable(at(2100 * time.Millisecond)) {
		t.Error("a child that reports for the first time holds the others up")
	}
}
