package stoatroute

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle"
)

// The seed is fixed, so that a failing run can be repeated.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// rebuilt returns the upstreams and the services of a table, computed from all records without shards.
func rebuilt(b *Builder) (map[stoatpaddle.UpstreamKey]Upstream, map[stoatpaddle.ServiceID][]stoatpaddle.UpstreamID) {
	byKey := map[stoatpaddle.UpstreamKey]Upstream{}
	for _, rec := range b.records {
		u := *rec.up
		u.MaxFlows, u.ColdRate = b.decl.MaxFlows[u.Service], b.decl.ColdRates[u.Service]
		if other, taken := byKey[u.Key]; !taken || registeredFirst(&u, &other) {
			byKey[u.Key] = u
		}
	}
	var open []Upstream
	for _, u := range byKey {
		if u.AcceptsFlows() {
			open = append(open, u)
		}
	}
	slices.SortFunc(open, func(x, y Upstream) int { return cmp.Compare(x.Key, y.Key) })
	services := map[stoatpaddle.ServiceID][]stoatpaddle.UpstreamID{}
	for _, u := range open {
		services[u.Service] = append(services[u.Service], u.ID)
	}
	return byKey, services
}

// compareWithRebuilt checks that the next table equals what rebuilt returns.
func compareWithRebuilt(t *rapid.T, b *Builder) {
	table := b.Table()
	byKey, services := rebuilt(b)
	found := 0
	table.forEach(func(u *Upstream) {
		found++
		if want := byKey[u.Key]; *u != want {
			t.Fatalf("%+v, expected %+v", *u, want)
		}
	})
	if found != len(byKey) || len(table.Services()) != len(services) {
		t.Fatalf("%d upstreams and %d services, expected %d and %d", found, len(table.Services()), len(byKey), len(services))
	}
	for id, want := range services {
		var got []stoatpaddle.UpstreamID
		for _, u := range table.Candidates(id) {
			got = append(got, u.ID)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("service %s: %v, expected %v", id, got, want)
		}
	}
	if known := len(table.UpstreamsSince(0)); known != len(b.records) {
		t.Fatalf("UpstreamsSince returns %d upstreams, expected %d", known, len(b.records))
	}
}

// Upstreams register, end, lapse, restart, share a key, are mirrored, are forgotten, or the platform is
// restored. After any such history, a table that shares shards with the last one must equal a table that is
// built from all records, and earlier tables must not change.
func TestShardedTableEqualsRebuiltTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBuilder(Config{Retention: 10 * time.Second, GracePeriod: 2 * time.Second})
		now := time.Unix(1000, 0)
		revision := stoatpaddle.Version(0)
		era := stoatpaddle.Era(1)
		b.BeginEra(now, era)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(1, 6).Draw(t, "upstream")
			id := stoatpaddle.UpstreamID(fmt.Sprint("i-", n))
			// The targets of upstreams 5 and 6 have the same key.
			target := stoatpaddle.TargetID(n)
			if n == 6 {
				target = stoatpaddle.TargetID(1)<<32 | 4
			}
			revision++
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			r := stoatpaddle.Registration{
				ID: id, Target: target, Slots: 3, CreateRevision: revision, Service: stoatpaddle.ServiceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")),
				Leaving: rapid.Bool().Draw(t, "leaving"), Incarnation: stoatpaddle.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			}
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0, 1, 2:
				b.Register(now, r, revision)
			case 3:
				b.MarkGone(now, id, revision)
			case 4:
				b.MarkMissing(now, id, revision)
			case 5:
				b.Expire(now)
			case 6:
				b.Mirror(now, RemoteUpdate{Upstreams: []RemoteUpstream{{Registration: r, Revision: revision, State: State(rapid.IntRange(0, 3).Draw(t, "state"))}}, UpToDate: true})
			case 7:
				b.ApplyDeclaration(stoatpaddle.Declaration{Version: revision, MaxFlows: map[stoatpaddle.ServiceID]int{"a": int(revision) % 3}}, revision)
			case 8:
				era++
				b.BeginEra(now, era)
			}
			if rapid.Bool().Draw(t, "look") {
				before := b.Table()
				was := make(map[*Upstream]Upstream)
				before.forEach(func(u *Upstream) { was[u] = *u })
				compareWithRebuilt(t, b)
				for u, value := range was {
					if *u != value {
						t.Fatal("an upstream of an earlier table changed")
					}
				}
			}
		}
		compareWithRebuilt(t, b)
	})
}
