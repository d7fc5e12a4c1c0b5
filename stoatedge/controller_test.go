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

// session drives a controller. Its calls stay in progress until the test answers them.
type session struct {
	t              *testing.T
	ctl            *controller
	now            time.Time
	calls          [topicCount]*stoatfeed.Call
	sent           [topicCount]time.Time
	table          *stoatroute.Table
	events         map[stoatevent.Number]int
	searches       []findParent
	parentsLeft    int // how often a parent was left
	announcedPos   stoatpaddle.Position
	era            stoatpaddle.Era // of the answers to come
	announcedReads bool
	wakeUps        int // how often children were woken
}

// position returns a position of a platform that gives no era.
func position(rev stoatpaddle.Version) stoatpaddle.Position {
	return stoatpaddle.Position{Revision: rev}
}

func newSession(t *testing.T) *session {
	return startSession(t, false, false)
}

// startSession returns a session of an entry whose settings name other seeds or not, and which reads the
// platform itself or relies on them.
func startSession(t *testing.T, otherSeeds, reliesOnOthers bool) *session {
	s := newSessionOf(t, controllerConfig{
		MaxDelay: 3 * time.Second, GracePeriod: 2 * time.Second, FlowLifetime: time.Minute, Seeds: seedRole{otherSeeds: otherSeeds, isSeed: otherSeeds && !reliesOnOthers}, Seed: 1,
	})
	s.step(started{})
	return s
}

func newSessionOf(t *testing.T, cfg controllerConfig) *session {
	return &session{t: t, now: time.Unix(1000, 0), events: map[stoatevent.Number]int{}, ctl: newController(cfg)}
}

func (s *session) step(ev any) {
	for _, effect := range s.ctl.step(s.now, ev) {
		switch x := effect.(type) {
		case startCall:
			if s.calls[x.topic] != nil {
				s.t.Errorf("%s has two calls at once", x.topic)
			}
			s.calls[x.topic], s.sent[x.topic] = &x.call, s.now
		case cancelCall:
			if s.calls[x.topic] != nil {
				s.end(x.topic, stoatfeed.Result{Outcome: stoatfeed.Interrupted})
			}
		case publishTable:
			s.table = x.table
		case logEvent:
			s.events[x.definition.Number]++
		case findParent:
			s.searches = append(s.searches, x)
		case leaveParent:
			s.parentsLeft++
			s.step(parentLost{searchID: x.searchID, cause: &leftError{why: x.why}})
		case announcement:
			s.announcedPos, s.announcedReads = x.known, x.reads
			s.wakeUps++
		case wakeChildren:
			s.wakeUps++
		}
	}
}

func (s *session) end(t topic, r stoatfeed.Result, changes ...change) {
	s.t.Helper()
	c := s.calls[t]
	if c == nil {
		s.t.Fatalf("%s has no call in progress", t)
	}
	s.calls[t] = nil
	s.step(callEnded{topic: t, call: *c, sent: s.sent[t], result: r, changes: changes})
}

func (s *session) answer(t topic, asOf stoatpaddle.Version, changes ...change) {
	s.t.Helper()
	s.end(t, stoatfeed.Result{AsOf: stoatpaddle.Position{Era: s.era, Revision: asOf}, Changes: len(changes)}, changes...)
}

func (s *session) fail(t topic) {
	s.t.Helper()
	s.end(t, stoatfeed.Result{Outcome: stoatfeed.Failed})
}

// advance lets time pass, with ticks.
func (s *session) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
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

func deletedUpstream(id string, revision stoatpaddle.Version) change {
	return change{name: id, revision: revision, deleted: true}
}

// receiveUpdate delivers a message of the parent that the latest search found.
func (s *session) receiveUpdate(x parentUpdate, changes ...change) {
	x.searchID = s.ctl.follower.searchID
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

// newRunningSession returns a session that serves version 1 and two upstreams, as of revision 10.
func newRunningSession(t *testing.T) *session {
	s := newSession(t)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	if !s.table.Ready() || len(s.table.Candidates("app")) != 2 {
		t.Fatal("not ready")
	}
	return s
}

// An entry that starts is ready once it has both the configuration and the upstreams, and logs that once.
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

// Guards against flows cut at an entry that started after their route moved to another service: the parent's
// message about the version in force has the former service, and children get it in turn.
func TestFormerServicesFromParent(t *testing.T) {
	s := startSession(t, true, true)
	s.answer(declarations, 10, declared(2, 8))
	s.answer(upstreams, 10, registered("i-1", 1, 6))
	child := stoatrelay.ChildStateOf(s.table)
	c := declared(2, 8)
	c.declaration.Routes[0].FormerServices = []stoatpaddle.ServiceID{"before"}
	s.receiveUpdate(parentUpdate{parent: "10.0.0.2:1", whole: true, known: position(10)}, c, registered("i-1", 1, 6))
	r := s.table.Route(listen)
	if !r.EverUsed("before") || !r.EverUsed("app") || r.EverUsed("other") {
		t.Error("the former services of the route are not known")
	}
	if body := stoatrelay.EncodeBody(s.now, s.table, child); body == nil || body.Declaration == nil || len(body.Declaration.Routes) != 1 || len(body.Declaration.Routes[0].FormerServices) != 1 {
		t.Errorf("children get no update: %+v", body)
	}
}

// Guards against seeds that have no time left to read the platform, because a thousand entries that wait for
// them ask several times a second: an entry that is refused asks less and less often, up to every few
// seconds.
func TestSearchesAtAStartBackOff(t *testing.T) {
	s := startSession(t, true, true)
	for range 200 {
		if n := len(s.searches); n > 0 && s.ctl.follower.searching {
			s.step(parentLost{searchID: s.searches[n-1].searchID, cause: &leftError{why: "nothing to send"}})
		}
		s.advance(tickInterval)
	}
	if n := len(s.searches); n < 6 || n > 14 {
		t.Error(n, "searches in 20 s")
	}
}

// Guards against a fleet in which each entry that starts reads all pages of a long list, each of them paid
// for: after a few pages it waits for a parent, which sends the rest, and reads on if it finds none.
func TestLongListWaitsForAParent(t *testing.T) {
	page := func(s *session, i int) {
		s.end(upstreams, stoatfeed.Result{AsOf: position(10), More: true, Last: string(rune('a' + i))}, registered(stoatpaddle.UpstreamID(rune('a'+i)), stoatpaddle.TargetID(i+1), 6))
	}
	for name, c := range map[string]struct {
		reliesOnOthers bool
		pages          int
		waits          bool
	}{
		"a short list":          {true, pagesWithoutParent - 1, false},
		"a long list":           {true, pagesWithoutParent, true},
		"a long list of a seed": {false, pagesWithoutParent, false},
	} {
		s := startSession(t, true, c.reliesOnOthers)
		s.answer(declarations, 10, declared(1, 5))
		for i := range c.pages {
			page(s, i)
		}
		pause := s.calls[upstreams].Pause
		if waits := pause >= pageHold; waits != c.waits || pause > 4*pageHold {
			t.Error(name, "waits", pause)
		}
		if !c.waits {
			continue
		}
		s.receiveUpdate(parentUpdate{parent: "10.0.0.2:1", whole: true, known: position(10)}, declared(1, 5), registered("i-1", 1, 6))
		if !s.table.Ready() || s.calls[upstreams] != nil && s.calls[upstreams].List {
			t.Error(name, "reads on although a parent has sent everything")
		}
	}
}

// In an outage of the platform both registrations lapse, and afterwards the watch of upstreams would report
// the end of both. Neither may count as gone: one registers again, and the other does not and is gone two
// seconds later.
func TestOutageWithLapse(t *testing.T) {
	s := newRunningSession(t)
	for range 3 {
		s.fail(upstreams)
		s.fail(declarations)
		s.advance(time.Second)
	}
	if s.events[EventPlatformLost.Number] != 2 || s.calls[upstreams] != nil || s.calls[declarations] == nil {
		t.Error("an outage is not logged once for each topic, or not one call looks for its end:", s.events, s.calls)
	}
	s.answer(declarations, 30)
	s.answer(upstreams, 30, deletedUpstream("i-1", 20), deletedUpstream("i-2", 21))
	if len(s.table.Candidates("app")) != 2 {
		t.Fatal("an upstream whose registration lapsed counts as gone")
	}
	if !s.calls[upstreams].List {
		t.Fatal("no list after an outage")
	}
	s.answer(upstreams, 30)
	if len(s.table.Candidates("app")) != 2 {
		t.Fatal("an upstream whose registration lapsed counts as gone after the list")
	}
	s.advance(time.Second)
	s.answer(upstreams, 32, registered("i-1", 1, 32))
	s.advance(1500 * ms)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-1" {
		t.Error(len(list))
	}
	if u := s.table.Upstream(stoatroute.KeyOf(2)); u.State != stoatroute.Gone {
		t.Error(u.State)
	}
}

// The replica that the watch of upstreams asks is seconds behind: the platform has reported a later revision
// to the watch of the configuration. The replica is asked again at once, then the platform itself, so that a
// leaving upstream is known within the maximum delay.
func TestLaggingReplicaIsDetected(t *testing.T) {
	s := newRunningSession(t)
	s.advance(time.Second)
	s.answer(declarations, 15) // i-1 was marked as leaving at 12
	s.advance(200 * ms)
	c := s.calls[upstreams]
	if c == nil || !c.AllowStale || c.Wait > ms {
		t.Fatalf("the replica is not asked again: %+v", c)
	}
	s.answer(upstreams, 10)
	if c = s.calls[upstreams]; c == nil || c.AllowStale || c.Wait > ms {
		t.Fatalf("no call to the platform itself: %+v", c)
	}
	leaving := registered("i-1", 1, 12)
	leaving.registration.Leaving = true
	s.answer(upstreams, 15, leaving)
	if list := s.table.Candidates("app"); len(list) != 1 || list[0].ID != "i-2" {
		t.Error("the leaving upstream still gets flows")
	}
	if c = s.calls[upstreams]; !c.AllowStale || c.Wait < time.Second {
		t.Errorf("%+v", c)
	}
}

// While nothing changes and the replica keeps up, only the two watches are paid for.
func TestQuietTimeCostsTwoWatches(t *testing.T) {
	s := newRunningSession(t)
	calls := 0
	for range 20 {
		s.advance(s.calls[declarations].Wait)
		s.answer(upstreams, 10)
		s.answer(declarations, 10)
		calls += 2
		if s.calls[upstreams].Wait < time.Second || s.calls[declarations].Wait < time.Second {
			t.Fatalf("%+v %+v", s.calls[upstreams], s.calls[declarations])
		}
	}
	if age := s.now.Sub(s.table.AsOf(stoatroute.PartUpstreams)); age > 4*time.Second {
		t.Error("the upstreams were last confirmed to be complete", age, "ago")
	}
}

// A packet has an unknown cookie: the platform itself is asked about upstreams at once. Only an answer to a
// call that was sent after the packet came confirms that the upstream is gone.
func TestUnknownCookie(t *testing.T) {
	s := newRunningSession(t)
	s.advance(time.Second)
	s.step(verificationRequested{parts: stoatroute.PartUpstreams})
	if c := s.calls[upstreams]; c.AllowStale || c.Wait > ms {
		t.Fatalf("%+v", c)
	}
	at := s.now
	s.now = s.now.Add(10 * ms)
	s.answer(upstreams, 11)
	if !s.table.AsOf(stoatroute.PartUpstreams).Equal(at) {
		t.Error(s.table.AsOf(stoatroute.PartUpstreams).Sub(at))
	}
}

// An entry that is cut off from the platform starts. It is not ready, so it searches for a parent soon and
// repeatedly, and becomes ready with the parent's state. The platform's own answer replaces that state later.
func TestParentAtStart(t *testing.T) {
	s := startSession(t, true, false)
	s.advance(300 * ms)
	if len(s.searches) == 0 || s.searches[0].known != position(0) {
		t.Fatal("no search for a parent:", s.searches)
	}
	s.step(parentLost{searchID: 1, cause: &stoatpaddle.UnavailableError{Op: "x"}})
	s.advance(400 * ms)
	s.receiveUpdate(parentUpdate{parent: "10.0.0.2:1", age: -1, whole: true, known: position(6)}, declared(3, 5), registered("i-1", 1, 6))
	if !s.table.Ready() || s.table.Declaration.Version != 3 || !s.table.AsOf(stoatroute.PartUpstreams).IsZero() {
		t.Error(s.table.Ready(), s.table.Declaration.Version, s.table.AsOf(stoatroute.PartUpstreams))
	}
	asked := len(s.searches)
	s.fail(declarations)
	s.fail(upstreams)
	s.advance(2 * time.Second)
	if len(s.searches) != asked {
		t.Error("a search although there is a parent")
	}
}

// An entry starts and lists three thousand upstreams, page by page. The platform answers all the time, so
// that no other entry is asked for the whole state.
func TestLongListNeedsNoParent(t *testing.T) {
	s := startSession(t, true, false)
	for range 6 {
		s.advance(100 * ms)
		s.end(upstreams, stoatfeed.Result{AsOf: position(10), More: true, Last: "m"})
	}
	if len(s.searches) != 0 {
		t.Error("asked", len(s.searches), "times")
	}
}

// Guards against a parent that sends too little: in an outage three hundred entries search for a parent. The
// position that an entry sends is the one up to which it knows both topics; with that of one topic alone, it
// would get less than it lacks.
func TestSearchSendsKnownPosition(t *testing.T) {
	s := startSession(t, true, false)
	s.advance(300 * ms)
	s.receiveUpdate(parentUpdate{parent: "10.0.0.2:1", age: -1, whole: true, known: position(42)}, declared(3, 5), registered("i-1", 1, 6))
	if s.announcedPos != position(42) {
		t.Error(s.announcedPos)
	}
	s.answer(declarations, 50)
	if s.announcedPos != position(42) {
		t.Error("the position of one topic counts for both:", s.announcedPos)
	}
	s.step(parentLost{searchID: s.ctl.follower.searchID, cause: &silentError{}})
	s.fail(declarations)
	s.fail(upstreams)
	s.advance(2 * time.Second)
	if last := s.searches[len(s.searches)-1]; last.known != position(42) || last.maxAge != 0 {
		t.Errorf("%+v", last)
	}
}

// A parent that is cut off sends outdated state to an entry that reaches the platform: nothing changes.
func TestParentThatIsBehind(t *testing.T) {
	s := startSession(t, true, true)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	gone := registered("i-2", 2, 7)
	s.receiveUpdate(parentUpdate{parent: "10.0.0.2:1", whole: true, known: position(9)}, declared(0, 1), registered("i-1", 1, 1), gone)
	s.step(parentUpdate{searchID: s.ctl.follower.searchID, known: position(9), upstreams: []stoatroute.RemoteUpstream{{Registration: *gone.registration, Revision: 7, State: stoatroute.Gone}}})
	if s.table.Declaration.Version != 1 || len(s.table.Candidates("app")) != 2 {
		t.Error(s.table.Declaration.Version, len(s.table.Candidates("app")))
	}
}

// An object cannot be decoded: the last valid one stays in force, and an event says why.
func TestFaultyObject(t *testing.T) {
	s := newRunningSession(t)
	s.answer(declarations, 12, change{name: "main", revision: 12, fault: &stoatpaddle.DecodeError{What: "configuration"}})
	if s.table.Declaration.Version != 1 || s.events[EventInvalidObject.Number] != 1 {
		t.Error(s.table.Declaration.Version, s.events)
	}
}

// Changed settings apply to the next call.
func TestChangedBounds(t *testing.T) {
	s := newRunningSession(t)
	s.step(settingsChanged{maxDelay: time.Second, gracePeriod: time.Second, flowLifetime: time.Minute})
	s.answer(declarations, 10)
	if w := s.calls[declarations].Wait; w != 650*ms {
		t.Error(w)
	}
}

// unreadable returns an object of that name that cannot be read.
func unreadable(name string, revision stoatpaddle.Version) change {
	return change{name: name, revision: revision, target: platform.TargetOf(name), fault: &stoatpaddle.DecodeError{What: "upstream " + name}}
}

// Another writer overwrites the registrations of running upstreams: the first, a middle, the last or the only
// one of a watch's answer. The others are applied, the upstream gets no new flows until its next own write,
// and its cookie stays known so that its open flows continue.
func TestUnreadableRegistrationAmongOthers(t *testing.T) {
	good := func() []change { return []change{registered("i-3", 3, 12), registered("i-4", 4, 13)} }
	for name, changes := range map[string][]change{
		"first":  append([]change{unreadable("i-1", 11)}, good()...),
		"middle": {good()[0], unreadable("i-1", 14), good()[1]},
		"last":   append(good(), unreadable("i-1", 14)),
		"alone":  {unreadable("i-1", 11)},
	} {
		s := newRunningSession(t)
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

// As TestUnreadableRegistrationAmongOthers, but in a list, after the history was lost. An unreadable
// registration there does not mean that its upstream ended. One without a readable name may be any upstream
// that the list lacks, which gets time to come back.
func TestUnreadableRegistrationInList(t *testing.T) {
	for name, c := range map[string]struct {
		object change
		want   stoatroute.State
	}{
		"named":    {unreadable("i-1", 11), stoatroute.Leaving},
		"nameless": {unreadable("", 0), stoatroute.Missing},
	} {
		s := newRunningSession(t)
		s.end(upstreams, stoatfeed.Result{Outcome: stoatfeed.HistoryGone})
		s.end(upstreams, stoatfeed.Result{AsOf: position(12), More: true, Last: "i-1", Changes: 1}, c.object)
		s.answer(upstreams, 12, registered("i-2", 2, 7))
		if got := s.table.Upstream(stoatroute.KeyOf(1)); got == nil || got.State != c.want {
			t.Errorf("%s: %+v", name, got)
		}
		if got := s.table.Upstream(stoatroute.KeyOf(2)); got == nil || got.State != stoatroute.Serving {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// The configuration is overwritten with something else: the last valid one stays in force, and the next valid
// one is applied.
func TestBadConfiguration(t *testing.T) {
	s := newRunningSession(t)
	s.answer(declarations, 11, unreadable("main", 11))
	if s.table.Declaration.Version != 1 || s.events[EventInvalidObject.Number] != 1 {
		t.Error(s.table.Declaration.Version, s.events)
	}
	s.answer(declarations, 12, declared(2, 12))
	if s.table.Declaration.Version != 2 {
		t.Error(s.table.Declaration.Version)
	}
}

// An upstream starts again under its id: a log line names both incarnations. A write of the earlier
// incarnation that takes effect late is logged too, and ignored.
func TestRestartIsLogged(t *testing.T) {
	s := newRunningSession(t)
	withIncarnation := func(incarnation stoatpaddle.Incarnation, revision stoatpaddle.Version) change {
		c := registered("i-1", 1, revision)
		c.registration.Incarnation = incarnation
		return c
	}
	s.answer(upstreams, 11, withIncarnation(5, 11))
	s.answer(upstreams, 12, withIncarnation(7, 12))
	s.answer(upstreams, 13, withIncarnation(5, 13))
	if got := s.table.Upstream(stoatroute.KeyOf(1)); got.Incarnation != 7 || got.Revision != 12 || s.events[EventIncarnation.Number] != 2 {
		t.Errorf("%+v %v", got, s.events)
	}
}

// Guards against a platform that went back in its history and seems to work: several answers are older than
// what is known, and a configuration in them is rejected. The log has to show the known revision, the
// answered one and their eras; each is logged once.
func TestOldAnswersAreLogged(t *testing.T) {
	s := newRunningSession(t)
	s.ctl.state.ApplyDeclaration(stoatpaddle.Declaration{Version: 6}, 40)
	s.ctl.feeds[declarations].Advance(position(40))
	for range 3 {
		s.answer(declarations, 30, declared(7, 25))
	}
	if s.events[EventStaleAnswer.Number] != 1 {
		t.Error("number of lines about older answers:", s.events[EventStaleAnswer.Number])
	}
	s.answer(declarations, 41, declared(8, 39))
	s.answer(declarations, 41, declared(8, 39))
	s.answer(declarations, 40)
	if s.events[EventStaleAnswer.Number] != 2 || s.events[EventConfigRejected.Number] != 1 {
		t.Error(s.events[EventStaleAnswer.Number], s.events[EventConfigRejected.Number])
	}
}

// Guards against a reset of an open flow: another writer has overwritten an upstream's registration when an
// entry starts. The object is in the list but cannot be read. If it counted as missing from the list, the
// platform's own answer would wrongly confirm that the upstream is gone. Such a flow was reset 0.6 s after the
// entry had started, although its upstream was serving.
func TestUnreadableRegistrationIsNotMissing(t *testing.T) {
	s := newSession(t)
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), unreadable("i-2", 7))
	u := s.table.Upstream(stoatroute.KeyOf(2))
	if u == nil || u.State == stoatroute.Gone || u.AcceptsFlows() || s.table.Route(listen).EverUsed(u.Service) {
		t.Fatalf("an upstream in the list counts as missing, or as one of a service: %+v", u)
	}
	s.answer(upstreams, 12, registered("i-2", 2, 12))
	if list := s.table.Candidates("app"); len(list) != 2 {
		t.Error("it registered again, and gets no flows:", len(list))
	}
	s.answer(upstreams, 14, unreadable("i-3", 13))
	s.answer(upstreams, 15, deletedUpstream("i-3", 15))
	if u := s.table.Upstream(stoatroute.KeyOf(3)); u == nil || u.State != stoatroute.Gone {
		t.Errorf("an unreadable registration that was deleted: %+v", u)
	}
}
