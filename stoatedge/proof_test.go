package stoatedge

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// following returns a session that serves and whose seed proved revision 10.
func following(t *testing.T) *session {
	s := newSession(t)
	s.step(rebound{apply: 3 * time.Second, back: 2 * time.Second, life: time.Minute, follow: true})
	s.answer(declarations, 10, declared(1, 5))
	s.answer(upstreams, 10, registered("i-1", 1, 6), registered("i-2", 2, 7))
	s.step(shown{from: "seed", rev: 10, age: 500 * ms})
	s.pass(2 * time.Second)
	s.answer(declarations, 10)
	return s
}

// Twelve entries, and a store that takes eight reads a second. One that a seed tells asks
// replicas only; its view counts as proven when the seed's question was sent.
func TestFollowerAsksReplicas(t *testing.T) {
	s := following(t)
	if c := s.calls[declarations]; !c.Stale || c.Wait < time.Second {
		t.Errorf("%+v", c)
	}
	s.step(shown{from: "seed", rev: 10, age: 100 * ms})
	if want := s.now.Add(-100 * ms); !s.table.Proven.Equal(want) {
		t.Error(s.table.Proven.Sub(want))
	}
	if s.events[EventFollows.Number] != 1 {
		t.Error(s.events)
	}
}

// The replicas lag and the configuration changes. The seed's next proof shows a later
// revision: the replicas are asked once more, then the platform itself, both topics.
func TestFollowerFindsOutLag(t *testing.T) {
	s := following(t)
	s.step(shown{from: "seed", rev: 20, age: 100 * ms})
	s.pass(200 * ms)
	for _, topic := range []topic{declarations, upstreams} {
		if c := s.calls[topic]; !c.Stale || c.Wait > ms {
			t.Fatalf("%s: the replica is not hurried: %+v", topic, c)
		}
		s.answer(topic, 10)
		if c := s.calls[topic]; c.Stale || c.Wait > ms {
			t.Fatalf("%s: the platform itself is not asked: %+v", topic, c)
		}
	}
	s.answer(declarations, 21, declared(2, 20))
	s.answer(upstreams, 21)
	if s.table.Declaration.Version != 2 {
		t.Error(s.table.Declaration.Version)
	}
	if c := s.calls[declarations]; !c.Stale {
		t.Errorf("%+v", c)
	}
}

// The seeds fall silent, or are cut off from the platform and show an old proof. After two
// failures the entry asks the platform exactly by itself, at once; when a seed tells again,
// it follows again.
func TestSeedsLost(t *testing.T) {
	s := following(t)
	s.step(shown{from: "seed", cause: &stoatpaddle.UnavailableError{Op: "proof"}})
	if !s.calls[declarations].Stale {
		t.Error("one failure is no loss")
	}
	s.step(shown{from: "other", rev: 10, age: 4 * time.Second})
	if c := s.calls[declarations]; c.Stale {
		t.Errorf("%+v", c)
	}
	if s.events[EventFollowsNobody.Number] != 1 {
		t.Error(s.events)
	}
	s.step(shown{from: "seed", rev: 10})
	s.pass(2 * time.Second)
	s.answer(declarations, 10)
	if !s.calls[declarations].Stale {
		t.Error("it does not follow again")
	}
}

// A follower's own view is behind its seed's and never matches: nothing counts as proven, so
// that no cookie is taken for gone.
func TestUnmatchedProofProvesNothing(t *testing.T) {
	s := following(t)
	was := s.table.Proven
	s.step(shown{from: "seed", rev: 20})
	s.pass(time.Second)
	if !s.table.Proven.Equal(was) {
		t.Error(s.table.Proven.Sub(was))
	}
	if u := s.table.Upstream(stoatroute.KeyOf(1)); u == nil || u.Standing != stoatroute.Serving {
		t.Error(u)
	}
}

// The settings change and name no seeds any more: the entry asks exactly by itself.
func TestSeedsTakenAway(t *testing.T) {
	s := following(t)
	s.step(rebound{apply: 3 * time.Second, back: 2 * time.Second, life: time.Minute})
	if s.calls[declarations].Stale {
		t.Error("it asks replicas, and nobody proves")
	}
	s.step(shown{from: "seed", rev: 10})
	if s.calls[declarations].Stale {
		t.Error("a late answer of a seed is followed")
	}
}

// Followers wait for the next proof and get it as soon as there is one.
func TestBoard(t *testing.T) {
	b := newBoard()
	_, sent, next := b.read()
	if !sent.IsZero() {
		t.Error(sent)
	}
	b.post(7, time.Unix(1000, 0))
	select {
	case <-next:
	default:
		t.Error("nobody is told")
	}
	if rev, sent, _ := b.read(); rev != 7 || !sent.Equal(time.Unix(1000, 0)) {
		t.Error(rev, sent)
	}
}
