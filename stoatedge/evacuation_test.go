package stoatedge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

// newEvacuationSession returns a session of an entry that follows evacuations and has got no answer yet.
func newEvacuationSession(t *testing.T, otherSeeds, reliesOnOthers bool) *session {
	s := newSessionOf(t, controllerConfig{
		MaxDelay: 3 * time.Second, Evacuations: true, GracePeriod: 2 * time.Second, FlowLifetime: time.Minute,
		Seeds: seedRole{otherSeeds: otherSeeds, isSeed: otherSeeds && !reliesOnOthers}, Seed: 1,
	})
	s.step(started{})
	return s
}

// answerFirstLists answers the first lists, as of revision 10, with those evacuations.
func (s *session) answerFirstLists(changes ...change) *session {
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.answer(evacuations, 10, changes...)
	return s
}

func evacuated(centre string, revision stoatpaddle.Version) change {
	return change{name: centre, revision: revision, evacuation: &stoatpaddle.Evacuation{DataCentre: stoatpaddle.DataCentreID(centre), Revision: revision}}
}

func withdrawn(centre string, revision stoatpaddle.Version) change {
	c := evacuated(centre, revision)
	c.deleted, c.evacuation.Withdrawn = true, true
	return c
}

// wantEvacuated fails the test unless the data centre is evacuated as expected.
func (s *session) wantEvacuated(when string, evacuated bool) {
	s.t.Helper()
	if s.table.Evacuated("here") != evacuated {
		s.t.Errorf("%s: evacuated %t", when, !evacuated)
	}
}

// A data centre is evacuated when an entry starts. The entry must not place its first flow before it knows of
// that: the configuration and the upstreams alone do not make it ready.
func TestEvacuationBeforeTheFirstFlow(t *testing.T) {
	s := newEvacuationSession(t, false, false)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	if s.table.Ready() {
		t.Error("ready without a list of evacuations")
	}
	s.answer(evacuations, 10, evacuated("here", 8))
	if !s.table.Ready() {
		t.Error("not ready")
	}
	s.wantEvacuated("at the start", true)
}

// Operators evacuate a data centre, withdraw the evacuation, and evacuate it again. Each change is in force
// with the answer that brings it and is logged once; known changes have no effect.
func TestEvacuationComesAndGoes(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists()
	s.wantEvacuated("nothing was requested", false)
	s.answer(evacuations, 12, evacuated("here", 12))
	s.wantEvacuated("evacuation requested", true)
	// The deleted object has the revision of its last change.
	s.answer(evacuations, 14, withdrawn("here", 12))
	s.wantEvacuated("withdrawn", false)
	s.answer(evacuations, 14, evacuated("here", 12))
	s.wantEvacuated("the request that was withdrawn comes again", false)
	s.answer(evacuations, 17, evacuated("here", 16), withdrawn("here", 16), evacuated("here", 17))
	s.wantEvacuated("three changes in one answer", true)
	if in, out := s.events[EventEvacuated.Number], s.events[EventEvacuationWithdrawn.Number]; in != 3 || out != 2 {
		t.Errorf("%d and %d lines", in, out)
	}
}

// The platform falls silent while a data centre is evacuated. The evacuation lasts as long as the platform
// cannot be read; a withdrawal during the outage comes into force with the next list.
func TestEvacuationDuringAnOutage(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists(evacuated("here", 8))
	for range 4 {
		for topic := range topicCount {
			if s.calls[topic] != nil {
				s.fail(topic)
			}
		}
		s.advance(3 * time.Second)
	}
	s.wantEvacuated("an outage of 12 s", true)
	s.answer(declarations, 20)
	for s.calls[evacuations] != nil && !s.calls[evacuations].List {
		s.answer(evacuations, 20)
	}
	s.answer(evacuations, 20)
	s.wantEvacuated("a list without it", false)
}

// The platform loses its history, and the replica that is listed then is seconds behind and lacks the
// evacuation. The evacuation stays until a list that is as recent says otherwise.
func TestEvacuationAndForgottenHistory(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists()
	s.answer(evacuations, 15, evacuated("here", 15))
	s.end(evacuations, stoatfeed.Result{Outcome: stoatfeed.HistoryGone})
	s.answer(evacuations, 12)
	s.wantEvacuated("a list of a replica that is behind", true)
	s.answer(evacuations, 15, evacuated("here", 15))
	s.wantEvacuated("a list as recent as what is known", true)
	s.answer(evacuations, 16, withdrawn("here", 15))
	s.wantEvacuated("withdrawn", false)
}

// The list of evacuations has an object of another writer, whose name cannot be read, in place of the known
// evacuation. No data centre gets flows back because of it; the next valid list decides.
func TestEvacuationListWithoutAName(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists(evacuated("here", 8))
	s.end(evacuations, stoatfeed.Result{Outcome: stoatfeed.HistoryGone})
	s.answer(evacuations, 15, unreadable("", 12))
	s.wantEvacuated("a list with an object that has no name", true)
	s.end(evacuations, stoatfeed.Result{Outcome: stoatfeed.HistoryGone})
	s.answer(evacuations, 16)
	s.wantEvacuated("an empty list", false)
}

// A replica does not have an evacuation, and its watch is silent. The exact watch of the configuration says
// that the platform is at a later revision. Within half a second the replica is asked again, and then the
// platform itself.
func TestEvacuationMissingAtReplica(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists()
	s.now = s.now.Add(time.Second)
	s.answer(declarations, 30)
	s.advance(answerWait + 2*tickInterval)
	if c := s.calls[evacuations]; c == nil || c.Wait > time.Millisecond {
		t.Fatalf("the replica is not asked again: %+v", c)
	}
	s.answer(evacuations, 12)
	if c := s.calls[evacuations]; c == nil || c.AllowStale {
		t.Fatalf("the platform is not asked itself: %+v", c)
	}
	s.answer(evacuations, 30, evacuated("here", 25))
	s.wantEvacuated("the platform's own answer", true)
}

// An entry with a parent learns of evacuations with the first message. A former parent that knows less, or
// one whose state is older, does not bring back an evacuation that was withdrawn.
func TestEvacuationFromParent(t *testing.T) {
	s := newEvacuationSession(t, true, true)
	update := func(known stoatpaddle.Version, list ...stoatpaddle.Evacuation) {
		s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, whole: true, known: position(known), evacuations: list},
			declared(1, 5), registered("i-1", 1, 6))
	}
	here := func(revision stoatpaddle.Version, withdrawn bool) stoatpaddle.Evacuation {
		return stoatpaddle.Evacuation{DataCentre: "here", Revision: revision, Withdrawn: withdrawn}
	}
	update(10, here(8, false))
	if !s.table.Ready() {
		t.Fatal("not ready")
	}
	s.wantEvacuated("the first update", true)
	update(14, here(13, true))
	s.wantEvacuated("an update that it is withdrawn", false)
	update(12, here(8, false))
	s.wantEvacuated("an update of a parent that knows less", false)
	update(16, here(15, false))
	s.wantEvacuated("evacuated again", true)
	update(16)
	s.wantEvacuated("an update of a parent that does not know of it", true)
}

// Guards against the cost of watches that are cancelled after some milliseconds: an entry that has just
// started has its lists and looks for a parent. Its watches begin after a second, or never if it finds a
// parent.
func TestWatchWaitsForAParent(t *testing.T) {
	s := newEvacuationSession(t, true, true).answerFirstLists()
	for topic, c := range s.calls {
		if c == nil || c.Pause < firstWatchDelay/2 || c.List {
			t.Errorf("topic %d: %+v", topic, c)
		}
	}
	s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, whole: true, known: position(10)}, declared(1, 5), registered("i-1", 1, 6))
	s.wantNoCalls("a parent was found")
	alone := newEvacuationSession(t, true, true).answerFirstLists()
	alone.now = alone.now.Add(firstWatchDelay)
	alone.answer(declarations, 11)
	if c := alone.calls[declarations]; c == nil || c.Pause > 0 {
		t.Errorf("without a parent it goes on reading: %+v", c)
	}
}

// Guards against a flood of log lines: forty registrations change at once at each entry. One line names them
// all; a few that change have a line each.
func TestManyChangesAreOneLine(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists()
	var many []change
	for i := range stoatpaddle.Version(40) {
		many = append(many, registered(stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", 100+i)), stoatpaddle.TargetID(100+i), 20+i))
	}
	before := s.events[EventStandingChanged.Number]
	s.answer(upstreams, 60, many...)
	if s.events[EventStandingsChanged.Number] != 1 || s.events[EventStandingChanged.Number] != before {
		t.Errorf("%d lines of one upstream, %d of many", s.events[EventStandingChanged.Number]-before, s.events[EventStandingsChanged.Number])
	}
	s.answer(upstreams, 62, deletedUpstream("i-100", 61), deletedUpstream("i-101", 62))
	if s.events[EventStandingsChanged.Number] != 1 || s.events[EventStandingChanged.Number] != before+2 {
		t.Errorf("%d lines of one upstream, %d of many", s.events[EventStandingChanged.Number]-before, s.events[EventStandingsChanged.Number])
	}
}

// Guards against children that hear of leaving upstreams seconds late, when the exact watch of the
// configuration ends. Ten upstreams change within 0.1 s: children are woken for the first change at once, for
// the others together, and for an evacuation at any time.
func TestChangesWakeChildren(t *testing.T) {
	s := newEvacuationSession(t, false, false).answerFirstLists()
	s.advance(time.Second)
	s.wakeUps = 0
	for i := range stoatpaddle.Version(10) {
		s.now = s.now.Add(10 * ms)
		x := registered("i-1", 1, 20+i)
		x.registration.Slots = int(20 + i)
		s.answer(upstreams, 20+i, x)
	}
	if s.wakeUps != 1 {
		t.Errorf("woken %d times by a burst of changes", s.wakeUps)
	}
	s.answer(evacuations, 40, evacuated("here", 40))
	if s.wakeUps != 2 {
		t.Errorf("woken %d times, the last time by an evacuation", s.wakeUps)
	}
	s.answer(upstreams, 50, registered("i-2", 2, 50))
	s.advance(wakeInterval + tickInterval)
	if s.wakeUps != 3 {
		t.Errorf("woken %d times, the last time for a change just after", s.wakeUps)
	}
	s.advance(time.Second)
	if s.wakeUps != 3 {
		t.Errorf("woken %d times though nothing changed", s.wakeUps)
	}
}
