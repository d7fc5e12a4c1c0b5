package stoatfilter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

var start = time.Unix(1000, 0)

// upstreams returns n upstreams of the data centre "here" that are cold until the given time and handle
// rate requests a second until then.
func upstreams(n int, rate float64, warm time.Time) []*stoatroute.Upstream {
	var out []*stoatroute.Upstream
	for i := range n {
		u := &stoatroute.Upstream{Key: stoatpaddle.UpstreamKey(i + 1), ColdRate: rate, WarmAt: warm}
		u.DataCentre = "here"
		out = append(out, u)
	}
	return out
}

func TestFilter(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyEvacuation(stoatpaddle.Evacuation{DataCentre: "left", Revision: 1})
	table := b.Table()
	regions := stoatfilter.Regions{"here": "south", "there": "north", "left": "north"}
	for name, c := range map[string]struct {
		centre  stoatpaddle.DataCentreID
		regions []stoatpaddle.RegionID
		rate    float64
		cold    time.Duration
		place   stoatfilter.EntryRank
		want    stoatfilter.Verdict
	}{
		"anywhere":                    {centre: "there", want: stoatfilter.Eligible},
		"evacuated":                   {centre: "left", want: stoatfilter.Evacuated},
		"evacuated, in its region":    {centre: "left", regions: []stoatpaddle.RegionID{"north"}, want: stoatfilter.Evacuated},
		"in its region":               {centre: "there", regions: []stoatpaddle.RegionID{"east", "north"}, want: stoatfilter.Eligible},
		"outside":                     {centre: "here", regions: []stoatpaddle.RegionID{"north"}, want: stoatfilter.OutsideRegions},
		"of no known region":          {centre: "lost", regions: []stoatpaddle.RegionID{"north"}, want: stoatfilter.OutsideRegions},
		"cold without a limit":        {centre: "here", cold: time.Second, want: stoatfilter.Eligible},
		"warm with a limit":           {centre: "here", rate: 3, want: stoatfilter.Eligible},
		"cold, place not known":       {centre: "here", rate: 3, cold: time.Second, want: stoatfilter.Cold},
		"cold, elsewhere":             {centre: "there", rate: 3, cold: time.Second, place: stoatfilter.EntryRank{Entries: 1}, want: stoatfilter.Cold},
		"cold, no place of that rank": {centre: "here", rate: 3, cold: time.Second, place: stoatfilter.EntryRank{Rank: 2, Entries: 2}, want: stoatfilter.Cold},
	} {
		f := stoatfilter.Filter{DataCentre: "here", Regions: regions, EntryRank: c.place}
		u := &stoatroute.Upstream{Key: 7, ColdRate: c.rate, WarmAt: start.Add(c.cold)}
		u.DataCentre = c.centre
		r := &stoatroute.Route{Route: stoatpaddle.Route{Regions: c.regions}}
		if got := f.CheckNewFlow(start, table, r, u, stoatfilter.ColdLoad{}); got != c.want {
			t.Errorf("%s: %s, expected %s", name, got, c.want)
		}
	}
}

// An entry that is alone in its data centre must have turns at a cold upstream, and no turn in the time
// between them.
func TestTurnsComeAndGo(t *testing.T) {
	f := stoatfilter.Filter{DataCentre: "here", EntryRank: stoatfilter.EntryRank{Entries: 1}}
	table := stoatroute.NewBuilder(stoatroute.Config{}).Table()
	got := map[stoatfilter.Verdict]int{}
	u := upstreams(1, 3, start.Add(time.Minute))[0]
	for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
		got[f.CheckNewFlow(start.Add(at), table, &stoatroute.Route{}, u, stoatfilter.ColdLoad{})]++
	}
	if got[stoatfilter.ColdEligible] < 150 || got[stoatfilter.Cold] < 150 {
		t.Error(got)
	}
}

// simulateColdStart simulates a data centre whose upstreams come back cold while callers wait at all
// entries: each entry tries to open a flow every 10 ms, at any upstream that the filter allows. It returns
// the greatest number of flows that any one upstream received within a second, and the number of flows in
// total.
func simulateColdStart(entries []stoatfilter.EntryRank, ups []*stoatroute.Upstream, requests float64, skew time.Duration, seed uint64) (most, all int) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	table := stoatroute.NewBuilder(stoatroute.Config{}).Table()
	route := &stoatroute.Route{}
	taken := map[[2]int]time.Time{}
	got := make([][]time.Time, len(ups))
	clocks := make([]time.Duration, len(entries))
	for i := range clocks {
		clocks[i] = time.Duration(rnd.Int64N(int64(2*skew)+1)) - skew
	}
	for now := start; now.Before(ups[0].WarmAt); now = now.Add(10 * time.Millisecond) {
		for i, place := range entries {
			f := stoatfilter.Filter{DataCentre: "here", EntryRank: place}
			own := now.Add(clocks[i])
			for j, u := range ups {
				x := *u
				x.WarmAt = own.Add(time.Second)
				load := stoatfilter.ColdLoad{RequestsPerFlow: requests, LastSent: taken[[2]int{i, j}]}
				if f.CheckNewFlow(own, table, route, &x, load) == stoatfilter.ColdEligible {
					taken[[2]int{i, j}] = own
					got[j] = append(got[j], now)
					all++
					break
				}
			}
		}
	}
	for _, times := range got {
		for i := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, all
}

func places(n int) []stoatfilter.EntryRank {
	var out []stoatfilter.EntryRank
	for i := range n {
		out = append(out, stoatfilter.EntryRank{Rank: i, Entries: n})
	}
	return out
}

// All upstreams of a data centre come back cold at once while callers wait at every entry. No upstream may
// receive more in any second than it can handle, and at least a third of the capacity must be used. This
// must also hold for entries with different clocks; two halves that are cut off and count only themselves
// may exceed the limit by half.
func TestColdUpstreamsGetWhatTheyBear(t *testing.T) {
	for _, n := range []int{1, 9, 30, 150} {
		for _, rate := range []float64{2, 5, 20} {
			ups := upstreams(40, rate, start.Add(4*time.Second))
			for name, c := range map[string]struct {
				entries []stoatfilter.EntryRank
				skew    time.Duration
				limit   float64 // of the rate
			}{
				"together":         {entries: places(n), limit: 1},
				"in two halves":    {entries: append(places(n), places(n)...), limit: 1.5},
				"clocks that vary": {entries: places(n), skew: 20 * time.Millisecond, limit: 1},
			} {
				most, all := simulateColdStart(c.entries, ups, 1, c.skew, uint64(n))
				t.Logf("%d entries, %g a second, %s: at most %d in a second, %d in all", n, rate, name, most, all)
				if float64(most) > c.limit*rate+1 {
					t.Errorf("%d entries, %g a second, %s: %d in a second", n, rate, name, most)
				}
				// Each entry makes a hundred attempts a second.
				if could := min(rate*4*40, float64(400*n)); float64(all) < could/3 {
					t.Errorf("%d entries, %g a second, %s: %d in all of %g", n, rate, name, all, could)
				}
			}
		}
	}
}

// If each flow carries four requests while its upstream is cold, flows must be opened a quarter as often.
func TestColdUpstreamsAndLongFlows(t *testing.T) {
	ups := upstreams(40, 8, start.Add(4*time.Second))
	if most, _ := simulateColdStart(places(30), ups, 4, 0, 1); most > 8/4+1 {
		t.Errorf("%d flows of four requests in a second", most)
	}
}

// Unused turns must lapse. Callers arrive after three seconds without any, and the turns of those seconds
// must not be made up for, since the upstreams would be overloaded.
func TestUnusedTurnsLapse(t *testing.T) {
	ups := upstreams(40, 5, start.Add(4*time.Second))
	later := start
	start = start.Add(3 * time.Second)
	defer func() { start = later }()
	if most, _ := simulateColdStart(places(30), ups, 1, 0, 1); most > 5+1 {
		t.Errorf("%d in a second", most)
	}
}

func ExampleVerdict() {
	fmt.Println(stoatfilter.Evacuated, stoatfilter.OutsideRegions, stoatfilter.Cold)
	// Output: evacuated outside cold
}
