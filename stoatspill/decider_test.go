package stoatspill

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// capacity is what one data centre of the world serves a second.
const capacity = worldSlots * float64(time.Second) / float64(worldHold)

// Callers must not be rejected in a full data centre while others have idle slots, whichever data centres are full;
// and where all are full, none may spill, since each would take the place of callers elsewhere.
func TestUnevenDemand(t *testing.T) {
	for _, c := range []struct {
		name    string
		demands []float64
		bound   float64 // of the rejected share in the first data centre
		none    bool    // nothing may be spilled
	}{
		{"none full", []float64{0.6, 0.5, 0.7}, 0, true},
		{"one full", []float64{1.5, 0.1, 0.1}, 0.05, false},
		{"two full", []float64{1.15, 1.15, 0.1}, 0.05, false},
		{"all full", []float64{1.5, 1.2, 1.3}, 1, true},
	} {
		for _, rule := range []Rule{RuleRoom, RuleBoth} {
			for _, entries := range []int{3, 30} {
				var demands []float64
				for _, d := range c.demands {
					demands = append(demands, d*capacity)
				}
				w := newWorld(rule, entries, demands...)
				w.run(6 * time.Second)
				w.reset()
				w.run(20 * time.Second)
				name := fmt.Sprintf("%s, rule %s, %d entries", c.name, rule, entries)
				if got := w.lostShare("a"); got > c.bound {
					t.Errorf("%s: %.3f of the callers here are rejected", name, got)
				}
				if len(w.spilled) > 0 == c.none || w.cycles > 0 {
					t.Errorf("%s: spilled %v, %d steps with a cycle", name, w.spilled, w.cycles)
				}
				if got := w.lostShare("c"); !c.none && got > 0 {
					t.Errorf("%s: %.3f of the callers of the data centre with room are rejected", name, got)
				}
			}
		}
	}
}

// The room ends, since the other data centre's own callers come: they must come first, so that the spill ends within
// the age of a room, and does not begin again.
func TestRoomEnds(t *testing.T) {
	w := newWorld(RuleBoth, 9, 1.5*capacity, 0.1*capacity)
	w.run(10 * time.Second)
	if w.spilled[[2]stoatpaddle.DataCentreID{"a", "b"}] == 0 {
		t.Fatal("nothing was spilled while there was room")
	}
	w.centres[1].demand = 1.1 * capacity
	w.run(MaxRoomAge)
	w.reset()
	w.run(20 * time.Second)
	if len(w.spilled) > 0 {
		t.Errorf("spilled %v without room", w.spilled)
	}
}

// A burst ends: all openings must stay at home within a few seconds, and the spill must not start again.
func TestDemandEnds(t *testing.T) {
	w := newWorld(RuleBoth, 9, 1.5*capacity, 0.1*capacity)
	w.run(10 * time.Second)
	w.centres[0].demand = 0.6 * capacity
	w.run(5 * time.Second)
	w.reset()
	w.run(20 * time.Second)
	if len(w.spilled) > 0 || w.centres[0].deciders[0].Spilling() {
		t.Errorf("spilled %v after the burst: %+v", w.spilled, w.centres[0].deciders[0].State(w.now))
	}
}

// Under a steady load the spill must neither flap nor send more and more: in twenty seconds it starts once.
func TestSpillIsSteady(t *testing.T) {
	d := New(Config{})
	starts := 0
	sent := 0.0
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		home := 1.3*capacity - sent
		own := groupLoad("a", min(home, capacity), max(0, home-capacity))
		own.Levels[0].Arrived, own.Levels[0].Admitted = 1.3*capacity, 1.3*capacity
		own.AnswerTime = 3 * own.Unqueued
		if d.Update(now, Evidence{Own: own, Rooms: []Room{{DataCentre: "b", PerSecond: capacity / 2, At: now}}}) != Unchanged {
			starts++
		}
		sent = d.State(now).Share * 1.3 * capacity
	}
	if starts != 1 || sent < 0.2*capacity || sent > 0.45*capacity {
		t.Errorf("%d starts and ends, %.2f of the capacity is sent away", starts, sent/capacity)
	}
}

// overloaded returns a Decider that has been overloaded for a while.
func overloaded(cfg Config, e Evidence) (*Decider, time.Time) {
	d, now := New(cfg), epoch
	age := make([]time.Duration, len(e.Rooms))
	for i := range e.Rooms {
		age[i] = epoch.Sub(e.Rooms[i].At)
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for i := range e.Rooms {
			e.Rooms[i].At = now.Add(-age[i])
		}
		d.Update(now, e)
	}
	return d, now
}

// refusing returns the load of a data centre that refuses openings.
func refusing(admitted, refused float64) stoatload.GroupLoad {
	g := groupLoad("a", admitted, 0)
	g.Levels[0].Arrived = admitted + refused
	return g
}

// Nothing may go to a data centre whose room is stale, that spills itself, that is not allowed for the opening, or
// that rejects requests as seen from here.
func TestUnusableRooms(t *testing.T) {
	seen := groupLoad("b", 100, 20)
	for _, c := range []struct {
		name  string
		rule  Rule
		room  Room
		allow bool
		seen  []stoatload.GroupLoad
		want  bool
	}{
		{"usable", RuleBoth, Room{PerSecond: 500, At: epoch}, true, nil, true},
		{"young enough", RuleBoth, Room{PerSecond: 500, At: epoch.Add(-2 * time.Second)}, true, nil, true},
		{"stale", RuleBoth, Room{PerSecond: 500, At: epoch.Add(-4 * time.Second)}, true, nil, false},
		{"spills", RuleBoth, Room{PerSecond: 500, Spilling: true, At: epoch}, true, nil, false},
		{"not allowed", RuleBoth, Room{PerSecond: 500, At: epoch}, false, nil, false},
		{"rejects as seen from here", RuleBoth, Room{PerSecond: 500, At: epoch}, true, []stoatload.GroupLoad{seen}, false},
		{"rejects as seen from here, which the rule ignores", RuleRoom, Room{PerSecond: 500, At: epoch}, true, []stoatload.GroupLoad{seen}, true},
		{"no spill at all", RuleNone, Room{PerSecond: 500, At: epoch}, true, nil, false},
		{"no room", RuleRoom, Room{At: epoch}, true, nil, false},
	} {
		c.room.DataCentre = "b"
		d, now := overloaded(Config{Rule: c.rule}, Evidence{Own: refusing(1000, 400), Rooms: []Room{c.room}, Seen: c.seen})
		to, got := d.Decide(now, Opening{Refused: true, Allowed: func(stoatpaddle.DataCentreID) bool { return c.allow }})
		if got != c.want || got && to != "b" {
			t.Errorf("%s: %q %t", c.name, to, got)
		}
	}
}

// An opening that no upstream takes must use up no room and count nowhere: else the counts for operators would show
// openings that were never sent.
func TestWithdraw(t *testing.T) {
	d, now := overloaded(Config{}, Evidence{Own: refusing(1000, 400), Rooms: []Room{{DataCentre: "b", PerSecond: 20, At: epoch}}})
	for range 1000 {
		if to, spills := d.Decide(now, Opening{Refused: true}); !spills || to != "b" {
			t.Fatal("a withdrawn opening used up the room")
		}
		d.Withdraw("b")
		d.Withdraw("unknown")
	}
	if s := d.State(now); s.Targets[0].Spilled != 0 {
		t.Errorf("%+v", s)
	}
}

// Between two updates a room becomes stale too: an entry that hears nothing more must stop.
func TestRoomAgesBetweenUpdates(t *testing.T) {
	d, now := overloaded(Config{}, Evidence{Own: refusing(1000, 400), Rooms: []Room{{DataCentre: "b", PerSecond: 500, At: epoch}}})
	if _, spills := d.Decide(now.Add(2*time.Second), Opening{Refused: true}); !spills {
		t.Error("no spill with a room of 2 s")
	}
	if _, spills := d.Decide(now.Add(4*time.Second), Opening{Refused: true}); spills {
		t.Error("spill with a room of 4 s")
	}
}

// An opening that home refuses has to be spilled before one that home admits, and those that home admits and serves
// have to stay.
func TestRefusedComeFirst(t *testing.T) {
	d, now := overloaded(Config{}, Evidence{Own: refusing(1000, 400), Rooms: []Room{{DataCentre: "b", PerSecond: 500, At: epoch}}})
	if _, spills := d.Decide(now, Opening{X: 0}); spills {
		t.Error("an opening is spilled that home serves")
	}
	if _, spills := d.Decide(now, Opening{Refused: true, X: 0.99}); !spills {
		t.Error("an opening is refused while there is room elsewhere")
	}
}

// Openings must be distributed in proportion to the rooms.
func TestProportion(t *testing.T) {
	rooms := []Room{{DataCentre: "b", PerSecond: 300, At: epoch}, {DataCentre: "c", PerSecond: 100, At: epoch}}
	own := refusing(1000, 400)
	own.Entries = 1
	d, now := overloaded(Config{}, Evidence{Own: own, Rooms: rooms})
	n := map[stoatpaddle.DataCentreID]int{}
	for i := range 4000 {
		now = now.Add(time.Second / 400)
		if i%40 == 0 {
			d.Update(now, Evidence{Own: own, Rooms: []Room{{DataCentre: "b", PerSecond: 300, At: now}, {DataCentre: "c", PerSecond: 100, At: now}}})
		}
		if to, spills := d.Decide(now, Opening{Refused: true, X: float64(i*7919%4000) / 4000}); spills {
			n[to]++
		}
	}
	if n["b"] < 2700 || n["b"] > 3050 || n["c"] < 850 || n["c"] > 1050 {
		t.Errorf("%v of 4000 openings", n)
	}
}

// The local rule must send openings to the data centre that rejects the least, and nowhere if none rejects less than
// half as many as this one.
func TestLocalRule(t *testing.T) {
	own := groupLoad("a", 1000, 100)
	for _, c := range []struct {
		b, c float64 // rejected a second of 1000
		want stoatpaddle.DataCentreID
	}{{0, 10, "b"}, {30, 10, "c"}, {60, 70, ""}, {200, 300, ""}} {
		d, now := overloaded(Config{Rule: RuleLocal}, Evidence{Own: own, Seen: []stoatload.GroupLoad{groupLoad("b", 1000, c.b), groupLoad("c", 1000, c.c)}})
		if to, spills := d.Decide(now, Opening{X: 0.5}); to != c.want || spills != (c.want != "") {
			t.Errorf("%v and %v rejected there: %q %t", c.b, c.c, to, spills)
		}
	}
}

// Half of the entries have lost their connection: they know no room, and the others must not spill their part too.
func TestPartition(t *testing.T) {
	w := newWorld(RuleBoth, 10, 1.5*capacity, 0.5*capacity)
	w.partitioned = true
	w.run(20 * time.Second)
	room := (usableShare - 0.5) * capacity
	if got := w.spilled[[2]stoatpaddle.DataCentreID{"a", "b"}] / 20; got == 0 || got > room/2*1.05 {
		t.Errorf("%.0f openings a second are spilled, half of the room is %.0f", got, room/2)
	}
	if w.lost["b"] > 0 {
		t.Errorf("%.0f openings of the other data centre's callers are rejected", w.lost["b"])
	}
}

// The other data centre fails during the spill. As seen from here it rejects everything, so that nothing more may go
// there, at the latest when its room is stale.
func TestOtherDataCentreFails(t *testing.T) {
	for _, rule := range []Rule{RuleRoom, RuleBoth} {
		w := newWorld(rule, 9, 1.5*capacity, 0.1*capacity)
		w.run(10 * time.Second)
		w.centres[1].failed = true
		w.reset()
		w.run(MaxRoomAge + w.delay)
		within := w.spilled[[2]stoatpaddle.DataCentreID{"a", "b"}]
		w.reset()
		w.run(10 * time.Second)
		if len(w.spilled) > 0 {
			t.Errorf("rule %s: %v are spilled to a data centre that failed", rule, w.spilled)
		}
		if rule == RuleBoth && within > 0.6*capacity {
			t.Errorf("rule %s: %.0f openings are lost, more than those of one second", rule, within)
		}
	}
}

// A quarter of the other data centre's upstreams work at a quarter of their speed, which nobody knows there: its own
// callers must not be rejected for the spill.
func TestSlowQuarter(t *testing.T) {
	w := newWorld(RuleBoth, 9, 1.5*capacity, 0.3*capacity)
	w.centres[1].slow = 1 / (0.75 + 0.25/4)
	w.run(20 * time.Second)
	if got := w.lostShare("b"); got > 0.005 {
		t.Errorf("%.4f of the openings of the other data centre's callers are rejected", got)
	}
	if got := w.lostShare("a"); got > 0.1 {
		t.Errorf("%.4f of the openings here are rejected", got)
	}
}

// Whatever the loads, rooms and random numbers are, the entries of a data centre must not spill more than was
// published, beside what their budgets allow at once.
func TestNoMoreThanPublished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		rooms := []Room{
			{DataCentre: "b", PerSecond: rapid.Float64Range(0, 500).Draw(t, "b")},
			{DataCentre: "c", PerSecond: rapid.Float64Range(0, 50).Draw(t, "c"), Trial: rapid.Float64Range(0, 500).Draw(t, "trial")},
		}
		rule := rapid.SampledFrom([]Rule{RuleRoom, RuleBoth}).Draw(t, "rule")
		stale := rapid.Bool().Draw(t, "measured before the overload")
		own := refusing(rapid.Float64Range(0, 2000).Draw(t, "admitted"), rapid.Float64Range(0, 2000).Draw(t, "refused"))
		own.Rejected = rapid.Float64Range(0, 500).Draw(t, "rejected")
		rate := rapid.IntRange(1, 50).Draw(t, "openings in 10 ms")
		var ds []*Decider
		for range entries {
			ds = append(ds, New(Config{Rule: rule}))
		}
		n := map[stoatpaddle.DataCentreID]int{}
		now := epoch
		const steps = 300
		for i := range steps {
			now = now.Add(10 * time.Millisecond)
			if rooms[0].At, rooms[1].At = now, now; stale {
				rooms[1].At = epoch
			}
			for j := range ds {
				if i%10 == 0 {
					ds[j].Update(now, Evidence{Own: own, Entries: entries, Rooms: rooms})
				}
				for k := range rate {
					if to, spills := ds[j].Decide(now, Opening{Refused: k%2 == 0, X: float64(i*k%97) / 97}); spills {
						n[to]++
					}
				}
			}
		}
		for _, r := range rooms {
			part := r.PerSecond / float64(entries)
			if rule == RuleBoth && stale {
				part = max(r.PerSecond, r.Trial) / float64(entries)
			}
			bound := float64(entries) * (part*steps/100 + max(minBurst, part*burstTime.Seconds()))
			if float64(n[r.DataCentre]) > bound {
				t.Fatalf("%d openings to %s, at most %.0f may go there", n[r.DataCentre], r.DataCentre, bound)
			}
		}
	})
}

// Demands move between the data centres. No data centre may send openings while it receives some, but for the time
// that its room takes to arrive elsewhere; and the callers of a data centre with room must not be rejected in favour
// of spilled openings for longer than that.
func TestNoCycleAndOwnFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.Float64Range(0, 1.6)
		n := rapid.IntRange(2, 4).Draw(t, "data centres")
		w := newWorld(RuleBoth, 3, make([]float64, n)...)
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			for _, c := range w.centres {
				c.demand = demand.Draw(t, "demand") * capacity
			}
			w.run(MaxRoomAge + w.delay)
			w.reset()
			w.run(5 * time.Second)
			for _, c := range w.centres {
				if c.demand < 0.7*capacity && w.lostShare(c.name) > 0.01 {
					t.Errorf("%s: %.3f of its own callers are rejected at a demand of %.2f", c.name, w.lostShare(c.name), c.demand/capacity)
				}
			}
			if w.cycles > 0 {
				t.Errorf("%d steps with a cycle", w.cycles)
			}
		}
	})
}

// When demand moves, the rooms that are known at the start of an overload are of the time before. With RuleBoth an
// entry must try the other data centres at once, on its own evidence, until the next room arrives; but none that spills
// itself or rejects requests, and not again soon after a spill.
func TestTrial(t *testing.T) {
	own := with(groupLoad("a", 100, 50), func(g *stoatload.GroupLoad) { g.Entries = 1 })
	before := groupLoad("a", 1000, 0)
	for _, c := range []struct {
		name string
		rule Rule
		room Room
		want bool
	}{
		{"trial", RuleBoth, Room{Trial: 600}, true},
		{"the rule has none", RuleRoom, Room{Trial: 600}, false},
		{"it spills itself", RuleBoth, Room{Trial: 600, Spilling: true}, false},
		{"it rejects requests", RuleBoth, Room{}, false},
	} {
		c.room.DataCentre, c.room.At = "b", epoch
		d := New(Config{Rule: c.rule})
		now := epoch.Add(time.Second)
		d.Update(now, Evidence{Own: before, Entry: own, Rooms: []Room{c.room}})
		if _, got := d.Decide(now, Opening{Refused: true}); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
		now = now.Add(time.Second)
		c.room.At = now
		d.Update(now, Evidence{Own: before, Entry: own, Rooms: []Room{c.room}})
		if _, got := d.Decide(now, Opening{Refused: true}); got {
			t.Errorf("%s: an opening is spilled although the room is known", c.name)
		}
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			d.Update(now, Evidence{Own: before, Entry: own, Rooms: []Room{c.room}})
			if _, got := d.Decide(now, Opening{Refused: true}); got && c.want {
				t.Errorf("%s: a second trial follows the first", c.name)
			}
		}
	}
}
