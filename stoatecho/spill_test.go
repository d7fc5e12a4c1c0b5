package stoatecho_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatspill"
)

// newSpillWorld returns a world with one upstream here, whose usual answers are known, and one in another data centre.
func newSpillWorld(t *testing.T, cfg stoatecho.SpillConfig) *world {
	w := newSingleUpstreamWorld(t, 0)
	w.declareObjectives(20 * time.Second)
	w.playUsualAnswers(idempotentAddr)
	w.e.SetSpill(cfg)
	return w
}

// overloadedHere returns a sum of this data centre in which upstreams reject half of the requests and entries refuse
// most openings of the less urgent level.
func overloadedHere(now time.Time) stoatload.CentreLoad {
	return stoatload.CentreLoad{DataCentre: "here", At: now, Groups: []stoatload.GroupLoad{{
		Group: stoatload.GroupID{Service: "app", DataCentre: "here"}, Entries: 1, Answered: 30, Rejected: 30, InProgress: 11, AnswerTime: 300 * ms, Unqueued: 85 * ms,
		Levels: []stoatload.LevelLoad{{Priority: 1, Arrived: 20, Admitted: 20}, {Priority: 2, Arrived: 20, Admitted: 5}},
	}}}
}

// healthy returns a load of a data centre that is nearly idle.
func healthy(dc stoatpaddle.DataCentreID, at time.Time) stoatload.CentreLoad {
	return stoatload.CentreLoad{DataCentre: dc, At: at, Groups: []stoatload.GroupLoad{{
		Group: stoatload.GroupID{Service: "app", DataCentre: dc}, Entries: 1, Answered: 2, InProgress: 0.2, AnswerTime: 85 * ms, Unqueued: 85 * ms,
		Levels: []stoatload.LevelLoad{{Priority: 1, Arrived: 1, Admitted: 1}, {Priority: 2, Arrived: 1, Admitted: 1}},
	}}}
}

// spillCounts counts openings of the less urgent route.
type spillCounts struct {
	here, refused int
	spilled       map[stoatpaddle.UpstreamID]int
	changes       []stoatecho.SpillChange
}

// playSpill plays an opening of each route every 50 ms, and passes the loads on as often.
func (w *world) playSpill(rounds int, own func(time.Time) stoatload.CentreLoad, others func(time.Time) []stoatload.CentreLoad) spillCounts {
	c := spillCounts{spilled: map[stoatpaddle.UpstreamID]int{}}
	for range rounds {
		w.after(50 * ms)
		w.e.SetSharedLoads(w.now, own(w.now), true, others(w.now))
		c.changes = append(c.changes, w.e.UpdateSpill(w.now, w.builder.Table())...)
		f := w.caller(idempotentAddr)
		switch a := f.syn(0); {
		case a.Verdict != stoatecho.Forward:
			c.refused++
		case a.Spilled:
			c.spilled[a.Upstream.ID]++
		default:
			c.here++
		}
		w.tryOpening(nonIdempotentAddr)
	}
	return c
}

// roomThere publishes the load of the other data centre at once.
func roomThere(now time.Time) []stoatload.CentreLoad {
	return []stoatload.CentreLoad{healthy("there", now)}
}

// What home refuses must go to the data centre that has room, with all packets of the flow, also when the opening is
// retransmitted. The start of the spill must be reported once.
func TestRefusedOpeningsSpill(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	c := w.playSpill(60, overloadedHere, roomThere)
	if c.spilled["i-3"] < 30 || len(c.spilled) != 1 || c.refused > 15 || len(c.changes) != 1 || !c.changes[0].Started || c.changes[0].Service != "app" {
		t.Fatalf("%+v", c)
	}
	s := w.e.SpillStates(w.now)
	if len(s) != 1 || !s[0].Spilling || s[0].Reason != stoatspill.ReasonRefused || len(s[0].Targets) != 1 || !s[0].Targets[0].Usable || s[0].Targets[0].Spilled != w.e.Stats().Spilled {
		t.Errorf("%+v, %d openings were spilled", s, w.e.Stats().Spilled)
	}
	for range 100 {
		w.after(50 * ms)
		f := w.caller(idempotentAddr)
		a := f.syn(0)
		if !a.Spilled {
			continue
		}
		w.after(20 * ms)
		if again := f.syn(1); again.Verdict != stoatecho.Forward || again.Upstream.ID != "i-3" {
			t.Errorf("retransmitted: %+v", again)
		}
		f.cookie = a.Upstream.Key
		f.send(stoatpacket.Packet{Ack: 1})
		w.e.SetSpill(stoatecho.SpillConfig{Rule: stoatspill.RuleNone})
		w.after(10 * time.Second)
		if later := f.sendRequest(); later.Verdict != stoatecho.Forward || later.Upstream.ID != "i-3" {
			t.Errorf("later: %+v", later)
		}
		return
	}
	t.Error("no opening was spilled")
}

// The log line of a spilled opening must show the load of the upstream that it went to, not that of the one at home.
func TestSpilledOpeningShowsLoadThere(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.playSpill(40, overloadedHere, roomThere)
	for range 40 {
		w.after(500 * ms) // openings that nobody answered no longer count
		w.e.SetSharedLoads(w.now, overloadedHere(w.now), true, roomThere(w.now))
		w.e.UpdateSpill(w.now, w.builder.Table())
		for range 3 {
			f := w.caller(idempotentAddr)
			f.cookie = stoatroute.KeyOf(7)
			f.sendRequest()
		}
		if a := w.caller(idempotentAddr).syn(0); a.Spilled {
			if a.InProgress != 0 {
				t.Errorf("%d in progress", a.InProgress)
			}
			return
		}
	}
	t.Error("no opening was spilled")
}

// Where no data centre may take openings, the decision at home must stand: otherwise spilled openings would overload
// others, or go where operators forbid it.
func TestNothingSpillsWithoutTarget(t *testing.T) {
	for name, c := range map[string]struct {
		cfg     stoatecho.SpillConfig
		prepare func(w *world)
		others  func(now time.Time) []stoatload.CentreLoad
		silent  bool // no spill is reported to begin
	}{
		"no load known": {others: func(time.Time) []stoatload.CentreLoad { return nil }, silent: true},
		"no room":       {others: func(now time.Time) []stoatload.CentreLoad { return []stoatload.CentreLoad{busyThere(now)} }, silent: true},
		"stale room": {others: func(now time.Time) []stoatload.CentreLoad {
			return []stoatload.CentreLoad{healthy("there", now.Add(-stoatspill.MaxRoomAge-ms))}
		}, silent: true},
		"spills itself": {others: func(now time.Time) []stoatload.CentreLoad { return []stoatload.CentreLoad{spillingThere(now)} }, silent: true},
		"evacuated":     {prepare: func(w *world) { w.evacuate("there", false) }, others: roomThere, silent: true},
		"excluded":      {cfg: stoatecho.SpillConfig{Excluded: []stoatpaddle.DataCentreID{"other", "there"}}, others: roomThere, silent: true},
		"rule none":     {cfg: stoatecho.SpillConfig{Rule: stoatspill.RuleNone}, others: roomThere, silent: true},
		"outside the regions": {prepare: func(w *world) {
			w.e.SetRegions(map[stoatpaddle.DataCentreID]stoatpaddle.RegionID{"here": "east", "there": "west"})
			w.declareSpillRoutes(0, "east")
		}, others: roomThere},
		"cold": {prepare: func(w *world) {
			w.declareSpillRoutes(5)
			w.rev++
			w.builder.MarkGone(w.now, "i-3", w.rev)
			w.rev++
			w.builder.Register(w.now, stoatpaddle.Registration{ID: "i-8", Target: 8, Service: "app", DataCentre: "there", Slots: 3, CreateRevision: w.rev, ColdRemaining: time.Minute}, w.rev)
		}, others: roomThere, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSpillWorld(t, c.cfg)
			if c.prepare != nil {
				c.prepare(w)
			}
			got := w.playSpill(60, overloadedHere, c.others)
			if len(got.spilled) > 0 || w.e.Stats().Spilled > 0 || got.refused < 30 {
				t.Errorf("%+v", got)
			}
			if c.silent && len(got.changes) > 0 {
				t.Errorf("a spill is reported: %+v", got.changes)
			}
			for _, s := range w.e.SpillStates(w.now) {
				for _, target := range s.Targets {
					if target.Spilled != 0 {
						t.Errorf("openings are counted that were not sent: %+v", target)
					}
				}
			}
		})
	}
}

// Cold upstreams of another data centre get no openings from here, so that they are no room; once they are warm they are,
// without a new table.
func TestColdUpstreamsAreNoRoom(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.declareSpillRoutes(5)
	for target, cold := range map[stoatpaddle.TargetID]time.Duration{4: 4 * time.Second, 5: 8 * time.Second} {
		w.rev++
		w.builder.Register(w.now, stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", target)), Target: target, Service: "app", DataCentre: "there", Slots: 3, CreateRevision: w.rev, ColdRemaining: cold,
		}, w.rev)
	}
	var rooms []float64
	for range 3 {
		w.playSpill(60, overloadedHere, roomThere)
		rooms = append(rooms, w.e.SpillStates(w.now)[0].Targets[0].Room)
		w.after(time.Second)
	}
	if rooms[0] <= 0 || rooms[1] < 1.8*rooms[0] || rooms[2] < 1.3*rooms[1] {
		t.Errorf("%v", rooms)
	}
}

// busyThere returns a load of the other data centre whose slots are full.
func busyThere(now time.Time) stoatload.CentreLoad {
	c := healthy("there", now)
	c.Groups[0].InProgress = 3
	return c
}

// spillingThere returns a load of the other data centre that has slots, but spills openings.
func spillingThere(now time.Time) stoatload.CentreLoad {
	c := healthy("there", now)
	c.Groups[0].Spilled = 1
	return c
}

// declareSpillRoutes declares both routes with the regions that they are limited to, and the requests a second that a
// cold upstream can handle.
func (w *world) declareSpillRoutes(coldRate float64, regions ...stoatpaddle.RegionID) {
	w.rev++
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	d := stoatpaddle.Declaration{Version: w.rev, Routes: []stoatpaddle.Route{
		{Listen: idempotentAddr, Backends: to, Idempotent: true, TargetLatency: 20 * time.Second, Priority: 2, Regions: regions},
		{Listen: nonIdempotentAddr, Backends: to, TargetLatency: 20 * time.Second, Priority: 1, Regions: regions},
	}}
	d.SetColdRate("app", coldRate)
	w.builder.ApplyDeclaration(d, w.rev)
}

// After the spill ends, openings must stay at home, and the end be reported once.
func TestSpillEnds(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	if c := w.playSpill(60, overloadedHere, roomThere); c.spilled["i-3"] == 0 {
		t.Fatalf("%+v", c)
	}
	calm := func(now time.Time) stoatload.CentreLoad { return healthy("here", now) }
	if c := w.playSpill(100, calm, roomThere); len(c.changes) != 1 || c.changes[0].Started {
		t.Fatalf("%+v", c)
	}
	if c := w.playSpill(100, calm, roomThere); len(c.spilled) > 0 || c.here < 90 || len(c.changes) > 0 {
		t.Errorf("%+v", c)
	}
}

// Rooms that expire during a spill must end what goes there at once, and the spill a second later.
func TestSpillStopsWhenRoomExpires(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.playSpill(60, overloadedHere, roomThere)
	last := w.now
	frozen := func(time.Time) []stoatload.CentreLoad { return roomThere(last) }
	if c := w.playSpill(59, overloadedHere, frozen); c.spilled["i-3"] == 0 {
		t.Fatalf("the room counts until it is stale: %+v", c)
	}
	w.after(100 * ms)
	if c := w.playSpill(40, overloadedHere, frozen); len(c.spilled) > 0 || len(c.changes) != 1 || c.changes[0].State.Reason != stoatspill.ReasonNoRoom {
		t.Errorf("%+v", c)
	}
}

// The room must follow the slots of the current table: with those of an earlier one, upstreams that are gone would count.
func TestTableChangeUpdatesRoom(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.playSpill(10, overloadedHere, roomThere)
	room := func() float64 {
		s := w.e.SpillStates(w.now)
		if len(s) != 1 || len(s[0].Targets) != 1 {
			t.Fatalf("%+v", s)
		}
		return s[0].Targets[0].Room
	}
	before := room()
	w.register(4, "app", "there")
	w.playSpill(1, overloadedHere, roomThere)
	more := room()
	w.rev++
	w.builder.MarkGone(w.now, "i-3", w.rev)
	w.rev++
	w.builder.MarkGone(w.now, "i-4", w.rev)
	w.playSpill(1, overloadedHere, roomThere)
	if none := room(); before <= 0 || more < 1.8*before || none != 0 {
		t.Errorf("room with one upstream %g, with two %g, with none %g", before, more, none)
	}
}

// A data centre that spills must publish it, so that the others know that it has no room.
func TestSpilledOpeningsAreInLoad(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	own := func() stoatload.CentreLoad {
		return stoatload.CentreLoad{DataCentre: "here", At: w.now, Groups: w.e.Loads(w.now)}
	}
	if c := own(); stoatspill.Away(&c, "app") {
		t.Errorf("before the spill: %+v", c)
	}
	w.playSpill(60, overloadedHere, roomThere)
	c := own()
	l := c.Find("app")
	if l == nil || l.Spilled < 2 || !stoatspill.Away(&c, "app") {
		t.Fatalf("during the spill: %+v", c)
	}
	rooms := stoatspill.RoomsOf("there", "app", []stoatload.CentreLoad{c}, func(stoatpaddle.DataCentreID) stoatspill.Capacity {
		return stoatspill.Capacity{Slots: 1000}
	})
	if len(rooms) != 1 || !rooms[0].Spilling || rooms[0].PerSecond != 0 {
		t.Errorf("%+v", rooms)
	}
	w.playSpill(200, func(now time.Time) stoatload.CentreLoad { return healthy("here", now) }, roomThere)
	if c := own(); stoatspill.Away(&c, "app") {
		t.Errorf("after the spill: %+v", c)
	}
}

// Where this entry sees that the other data centre limits its own callers, nothing may go there, although a room is
// published.
func TestFullTargetTakesNothing(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	if c := w.playSpill(60, overloadedHere, roomThere); c.spilled["i-3"] == 0 {
		t.Fatalf("%+v", c)
	}
	var flows []*caller
	for range 8 {
		f := w.caller(idempotentAddr)
		f.cookie = stoatroute.KeyOf(3)
		flows = append(flows, f)
	}
	for n := range 40 {
		w.playRound(n, flows, func(i int) bool { return n > 10 && i%4 != 0 })
		w.playSpill(1, overloadedHere, roomThere)
	}
	before := w.e.Stats().Spilled
	for n := range 20 {
		w.playRound(n, flows, func(i int) bool { return i%4 != 0 })
		w.playSpill(1, overloadedHere, roomThere)
	}
	if spilled := w.e.Stats().Spilled - before; spilled > 0 {
		t.Errorf("%d openings went to a full data centre", spilled)
	}
	if s := w.e.SpillStates(w.now); len(s) != 1 || !s[0].Targets[0].Usable {
		t.Errorf("the published room does not show it: %+v", s)
	}
}

// An opening that was not answered in the other data centre must not go to the same upstream again.
func TestRetransmittedSpillAvoidsSilentUpstream(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.register(4, "app", "there")
	w.playSpill(60, overloadedHere, roomThere)
	tried := 0
	for range 60 {
		f := w.caller(idempotentAddr)
		first := f.syn(0)
		if first.Spilled {
			w.after(200 * ms)
			w.e.SetSharedLoads(w.now, overloadedHere(w.now), true, roomThere(w.now))
			w.e.UpdateSpill(w.now, w.builder.Table())
			if again := f.syn(1); again.Verdict == stoatecho.Forward {
				tried++
				if again.Upstream == first.Upstream {
					t.Fatalf("sent to %s again", first.Upstream.ID)
				}
			}
		}
		w.playSpill(2, overloadedHere, roomThere)
	}
	if tried < 5 {
		t.Errorf("%d openings show little", tried)
	}
}

// A change of the settings must take effect at once, in both directions.
func TestSetSpill(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.playSpill(60, overloadedHere, roomThere)
	w.e.SetSpill(stoatecho.SpillConfig{Excluded: []stoatpaddle.DataCentreID{"there"}})
	if c := w.playSpill(40, overloadedHere, roomThere); len(c.spilled) > 0 {
		t.Errorf("excluded: %+v", c)
	}
	w.e.SetSpill(stoatecho.SpillConfig{})
	if c := w.playSpill(40, overloadedHere, roomThere); len(c.spilled) == 0 {
		t.Errorf("allowed again: %+v", c)
	}
	w.e.SetSpill(stoatecho.SpillConfig{Rule: stoatspill.RuleNone})
	if c := w.playSpill(40, overloadedHere, roomThere); len(c.spilled) > 0 || len(w.e.SpillStates(w.now)) > 0 {
		t.Errorf("rule none: %+v", c)
	}
}

// With the rule none, each decision must be the one without spillover, whatever the loads say.
func TestRuleNoneDecidesAsWithout(t *testing.T) {
	without, s := spillSession(t, stoatspill.RuleRoom, false)
	none, _ := spillSession(t, stoatspill.RuleNone, true)
	room, spilled := spillSession(t, stoatspill.RuleRoom, true)
	if s.Refused < 100 || s.Opened < 1000 || spilled.Spilled < 100 || room == without {
		t.Fatalf("the session does not show much: %+v, %+v", s, spilled)
	}
	if none != without {
		t.Errorf("digest of the actions: %s, without spillover %s", none, without)
	}
}

// spillSession plays a random session of callers while the loads show an overload in every other period, and returns a
// digest of all actions. Without updates, the engine never decides about spillover.
func spillSession(t *testing.T, rule stoatspill.Rule, updates bool) (string, stoatecho.Stats) {
	w := newSpillWorld(t, stoatecho.SpillConfig{Rule: rule})
	rnd := rand.New(rand.NewPCG(21, 22))
	h := fnv.New64a()
	var open []*caller
	for step := range 10000 {
		w.after(time.Duration(rnd.IntN(20)) * ms)
		own := overloadedHere(w.now)
		if step/1000%2 == 1 {
			own = healthy("here", w.now)
		}
		w.e.SetSharedLoads(w.now, own, true, roomThere(w.now))
		if updates {
			w.e.UpdateSpill(w.now, w.builder.Table())
		}
		switch n := rnd.IntN(8); {
		case n < 4:
			c := w.caller(idempotentAddr)
			if n == 0 {
				c.tuple.Dst = nonIdempotentAddr
			}
			a := c.syn(0)
			writeAction(h, &a)
			_, _ = fmt.Fprintln(h, a.Spilled, a.Admission)
			if a.Verdict == stoatecho.Forward {
				c.cookie = a.Upstream.Key
				open = append(open, c)
			}
		case len(open) == 0:
		case n == 4:
			i := rnd.IntN(len(open))
			a := open[i].send(stoatpacket.Packet{Seq: open[i].seq + 100, Ack: open[i].ack + 1, Ends: true})
			writeAction(h, &a)
			open = slices.Delete(open, i, i+1)
		case n == 5:
			a := open[rnd.IntN(len(open))].sendRequest()
			writeAction(h, &a)
		default:
			a := open[rnd.IntN(len(open))].ackAnswer()
			writeAction(h, &a)
		}
	}
	return fmt.Sprintf("%016x", h.Sum64()), w.e.Stats()
}

// The state of a spill would remain after the service is gone.
func TestSpillIsForgottenWithItsService(t *testing.T) {
	w := newSpillWorld(t, stoatecho.SpillConfig{})
	w.playSpill(60, overloadedHere, roomThere)
	if s := w.e.SpillStates(w.now); len(s) != 1 {
		t.Fatalf("%+v", s)
	}
	none := func(time.Time) stoatload.CentreLoad { return stoatload.CentreLoad{} }
	w.e.SetSharedLoads(w.now, none(w.now), false, nil)
	for _, id := range []stoatpaddle.UpstreamID{"i-7", "i-3"} {
		w.rev++
		w.builder.MarkGone(w.now, id, w.rev)
	}
	w.after(2 * time.Minute)
	for range 3 {
		w.caller(intakeAddr).syn(0)
		w.after(2 * time.Minute)
		w.e.Retain(w.now, w.builder.Table())
		w.e.UpdateSpill(w.now, w.builder.Table())
	}
	if s := w.e.SpillStates(w.now); len(s) > 0 {
		t.Errorf("%+v", s)
	}
}
