package stoatspill

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// A fixed seed makes a failing run reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1000, 0)

// groupLoad returns the load of a group whose upstreams answer in 50 ms, of which 6 ms are the round trip.
func groupLoad(dc stoatpaddle.DataCentreID, answered, rejected float64) stoatload.GroupLoad {
	return stoatload.GroupLoad{
		Group: stoatload.GroupID{Service: "app", DataCentre: dc}, Entries: 3, Answered: answered, Rejected: rejected,
		InProgress: answered * 0.05, AnswerTime: 50 * time.Millisecond, Unqueued: 50 * time.Millisecond,
		Levels: []stoatload.LevelLoad{{Priority: 1, Arrived: answered + rejected, Admitted: answered + rejected}},
	}
}

// Each signal alone must take the room away: rejections, a queue, slots that are in use, a spill of the data centre
// itself. A round trip must not be taken for work.
func TestRoomOf(t *testing.T) {
	c := Capacity{Slots: 80, Spillers: 1, RoundTrip: 6 * time.Millisecond}
	for _, x := range []struct {
		name     string
		load     stoatload.GroupLoad
		capacity Capacity
		min, max float64
	}{
		{"idle, without answers", stoatload.GroupLoad{}, c, 60, 65},
		{"a tenth in use", groupLoad("b", 180, 0), c, 1200, 1300},
		{"the same without the round trip", groupLoad("b", 180, 0), Capacity{Slots: 80}, 1000, 1150},
		{"half for each of two", groupLoad("b", 180, 0), Capacity{Slots: 80, Spillers: 2, RoundTrip: c.RoundTrip}, 600, 650},
		{"all slots in use", groupLoad("b", 1500, 0), c, 0, 0},
		{"some rejections", groupLoad("b", 180, 2), c, 600, 1000},
		{"rejections", groupLoad("b", 180, 4), c, 0, 0},
		{"a queue", with(groupLoad("b", 180, 0), func(g *stoatload.GroupLoad) { g.AnswerTime = 130 * time.Millisecond }), c, 0, 0},
		{"requests that hang", with(groupLoad("b", 180, 0), func(g *stoatload.GroupLoad) { g.InProgress = 70 }), c, 0, 0},
		{"long flows", with(groupLoad("b", 180, 0), func(g *stoatload.GroupLoad) { g.Levels[0].Admitted = 18 }), c, 120, 130},
		{"spills itself", groupLoad("b", 180, 0), Capacity{Slots: 80, Spilling: true}, 0, 0},
		{"no upstreams", groupLoad("b", 0, 0), Capacity{}, 0, 0},
		{"a round trip that cannot be", groupLoad("b", 180, 0), Capacity{Slots: 80, RoundTrip: time.Second}, 1000, 5200},
	} {
		if r := RoomOf(epoch, x.load, x.capacity); !(r.PerSecond >= x.min && r.PerSecond <= x.max) {
			t.Errorf("%s: room %.1f, want %.0f to %.0f", x.name, r.PerSecond, x.min, x.max)
		}
	}
}

func with(g stoatload.GroupLoad, change func(g *stoatload.GroupLoad)) stoatload.GroupLoad {
	change(&g)
	return g
}

// A data centre whose entries send openings elsewhere must have no room, even if its own upstreams are well again
// because of it: otherwise two data centres could send each other their callers. A few openings do not count.
func TestAway(t *testing.T) {
	for _, x := range []struct {
		away float64
		want bool
	}{{0, false}, {1, false}, {30, true}} {
		c := stoatload.CentreLoad{DataCentre: "b", At: epoch, Groups: []stoatload.GroupLoad{groupLoad("a", x.away, 0), groupLoad("b", 180, 0)}}
		if got := Away(&c, "app"); got != x.want {
			t.Errorf("%v away: %t", x.away, got)
		}
		rooms := RoomsOf("c", "app", []stoatload.CentreLoad{c}, func(stoatpaddle.DataCentreID) Capacity { return Capacity{Slots: 80} })
		if len(rooms) != 1 || rooms[0].Spilling != x.want || rooms[0].PerSecond > 0 == x.want {
			t.Errorf("%v away: %+v", x.away, rooms)
		}
	}
}

// Every data centre that has no room may be one that spills: together they must not send more than fits.
func TestRoomIsDivided(t *testing.T) {
	loads := []stoatload.CentreLoad{
		{DataCentre: "a", At: epoch, Groups: []stoatload.GroupLoad{groupLoad("a", 1500, 100)}},
		{DataCentre: "b", At: epoch, Groups: []stoatload.GroupLoad{groupLoad("b", 1500, 100)}},
		{DataCentre: "c", At: epoch, Groups: []stoatload.GroupLoad{groupLoad("c", 180, 0)}},
	}
	capacity := func(stoatpaddle.DataCentreID) Capacity { return Capacity{Slots: 80} }
	whole, sum := RoomOf(epoch, loads[2].Groups[0], Capacity{Slots: 80}).PerSecond, 0.0
	for _, own := range []stoatpaddle.DataCentreID{"a", "b"} {
		for _, r := range RoomsOf(own, "app", loads, capacity) {
			sum += r.PerSecond
		}
	}
	if math.Abs(sum-whole) > 0.01*whole {
		t.Errorf("two data centres may send %.0f together, the room is %.0f", sum, whole)
	}
}

// Whatever the load is, the room must be finite and not negative, must not exceed what the slots can take, and must
// not grow with rejections, with requests in progress or with the answer time.
func TestRoomIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := groupLoad("b", rapid.Float64Range(0, 1e4).Draw(t, "answered"), rapid.Float64Range(0, 10).Draw(t, "rejected"))
		g.InProgress = rapid.Float64Range(0, 200).Draw(t, "in progress")
		g.Unqueued = time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "unqueued"))
		g.AnswerTime = time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "answer time"))
		c := Capacity{Slots: rapid.IntRange(0, 300).Draw(t, "slots"), RoundTrip: time.Duration(rapid.Int64Range(0, 1e8).Draw(t, "round trip"))}
		room := RoomOf(epoch, g, c).PerSecond
		hold, _ := holdTimes(g.Unqueued, c.RoundTrip)
		if !(room >= 0 && room <= float64(c.Slots)/hold) {
			t.Fatalf("room %v of %d slots", room, c.Slots)
		}
		for name, worse := range map[string]stoatload.GroupLoad{
			"rejections":  with(g, func(g *stoatload.GroupLoad) { g.Rejected += 1 + g.Rejected }),
			"in progress": with(g, func(g *stoatload.GroupLoad) { g.InProgress += 10 }),
			"answer time": with(g, func(g *stoatload.GroupLoad) { g.AnswerTime += 20 * time.Millisecond }),
		} {
			if r := RoomOf(epoch, worse, c).PerSecond; r > room {
				t.Fatalf("more %s: room %v, before %v", name, r, room)
			}
		}
	})
}
