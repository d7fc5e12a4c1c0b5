package stoatroute_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

var (
	home = netip.MustParseAddrPort("10.1.0.1:80")
	away = netip.MustParseAddrPort("10.1.0.2:80")
)

// life is a registration of the upstream i-1 in one incarnation.
func life(born stoatpaddle.Incarnation, change func(r *stoatpaddle.Registration)) stoatpaddle.Registration {
	r := registration(1, "i-1")
	r.Incarnation, r.Addr = born, home
	if change != nil {
		change(&r)
	}
	return r
}

func cold(r *stoatpaddle.Registration)    { r.Cold = 3 * time.Second }
func leaving(r *stoatpaddle.Registration) { r.Leaving = true }
func moved(r *stoatpaddle.Registration)   { r.Addr = away }
func retired(r *stoatpaddle.Registration) { r.Service = "intake" }

// A server starts again under its id, and writes over its entry. What it says then, what an
// earlier life says late, and what no server can have said must be told apart: a cold server
// would get a warm one's load, a live one would look dead, and packets would go elsewhere.
func TestLives(t *testing.T) {
	type step struct {
		r    stoatpaddle.Registration
		rev  stoatpaddle.Version
		want stoatroute.Outcome
	}
	for name, c := range map[string]struct {
		steps []step
		want  stoatpaddle.Registration // in the end
		is    stoatroute.State
	}{
		"restart, cold":               {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(6, cold), 3, stoatroute.Restarted}}, life(6, cold), stoatroute.Serving},
		"restart at another address":  {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(6, moved), 3, stoatroute.Restarted}}, life(6, moved), stoatroute.Serving},
		"restart for another service": {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(6, retired), 3, stoatroute.Restarted}}, life(6, retired), stoatroute.Serving},
		"restart after leaving":       {[]step{{life(5, leaving), 2, stoatroute.Changed}, {life(6, nil), 3, stoatroute.Restarted}}, life(6, nil), stoatroute.Serving},
		"twice within one heartbeat":  {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(6, nil), 3, stoatroute.Restarted}, {life(7, cold), 4, stoatroute.Restarted}}, life(7, cold), stoatroute.Serving},
		"a late writer":               {[]step{{life(6, nil), 3, stoatroute.Changed}, {life(5, leaving), 9, stoatroute.Outdated}}, life(6, nil), stoatroute.Serving},
		"a lagging replica":           {[]step{{life(6, nil), 3, stoatroute.Changed}, {life(5, nil), 2, stoatroute.Unchanged}}, life(6, nil), stoatroute.Serving},
		"the live one after a late":   {[]step{{life(6, nil), 3, stoatroute.Changed}, {life(5, nil), 9, stoatroute.Outdated}, {life(6, leaving), 10, stoatroute.Changed}}, life(6, leaving), stoatroute.Leaving},
		"one life at two addresses":   {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(5, moved), 3, stoatroute.Contradicted}}, life(5, leaving), stoatroute.Leaving},
		"one life of two services":    {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(5, retired), 3, stoatroute.Contradicted}}, life(5, leaving), stoatroute.Leaving},
		"the field is missing":        {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(0, nil), 3, stoatroute.Contradicted}}, life(5, leaving), stoatroute.Leaving},
		"good again":                  {[]step{{life(5, nil), 2, stoatroute.Changed}, {life(5, moved), 3, stoatroute.Contradicted}, {life(5, nil), 4, stoatroute.Changed}}, life(5, nil), stoatroute.Serving},
		"the field appears":           {[]step{{life(0, nil), 2, stoatroute.Changed}, {life(5, nil), 3, stoatroute.Unchanged}}, life(5, nil), stoatroute.Serving},
		"no field, and moved":         {[]step{{life(0, nil), 2, stoatroute.Changed}, {life(0, moved), 3, stoatroute.Restarted}}, life(0, moved), stoatroute.Serving},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := stoatroute.NewBuilder(stoatroute.Config{}), start
			for i, s := range c.steps {
				now = now.Add(10 * time.Second)
				if got := b.Register(now, s.r, s.rev); got != s.want {
					t.Errorf("step %d: %s, expected %s", i, got, s.want)
				}
			}
			u, _ := b.Lookup("i-1")
			if u.Registration != c.want || u.State != c.is {
				t.Errorf("%+v", u)
			}
			if isCold := now.Before(u.WarmAt); isCold != (c.want.Cold > 0) || u.StartedCold != isCold {
				t.Error("cold:", isCold, u.StartedCold)
			}
		})
	}
}

// A server crashes and is back before anything removed its entry, or after; in an outage of the
// platform; and the entry learns of it by a list after a gap. Each time the later life is new.
func TestRestartAfterTheEnd(t *testing.T) {
	for name, end := range map[string]func(b *stoatroute.Builder){
		"removed": func(b *stoatroute.Builder) { b.MarkGone(start, "i-1", 3) },
		"lapsed":  func(b *stoatroute.Builder) { b.MarkMissing(start, "i-1", 3) },
		"a gap":   func(b *stoatroute.Builder) { b.ApplyList(start, nil, false) },
		"outage":  func(b *stoatroute.Builder) { b.ApplyList(start, nil, true) },
	} {
		b := stoatroute.NewBuilder(stoatroute.Config{})
		b.Register(start, life(5, nil), 2)
		end(b)
		if got := b.Register(start.Add(time.Second), life(5, leaving), 1); got != stoatroute.Unchanged {
			t.Error(name, got)
		}
		if got := b.Register(start.Add(time.Second), life(6, cold), 9); got != stoatroute.Restarted {
			t.Error(name, got)
		}
		u, _ := b.Lookup("i-1")
		if u.State != stoatroute.Serving || !u.EndedAt.IsZero() || !u.StartedCold {
			t.Errorf("%s: %+v", name, u)
		}
	}
}

// Somebody writes over the entry of a server that lives. Its open flows go on, it gets no new
// ones, also while the platform is away, and the server's next own write makes it good.
func TestSpoiltEntry(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(declaration(1, "app"), 1)
	b.Register(start, life(5, nil), 2)
	if b.MarkInvalid(start, "i-1", 0, 2) || b.MarkInvalid(start, "i-2", 0, 7) || !b.MarkInvalid(start, "i-1", 0, 3) || b.MarkInvalid(start, "i-1", 0, 4) {
		t.Error("not news, or news twice")
	}
	u, _ := b.Lookup("i-1")
	if u.State != stoatroute.Leaving || u.Addr != home || len(b.Table().Candidates("app")) != 0 || b.Table().Upstream(u.Key) == nil {
		t.Errorf("%+v", u)
	}
	b.ApplyList(start, nil, true)
	if u, _ = b.Lookup("i-1"); u.AcceptsFlows() {
		t.Error("it takes new flows once the platform is away")
	}
	if got := b.Register(start, life(5, nil), 5); got != stoatroute.Changed || len(b.Table().Candidates("app")) != 1 {
		t.Error(got, "a good entry does not help")
	}
	b.MarkGone(start, "i-1", 6)
	if b.MarkInvalid(start, "i-1", 0, 7) {
		t.Error("one that is gone came back")
	}
}

// A parent tells of lives. One that is behind tells of the earlier one; what it says must not
// bring that back, and what a child knows of the earlier one ends with the later.
func TestLivesAreMirrored(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.Register(start, life(5, nil), 2)
	say := func(r stoatpaddle.Registration, rev stoatpaddle.Version) []stoatpaddle.UpstreamID {
		return b.Mirror(start.Add(time.Minute), stoatroute.RemoteUpdate{Upstreams: []stoatroute.RemoteUpstream{{Registration: r, Revision: rev}}, UpToDate: true})
	}
	if got := say(life(6, cold), 3); len(got) != 1 {
		t.Error(got)
	}
	u, _ := b.Lookup("i-1")
	if u.Incarnation != 6 || !u.StartedCold || !u.WarmAt.Equal(start.Add(time.Minute+3*time.Second)) {
		t.Errorf("%+v", u)
	}
	if got := say(life(5, leaving), 9); len(got) != 0 {
		t.Error("the earlier life is back")
	}
	if u, _ = b.Lookup("i-1"); u.Incarnation != 6 || u.State != stoatroute.Serving {
		t.Errorf("%+v", u)
	}
}
