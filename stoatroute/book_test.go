package stoatroute_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

var (
	start  = time.Unix(1000, 0)
	listen = netip.MustParseAddrPort("198.18.0.1:8443")
)

func declaration(version stoatpaddle.Version, service stoatpaddle.ServiceID) stoatpaddle.Declaration {
	return stoatpaddle.Declaration{Version: version, Routes: []stoatpaddle.Route{
		{Listen: listen, Backends: []stoatpaddle.Backend{{Service: service, Weight: 1}}},
	}}
}

func registration(target stoatpaddle.Target, id stoatpaddle.UpstreamID) stoatpaddle.Registration {
	return stoatpaddle.Registration{ID: id, Target: target, Service: "app", Slots: 3, Created: stoatpaddle.Version(target)}
}

func standingOf(t *testing.T, b *stoatroute.Builder, id stoatpaddle.UpstreamID) stoatroute.State {
	t.Helper()
	u, ok := b.Lookup(id)
	if !ok {
		t.Fatal(id, "is not known")
	}
	return u.State
}

// A neighbour that was cut off, or a replica, brings an older configuration after a newer
// one. What is in force must not revert: callers would find a removed route back.
func TestConfigurationNeverReverts(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	if !b.ApplyDeclaration(declaration(7, "app"), 40) || b.ApplyDeclaration(declaration(5, "old"), 30) || b.ApplyDeclaration(declaration(5, "old"), 41) || b.ApplyDeclaration(declaration(8, "old"), 39) {
		t.Error("an older configuration was adopted, or a newer one not")
	}
	if got := b.Table().Declaration.Version; got != 7 {
		t.Error(got)
	}
}

// A route moves to another service while flows are open at the one before. They go on: the
// route still vouches for cookies of that service. A service it never had is another matter.
func TestRouteRemembersItsServices(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(declaration(1, "old"), 1)
	b.ApplyDeclaration(declaration(2, "app"), 2)
	r := b.Table().Route(listen)
	if !r.EverUsed("old") || !r.EverUsed("app") || r.EverUsed("other") {
		t.Error("old", r.EverUsed("old"), "app", r.EverUsed("app"), "other", r.EverUsed("other"))
	}
	b.ApplyDeclaration(stoatpaddle.Declaration{Version: 3}, 3)
	if b.Table().Route(listen) != nil {
		t.Error("a removed route is still there")
	}
}

// The platform was away and the upstreams' registrations lapsed; all of them serve. The
// first list after it is empty. If they counted as gone, every open flow would be reset and
// no new one placed, until they are back two seconds later. One never comes back: it is gone.
func TestLapsedRegistrations(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{GracePeriod: 2 * time.Second})
	b.ApplyDeclaration(declaration(1, "app"), 1)
	b.Register(start, registration(1, "i-1"), 2)
	b.Register(start, registration(2, "i-2"), 3)
	lost := b.ApplyList(start, map[stoatpaddle.UpstreamID]bool{}, true)
	if !slices.Equal(lost, []stoatpaddle.UpstreamID{"i-1", "i-2"}) || len(b.Table().Candidates("app")) != 2 {
		t.Fatal(lost, len(b.Table().Candidates("app")))
	}
	b.Register(start.Add(time.Second), registration(1, "i-1"), 9)
	ended := b.Expire(start.Add(2 * time.Second))
	if !slices.Equal(ended, []stoatpaddle.UpstreamID{"i-2"}) {
		t.Error(ended)
	}
	if standingOf(t, b, "i-1") != stoatroute.Serving || standingOf(t, b, "i-2") != stoatroute.Gone {
		t.Error(standingOf(t, b, "i-1"), standingOf(t, b, "i-2"))
	}
	if u := b.Table().Upstream(stoatroute.KeyOf(2)); u == nil || u.State != stoatroute.Gone {
		t.Error("flows at the upstream that ended cannot be told so", u)
	}
}

// The platform goes away again before the lapsed ones could register. Their time to come
// back counts from its next return.
func TestLapsedTwice(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{GracePeriod: 2 * time.Second})
	b.Register(start, registration(1, "i-1"), 2)
	b.ApplyList(start, map[stoatpaddle.UpstreamID]bool{}, true)
	b.RestartGracePeriod(start.Add(1900 * time.Millisecond))
	if ended := b.Expire(start.Add(3 * time.Second)); len(ended) != 0 {
		t.Error(ended)
	}
	if ended := b.Expire(start.Add(4 * time.Second)); len(ended) != 1 {
		t.Error(ended)
	}
}

// With the platform in touch all the while, a registration that ended says that the upstream
// has: no flow is placed there, and its flows can be told at once. After a time it is forgotten.
func TestEndedRegistration(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{Retention: time.Minute})
	b.Register(start, registration(1, "i-1"), 2)
	if !b.MarkGone(start, "i-1", 5) || b.MarkGone(start, "i-1", 6) {
		t.Error("said twice, or never")
	}
	if len(b.Table().Candidates("app")) != 0 || b.Table().Upstream(stoatroute.KeyOf(1)) == nil {
		t.Error("gone but not known as such")
	}
	b.Expire(start.Add(time.Minute))
	if b.Table().Upstream(stoatroute.KeyOf(1)) != nil {
		t.Error("never forgotten")
	}
}

// An upstream leaves. Its last words must not be taken back by an older copy of its entry.
func TestLeavingUpstream(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.Register(start, registration(1, "i-1"), 2)
	leaving := registration(1, "i-1")
	leaving.Leaving = true
	if b.Register(start, leaving, 4) != stoatroute.Changed || b.Register(start, registration(1, "i-1"), 3) != stoatroute.Unchanged {
		t.Error("an older entry was taken in")
	}
	if standingOf(t, b, "i-1") != stoatroute.Leaving || len(b.Table().Candidates("app")) != 0 {
		t.Error("a leaving upstream takes flows")
	}
	b.ApplyList(start, nil, true)
	if len(b.Table().Candidates("app")) != 0 {
		t.Error("a leaving upstream takes flows because its registration lapsed")
	}
}

// Two upstreams whose targets differ in more than 32 bits share a cookie. The first keeps
// its flows, whatever the order in which an entry hears of them; the second gets none.
func TestSharedCookie(t *testing.T) {
	first, second := registration(0x7f00000001, "i-7f00000001"), registration(0x7e00000000, "i-7e00000000")
	first.Created, second.Created = 5, 6
	if stoatroute.KeyOf(first.Target) != stoatroute.KeyOf(second.Target) {
		t.Fatal("they do not share one")
	}
	for _, order := range [][]stoatpaddle.Registration{{first, second}, {second, first}} {
		b := stoatroute.NewBuilder(stoatroute.Config{})
		for i, r := range order {
			b.Register(start, r, stoatpaddle.Version(i+1))
		}
		list := b.Table().Candidates("app")
		if len(list) != 1 || list[0].ID != first.ID {
			t.Error(len(list))
		}
		if holder, ok := b.KeyConflict(second.ID); !ok || holder != first.ID {
			t.Error(holder, ok)
		}
		if _, ok := b.KeyConflict(first.ID); ok {
			t.Error("the holder is reported")
		}
	}
}

// An entry that starts while the platform is away serves what another one tells, but takes
// it for no proof that anything is gone.
func TestMirrorIsNoProof(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.Mirror(start, stoatroute.RemoteUpdate{Complete: true, UpToDate: true})
	if b.Table().Ready() {
		t.Error("ready with nothing")
	}
	b.ApplyDeclaration(declaration(1, "app"), 1)
	b.Mirror(start, stoatroute.RemoteUpdate{Upstreams: []stoatroute.RemoteUpstream{{Registration: registration(1, "i-1"), Revision: 2}}, Complete: true, UpToDate: true})
	if table := b.Table(); !table.Ready() || !table.CompleteAsOf.IsZero() {
		t.Error(table.Ready(), table.CompleteAsOf)
	}
	if h := b.Table(); len(h.Upstreams()) != 1 || !h.Declared || h.Revision != 1 {
		t.Errorf("%+v", h)
	}
}

// mirror is a book that mirrors another entry, and what it has on two upstreams.
type mirror struct {
	t *testing.T
	b *stoatroute.Builder
}

func newMirror(t *testing.T) *mirror {
	m := &mirror{t: t, b: stoatroute.NewBuilder(stoatroute.Config{GracePeriod: 2 * time.Second})}
	m.b.ApplyDeclaration(declaration(1, "app"), 1)
	m.b.SetMirroring(start, true)
	m.tell(true, true, told(1, "i-1", 2, stoatroute.Serving), told(2, "i-2", 3, stoatroute.Serving))
	return m
}

func told(target stoatpaddle.Target, id stoatpaddle.UpstreamID, revision stoatpaddle.Version, s stoatroute.State) stoatroute.RemoteUpstream {
	return stoatroute.RemoteUpstream{Registration: registration(target, id), Revision: revision, State: s}
}

func (m *mirror) tell(whole, later bool, list ...stoatroute.RemoteUpstream) {
	m.b.Mirror(start, stoatroute.RemoteUpdate{Upstreams: list, Complete: whole, UpToDate: later})
}

func (m *mirror) want(what string, one, two stoatroute.State) {
	m.t.Helper()
	a, _ := m.b.Lookup("i-1")
	b, _ := m.b.Lookup("i-2")
	if a.State != one || b.State != two {
		m.t.Errorf("%s: %s and %s", what, a.State, b.State)
	}
}

// The entry that asks the platform says that one upstream ended and another's registration
// lapsed. The lapse ends when that entry says so, or two seconds after nobody tells any more.
func TestMirrorOfALapse(t *testing.T) {
	m := newMirror(t)
	m.tell(false, true, told(1, "i-1", 5, stoatroute.Gone), told(2, "i-2", 3, stoatroute.Missing))
	m.want("told", stoatroute.Gone, stoatroute.Missing)
	if ended := m.b.Expire(start.Add(10 * time.Second)); len(ended) != 0 {
		t.Error("ended without the word of the entry that asks:", ended)
	}
	m.b.SetMirroring(start.Add(10*time.Second), false)
	if ended := m.b.Expire(start.Add(11 * time.Second)); len(ended) != 0 {
		t.Error("ended at once:", ended)
	}
	if ended := m.b.Expire(start.Add(12 * time.Second)); len(ended) != 1 {
		t.Error("never ends")
	}
	m.tell(false, true, told(1, "i-1", 9, stoatroute.Serving))
	m.want("it registers anew", stoatroute.Serving, stoatroute.Gone)
}

// Another parent started just after the platform's return and never heard of an upstream
// whose registration lapsed. Its flows must not be reset: it counts as missing, and comes
// back with its next registration, or ends after two seconds.
func TestMirrorThatLacksAnUpstream(t *testing.T) {
	m := newMirror(t)
	m.tell(true, true, told(1, "i-1", 2, stoatroute.Serving))
	m.want("lacking", stoatroute.Serving, stoatroute.Missing)
	m.b.Expire(start.Add(1900 * time.Millisecond))
	m.want("1.9 s later", stoatroute.Serving, stoatroute.Missing)
	m.b.Expire(start.Add(2 * time.Second))
	m.want("2 s later", stoatroute.Serving, stoatroute.Gone)
	m.tell(false, true, told(2, "i-2", 3, stoatroute.Serving))
	m.want("one that knows more says that it was there all along", stoatroute.Serving, stoatroute.Serving)
}

// A parent that is behind takes nothing back: not what ended, not what serves. A later
// registration is taken in whoever tells of it.
func TestMirrorThatIsBehind(t *testing.T) {
	m := newMirror(t)
	m.tell(false, true, told(1, "i-1", 5, stoatroute.Gone))
	m.tell(true, false, told(1, "i-1", 2, stoatroute.Serving))
	m.want("whole, and behind", stoatroute.Gone, stoatroute.Serving)
	m.tell(false, false, told(2, "i-2", 3, stoatroute.Gone))
	m.want("says that one ended which is known to serve", stoatroute.Gone, stoatroute.Serving)
	m.tell(false, false, told(1, "i-1", 9, stoatroute.Serving))
	m.want("a later registration", stoatroute.Serving, stoatroute.Serving)
}

// Somebody is told only what changed since: each change counts once, the declaration apart.
func TestSince(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(declaration(1, "app"), 1)
	b.Register(start, registration(1, "i-1"), 2)
	b.Register(start, registration(2, "i-2"), 3)
	first := b.Table()
	if len(first.UpstreamsSince(0)) != 2 || len(first.UpstreamsSince(first.ChangeSeq)) != 0 || first.DeclarationSeq == 0 {
		t.Error(len(first.UpstreamsSince(0)), len(first.UpstreamsSince(first.ChangeSeq)), first.DeclarationSeq)
	}
	b.MarkGone(start, "i-1", 9)
	second := b.Table()
	if list := second.UpstreamsSince(first.ChangeSeq); len(list) != 1 || list[0].ID != "i-1" || list[0].State != stoatroute.Gone {
		t.Error(len(list))
	}
	if second.DeclarationSeq != first.DeclarationSeq {
		t.Error("the declaration did not change")
	}
}
