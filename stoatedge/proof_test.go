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

// following returns a session that serves by what a parent tells, as of revision 10.
func following(t *testing.T) *session {
	s := startSession(t, true, true)
	s.tell(update{from: "parent", age: 500 * ms, whole: true, known: at(10)},
		declared(1, 5), registered("i-1", 1, 6), registered("i-2", 2, 7))
	for topic := range topicCount {
		if s.calls[topic] != nil {
			t.Fatalf("%s is still asked", topic)
		}
	}
	return s
}

// quiet fails the test if the platform is asked.
func (s *session) quiet(what string) {
	s.t.Helper()
	for topic, c := range s.calls {
		if c != nil {
			s.t.Errorf("%s: asks the platform about %d: %+v", what, topic, *c)
		}
	}
}

// Twelve entries, and a store that takes eight reads a second. One that is told asks nothing
// as long as the parent's word is young, and what it holds is as old as that word.
func TestFollowerAsksNothing(t *testing.T) {
	s := following(t)
	for range 10 {
		s.pass(1300 * ms)
		s.tell(update{from: "parent", age: 100 * ms, known: at(10)})
	}
	s.quiet("a quiet time")
	if got := s.k.asOf(); !got.Equal(s.now.Add(-100 * ms)) {
		t.Error(s.now.Sub(got))
	}
	if s.events[EventParentFound.Number] != 1 || s.events[EventReadsPlatform.Number] != 0 {
		t.Error(s.events)
	}
	if !s.table.CompleteAsOf.IsZero() {
		t.Error("the parent's word counts as a proof that cookies not known here are of upstreams that are gone")
	}
}

// The parent stands still, or is cut off from the platform, and an upstream is marked as
// leaving the moment after. The entry notices by the age of the word and asks the platform
// itself, exactly and at once, both topics in turn, with a quarter of the bound left.
func TestOldWordIsFoundOut(t *testing.T) {
	s := following(t)
	s.tell(update{from: "parent", age: 0, known: at(10)})
	began := s.now
	for s.calls[declarations] == nil && s.now.Sub(began) < 3*time.Second {
		s.pass(100 * ms)
	}
	if after := s.now.Sub(began); after > 2300*ms {
		t.Error("asked after", after)
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
		t.Error("the leaving one still takes flows")
	}
	if s.left == 0 {
		t.Error("a parent that is out of touch is kept though the platform answers")
	}
}

// The parent ends. Until its word is old there is time to find another one, and nothing is
// asked; found in time, the platform never hears of it.
func TestParentEnds(t *testing.T) {
	s := following(t)
	s.step(parentLost{serial: 1, cause: &stoatpaddle.UnavailableError{Op: "news"}})
	s.pass(500 * ms)
	s.quiet("just after the parent's end")
	if len(s.sought) != 2 || s.sought[1].known != at(10) {
		t.Fatal("no search, or not for what is new:", s.sought)
	}
	s.tell(update{from: "other", age: 50 * ms, whole: true, known: at(11)}, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.pass(time.Second)
	s.quiet("told by another one")
	if s.events[EventParentLost.Number] != 1 || s.events[EventParentFound.Number] != 2 {
		t.Error(s.events)
	}
}

// No other parent is found: the entry reads the platform when the last word is old, and goes
// on to search.
func TestNobodyTells(t *testing.T) {
	s := following(t)
	s.step(parentLost{serial: 1, cause: &silentError{}})
	for range 5 {
		s.pass(time.Second)
		s.step(parentLost{serial: s.k.follow.serial, cause: &refusedError{}})
	}
	if s.calls[declarations] == nil || s.events[EventReadsPlatform.Number] != 1 {
		t.Fatal(s.calls, s.events)
	}
	s.answer(declarations, 10)
	s.answer(upstreams, 10)
	if c := s.calls[declarations]; c.AllowStale || c.Wait < time.Second {
		t.Errorf("%+v", c)
	}
	if len(s.sought) < 3 {
		t.Error(s.sought)
	}
	if !s.reads {
		t.Error("others are not told that it reads")
	}
}

// What the parent said before it was left comes late, and is not taken in.
func TestLateWordOfAFormerParent(t *testing.T) {
	s := following(t)
	s.step(parentLost{serial: 1, cause: &silentError{}})
	s.pass(500 * ms)
	s.step(update{serial: 1, from: "parent", known: at(20), delta: &stoatrelay.Delta{Revision: 15, Declaration: *declared(2, 15).declaration}})
	if s.table.Declaration.Version != 1 {
		t.Error("taken in")
	}
}

// The parent is behind what this entry read by itself meanwhile, but its table is ahead of
// the revision up to which it knows everything. A registration in between is said once: not
// taken in, it would never be known here.
func TestNothingToldIsLost(t *testing.T) {
	s := startSession(t, true, true)
	s.answer(declarations, 20, declared(1, 5))
	s.answer(upstreams, 20, registered("i-1", 1, 6))
	s.tell(update{from: "parent", known: at(19), whole: true}, registered("i-1", 1, 6), registered("i-2", 2, 25))
	if len(s.table.Candidates("app")) != 2 {
		t.Error("lost")
	}
	if s.calls[upstreams] == nil {
		t.Error("it relies on one that is behind")
	}
}

// The parent tells how the configuration differs from the version that it told before, but
// this entry read a later one by itself: a route that was changed and changed back would
// stay as it was in between. The difference is not taken in; everything is told anew.
func TestDifferenceThatDoesNotFit(t *testing.T) {
	s := following(t)
	d := declared(4, 30)
	s.step(update{serial: 1, from: "parent", known: at(30), delta: &stoatrelay.Delta{Revision: 30, Base: 2, Declaration: *d.declaration}})
	if s.table.Declaration.Version != 1 || s.left != 1 {
		t.Error(s.table.Declaration.Version, s.left)
	}
	// Nothing of the message counts as known: the configuration would not be asked for again
	// until the next change, and upstreams that the message does not name would seem told.
	if got := s.k.feeds[declarations].Position(); got != at(10) || s.k.known != at(10) {
		t.Error("the configuration counts as known up to", got, s.k.known)
	}
	began := s.now
	for s.calls[declarations] == nil && s.now.Sub(began) < 3*time.Second {
		s.pass(100 * ms)
	}
	if c := s.calls[declarations]; c == nil || c.From != 10 {
		t.Errorf("not read: %+v", c)
	}
	s = following(t)
	s.step(update{serial: 1, from: "parent", known: at(30), delta: &stoatrelay.Delta{Revision: 30, Base: 1, Declaration: *d.declaration}})
	if s.table.Declaration.Version != 4 || s.left != 0 {
		t.Error(s.table.Declaration.Version, s.left)
	}
}

// The store was away and registrations lapsed. A seed's list after the outage is under way
// when another entry, which is out of touch like it, tells it something: the list must still
// count as one after an outage, or upstreams that are about to come back count as gone.
func TestWordDuringAnOutage(t *testing.T) {
	s := startSession(t, true, false)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	for range 3 {
		s.fail(declarations)
		if s.calls[upstreams] != nil {
			s.fail(upstreams)
		}
		s.pass(time.Second)
	}
	s.answer(declarations, 30)
	s.answer(upstreams, 30, ended1("i-1", 20))
	if c := s.calls[upstreams]; c == nil || !c.List {
		t.Fatalf("no list after the outage: %+v", c)
	}
	s.tell(update{from: "seed", age: 6 * time.Second, known: at(30)}, registered("i-2", 2, 7))
	s.answer(upstreams, 30, registered("i-2", 2, 7))
	if u, _ := s.k.book.Lookup("i-1"); u.State != stoatroute.Missing {
		t.Error(u.State)
	}
}

// The parent dies while the store is away for two seconds, and registrations lapse. The entry
// reads the store when it is back, so that it noticed no outage: what ended meanwhile is
// missing, not gone, and comes back with its next registration. What ends later is gone.
func TestLapseWhileNobodyWatched(t *testing.T) {
	s := following(t)
	s.pass(2500 * ms)
	s.answer(declarations, 30)
	s.answer(upstreams, 30, ended1("i-1", 20), ended1("i-2", 21))
	if list := s.table.Candidates("app"); len(list) != 2 {
		t.Fatal("a lapse was taken for an end")
	}
	s.pass(time.Second)
	s.answer(upstreams, 32, registered("i-1", 1, 32))
	s.pass(1500 * ms)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-1" {
		t.Error(len(list))
	}
	s.answer(upstreams, 40, ended1("i-1", 40))
	if list := s.table.Candidates("app"); len(list) != 0 {
		t.Error("an end is taken for a lapse")
	}
}

// The same, and the store's history is gone too: the list that follows says what is missing.
func TestLapseBeforeAList(t *testing.T) {
	s := following(t)
	s.pass(2500 * ms)
	s.answer(declarations, 30)
	s.end(upstreams, stoatfeed.Result{Outcome: stoatfeed.Forgotten})
	s.end(upstreams, stoatfeed.Result{AsOf: at(30), More: true, Last: "i-1"})
	s.answer(upstreams, 30, registered("i-2", 2, 7))
	if u, _ := s.k.book.Lookup("i-1"); u.State != stoatroute.Missing {
		t.Error(u.State)
	}
}

// The store is away for all. An entry whose parent goes on telling how old its word is asks
// the store at once when that is old, twice, and then rarely: seeds ask every second, and the
// parent tells when they are answered.
func TestOutageIsLeftToSeeds(t *testing.T) {
	s := following(t)
	asked := 0
	for age := 500 * ms; age < 30*time.Second; age += 500 * ms {
		s.pass(500 * ms)
		s.tell(update{from: "parent", age: age, known: at(10)})
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
	s.tell(update{from: "parent", age: 50 * ms, known: at(12)})
	s.quiet("the parent's word is young again")
}

// A seed cannot reach the store. Another one tells it meanwhile; it goes on asking, and
// leaves the other one once the store answers.
func TestSeedIsHelped(t *testing.T) {
	s := startSession(t, true, false)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	if len(s.sought) != 0 {
		t.Fatal("a seed in touch searches")
	}
	for range 3 {
		s.fail(declarations)
		if s.calls[upstreams] != nil {
			s.fail(upstreams)
		}
		s.pass(500 * ms)
	}
	if len(s.sought) == 0 || s.sought[0].within != 0 {
		t.Fatal(s.sought)
	}
	s.tell(update{from: "seed", age: 50 * ms, known: at(15), whole: true}, declared(2, 12), registered("i-1", 1, 6))
	if s.table.Declaration.Version != 2 || s.calls[declarations] == nil {
		t.Error(s.table.Declaration.Version, s.calls)
	}
	s.answer(declarations, 16)
	s.answer(declarations, 16)
	if s.left != 1 {
		t.Error("left", s.left, "times")
	}
}

// A deployment whose settings name one seed alone. Others wait for its proofs like for those
// of three: it proves as often.
func TestLoneSeedProvesForOthers(t *testing.T) {
	set := stoatsetting.Settings{AdminAddr: above, Seeds: []netip.AddrPort{above}}
	if got := namedSeeds(set); got != (naming{self: true}) || got.follows() {
		t.Error(got)
	}
	k := newKeeper(keeperConfig{Apply: 3 * time.Second, Seeds: namedSeeds(set), Seed: 1})
	s := &session{t: t, now: time.Unix(1000, 0), events: map[stoatevent.Number]int{}, k: k}
	s.step(started{})
	s.answer(declarations, 10, declared(1, 5))
	if c := s.calls[declarations]; c.Wait > 1350*ms {
		t.Error("others wait for", c.Wait)
	}
	set.AdminAddr = belowA
	if got := namedSeeds(set); !got.follows() {
		t.Error(got)
	}
	if got := namedSeeds(stoatsetting.Settings{AdminAddr: above}); got != (naming{}) {
		t.Error(got)
	}
}

// The settings change and name nobody any more: the entry reads the platform by itself.
func TestSeedsTakenAway(t *testing.T) {
	s := following(t)
	s.step(rebound{apply: 3 * time.Second, back: 2 * time.Second, life: time.Minute})
	if c := s.calls[declarations]; c == nil || c.AllowStale {
		t.Errorf("%+v", c)
	}
	s.tell(update{from: "parent", known: at(10)})
	if s.calls[declarations] == nil || s.left == 0 {
		t.Error("a late word is relied on")
	}
}

// The machine is suspended for four seconds, which the steady clock does not count. The
// parent's word is that much older.
func TestSuspendedFollower(t *testing.T) {
	s := following(t)
	s.step(resumed{gap: 4 * time.Second})
	s.pass(100 * ms)
	if c := s.calls[declarations]; c == nil || c.AllowStale || c.Wait > ms {
		t.Errorf("%+v", c)
	}
}

// A cookie is not known at an entry that is told. The platform itself is asked once; what
// answers proves, and afterwards nothing is asked again.
func TestDoubtOfAFollower(t *testing.T) {
	s := following(t)
	s.step(doubted{})
	c := s.calls[upstreams]
	if c == nil || c.AllowStale || c.Wait > ms || s.calls[declarations] != nil {
		t.Fatalf("%+v", c)
	}
	s.answer(upstreams, 11)
	if s.table.CompleteAsOf.IsZero() {
		t.Error("nothing is proven")
	}
	s.quiet("after the answer")
}

// What was under way when a parent was found comes back: it is older than what was told, and
// must not start a new list.
func TestLateAnswerIsDropped(t *testing.T) {
	s := startSession(t, true, true)
	list := *s.calls[upstreams]
	sent := s.now
	s.tell(update{from: "parent", whole: true, known: at(10)}, declared(1, 5), registered("i-1", 1, 6))
	s.step(ended{topic: upstreams, call: list, sent: sent, result: stoatfeed.Result{AsOf: at(8)}})
	s.quiet("after a late answer")
	if len(s.table.Candidates("app")) != 1 {
		t.Error("the late list took the upstream out")
	}
}

// Others wait for news and get it as soon as there is some.
func TestBell(t *testing.T) {
	b := newBell()
	next := b.wait()
	select {
	case <-next:
		t.Error("rung by nobody")
	default:
	}
	b.ring()
	select {
	case <-next:
	default:
		t.Error("nobody is told")
	}
}

var (
	above  = netip.MustParseAddrPort("10.0.0.1:8166")
	belowA = netip.MustParseAddrPort("10.0.0.2:8166")
)
