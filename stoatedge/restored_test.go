package stoatedge

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// runningIn returns a session of an entry that reads a platform of era 1, as of revision 30.
func runningIn(t *testing.T) *session {
	s := newSession(t)
	s.era = 1
	s.answer(declarations, 30, declared(21, 26))
	s.answer(upstreams, 30, registered("i-1", 1, 6), registered("i-2", 2, 28))
	if !s.table.Ready() || s.table.Era != 1 || s.events[EventPlatformRestored.Number] != 0 {
		t.Fatal(s.table.Ready(), s.table.Era, s.events)
	}
	return s
}

// The platform comes back from a copy that is older than the last configuration and the last upstream.
// Any answer says so, here one about the configuration: the watch of upstreams, which waits for
// revisions above 30, would not be answered until the platform has counted up to them. The lost
// configuration stays in force, the lost upstream keeps its flows, and what is confirmed next comes
// into force although its revision is lower than those of before.
func TestRestoredPlatform(t *testing.T) {
	s := runningIn(t)
	s.era = 2
	s.answer(declarations, 24)
	if s.events[EventPlatformRestored.Number] != 1 || !s.calls[declarations].List || !s.calls[upstreams].List {
		t.Fatalf("%v %+v %+v", s.events, s.calls[declarations], s.calls[upstreams])
	}
	s.answer(declarations, 24, declared(19, 22))
	s.answer(upstreams, 24, registered("i-1", 1, 6))
	if s.table.Declaration.Version != 21 || len(s.table.Candidates("app")) != 2 {
		t.Fatal("the copy reverted what is in force:", s.table.Declaration.Version, len(s.table.Candidates("app")))
	}
	s.answer(declarations, 25, declared(24, 25))
	s.answer(upstreams, 26, registered("i-2", 2, 26))
	if s.table.Declaration.Version != 24 || s.table.Revision != 25 {
		t.Error("what was confirmed after the restore is not in force:", s.table.Declaration.Version)
	}
	s.pass(3 * time.Second)
	if len(s.table.Candidates("app")) != 2 || s.events[EventPlatformRestored.Number] != 1 {
		t.Error("an upstream that registered again is gone, or a restore is said twice:", s.events)
	}
}

// An upstream was registered in the seconds that the copy lacks, at a time when this entry did not hear
// of it. It serves and has flows. Until it had time to register again, an exact answer that lacks it
// does not say that it has ended: its flows would be reset.
func TestUnknownUpstreamAfterARestore(t *testing.T) {
	s := runningIn(t)
	before := s.table.CompleteAsOf
	s.era = 2
	for range 3 {
		s.step(doubted{})
		s.answer(upstreams, 24, registered("i-1", 1, 6), registered("i-2", 2, 7))
		s.pass(300 * ms)
	}
	if !s.table.CompleteAsOf.Equal(before) {
		t.Error("a restored platform's answer counts as complete after", s.table.CompleteAsOf.Sub(before))
	}
	s.pass(2 * time.Second)
	s.step(doubted{})
	s.answer(upstreams, 24)
	if s.table.CompleteAsOf.Equal(before) {
		t.Error("nothing that is missing can ever be told from what has ended")
	}
}

// The leases of the copy count from before the outage, so that the store ends registrations right after
// its return, before the upstreams could renew them. They serve, and are back two seconds later: their
// flows must not be reset meanwhile. One that does not come back is gone.
func TestLapseAfterARestore(t *testing.T) {
	s := runningIn(t)
	s.era = 2
	s.answer(declarations, 24)
	s.answer(upstreams, 24, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.answer(upstreams, 26, ended1("i-1", 25), ended1("i-2", 26))
	for _, target := range []stoatpaddle.TargetID{1, 2} {
		if u := s.table.Upstream(stoatroute.KeyOf(target)); u.State != stoatroute.Missing {
			t.Error(target, u.State)
		}
	}
	s.answer(upstreams, 27, registered("i-1", 1, 27))
	s.pass(2 * time.Second)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-1" {
		t.Error(len(list))
	}
	s.answer(upstreams, 28, ended1("i-1", 28))
	if u := s.table.Upstream(stoatroute.KeyOf(1)); u.State != stoatroute.Gone {
		t.Error("an end long after the restore is none:", u.State)
	}
}

// Entries that are told hear of the restore from their parent, before it has listed anything anew. What
// they believe stays, what the parent says next counts, and a parent that has not heard of the restore
// is left: its revisions mean something else.
func TestRestoreIsTold(t *testing.T) {
	s := startSession(t, true, true)
	in := func(era stoatpaddle.Era, rev stoatpaddle.Version) stoatpaddle.Position {
		return stoatpaddle.Position{Era: era, Revision: rev}
	}
	s.tell(update{from: "parent", age: 100 * ms, whole: true, known: in(1, 30), era: 1}, declared(21, 26), registered("i-1", 1, 6), registered("i-2", 2, 28))
	s.tell(update{from: "parent", age: 300 * ms, known: in(1, 30), era: 2})
	s.quiet("the parent lists for others")
	if s.events[EventPlatformRestored.Number] != 1 || s.left != 0 || s.knows != in(1, 30) || len(s.table.Candidates("app")) != 2 {
		t.Fatal(s.events, s.left, s.knows)
	}
	d := declared(24, 25)
	s.tell(update{from: "parent", age: 100 * ms, known: in(2, 25), era: 2, delta: &stoatrelay.Delta{Revision: 25, Base: 21, Declaration: *d.declaration}})
	if s.table.Declaration.Version != 24 || s.knows != in(2, 25) || s.left != 0 {
		t.Error(s.table.Declaration.Version, s.knows, s.left)
	}
	gone := stoatroute.RemoteUpstream{Registration: *registered("i-2", 2, 28).registration, Revision: 40, State: stoatroute.Gone}
	s.tell(update{from: "parent", age: 100 * ms, known: in(1, 41), era: 1, upstreams: []stoatroute.RemoteUpstream{gone}})
	if s.left != 1 || len(s.table.Candidates("app")) != 2 {
		t.Error("a parent of an earlier era is believed:", s.left, len(s.table.Candidates("app")))
	}
}

// A parent of the release before says no era. Its revisions are those of the present one: entries are
// replaced in turn, and those that are new must not leave it for that.
func TestParentThatSaysNoEra(t *testing.T) {
	s := startSession(t, true, true)
	s.tell(update{from: "parent", age: 100 * ms, whole: true, known: at(30)}, declared(21, 26), registered("i-1", 1, 6))
	s.tell(update{from: "parent", age: 100 * ms, known: at(31)}, registered("i-2", 2, 31))
	if s.left != 0 || s.events[EventPlatformRestored.Number] != 0 || len(s.table.Candidates("app")) != 2 || s.knows != at(31) {
		t.Error(s.left, s.events, s.knows)
	}
}

// Operators evacuated a data centre, the store confirmed it, and came back from a copy made just before,
// which does not have it. They write it again, but the list that entries make at once lacks it: taken at
// its word, the data centre would get flows back while its power is about to go. It stays evacuated for
// as long as operators may take to write again; what is still missing then was withdrawn.
func TestEvacuationOverARestore(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "not written again": false} {
		s := evacuating(t, false, false)
		s.era = 1
		s.serving()
		s.answer(evacuations, 30, evacuated("here", 30))
		s.era = 2
		s.answer(declarations, 24)
		s.answer(evacuations, 24)
		s.want(name+", the copy lacks it", true)
		s.pass(5 * time.Second)
		s.want(name+", five seconds later", true)
		if again {
			s.answer(evacuations, 26, evacuated("here", 26))
		}
		s.pass(6 * time.Second)
		s.want(name+", at last", again)
		if again {
			s.answer(evacuations, 27, takenBack("here", 26))
			s.want("withdrawn", false)
		}
		if in, out := s.events[EventEvacuated.Number], s.events[EventEvacuationWithdrawn.Number]; in != 1 || out != 1 {
			t.Errorf("%s: %d and %d lines", name, in, out)
		}
	}
}

// The store goes away again right after the restore, before operators could write again. Their time
// counts from its return.
func TestEvacuationOverARestoreAndAnOutage(t *testing.T) {
	s := evacuating(t, false, false)
	s.era = 1
	s.serving(evacuated("here", 30))
	s.era = 2
	s.answer(declarations, 24)
	s.answer(evacuations, 24)
	for range 4 {
		s.fail(declarations)
		s.pass(3 * time.Second)
	}
	s.want("an outage of 12 s", true)
	s.answer(declarations, 24)
	s.pass(9 * time.Second)
	s.want("nine seconds after its return", true)
	s.pass(2 * time.Second)
	s.want("eleven", false)
}

// A withdrawal is among what the copy lacks. The list names the data centre again, and flows go elsewhere
// until operators withdraw it again: that is safe, and what they may have asked anew is not told from it.
func TestWithdrawalOverARestore(t *testing.T) {
	s := evacuating(t, false, false)
	s.era = 1
	s.serving(evacuated("here", 8))
	s.answer(evacuations, 30, takenBack("here", 30))
	s.era = 2
	s.answer(declarations, 24)
	s.answer(evacuations, 24, evacuated("here", 8))
	s.want("the copy has it", true)
	s.answer(evacuations, 25, takenBack("here", 8))
	s.want("withdrawn again", false)
}
