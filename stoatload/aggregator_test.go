package stoatload

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle"
)

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8166)
}

func newAggregator(self int, dc stoatpaddle.DataCentreID) *Aggregator {
	return NewAggregator(AggregatorConfig{Self: addrOf(self), DataCentre: dc})
}

// contended returns the load of one entry with two levels, of which upstreams reject some.
func contended(dc stoatpaddle.DataCentreID, answered float64) []GroupLoad {
	return []GroupLoad{{
		Group: GroupID{Service: "app", DataCentre: dc}, Entries: 1, Answered: answered, Rejected: answered / 10, InProgress: 4,
		AnswerTime: 50 * ms, Unqueued: 20 * ms,
		Levels: []LevelLoad{{Priority: 0, Arrived: answered, Admitted: answered}, {Priority: 2, Arrived: answered, Admitted: answered / 2}},
	}}
}

// calm returns the load of one entry that needs nothing from others.
func calm(dc stoatpaddle.DataCentreID, answered float64) []GroupLoad {
	return []GroupLoad{{Group: GroupID{Service: "app", DataCentre: dc}, Entries: 1, Answered: answered, Levels: []LevelLoad{{Arrived: answered, Admitted: answered}}}}
}

func groupGenerator() *rapid.Generator[GroupLoad] {
	return rapid.Custom(func(t *rapid.T) GroupLoad {
		g := GroupLoad{
			Group:   GroupID{Service: rapid.SampledFrom([]stoatpaddle.ServiceID{"a", "b", "c"}).Draw(t, "service"), DataCentre: "here"},
			Entries: 1, Answered: rapid.Float64Range(0.1, 1000).Draw(t, "answered"), Rejected: rapid.Float64Range(0, 1000).Draw(t, "rejected"),
			InProgress: rapid.Float64Range(0, 100).Draw(t, "in progress"),
			AnswerTime: time.Duration(rapid.IntRange(1, 1e9).Draw(t, "answer time")), Unqueued: time.Duration(rapid.IntRange(1, 1e9).Draw(t, "unqueued")),
		}
		for _, p := range rapid.SliceOfDistinct(rapid.IntRange(0, 30), rapid.ID[int]).Draw(t, "priorities") {
			g.addLevel(LevelLoad{Priority: p, Arrived: rapid.Float64Range(0.1, 100).Draw(t, "arrived"), Admitted: rapid.Float64Range(0, 100).Draw(t, "admitted")})
		}
		g.Levels = g.Levels[:min(len(g.Levels), MaxLevels)]
		return g
	})
}

func sameGroups(a, b []GroupLoad) bool {
	const share = 1e-6
	// Each addition rounds a mean to a nanosecond.
	sameTime := func(a, b time.Duration) bool { return (a - b).Abs() <= 12 }
	return slices.EqualFunc(a, b, func(x, y GroupLoad) bool {
		return x.Group == y.Group && x.Entries == y.Entries && near(x.Answered, y.Answered, share) && near(x.Rejected, y.Rejected, share) &&
			near(x.InProgress, y.InProgress, share) && sameTime(x.AnswerTime, y.AnswerTime) && sameTime(x.Unqueued, y.Unqueued) &&
			slices.EqualFunc(x.Levels, y.Levels, func(l, m LevelLoad) bool {
				return l.Priority == m.Priority && near(l.Arrived, m.Arrived, share) && near(l.Admitted, m.Admitted, share)
			})
	})
}

// Guards against a sum that depends on the shape of the relay tree: entries are added up in any order, directly or by
// way of entries in between, and the result is the same.
func TestSumIgnoresOrderAndGrouping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.SliceOfN(groupGenerator(), 0, 4), 1, 12).Draw(t, "loads")
		flat := newAggregator(0, "here")
		for i, l := range loads {
			flat.HandleChild(start, addrOf(i+1), Report{Groups: l})
		}
		want := flat.Subtree(start)
		order := rapid.Permutation(indexes(len(loads))).Draw(t, "order")
		above := make([]int, len(order)) // index in order of the parent of each entry; the first is the root
		nodes := make([]*Aggregator, len(order))
		for i := range order {
			nodes[i] = newAggregator(i, "here")
			nodes[i].SetOwn(start, loads[order[i]])
			if i > 0 {
				above[i] = rapid.IntRange(0, i-1).Draw(t, "parent")
			}
		}
		for i := len(order) - 1; i > 0; i-- {
			nodes[above[i]].HandleChild(start, addrOf(i), nodes[i].Report(start))
		}
		if got := nodes[0].Subtree(start); !sameGroups(got, want) {
			t.Fatalf("%+v instead of %+v", got, want)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a sum that keeps deciding after the parent, or the link to it, has gone.
func TestStaleSumIsNotReturned(t *testing.T) {
	agg := newAggregator(1, "here")
	if _, ok := agg.Sum(start); ok {
		t.Error("a sum without a parent")
	}
	sum := &CentreLoad{DataCentre: "here", At: start, Groups: contended("here", 100)}
	agg.HandleParent(start.Add(100*ms), addrOf(2), sum)
	if got, ok := agg.Sum(start.Add(900 * ms)); !ok || got.Find("app") == nil || !got.At.Equal(start) {
		t.Errorf("%+v %v", got, ok)
	}
	if _, ok := agg.Sum(start.Add(MaxSumAge)); ok {
		t.Error("a sum that is a second old is returned")
	}
	if agg.Pace(start.Add(2*time.Second)) != Pressed || agg.Pace(start.Add(LoadTTL)) != Silent {
		t.Error("reports don't end with the sum")
	}
	for name, change := range map[string]func(){
		"parent lost":                    func() { agg.HandleParent(start, netip.AddrPort{}, nil) },
		"parent replaced":                func() { agg.HandleParent(start, addrOf(3), nil) },
		"parent of the previous release": func() { agg.HandleParent(start, addrOf(2), nil) },
		"sum of another data centre":     func() { agg.HandleParent(start, addrOf(2), &CentreLoad{DataCentre: "there", At: start}) },
		"expired when it arrives":        func() { agg.HandleParent(start, addrOf(2), &CentreLoad{DataCentre: "here", At: start.Add(-LoadTTL)}) },
	} {
		agg.HandleParent(start, addrOf(2), sum)
		change()
		if got, ok := agg.Sum(start); ok {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against loads that count twice or for too long: a child reports again, reports to another entry, moves below
// another child, is removed, or falls silent.
func TestChildCountsOnce(t *testing.T) {
	agg := newAggregator(0, "here")
	agg.SetTopmost(true)
	answered := func(now time.Time) float64 {
		sum, ok := agg.Sum(now)
		if !ok {
			t.Fatal("no sum")
		}
		if g := sum.Find("app"); g != nil {
			return g.Answered
		}
		return 0
	}
	agg.SetOwn(start, contended("here", 1))
	agg.HandleChild(start, addrOf(1), Report{Groups: contended("here", 10)})
	agg.HandleChild(start, addrOf(1), Report{Groups: contended("here", 20)})
	agg.HandleChild(start, addrOf(2), Report{Groups: contended("here", 100)})
	if got := answered(start); got != 121 {
		t.Error("after a second report:", got)
	}
	agg.RemoveChild(addrOf(1))
	agg.HandleChild(start, addrOf(2), Report{Groups: contended("here", 120)})
	if got := answered(start); got != 121 {
		t.Error("after a child moved:", got)
	}
	agg.SetOwn(start.Add(LoadTTL), contended("here", 1))
	if got := answered(start.Add(LoadTTL)); got != 1 {
		t.Error("after a child fell silent:", got)
	}
	agg.HandleExchange(start, Exchange{DataCentre: "here", Parts: []Part{{Origin: addrOf(2), Load: CentreLoad{DataCentre: "here", At: start, Groups: contended("here", 100)}}}}, false)
	agg.SetOwn(start, contended("here", 1))
	if got := answered(start); got != 121 {
		t.Error("after another root became a child:", got)
	}
}

// Guards against a data centre with two roots, each of which takes its own tree for all of it, and against loads of
// other data centres that are added to the own one.
func TestSumOfSeveralRoots(t *testing.T) {
	a, b, other := newAggregator(1, "here"), newAggregator(2, "here"), newAggregator(3, "there")
	for i, agg := range []*Aggregator{a, b, other} {
		agg.SetTopmost(true)
		agg.SetOwn(start, contended(agg.cfg.DataCentre, float64(10*(i+1))))
	}
	for range 2 {
		for _, pair := range [][2]*Aggregator{{a, b}, {a, other}, {other, b}} {
			pair[1].HandleExchange(start, pair[0].Exchange(start, pair[1].cfg.Self, false), false)
			pair[0].HandleExchange(start, pair[1].Exchange(start, pair[0].cfg.Self, false), false)
		}
	}
	for _, agg := range []*Aggregator{a, b} {
		sum, ok := agg.Sum(start)
		centres := agg.Centres(start)
		if !ok || sum.Find("app").Answered != 30 || sum.Find("app").Entries != 2 || len(centres) != 1 || centres[0].Find("app").Answered != 30 {
			t.Errorf("%+v %+v", sum, centres)
		}
	}
	if centres := other.Centres(start); len(centres) != 1 || centres[0].DataCentre != "here" || centres[0].Find("app").Answered != 30 {
		t.Errorf("%+v", centres)
	}
	if centres := other.Centres(start.Add(LoadTTL)); len(centres) != 0 {
		t.Errorf("expired loads are returned: %+v", centres)
	}
}

// Guards against a topmost entry whose parent is in another data centre and is not topmost itself: the part has to
// reach the root there, and the loads there have to reach the entry and those below it.
func TestTopmostBelowAnotherDataCentre(t *testing.T) {
	root, middle := newAggregator(1, "here"), newAggregator(2, "here")
	top, leaf := newAggregator(3, "there"), newAggregator(4, "there")
	root.SetTopmost(true)
	top.SetTopmost(true)
	root.SetOwn(start, contended("here", 10))
	middle.SetOwn(start, contended("here", 5))
	top.SetOwn(start, contended("there", 7))
	middle.HandleExchange(start, top.Exchange(start, addrOf(2), false), true)
	root.HandleChild(start, addrOf(2), middle.Report(start))
	if centres := root.Centres(start); len(centres) != 1 || centres[0].DataCentre != "there" || centres[0].Find("app").Answered != 7 {
		t.Errorf("at the root: %+v", centres)
	}
	sum, ok := root.SumForChildren(start)
	if !ok || sum.Find("app").Answered != 15 {
		t.Fatalf("%+v %v", sum, ok)
	}
	middle.HandleParent(start, addrOf(1), &sum)
	middle.HandleCentres(start, root.Centres(start))
	top.HandleExchange(start, middle.Exchange(start, addrOf(3), true), false)
	leaf.HandleCentres(start, top.Centres(start))
	for _, agg := range []*Aggregator{top, leaf} {
		if centres := agg.Centres(start); len(centres) != 1 || centres[0].DataCentre != "here" || centres[0].Find("app").Answered != 15 {
			t.Errorf("%+v", centres)
		}
	}
	if own, _ := top.Sum(start); own.Find("app").Answered != 7 {
		t.Errorf("%+v", own)
	}
}

// Guards against an older load that replaces a younger one, whichever way they arrive.
func TestYoungestLoadWins(t *testing.T) {
	agg := newAggregator(0, "here")
	load := func(age time.Duration, answered float64) CentreLoad {
		return CentreLoad{DataCentre: "there", At: start.Add(-age), Groups: calm("there", answered)}
	}
	agg.HandleCentres(start, []CentreLoad{load(500*ms, 1), load(100*ms, 2), load(300*ms, 3), load(LoadTTL, 4)})
	if centres := agg.Centres(start); len(centres) != 1 || centres[0].Find("app").Answered != 2 {
		t.Errorf("%+v", centres)
	}
}

// Guards against reports that request each other for good: the exchange ends when no entry needs it, also between data
// centres.
func TestExchangeEnds(t *testing.T) {
	root, child, other := newAggregator(1, "here"), newAggregator(2, "here"), newAggregator(3, "there")
	root.SetTopmost(true)
	other.SetTopmost(true)
	round := func(now time.Time, load []GroupLoad) {
		root.SetOwn(now, calm("here", 3))
		child.SetOwn(now, load)
		other.SetOwn(now, calm("there", 3))
		if child.Pace(now) != Silent {
			root.HandleChild(now, addrOf(2), child.Report(now))
		}
		if root.Pace(now) != Silent {
			other.HandleExchange(now, root.Exchange(now, addrOf(3), false), false)
		}
		if other.Pace(now) != Silent {
			root.HandleExchange(now, other.Exchange(now, addrOf(1), false), false)
		}
		if sum, ok := root.SumForChildren(now); ok {
			child.HandleParent(now, addrOf(1), &sum)
		} else {
			child.HandleParent(now, addrOf(1), nil)
		}
	}
	now := start
	for range 10 {
		round(now, contended("here", 5))
		now = now.Add(PressedInterval)
	}
	if root.Pace(now) != Pressed || other.Pace(now) != Steady || len(root.Centres(now)) != 1 {
		t.Error(root.Pace(now), other.Pace(now), root.Centres(now))
	}
	for range 40 {
		round(now, calm("here", 5))
		now = now.Add(PressedInterval)
	}
	if root.Pace(now) != Silent || child.Pace(now) != Silent || other.Pace(now) != Silent {
		t.Error(root.Pace(now), child.Pace(now), other.Pace(now))
	}
}

// Guards against unbounded memory: children, groups, data centres and parts from others beyond the limits are not
// kept.
func TestAggregatorIsBounded(t *testing.T) {
	agg := newAggregator(0, "here")
	var groups []GroupLoad
	for i := range 3 * MaxGroups {
		groups = append(groups, GroupLoad{Group: GroupID{Service: stoatpaddle.ServiceID(fmt.Sprint(i)), DataCentre: "here"}, Entries: 1, Answered: 1})
	}
	for i := range 3 * MaxChildren {
		if ok := agg.HandleChild(start, addrOf(i+1), Report{Groups: groups}); ok != (i < MaxChildren) {
			t.Fatal(i, ok)
		}
	}
	var parts []Part
	for i := range 3 * MaxParts {
		dc := stoatpaddle.DataCentreID(fmt.Sprint("dc", i%(2*MaxCentres)))
		parts = append(parts, Part{Origin: addrOf(i), Load: CentreLoad{DataCentre: dc, At: start, Groups: calm(dc, 1)}})
	}
	agg.HandleExchange(start, Exchange{DataCentre: "there", Parts: parts}, true)
	if len(agg.children) != MaxChildren || len(agg.Subtree(start)) != MaxGroups || len(agg.parts) > MaxParts || len(agg.Centres(start)) > MaxCentres {
		t.Error(len(agg.children), len(agg.Subtree(start)), len(agg.parts), len(agg.Centres(start)))
	}
	later := start.Add(LoadTTL)
	if !agg.HandleChild(later, addrOf(1000), Report{Groups: groups}) || len(agg.children) != 1 {
		t.Error("expired children keep their places")
	}
}
