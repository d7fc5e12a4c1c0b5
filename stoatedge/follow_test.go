package stoatedge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// newFollowerSession returns a session that serves with the state of a parent, as of revision 10.
func newFollowerSession(t *testing.T) *session {
	s := startSession(t, true, true)
	s.receiveUpdate(parentUpdate{parent: "parent", age: 500 * ms, whole: true, known: position(10)},
		declared(1, 5), registered("i-1", 1, 6), registered("i-2", 2, 7))
	for topic := range topicCount {
		if s.calls[topic] != nil {
			t.Fatalf("%s still has a call in progress", topic)
		}
	}
	return s
}

// wantNoCalls fails the test if a call to the platform is in progress.
func (s *session) wantNoCalls(what string) {
	s.t.Helper()
	for topic, c := range s.calls {
		if c != nil {
			s.t.Errorf("%s: call to the platform about topic %d: %+v", what, topic, *c)
		}
	}
}

// Guards against entries that use up the platform's rate limits, such as twelve entries at a platform that
// takes eight reads a second. An entry with a parent makes no calls while the parent's state is recent, and its
// own state is as old as the parent's.
func TestChildMakesNoCalls(t *testing.T) {
	s := newFollowerSession(t)
	for range 10 {
		s.advance(1300 * ms)
		s.receiveUpdate(parentUpdate{parent: "parent", age: 100 * ms, known: position(10)})
	}
	s.wantNoCalls("a quiet time")
	if got := s.ctl.asOf(); !got.Equal(s.now.Add(-100 * ms)) {
		t.Error(s.now.Sub(got))
	}
	if s.events[EventParentFound.Number] != 1 || s.events[EventReadsPlatform.Number] != 0 {
		t.Error(s.events)
	}
	if !s.table.AsOf(stoatroute.PartUpstreams).IsZero() || !s.table.AsOf(stoatroute.PartRoutes).IsZero() {
		t.Error("the parent's state is taken to confirm that unknown cookies belong to upstreams that are gone")
	}
}

// The parent does not run, or is cut off from the platform, and an upstream is marked as leaving just after
// that. The entry notices by the age of the parent's state, and asks the platform itself at once about both
// topics in turn, with a quarter of the maximum delay left.
func TestOutdatedParentIsDetected(t *testing.T) {
	s := newFollowerSession(t)
	s.receiveUpdate(parentUpdate{parent: "parent", age: 0, known: position(10)})
	began := s.now
	for s.calls[declarations] == nil && s.now.Sub(began) < 3*time.Second {
		s.advance(100 * ms)
	}
	if after := s.now.Sub(began); after > 2300*ms {
		t.Error("called after", after)
	}
	for _, topic := range []topic{declarations, upstreams} {
		if c := s.calls[topic]; c == nil || c.AllowStale || c.List || c.Wait > ms || c.From != 10 {
			t.Fatalf("%s: %+v", topic, c)
		}
		if topic == declarations {
			s.answer(declarations, 12)
		}
	}
	leaving := registered("i-1", 1, 12)
	leaving.registration.Leaving = true
	s.answer(upstreams, 12, leaving)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-2" {
		t.Error("the leaving upstream still gets flows")
	}
	if s.parentsLeft == 0 {
		t.Error("a parent with outdated state is kept although the platform answers")
	}
}

// The parent ends. Until its state is too old, there is time to find another parent without a call to the
// platform.
func TestParentEnds(t *testing.T) {
	s := newFollowerSession(t)
	s.step(parentLost{searchID: 1, cause: &stoatpaddle.UnavailableError{Op: "news"}})
	s.advance(500 * ms)
	s.wantNoCalls("just after the parent's end")
	if len(s.searches) != 2 || s.searches[1].known != position(10) {
		t.Fatal("no search, or not from the known position:", s.searches)
	}
	s.receiveUpdate(parentUpdate{parent: "other", age: 50 * ms, whole: true, known: position(11)}, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.advance(time.Second)
	s.wantNoCalls("updates from another parent")
	if s.events[EventParentLost.Number] != 1 || s.events[EventParentFound.Number] != 2 {
		t.Error(s.events)
	}
}

// No other parent is found: the entry reads the platform when the last parent's state is too old, and keeps
// searching.
func TestNoParentFound(t *testing.T) {
	s := newFollowerSession(t)
	s.step(parentLost{searchID: 1, cause: &silentError{}})
	for range 5 {
		s.advance(time.Second)
		s.step(parentLost{searchID: s.ctl.follower.searchID, cause: &refusedError{}})
	}
	if s.calls[declarations] == nil || s.events[EventReadsPlatform.Number] != 1 {
		t.Fatal(s.calls, s.events)
	}
	s.answer(declarations, 10)
	s.answer(upstreams, 10)
	if c := s.calls[declarations]; c.AllowStale || c.Wait < time.Second {
		t.Errorf("%+v", c)
	}
	if len(s.searches) < 3 {
		t.Error(s.searches)
	}
	if !s.announcedReads {
		t.Error("it does not announce that it reads")
	}
}

// A message of a parent that was left comes late and is ignored.
func TestLateUpdateOfFormerParent(t *testing.T) {
	s := newFollowerSession(t)
	s.step(parentLost{searchID: 1, cause: &silentError{}})
	s.advance(500 * ms)
	s.step(parentUpdate{searchID: 1, parent: "parent", known: position(20), delta: &stoatrelay.Delta{Revision: 15, Declaration: *declared(2, 15).declaration}})
	if s.table.Declaration.Version != 1 {
		t.Error("a late update was applied")
	}
}

// Guards against a registration that is never known here. The parent is behind what this entry has read
// itself, but its table is ahead of the position up to which it knows everything. It sends a registration in
// between only once.
func TestUpdateFromParentThatIsBehind(t *testing.T) {
	s := startSession(t, true, true)
	s.answer(declarations, 20, declared(1, 5))
	s.answer(upstreams, 20, registered("i-1", 1, 6))
	s.receiveUpdate(parentUpdate{parent: "parent", known: position(19), whole: true}, registered("i-1", 1, 6), registered("i-2", 2, 25))
	if len(s.table.Candidates("app")) != 2 {
		t.Error("lost")
	}
	if s.calls[upstreams] == nil {
		t.Error("it relies on a parent that is behind")
	}
}

// Guards against a configuration that stays outdated. The parent sends the difference from the version that
// it sent before, but this entry has read a later one itself: a route that was changed and changed back would
// stay as it was in between. The difference is ignored, and the next parent sends everything.
func TestDeltaThatDoesNotApply(t *testing.T) {
	s := newFollowerSession(t)
	d := declared(4, 30)
	s.step(parentUpdate{searchID: 1, parent: "parent", known: position(30), delta: &stoatrelay.Delta{Revision: 30, Base: 2, Declaration: *d.declaration}})
	if s.table.Declaration.Version != 1 || s.parentsLeft != 1 {
		t.Error(s.table.Declaration.Version, s.parentsLeft)
	}
	// Nothing of the message counts as known. Otherwise the configuration would not be requested until its
	// next change, and upstreams that the message does not name would seem to be known.
	if got := s.ctl.feeds[declarations].Position(); got != position(10) || s.ctl.known != position(10) {
		t.Error("the configuration counts as known up to", got, s.ctl.known)
	}
	began := s.now
	for s.calls[declarations] == nil && s.now.Sub(began) < 3*time.Second {
		s.advance(100 * ms)
	}
	if c := s.calls[declarations]; c == nil || c.From != 10 {
		t.Errorf("not read: %+v", c)
	}
	s = newFollowerSession(t)
	s.step(parentUpdate{searchID: 1, parent: "parent", known: position(30), delta: &stoatrelay.Delta{Revision: 30, Base: 1, Declaration: *d.declaration}})
	if s.table.Declaration.Version != 4 || s.parentsLeft != 0 {
		t.Error(s.table.Declaration.Version, s.parentsLeft)
	}
}

// Guards against upstreams that count as gone although they are about to register again. Registrations lapsed
// in an outage, and a seed's list after it is in progress when another entry, which cannot reach the platform
// either, sends an update. The list must still count as the first one after an outage.
func TestUpdateDuringOutage(t *testing.T) {
	s := startSession(t, true, false)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	for range 3 {
		s.fail(declarations)
		if s.calls[upstreams] != nil {
			s.fail(upstreams)
		}
		s.advance(time.Second)
	}
	s.answer(declarations, 30)
	s.answer(upstreams, 30, deletedUpstream("i-1", 20))
	if c := s.calls[upstreams]; c == nil || !c.List {
		t.Fatalf("no list after the outage: %+v", c)
	}
	s.receiveUpdate(parentUpdate{parent: "seed", age: 6 * time.Second, known: position(30)}, registered("i-2", 2, 7))
	s.answer(upstreams, 30, registered("i-2", 2, 7))
	if u, _ := s.ctl.state.Lookup("i-1"); u.State != stoatroute.Missing {
		t.Error(u.State)
	}
}

// The parent dies while the platform is down for two seconds and registrations lapse. The entry reads the
// platform only when it is back and has noticed no outage. Registrations that ended meanwhile are missing,
// not gone, and come back when renewed; one that ends later is gone.
func TestLapseWhileUnwatched(t *testing.T) {
	s := newFollowerSession(t)
	s.advance(2500 * ms)
	s.answer(declarations, 30)
	s.answer(upstreams, 30, deletedUpstream("i-1", 20), deletedUpstream("i-2", 21))
	if list := s.table.Candidates("app"); len(list) != 2 {
		t.Fatal("an upstream whose registration lapsed counts as gone")
	}
	s.advance(time.Second)
	s.answer(upstreams, 32, registered("i-1", 1, 32))
	s.advance(1500 * ms)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-1" {
		t.Error(len(list))
	}
	s.answer(upstreams, 40, deletedUpstream("i-1", 40))
	if list := s.table.Candidates("app"); len(list) != 0 {
		t.Error("an upstream that ended does not count as gone")
	}
}

// As TestLapseWhileUnwatched, but the platform's history is lost too: the list that follows shows what is
// missing.
func TestLapseBeforeAList(t *testing.T) {
	s := newFollowerSession(t)
	s.advance(2500 * ms)
	s.answer(declarations, 30)
	s.end(upstreams, stoatfeed.Result{Outcome: stoatfeed.HistoryGone})
	s.end(upstreams, stoatfeed.Result{AsOf: position(30), More: true, Last: "i-1"})
	s.answer(upstreams, 30, registered("i-2", 2, 7))
	if u, _ := s.ctl.state.Lookup("i-1"); u.State != stoatroute.Missing {
		t.Error(u.State)
	}
}

// The platform is down for all entries. An entry whose parent keeps sending how old its state is asks the
// platform at once when that state is too old, twice, and then rarely: the seeds ask every second, and the
// parent passes on what they learn.
func TestOutageIsLeftToSeeds(t *testing.T) {
	s := newFollowerSession(t)
	asked := 0
	for age := 500 * ms; age < 30*time.Second; age += 500 * ms {
		s.advance(500 * ms)
		s.receiveUpdate(parentUpdate{parent: "parent", age: age, known: position(10)})
		for topic := range topicCount {
			if c := s.calls[topic]; c != nil && c.Pause < 2*time.Second {
				s.fail(topic)
				asked++
			}
		}
		if c := s.calls[declarations]; c != nil && s.now.Sub(s.sent[declarations]) >= c.Pause {
			s.fail(declarations)
			asked++
		}
	}
	if asked < 6 || asked > 18 {
		t.Error("asked", asked, "times in 30 s")
	}
	s.receiveUpdate(parentUpdate{parent: "parent", age: 50 * ms, known: position(12)})
	s.wantNoCalls("the parent's state is recent again")
}

// A seed cannot reach the platform and gets updates from another one. It keeps asking the platform, and
// leaves the other one once the platform answers.
func TestSeedFindsParentInOutage(t *testing.T) {
	s := startSession(t, true, false)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	if len(s.searches) != 0 {
		t.Fatal("a seed that the platform answers searches for a parent")
	}
	for range 3 {
		s.fail(declarations)
		if s.calls[upstreams] != nil {
			s.fail(upstreams)
		}
		s.advance(500 * ms)
	}
	if len(s.searches) == 0 || s.searches[0].maxAge != 0 {
		t.Fatal(s.searches)
	}
	s.receiveUpdate(parentUpdate{parent: "seed", age: 50 * ms, known: position(15), whole: true}, declared(2, 12), registered("i-1", 1, 6))
	if s.table.Declaration.Version != 2 || s.calls[declarations] == nil {
		t.Error(s.table.Declaration.Version, s.calls)
	}
	s.answer(declarations, 16)
	s.answer(declarations, 16)
	if s.parentsLeft != 1 {
		t.Error("left", s.parentsLeft, "times")
	}
}

// The settings name a single seed. Other entries depend on how recent its state is, so it reads the platform as
// often as one of three seeds does.
func TestLoneSeedReadInterval(t *testing.T) {
	set := stoatsetting.Settings{AdminAddr: seedAdmin, Seeds: []netip.AddrPort{seedAdmin}}
	if got := seedRoleOf(set); got != (seedRole{isSeed: true}) || got.reliesOnOthers() {
		t.Error(got)
	}
	ctl := newController(controllerConfig{MaxDelay: 3 * time.Second, Seeds: seedRoleOf(set), Seed: 1})
	s := &session{t: t, now: time.Unix(1000, 0), events: map[stoatevent.Number]int{}, ctl: ctl}
	s.step(started{})
	s.answer(declarations, 10, declared(1, 5))
	if c := s.calls[declarations]; c.Wait > 1350*ms {
		t.Error("others wait as long as", c.Wait)
	}
	set.AdminAddr = childAdmin
	if got := seedRoleOf(set); !got.reliesOnOthers() {
		t.Error(got)
	}
	if got := seedRoleOf(stoatsetting.Settings{AdminAddr: seedAdmin}); got != (seedRole{}) {
		t.Error(got)
	}
}

// Changed settings name no other entry any more: the entry reads the platform itself.
func TestSeedsTakenAway(t *testing.T) {
	s := newFollowerSession(t)
	s.step(settingsChanged{maxDelay: 3 * time.Second, gracePeriod: 2 * time.Second, flowLifetime: time.Minute})
	if c := s.calls[declarations]; c == nil || c.AllowStale {
		t.Errorf("%+v", c)
	}
	s.receiveUpdate(parentUpdate{parent: "parent", known: position(10)})
	if s.calls[declarations] == nil || s.parentsLeft == 0 {
		t.Error("a late update is relied on")
	}
}

// The machine is suspended for four seconds, which the monotonic clock does not count. The parent's state is
// older by that.
func TestSuspendedChild(t *testing.T) {
	s := newFollowerSession(t)
	s.step(resumed{gap: 4 * time.Second})
	s.advance(100 * ms)
	if c := s.calls[declarations]; c == nil || c.AllowStale || c.Wait > ms {
		t.Errorf("%+v", c)
	}
}

// An entry with a parent gets an unknown cookie. It asks the platform itself once; the answer confirms
// which upstreams exist, and no further call is made.
func TestUnknownCookieAtChild(t *testing.T) {
	s := newFollowerSession(t)
	s.step(verificationRequested{parts: stoatroute.PartUpstreams})
	c := s.calls[upstreams]
	if c == nil || c.AllowStale || c.Wait > ms || s.calls[declarations] != nil {
		t.Fatalf("%+v", c)
	}
	s.answer(upstreams, 11)
	if s.table.AsOf(stoatroute.PartUpstreams).IsZero() {
		t.Error("the platform's own answer does not count as complete")
	}
	s.wantNoCalls("after the answer")
}

// A call that was in progress when a parent was found ends late. Its result is older than the parent's state
// and must not start a new list.
func TestLateAnswerIsDropped(t *testing.T) {
	s := startSession(t, true, true)
	list := *s.calls[upstreams]
	sent := s.now
	s.receiveUpdate(parentUpdate{parent: "parent", whole: true, known: position(10)}, declared(1, 5), registered("i-1", 1, 6))
	s.step(callEnded{topic: upstreams, call: list, sent: sent, result: stoatfeed.Result{AsOf: position(8)}})
	s.wantNoCalls("after a late answer")
	if len(s.table.Candidates("app")) != 1 {
		t.Error("the late list removed the upstream")
	}
}

// All that wait for a change are woken when there is one.
func TestNotifier(t *testing.T) {
	n := newNotifier()
	next := n.wait()
	select {
	case <-next:
		t.Error("woken without a change")
	default:
	}
	n.notify()
	select {
	case <-next:
	default:
		t.Error("waiters are not woken")
	}
}

var (
	seedAdmin  = netip.MustParseAddrPort("10.0.0.1:8166")
	childAdmin = netip.MustParseAddrPort("10.0.0.2:8166")
)
