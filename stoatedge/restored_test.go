package stoatedge

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// newRunningSessionWithEra returns a session of an entry that reads a platform of era 1, as of revision 30.
func newRunningSessionWithEra(t *testing.T) *session {
	s := newSession(t)
	s.era = 1
	s.answer(declarations, 30, declared(21, 26))
	s.answer(upstreams, 30, registered("i-1", 1, 6), registered("i-2", 2, 28))
	if !s.table.Ready() || s.table.Era != 1 || s.events[EventPlatformRestored.Number] != 0 {
		t.Fatal(s.table.Ready(), s.table.Era, s.events)
	}
	return s
}

// The platform comes back from a copy that is older than the last configuration and the last upstream. Any
// answer shows that, here one about the configuration: the watch of upstreams waits for revisions above 30
// and would get no answer until the platform has reached them. The lost configuration stays in force, the
// lost upstream keeps its flows, and what is confirmed next comes into force although its revision is lower
// than earlier ones.
func TestRestoredPlatform(t *testing.T) {
	s := newRunningSessionWithEra(t)
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
		t.Error("the configuration confirmed after the restore is not in force:", s.table.Declaration.Version)
	}
	s.advance(3 * time.Second)
	if len(s.table.Candidates("app")) != 2 || s.events[EventPlatformRestored.Number] != 1 {
		t.Error("an upstream that registered again is gone, or a restore is logged twice:", s.events)
	}
}

// Guards against flows reset after a restore. An upstream registered in the seconds that the copy lacks, and
// this entry did not hear of it. Until the upstream has had time to register again, an exact answer without
// it does not mean that the upstream has ended.
func TestUnknownUpstreamAfterARestore(t *testing.T) {
	s := newRunningSessionWithEra(t)
	before := s.table.AsOf(stoatroute.PartUpstreams)
	s.era = 2
	for range 3 {
		s.step(verificationRequested{parts: stoatroute.PartUpstreams})
		s.answer(upstreams, 24, registered("i-1", 1, 6), registered("i-2", 2, 7))
		s.advance(300 * ms)
	}
	if !s.table.AsOf(stoatroute.PartUpstreams).Equal(before) {
		t.Error("a restored platform's answer counts as complete after", s.table.AsOf(stoatroute.PartUpstreams).Sub(before))
	}
	s.answer(upstreams, 24) // to a call that was sent while the last verification was requested
	s.advance(2 * time.Second)
	s.step(verificationRequested{parts: stoatroute.PartUpstreams})
	s.answer(upstreams, 24)
	if s.table.AsOf(stoatroute.PartUpstreams).Equal(before) {
		t.Error("an upstream that has ended never counts as gone")
	}
}

// Guards against flows reset after a restore. The leases in the copy count from before the outage, so the
// platform ends registrations right after its return, before the upstreams can renew them two seconds later.
// One that does not come back is gone.
func TestLapseAfterARestore(t *testing.T) {
	s := newRunningSessionWithEra(t)
	s.era = 2
	s.answer(declarations, 24)
	s.answer(upstreams, 24, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.answer(upstreams, 26, deletedUpstream("i-1", 25), deletedUpstream("i-2", 26))
	for _, target := range []stoatpaddle.TargetID{1, 2} {
		if u := s.table.Upstream(stoatroute.KeyOf(target)); u.State != stoatroute.Missing {
			t.Error(target, u.State)
		}
	}
	s.answer(upstreams, 27, registered("i-1", 1, 27))
	s.advance(2 * time.Second)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-1" {
		t.Error(len(list))
	}
	s.answer(upstreams, 28, deletedUpstream("i-1", 28))
	if u := s.table.Upstream(stoatroute.KeyOf(1)); u.State != stoatroute.Gone {
		t.Error("an upstream that ended long after the restore does not count as gone:", u.State)
	}
}

// Entries with a parent learn of the restore from it, before it has listed anything anew. Their state stays,
// the parent's next message counts, and a parent that does not know of the restore is left, since its
// revisions belong to the earlier era.
func TestRestoreReportedByParent(t *testing.T) {
	s := startSession(t, true, true)
	positionIn := func(era stoatpaddle.Era, rev stoatpaddle.Version) stoatpaddle.Position {
		return stoatpaddle.Position{Era: era, Revision: rev}
	}
	s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, whole: true, known: positionIn(1, 30), era: 1}, declared(21, 26), registered("i-1", 1, 6), registered("i-2", 2, 28))
	s.receiveUpdate(parentUpdate{parent: "parent", age: 300 * ms, known: positionIn(1, 30), era: 2})
	s.wantNoCalls("the parent lists for its children")
	if s.events[EventPlatformRestored.Number] != 1 || s.parentsLeft != 0 || s.announcedPos != positionIn(1, 30) || len(s.table.Candidates("app")) != 2 {
		t.Fatal(s.events, s.parentsLeft, s.announcedPos)
	}
	d := declared(24, 25)
	s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, known: positionIn(2, 25), era: 2, delta: &stoatrelay.Delta{Revision: 25, Base: 21, Declaration: *d.declaration}})
	if s.table.Declaration.Version != 24 || s.announcedPos != positionIn(2, 25) || s.parentsLeft != 0 {
		t.Error(s.table.Declaration.Version, s.announcedPos, s.parentsLeft)
	}
	gone := stoatroute.RemoteUpstream{Registration: *registered("i-2", 2, 28).registration, Revision: 40, State: stoatroute.Gone}
	s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, known: positionIn(1, 41), era: 1, upstreams: []stoatroute.RemoteUpstream{gone}})
	if s.parentsLeft != 1 || len(s.table.Candidates("app")) != 2 {
		t.Error("an update of an earlier era is applied:", s.parentsLeft, len(s.table.Candidates("app")))
	}
}

// A parent of the previous release sends no era, and its revisions count as those of the present one. Entries
// are replaced one after the other, and the new ones must not leave a parent for that.
func TestParentWithoutEra(t *testing.T) {
	s := startSession(t, true, true)
	s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, whole: true, known: position(30)}, declared(21, 26), registered("i-1", 1, 6))
	s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, known: position(31)}, registered("i-2", 2, 31))
	if s.parentsLeft != 0 || s.events[EventPlatformRestored.Number] != 0 || len(s.table.Candidates("app")) != 2 || s.announcedPos != position(31) {
		t.Error(s.parentsLeft, s.events, s.announcedPos)
	}
}

// Guards against new flows in a data centre whose power is about to go. Operators evacuated it, and the
// platform confirmed that and came back from a copy made just before. The list that entries request at once
// lacks the evacuation. It stays for as long as operators may take to write it again; if it is still missing
// then, it was withdrawn.
func TestEvacuationOverARestore(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "not written again": false} {
		s := newEvacuationSession(t, false, false)
		s.era = 1
		s.answerFirstLists()
		s.answer(evacuations, 30, evacuated("here", 30))
		s.era = 2
		s.answer(declarations, 24)
		s.answer(evacuations, 24)
		s.wantEvacuated(name+", the copy lacks it", true)
		s.advance(5 * time.Second)
		s.wantEvacuated(name+", five seconds later", true)
		if again {
			s.answer(evacuations, 26, evacuated("here", 26))
		}
		s.advance(6 * time.Second)
		s.wantEvacuated(name+", at last", again)
		if again {
			s.answer(evacuations, 27, withdrawn("here", 26))
			s.wantEvacuated("withdrawn", false)
		}
		if in, out := s.events[EventEvacuated.Number], s.events[EventEvacuationWithdrawn.Number]; in != 1 || out != 1 {
			t.Errorf("%s: %d and %d lines", name, in, out)
		}
	}
}

// The platform goes away again right after the restore, before operators could write again. Their time counts
// from its return.
func TestEvacuationOverARestoreAndAnOutage(t *testing.T) {
	s := newEvacuationSession(t, false, false)
	s.era = 1
	s.answerFirstLists(evacuated("here", 30))
	s.era = 2
	s.answer(declarations, 24)
	s.answer(evacuations, 24)
	for range 4 {
		s.fail(declarations)
		s.advance(3 * time.Second)
	}
	s.wantEvacuated("an outage of 12 s", true)
	s.answer(declarations, 24)
	s.advance(9 * time.Second)
	s.wantEvacuated("nine seconds after its return", true)
	s.advance(2 * time.Second)
	s.wantEvacuated("eleven", false)
}

// The copy lacks a withdrawal. The list has the evacuation again, and flows go elsewhere until operators
// withdraw it again. That is safe, and it may be a new request.
func TestWithdrawalOverARestore(t *testing.T) {
	s := newEvacuationSession(t, false, false)
	s.era = 1
	s.answerFirstLists(evacuated("here", 8))
	s.answer(evacuations, 30, withdrawn("here", 30))
	s.era = 2
	s.answer(declarations, 24)
	s.answer(evacuations, 24, evacuated("here", 8))
	s.wantEvacuated("the copy has it", true)
	s.answer(evacuations, 25, withdrawn("here", 8))
	s.wantEvacuated("withdrawn again", false)
}
