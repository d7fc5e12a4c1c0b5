package stoatedge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const ms = time.Millisecond

// session drives a keeper: what it asks for stands in calls until it is answered.
type session struct {
	t      *testing.T
	k      *keeper
	now    time.Time
	calls  [topicCount]*stoatfeed.Call
	sent   [topicCount]time.Time
	table  *stoatroute.Table
	events map[stoatevent.Number]int
	sought []seek               // searches for a parent
	left   int                  // how often a parent was left
	knows  stoatpaddle.Position // as said to others
	era    stoatpaddle.Era      // of the answers to come
	reads  bool                 // as said to others
	woken  int                  // how often others were woken
}

// at is a position of a platform that says no era.
func at(rev stoatpaddle.Version) stoatpaddle.Position { return stoatpaddle.Position{Revision: rev} }

func newSession(t *testing.T) *session {
	return startSession(t, false, false)
}

// startSession returns a session of an entry whose settings name others, and not itself.
func startSession(t *testing.T, others, follows bool) *session {
	s := newSessionOf(t, keeperConfig{
		Apply: 3 * time.Second, Return: 2 * time.Second, Life: time.Minute, Seeds: naming{others: others, self: others && !follows}, Seed: 1,
	})
	s.step(started{})
	return s
}

func newSessionOf(t *testing.T, cfg keeperConfig) *session {
	return &session{t: t, now: time.Unix(1000, 0), events: map[stoatevent.Number]int{}, k: newKeeper(cfg)}
}

func (s *session) step(ev any) {
	for _, effect := range s.k.step(s.now, ev) {
		switch x := effect.(type) {
		case ask:
			if s.calls[x.topic] != nil {
				s.t.Errorf("%s is asked twice at once", x.topic)
			}
			s.calls[x.topic], s.sent[x.topic] = &x.call, s.now
		case interrupt:
			if s.calls[x.topic] != nil {
				s.end(x.topic, stoatfeed.Result{Outcome: stoatfeed.Interrupted})
			}
		case publish:
			s.table = x.table
		case logged:
			s.events[x.entry.Number]++
		case seek:
			s.sought = append(s.sought, x)
		case leave:
			s.left++
			s.step(parentLost{serial: x.serial, cause: &leftError{why: x.why}})
		case announcement:
			s.knows, s.reads = x.known, x.reads
			s.woken++
		case changed:
			s.woken++
		}
	}
}

func (s *session) end(t topic, r stoatfeed.Result, changes ...change) {
	s.t.Helper()
	c := s.calls[t]
	if c == nil {
		s.t.Fatalf("%s is not asked", t)
	}
	s.calls[t] = nil
	s.step(ended{topic: t, call: *c, sent: s.sent[t], result: r, changes: changes})
}

func (s *session) answer(t topic, asOf stoatpaddle.Version, changes ...change) {
	s.t.Helper()
	s.end(t, stoatfeed.Result{AsOf: stoatpaddle.Position{Era: s.era, Revision: asOf}, Changes: len(changes)}, changes...)
}

func (s *session) fail(t topic) {
	s.t.Helper()
	s.end(t, stoatfeed.Result{Outcome: stoatfeed.Failed})
}

// pass lets time pass, with ticks.
func (s *session) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickEvery)
		s.step(ticked{})
	}
}

var listen = netip.MustParseAddrPort("198.18.0.1:443")

func declared(version, revision stoatpaddle.Version) change {
	return change{name: "main", revision: revision, declaration: &stoatpaddle.Declaration{
		Version: version, Routes: []stoatpaddle.Route{{Listen: listen, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}}},
	}}
}

func registered(id stoatpaddle.UpstreamID, target stoatpaddle.TargetID, revision stoatpaddle.Version) change {
	return change{name: string(id), revision: revision, registration: &stoatpaddle.Registration{
		ID: id, Target: target, Service: "app", DataCentre: "here", Slots: 3, CreateRevision: revision,
	}}
}

func ended1(id string, revision stoatpaddle.Version) change {
	return change{name: id, revision: revision, gone: true}
}

// tell has the parent of the latest search say that.
func (s *session) tell(x update, changes ...change) {
	x.serial = s.k.follow.serial
	for i := range changes {
		c := &changes[i]
		if c.declaration != nil {
			x.delta = &stoatrelay.Delta{Declaration: *c.declaration, Revision: c.revision}
			continue
		}
		x.upstreams = append(x.upstreams, stoatroute.RemoteUpstream{Registration: *c.registration, Revision: c.revision})
	}
	s.step(x)
}

// running returns a session that serves version 1 and two upstreams, as of revision 10.
func running(t *testing.T) *session {
	s := newSession(t)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	if !s.table.Ready() || len(s.table.Candidates("app")) != 2 {
		t.Fatal("not ready")
	}
	return s
}

// An entry starts: it serves once it has both, and says so once.
func TestStart(t *testing.T) {
	s := newSession(t)
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	if s.table.Ready() {
		t.Error("ready without a configuration")
	}
	s.answer(declarations, 10, declared(1, 5))
	if !s.table.Ready() || s.events[EventReady.Number] != 1 {
		t.Error(s.table.Ready(), s.events)
	}
	if s.calls[declarations].AllowStale || !s.calls[upstreams].AllowStale {
		t.Error("the exact feed asks a replica, or the other does not")
	}
}

// Guards against flows cut at an entry that started after their route moved to another service: what the
// parent says of the version in force has the service before, and children are told it in turn.
func TestEarlierServicesAreTold(t *testing.T) {
	s := startSession(t, true, true)
	s.answer(declarations, 10, declared(2, 8))
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	child := stoatrelay.ChildStateOf(s.table)
	c := declared(2, 8)
	c.declaration.Routes[0].FormerServices = []stoatpaddle.ServiceID{"before"}
	s.tell(update{from: "10.0.0.2:1", whole: true, known: at(10)}, c, registered("i-1", 1, 6))
	r := s.table.Route(listen)
	if !r.EverUsed("before") || !r.EverUsed("app") || r.EverUsed("other") {
		t.Error("the services that the route had are not known")
	}
	if body := stoatrelay.EncodeBody(s.now, s.table, child); body == nil || body.Declaration == nil || len(body.Declaration.Routes) != 1 || len(body.Declaration.Routes[0].Earlier) != 1 {
		t.Errorf("children are not told: %+v", body)
	}
}

// Guards against seeds that a thousand entries ask several times a second while these read what all wait for: an
// entry that is refused asks ever more rarely, and no more rarely than every few seconds.
func TestSearchesAtAStartBackOff(t *testing.T) {
	s := startSession(t, true, true)
	for range 200 {
		if n := len(s.sought); n > 0 && s.k.follow.seeking {
			s.step(parentLost{serial: s.sought[n-1].serial, cause: &leftError{why: "nothing to tell"}})
		}
		s.pass(tickEvery)
	}
	if n := len(s.sought); n < 6 || n > 14 {
		t.Error(n, "searches in 20 s")
	}
}

// Guards against a fleet in which each entry that starts reads all pages of a long list, each of them paid for:
// after a few it waits for a parent, which sends the rest, and reads on if none comes.
func TestLongListWaitsForAParent(t *testing.T) {
	page := func(s *session, i int) {
		s.end(upstreams, stoatfeed.Result{AsOf: at(10), More: true, Last: string(rune('a' + i))}, registered(stoatpaddle.UpstreamID(rune('a'+i)), stoatpaddle.TargetID(i+1), 6))
	}
	for name, c := range map[string]struct {
		follows bool
		pages   int
		waits   bool
	}{
		"a short list":          {true, readyPages - 1, false},
		"a long one":            {true, readyPages, true},
		"a long one, of a seed": {false, readyPages, false},
	} {
		s := startSession(t, true, c.follows)
		s.answer(declarations, 10, declared(1, 5))
		for i := range c.pages {
			page(s, i)
		}
		pause := s.calls[upstreams].Pause
		if waits := pause >= pagesWait; waits != c.waits || pause > 4*pagesWait {
			t.Error(name, "waits", pause)
		}
		if !c.waits {
			continue
		}
		s.tell(update{from: "10.0.0.2:1", whole: true, known: at(10)}, declared(1, 5), registered("i-1", 1, 6))
		if !s.table.Ready() || s.calls[upstreams] != nil && s.calls[upstreams].List {
			t.Error(name, "is read on though a parent has told all")
		}
	}
}

// The platform is away. Afterwards the watch of upstreams would say that both ended: their
// registrations lapsed meanwhile. Neither may be taken for gone; one comes back, the other
// does not and is gone two seconds later.
func TestOutageWithLapse(t *testing.T) {
	s := running(t)
	for range 3 {
		s.fail(upstreams)
		s.fail(declarations)
		s.pass(time.Second)
	}
	if s.events[EventPlatformLost.Number] != 2 || s.calls[upstreams] != nil || s.calls[declarations] == nil {
		t.Error("each outage is said once a topic, and one question finds its end:", s.events, s.calls)
	}
	s.answer(declarations, 30)
	s.answer(upstreams, 30, ended1("i-1", 20), ended1("i-2", 21))
	if len(s.table.Candidates("app")) != 2 {
		t.Fatal("a lapse was taken for an end")
	}
	if !s.calls[upstreams].List {
		t.Fatal("no list after an outage")
	}
	s.answer(upstreams, 30)
	if len(s.table.Candidates("app")) != 2 {
		t.Fatal("a lapse was taken for an end, in the list")
	}
	s.pass(time.Second)
	s.answer(upstreams, 32, registered("i-1", 1, 32))
	s.pass(1500 * ms)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-1" {
		t.Error(len(list))
	}
	if u := s.table.Upstream(stoatroute.KeyOf(2)); u.State != stoatroute.Gone {
		t.Error(u.State)
	}
}

// The replica that the upstreams' watch asks is seconds behind: the platform has said a
// later revision to the other watch. The replica is asked at once, then the platform itself,
// so that a leaving upstream is known of within the bound.
func TestLaggingReplicaIsFoundOut(t *testing.T) {
	s := running(t)
	s.pass(time.Second)
	s.answer(declarations, 15) // i-1 was marked as leaving at 12
	s.pass(200 * ms)
	c := s.calls[upstreams]
	if c == nil || !c.AllowStale || c.Wait > ms {
		t.Fatalf("the replica is not hurried: %+v", c)
	}
	s.answer(upstreams, 10)
	if c = s.calls[upstreams]; c == nil || c.AllowStale || c.Wait > ms {
		t.Fatalf("the platform itself is not asked: %+v", c)
	}
	leaving := registered("i-1", 1, 12)
	leaving.registration.Leaving = true
	s.answer(upstreams, 15, leaving)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-2" {
		t.Error("the leaving one still takes flows")
	}
	if c = s.calls[upstreams]; !c.AllowStale || c.Wait < time.Second {
		t.Errorf("%+v", c)
	}
}

// A quiet hour: the replica keeps up, and no call but the two watches is paid for.
func TestQuietTimeCostsTwoWatches(t *testing.T) {
	s := running(t)
	calls := 0
	for range 20 {
		s.pass(s.calls[declarations].Wait)
		s.answer(upstreams, 10)
		s.answer(declarations, 10)
		calls += 2
		if s.calls[upstreams].Wait < time.Second || s.calls[declarations].Wait < time.Second {
			t.Fatalf("%+v %+v", s.calls[upstreams], s.calls[declarations])
		}
	}
	if age := s.now.Sub(s.table.CompleteAsOf); age > 4*time.Second {
		t.Error("the upstreams were proven", age, "ago")
	}
}

// A cookie is not known here: the upstreams are asked at once, and not at a replica. What
// proves the upstream gone is an answer to a question sent after the packet came.
func TestDoubt(t *testing.T) {
	s := running(t)
	s.pass(time.Second)
	s.step(doubted{})
	if c := s.calls[upstreams]; c.AllowStale || c.Wait > ms {
		t.Fatalf("%+v", c)
	}
	at := s.now
	s.now = s.now.Add(10 * ms)
	s.answer(upstreams, 11)
	if !s.table.CompleteAsOf.Equal(at) {
		t.Error(s.table.CompleteAsOf.Sub(at))
	}
}

// An entry starts behind a cut. It has nothing to serve by, so others are asked soon and
// again; what one tells makes it serve. The platform's own word replaces it later.
func TestOthersAtTheStart(t *testing.T) {
	s := startSession(t, true, false)
	s.pass(300 * ms)
	if len(s.sought) == 0 || s.sought[0].known != at(0) {
		t.Fatal("nobody is asked:", s.sought)
	}
	s.step(parentLost{serial: 1, cause: &stoatpaddle.UnavailableError{Op: "x"}})
	s.pass(400 * ms)
	s.tell(update{from: "10.0.0.2:1", age: -1, whole: true, known: at(6)}, declared(3, 5), registered("i-1", 1, 6))
	if !s.table.Ready() || s.table.Declaration.Version != 3 || !s.table.CompleteAsOf.IsZero() {
		t.Error(s.table.Ready(), s.table.Declaration.Version, s.table.CompleteAsOf)
	}
	asked := len(s.sought)
	s.fail(declarations)
	s.fail(upstreams)
	s.pass(2 * time.Second)
	if len(s.sought) != asked {
		t.Error("others are asked though one tells")
	}
}

// An entry starts and lists three thousand upstreams, page by page. The platform answers all
// the while, so that nobody is asked to tell everything.
func TestLongListNeedsNobody(t *testing.T) {
	s := startSession(t, true, false)
	for range 6 {
		s.pass(100 * ms)
		s.end(upstreams, stoatfeed.Result{AsOf: at(10), More: true, Last: "m"})
	}
	if len(s.sought) != 0 {
		t.Error("asked", len(s.sought), "times")
	}
}

// Three hundred entries search in an outage of the store. One that knows everything up to a
// revision says so, and that is what both topics know: with one alone it would be told less
// than it lacks.
func TestSearchSaysWhatIsKnown(t *testing.T) {
	s := startSession(t, true, false)
	s.pass(300 * ms)
	s.tell(update{from: "10.0.0.2:1", age: -1, whole: true, known: at(42)}, declared(3, 5), registered("i-1", 1, 6))
	if s.knows != at(42) {
		t.Error(s.knows)
	}
	s.answer(declarations, 50)
	if s.knows != at(42) {
		t.Error("one topic alone is not everything:", s.knows)
	}
	s.step(parentLost{serial: s.k.follow.serial, cause: &silentError{}})
	s.fail(declarations)
	s.fail(upstreams)
	s.pass(2 * time.Second)
	if last := s.sought[len(s.sought)-1]; last.known != at(42) || last.within != 0 {
		t.Errorf("%+v", last)
	}
}

// One that is cut off tells old news while this entry is in touch: nothing changes.
func TestParentThatIsBehind(t *testing.T) {
	s := startSession(t, true, true)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	gone := registered("i-2", 2, 7)
	s.tell(update{from: "10.0.0.2:1", whole: true, known: at(9)}, declared(0, 1), registered("i-1", 1, 1), gone)
	s.step(update{serial: s.k.follow.serial, known: at(9), upstreams: []stoatroute.RemoteUpstream{{Registration: *gone.registration, Revision: 7, State: stoatroute.Gone}}})
	if s.table.Declaration.Version != 1 || len(s.table.Candidates("app")) != 2 {
		t.Error(s.table.Declaration.Version, len(s.table.Candidates("app")))
	}
}

// Somebody writes an object that does not parse: the last good one stays, an event says why.
func TestFaultyObject(t *testing.T) {
	s := running(t)
	s.answer(declarations, 12, change{name: "main", revision: 12, fault: &stoatpaddle.DecodeError{What: "configuration"}})
	if s.table.Declaration.Version != 1 || s.events[EventInvalidObject.Number] != 1 {
		t.Error(s.table.Declaration.Version, s.events)
	}
}

// Changed bounds are in force for the next call.
func TestRebound(t *testing.T) {
	s := running(t)
	s.step(rebound{apply: time.Second, back: time.Second, life: time.Minute})
	s.answer(declarations, 10)
	if w := s.calls[declarations].Wait; w != 650*ms {
		t.Error(w)
	}
}

// bad is an object of that name which cannot be read.
func bad(name string, revision stoatpaddle.Version) change {
	return change{name: name, revision: revision, target: platform.TargetOf(name), fault: &stoatpaddle.DecodeError{What: "upstream " + name}}
}

// Another writer writes over the entries of servers that live: in a watch first, in the middle,
// last and alone. Each time the others are taken in, the server gets no new flows, and its next
// own write makes it good. A cookie of it is still known: its open flows go on.
func TestBadEntryAmongOthers(t *testing.T) {
	good := func() []change { return []change{registered("i-3", 3, 12), registered("i-4", 4, 13)} }
	for name, changes := range map[string][]change{
		"first":  append([]change{bad("i-1", 11)}, good()...),
		"middle": {good()[0], bad("i-1", 14), good()[1]},
		"last":   append(good(), bad("i-1", 14)),
		"alone":  {bad("i-1", 11)},
	} {
		s := running(t)
		s.answer(upstreams, 14, changes...)
		if got := s.table.Upstream(stoatroute.KeyOf(1)); got == nil || got.State != stoatroute.Leaving || got.Addr != (netip.AddrPort{}) {
			t.Errorf("%s: %+v", name, got)
		}
		if got := len(s.table.Candidates("app")); got != len(changes) {
			t.Error(name, got, "take new flows")
		}
		if s.events[EventInvalidObject.Number] != 1 {
			t.Error(name, s.events)
		}
		s.answer(upstreams, 15, registered("i-1", 1, 15))
		if got := s.table.Upstream(stoatroute.KeyOf(1)); got.State != stoatroute.Serving {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// The same in a list, after the history was lost. A bad entry there is no sign that its server
// ended; one without a name may be any that the list lacks, which is given time to come back.
func TestBadEntryInAList(t *testing.T) {
	for name, c := range map[string]struct {
		object change
		want   stoatroute.State
	}{
		"named":    {bad("i-1", 11), stoatroute.Leaving},
		"nameless": {bad("", 0), stoatroute.Missing},
	} {
		s := running(t)
		s.end(upstreams, stoatfeed.Result{Outcome: stoatfeed.Forgotten})
		s.end(upstreams, stoatfeed.Result{AsOf: at(12), More: true, Last: "i-1", Changes: 1}, c.object)
		s.answer(upstreams, 12, registered("i-2", 2, 7))
		if got := s.table.Upstream(stoatroute.KeyOf(1)); got == nil || got.State != c.want {
			t.Errorf("%s: %+v", name, got)
		}
		if got := s.table.Upstream(stoatroute.KeyOf(2)); got == nil || got.State != stoatroute.Serving {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// The configuration is written over with something else: the last good one stays in force, and
// the next good one is adopted.
func TestBadConfiguration(t *testing.T) {
	s := running(t)
	s.answer(declarations, 11, bad("main", 11))
	if s.table.Declaration.Version != 1 || s.events[EventInvalidObject.Number] != 1 {
		t.Error(s.table.Declaration.Version, s.events)
	}
	s.answer(declarations, 12, declared(2, 12))
	if s.table.Declaration.Version != 2 {
		t.Error(s.table.Declaration.Version)
	}
}

// A server starts again under its id: a line says so, and names both lives. A write of the
// earlier life that took effect late is named too, and ignored.
func TestRestartIsLogged(t *testing.T) {
	s := running(t)
	born := func(life stoatpaddle.Incarnation, revision stoatpaddle.Version) change {
		c := registered("i-1", 1, revision)
		c.registration.Incarnation = life
		return c
	}
	s.answer(upstreams, 11, born(5, 11))
	s.answer(upstreams, 12, born(7, 12))
	s.answer(upstreams, 13, born(5, 13))
	if got := s.table.Upstream(stoatroute.KeyOf(1)); got.Incarnation != 7 || got.Revision != 12 || s.events[EventIncarnation.Number] != 2 {
		t.Errorf("%+v %v", got, s.events)
	}
}

// Answers are older than what is known, one after the other, and a configuration in them is put aside.
// Who reads the log has to see which revision was known, which one came and of which history it was:
// without it, a store that went back looks like one that answers well. Each is said once.
func TestOldAnswersAreSaid(t *testing.T) {
	s := running(t)
	s.k.book.ApplyDeclaration(stoatpaddle.Declaration{Version: 6}, 40)
	s.k.feeds[declarations].Advance(at(40))
	for range 3 {
		s.answer(declarations, 30, declared(7, 25))
	}
	if s.events[EventStaleAnswer.Number] != 1 {
		t.Error("older answers were said so often:", s.events[EventStaleAnswer.Number])
	}
	s.answer(declarations, 41, declared(8, 39))
	s.answer(declarations, 41, declared(8, 39))
	s.answer(declarations, 40)
	if s.events[EventStaleAnswer.Number] != 2 || s.events[EventConfigRejected.Number] != 1 {
		t.Error(s.events[EventStaleAnswer.Number], s.events[EventConfigRejected.Number])
	}
}

// Another writer has written over an upstream's entry, and an entry starts in that moment. The upstream
// serves, and packets of its open flows come here. Its object stands in the list, but cannot be read: taken
// for a list that lacks it, the platform's own answer said that the upstream is gone, and the flow was reset:
//
//	38.008 s SP1406 object cannot be used, i-50000002 (entry-3, started 0.1 s before)
//	38.380 s SP1412 packet dropped, unproven, cookie 50000002
//	38.554 s SP1411 flow reset, gone, cookie 50000002
func TestUnreadableEntryIsNoAbsence(t *testing.T) {
	s := newSession(t)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), bad("i-2", 7))
	u := s.table.Upstream(stoatroute.KeyOf(2))
	if u == nil || u.State == stoatroute.Gone || u.AcceptsFlows() || s.table.Route(listen).EverUsed(u.Service) {
		t.Fatalf("what stands in the list counts as absent, or as an upstream of a service: %+v", u)
	}
	s.answer(upstreams, 12, registered("i-2", 2, 12))
	if list := s.table.Candidates("app"); len(list) != 2 {
		t.Error("it wrote again, and gets no flows:", len(list))
	}
	s.answer(upstreams, 14, bad("i-3", 13))
	s.answer(upstreams, 15, ended1("i-3", 15))
	if u := s.table.Upstream(stoatroute.KeyOf(3)); u == nil || u.State != stoatroute.Gone {
		t.Errorf("an unreadable entry that was taken out: %+v", u)
	}
}
