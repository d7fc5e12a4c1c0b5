package stoatedge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// evacuating returns a session of an entry that follows evacuations, and of which nothing is answered.
func evacuating(t *testing.T, others, follows bool) *session {
	s := newSessionOf(t, keeperConfig{
		Apply: 3 * time.Second, Evacuations: true, Return: 2 * time.Second, Life: time.Minute,
		Seeds: naming{others: others, self: others && !follows}, Seed: 1,
	})
	s.step(started{})
	return s
}

// serving answers its first lists, as of revision 10, with those evacuations.
func (s *session) serving(changes ...change) *session {
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.answer(evacuations, 10, changes...)
	return s
}

func evacuated(centre string, revision stoatpaddle.Version) change {
	return change{name: centre, revision: revision, evacuation: &stoatpaddle.Evacuation{DataCentre: stoatpaddle.DataCentreID(centre), Revision: revision}}
}

func takenBack(centre string, revision stoatpaddle.Version) change {
	c := evacuated(centre, revision)
	c.gone, c.evacuation.Withdrawn = true, true
	return c
}

// want fails unless the data centre is evacuated as it should be.
func (s *session) want(when string, evacuated bool) {
	s.t.Helper()
	if s.table.Evacuated("here") != evacuated {
		s.t.Errorf("%s: evacuated %t", when, !evacuated)
	}
}

// A data centre is evacuated when an entry starts. It must not place its first flow before it has
// heard of that: with the configuration and the upstreams alone it is not ready.
func TestEvacuationBeforeTheFirstFlow(t *testing.T) {
	s := evacuating(t, false, false)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	if s.table.Ready() {
		t.Error("ready without a list of evacuations")
	}
	s.answer(evacuations, 10, evacuated("here", 8))
	if !s.table.Ready() {
		t.Error("not ready")
	}
	s.want("at the start", true)
}

// Operators evacuate a data centre, take it back and evacuate it again. Each is in force with the
// answer that brings it, is logged once, and what is known already changes nothing.
func TestEvacuationComesAndGoes(t *testing.T) {
	s := evacuating(t, false, false).serving()
	s.want("nothing was asked", false)
	s.answer(evacuations, 12, evacuated("here", 12))
	s.want("asked for", true)
	// The object that was deleted bears the revision of its last change.
	s.answer(evacuations, 14, takenBack("here", 12))
	s.want("withdrawn", false)
	s.answer(evacuations, 14, evacuated("here", 12))
	s.want("the request that was withdrawn comes again", false)
	s.answer(evacuations, 17, evacuated("here", 16), takenBack("here", 16), evacuated("here", 17))
	s.want("three changes in one answer", true)
	if in, out := s.events[EventEvacuated.Number], s.events[EventEvacuationWithdrawn.Number]; in != 3 || out != 2 {
		t.Errorf("%d and %d lines", in, out)
	}
}

// The platform falls silent while a data centre is evacuated. It stays so for as long as nobody can
// read; what was withdrawn meanwhile is in force once a list says so.
func TestEvacuationDuringAnOutage(t *testing.T) {
	s := evacuating(t, false, false).serving(evacuated("here", 8))
	for range 4 {
		for topic := range topicCount {
			if s.calls[topic] != nil {
				s.fail(topic)
			}
		}
		s.pass(3 * time.Second)
	}
	s.want("an outage of 12 s", true)
	s.answer(declarations, 20)
	for s.calls[evacuations] != nil && !s.calls[evacuations].List {
		s.answer(evacuations, 20)
	}
	s.answer(evacuations, 20)
	s.want("a list without it", false)
}

// The platform forgets its history, and the replica that is listed then is seconds behind: it lacks
// the evacuation. What is known stays until a list that is as new says otherwise.
func TestEvacuationAndForgottenHistory(t *testing.T) {
	s := evacuating(t, false, false).serving()
	s.answer(evacuations, 15, evacuated("here", 15))
	s.end(evacuations, stoatfeed.Result{Outcome: stoatfeed.Forgotten})
	s.answer(evacuations, 12)
	s.want("a list of a replica that is behind", true)
	s.answer(evacuations, 15, evacuated("here", 15))
	s.want("a list as new as what is known", true)
	s.answer(evacuations, 16, takenBack("here", 15))
	s.want("withdrawn", false)
}

// Another writer's object, whose name cannot be read, is in the list of evacuations in place of the one
// that was known. No data centre gets flows back for that; the next good list says what is true.
func TestEvacuationListWithoutAName(t *testing.T) {
	s := evacuating(t, false, false).serving(evacuated("here", 8))
	s.end(evacuations, stoatfeed.Result{Outcome: stoatfeed.Forgotten})
	s.answer(evacuations, 15, bad("", 12))
	s.want("a list with an object that has no name", true)
	s.end(evacuations, stoatfeed.Result{Outcome: stoatfeed.Forgotten})
	s.answer(evacuations, 16)
	s.want("an empty list", false)
}

// A replica never says that a data centre was evacuated: its watch is silent. The exact watch of the
// configuration says that the platform has a later revision; within half a second the replica is asked
// again, and then the platform itself.
func TestEvacuationThatAReplicaHides(t *testing.T) {
	s := evacuating(t, false, false).serving()
	s.now = s.now.Add(time.Second)
	s.answer(declarations, 30)
	s.pass(settle + 2*tickEvery)
	if c := s.calls[evacuations]; c == nil || c.Wait > time.Millisecond {
		t.Fatalf("the replica is not asked again: %+v", c)
	}
	s.answer(evacuations, 12)
	if c := s.calls[evacuations]; c == nil || c.AllowStale {
		t.Fatalf("the platform is not asked itself: %+v", c)
	}
	s.answer(evacuations, 30, evacuated("here", 25))
	s.want("the platform's own answer", true)
}

// An entry is told by another one. It learns of evacuations with the first message, and a former
// parent that knows less, or one whose view is older, does not bring back what was withdrawn.
func TestEvacuationIsTold(t *testing.T) {
	s := evacuating(t, true, true)
	tell := func(known stoatpaddle.Version, list ...stoatpaddle.Evacuation) {
		s.tell(update{from: "parent", age: 100 * ms, whole: true, known: at(known), evacuations: list},
			declared(1, 5), registered("i-1", 1, 6))
	}
	here := func(revision stoatpaddle.Version, withdrawn bool) stoatpaddle.Evacuation {
		return stoatpaddle.Evacuation{DataCentre: "here", Revision: revision, Withdrawn: withdrawn}
	}
	tell(10, here(8, false))
	if !s.table.Ready() {
		t.Fatal("not ready")
	}
	s.want("told at the start", true)
	tell(14, here(13, true))
	s.want("told that it is withdrawn", false)
	tell(12, here(8, false))
	s.want("told by one that knows less", false)
	tell(16, here(15, false))
	s.want("evacuated again", true)
	tell(16)
	s.want("told by one that has never heard of it", true)
}

// An entry starts, has its lists and looks for a parent. A watch of the platform that it gives up some
// milliseconds later would be paid for: it begins after a second, or never if a parent is found.
func TestWatchWaitsForAParent(t *testing.T) {
	s := evacuating(t, true, true).serving()
	for topic, c := range s.calls {
		if c == nil || c.Pause < parentWait/2 || c.List {
			t.Errorf("topic %d: %+v", topic, c)
		}
	}
	s.tell(update{from: "parent", age: 100 * ms, whole: true, known: at(10)}, declared(1, 5), registered("i-1", 1, 6))
	s.quiet("a parent was found")
	alone := evacuating(t, true, true).serving()
	alone.now = alone.now.Add(parentWait)
	alone.answer(declarations, 11)
	if c := alone.calls[declarations]; c == nil || c.Pause > 0 {
		t.Errorf("without a parent it goes on reading: %+v", c)
	}
}

// Forty registrations lapse in an outage: one line says so at each entry, and names them. A few that
// change have a line each.
func TestManyChangesAreOneLine(t *testing.T) {
	s := evacuating(t, false, false).serving()
	var many []change
	for i := range stoatpaddle.Version(40) {
		many = append(many, registered(stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", 100+i)), stoatpaddle.TargetID(100+i), 20+i))
	}
	before := s.events[EventStandingChanged.Number]
	s.answer(upstreams, 60, many...)
	if s.events[EventStandingsChanged.Number] != 1 || s.events[EventStandingChanged.Number] != before {
		t.Errorf("%d lines of one, %d of many", s.events[EventStandingChanged.Number]-before, s.events[EventStandingsChanged.Number])
	}
	s.answer(upstreams, 62, ended1("i-100", 61), ended1("i-101", 62))
	if s.events[EventStandingsChanged.Number] != 1 || s.events[EventStandingChanged.Number] != before+2 {
		t.Errorf("%d lines of one, %d of many", s.events[EventStandingChanged.Number]-before, s.events[EventStandingsChanged.Number])
	}
}

// A reader hears that upstreams leave, ten within 0.1 s, while the exact watch of the configuration is
// still waiting. Those below it must not hear of them only when that ends, seconds later: they are
// woken for the first one at once, for the others together, and for an evacuation at any time.
func TestChangesWakeOthers(t *testing.T) {
	s := evacuating(t, false, false).serving()
	s.pass(time.Second)
	s.woken = 0
	for i := range stoatpaddle.Version(10) {
		s.now = s.now.Add(10 * ms)
		x := registered("i-1", 1, 20+i)
		x.registration.Slots = int(20 + i)
		s.answer(upstreams, 20+i, x)
	}
	if s.woken != 1 {
		t.Errorf("woken %d times by a swarm of changes", s.woken)
	}
	s.answer(evacuations, 40, evacuated("here", 40))
	if s.woken != 2 {
		t.Errorf("woken %d times, the last time by an evacuation", s.woken)
	}
	s.answer(upstreams, 50, registered("i-2", 2, 50))
	s.pass(ringEvery + tickEvery)
	if s.woken != 3 {
		t.Errorf("woken %d times, the last time for what came just after", s.woken)
	}
	s.pass(time.Second)
	if s.woken != 3 {
		t.Errorf("woken %d times though nothing changed", s.woken)
	}
}
