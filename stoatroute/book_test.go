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
	return stoatpaddle.Registration{ID: id, Target: target, Service: "app", Slots: 3, Born: stoatpaddle.Version(target)}
}

func standingOf(t *testing.T, b *stoatroute.Book, id stoatpaddle.UpstreamID) stoatroute.Standing {
	t.Helper()
	u, ok := b.Registered(id)
	if !ok {
		t.Fatal(id, "is not known")
	}
	return u.Standing
}

// A neighbour that was cut off, or a replica, brings an older configuration after a newer
// one. What is in force must not revert: callers would find a removed route back.
func TestConfigurationNeverReverts(t *testing.T) {
	b := stoatroute.NewBook(stoatroute.Config{})
	if !b.Declare(declaration(7, "app"), 40) || b.Declare(declaration(5, "old"), 30) || b.Declare(declaration(5, "old"), 41) || b.Declare(declaration(8, "old"), 39) {
		t.Error("an older configuration was adopted, or a newer one not")
	}
	if got := b.Table().Declaration.Version; got != 7 {
		t.Error(got)
	}
}

// A route moves to another service while flows are open at the one before. They go on: the
// route still vouches for cookies of that service. A service it never had is another matter.
func TestRouteRemembersItsServices(t *testing.T) {
	b := stoatroute.NewBook(stoatroute.Config{})
	b.Declare(declaration(1, "old"), 1)
	b.Declare(declaration(2, "app"), 2)
	r := b.Table().Route(listen)
	if !r.Had("old") || !r.Had("app") || r.Had("other") {
		t.Error("old", r.Had("old"), "app", r.Had("app"), "other", r.Had("other"))
	}
	b.Declare(stoatpaddle.Declaration{Version: 3}, 3)
	if b.Table().Route(listen) != nil {
		t.Error("a removed route is still there")
	}
}

// The platform was away and the upstreams' registrations lapsed; all of them serve. The
// first list after it is empty. If they counted as gone, every open flow would be reset and
// no new one placed, until they are back two seconds later. One never comes back: it is gone.
func TestLapsedRegistrations(t *testing.T) {
	b := stoatroute.NewBook(stoatroute.Config{Return: 2 * time.Second})
	b.Declare(declaration(1, "app"), 1)
	b.Register(start, registration(1, "i-1"), 2)
	b.Register(start, registration(2, "i-2"), 3)
	lost := b.Listed(start, map[stoatpaddle.UpstreamID]bool{}, true)
	if !slices.Equal(lost, []stoatpaddle.UpstreamID{"i-1", "i-2"}) || len(b.Table().Service("app")) != 2 {
		t.Fatal(lost, len(b.Table().Service("app")))
	}
	b.Register(start.Add(time.Second), registration(1, "i-1"), 9)
	ended := b.Expire(start.Add(2 * time.Second))
	if !slices.Equal(ended, []stoatpaddle.UpstreamID{"i-2"}) {
		t.Error(ended)
	}
	if standingOf(t, b, "i-1") != stoatroute.Serving || standingOf(t, b, "i-2") != stoatroute.Gone {
		t.Error(standingOf(t, b, "i-1"), standingOf(t, b, "i-2"))
	}
	if u := b.Table().Upstream(stoatroute.KeyOf(2)); u == nil || u.Standing != stoatroute.Gone {
		t.Error("flows at the upstream that ended cannot be told so", u)
	}
}

// The platform goes away again before the lapsed ones could register. Their time to come
// back counts from its next return.
func TestLapsedTwice(t *testing.T) {
	b := stoatroute.NewBook(stoatroute.Config{Return: 2 * time.Second})
	b.Register(start, registration(1, "i-1"), 2)
	b.Listed(start, map[stoatpaddle.UpstreamID]bool{}, true)
	b.Hold(start.Add(1900 * time.Millisecond))
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
	b := stoatroute.NewBook(stoatroute.Config{Keep: time.Minute})
	b.Register(start, registration(1, "i-1"), 2)
	if !b.Remove(start, "i-1", 5) || b.Remove(start, "i-1", 6) {
		t.Error("said twice, or never")
	}
	if len(b.Table().Service("app")) != 0 || b.Table().Upstream(stoatroute.KeyOf(1)) == nil {
		t.Error("gone but not known as such")
	}
	b.Expire(start.Add(time.Minute))
	if b.Table().Upstream(stoatroute.KeyOf(1)) != nil {
		t.Error("never forgotten")
	}
}

// An upstream leaves. Its last words must not be taken back by an older copy of its entry.
func TestLeavingUpstream(t *testing.T) {
	b := stoatroute.NewBook(stoatroute.Config{})
	b.Register(start, registration(1, "i-1"), 2)
	leaving := registration(1, "i-1")
	leaving.Leaving = true
	if !b.Register(start, leaving, 4) || b.Register(start, registration(1, "i-1"), 3) {
		t.Error("an older entry was taken in")
	}
	if standingOf(t, b, "i-1") != stoatroute.Leaving || len(b.Table().Service("app")) != 0 {
		t.Error("a leaving upstream takes flows")
	}
	b.Listed(start, nil, true)
	if len(b.Table().Service("app")) != 0 {
		t.Error("a leaving upstream takes flows because its registration lapsed")
	}
}

// Two upstreams whose targets differ in more than 32 bits share a cookie. The first keeps
// its flows, whatever the order in which an entry hears of them; the second gets none.
func TestSharedCookie(t *testing.T) {
	first, second := registration(0x7f00000001, "i-7f00000001"), registration(0x7e00000000, "i-7e00000000")
	first.Born, second.Born = 5, 6
	if stoatroute.KeyOf(first.Target) != stoatroute.KeyOf(second.Target) {
		t.Fatal("they do not share one")
	}
	for _, order := range [][]stoatpaddle.Registration{{first, second}, {second, first}} {
		b := stoatroute.NewBook(stoatroute.Config{})
		for i, r := range order {
			b.Register(start, r, stoatpaddle.Version(i+1))
		}
		list := b.Table().Service("app")
		if len(list) != 1 || list[0].ID != first.ID {
			t.Error(len(list))
		}
		if holder, ok := b.Clash(second.ID); !ok || holder != first.ID {
			t.Error(holder, ok)
		}
		if _, ok := b.Clash(first.ID); ok {
			t.Error("the holder is reported")
		}
	}
}

// An entry that starts while the platform is away serves what a neighbour tells, but takes
// it for no proof that anything is gone.
func TestNeighbourIsNoProof(t *testing.T) {
	b := stoatroute.NewBook(stoatroute.Config{})
	b.Neighbour()
	if b.Table().Ready() {
		t.Error("ready with nothing")
	}
	b.Declare(declaration(1, "app"), 1)
	b.Register(start, registration(1, "i-1"), 2)
	b.Neighbour()
	if table := b.Table(); !table.Ready() || !table.Proven.IsZero() {
		t.Error(table.Ready(), table.Proven)
	}
	if h := b.Table(); len(h.Upstreams()) != 1 || !h.Declared || h.Revision != 1 {
		t.Errorf("%+v", h)
	}
}
