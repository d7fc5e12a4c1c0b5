package stoatroute_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// An upstream said that it leaves, the store confirmed that, and came back from a copy made just before:
// there the upstream is ready. It ends soon, and writes again that it leaves only with its next
// heartbeat. Until then it must get no new flow, also at an entry that is told by one which started
// after the restore and knows the copy alone. So it is with one that had left already.
func TestLeavingOutlivesARestore(t *testing.T) {
	ready := registration(1, "i-1")
	ready.Incarnation = 3
	for _, ended := range []bool{false, true} {
		b := stoatroute.NewBuilder(stoatroute.Config{GracePeriod: 2 * time.Second})
		b.BeginEra(start, 1)
		b.Register(start, ready, 20)
		leaving := ready
		leaving.Leaving = true
		b.Register(start, leaving, 30)
		if ended {
			b.MarkGone(start, "i-1", 31)
		}
		b.BeginEra(start, 2)
		b.Register(start, ready, 20)
		if got := standingOf(t, b, "i-1"); got != stoatroute.Leaving {
			t.Error(ended, "the copy made it", got)
		}
		b.Mirror(start, stoatroute.RemoteUpdate{Upstreams: []stoatroute.RemoteUpstream{{Registration: ready, Revision: 24}}, Complete: true, UpToDate: true})
		if got := standingOf(t, b, "i-1"); got != stoatroute.Leaving {
			t.Error(ended, "another entry made it", got)
		}
		if u, _ := b.Lookup("i-1"); u.AcceptsFlows() {
			t.Error(ended, "it takes new flows")
		}
		// A start under its id is another life, which does not leave.
		again := ready
		again.Incarnation = 7
		if got := b.Register(start, again, 32); got != stoatroute.Restarted || standingOf(t, b, "i-1") != stoatroute.Serving {
			t.Error(ended, "the life after it:", got, standingOf(t, b, "i-1"))
		}
	}
}

// Another writer had spoilt an upstream's entry, and the copy is of before that. The entry is a good one.
func TestSpoiltEntryBeforeARestore(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.BeginEra(start, 1)
	b.Register(start, registration(1, "i-1"), 20)
	b.MarkInvalid(start, "i-1", 0, 30)
	b.BeginEra(start, 2)
	b.Register(start, registration(1, "i-1"), 20)
	if got := standingOf(t, b, "i-1"); got != stoatroute.Serving {
		t.Error(got)
	}
}

// Revisions of two eras are not compared: what the copy has is later than what was known, whatever its
// number, and a configuration is as late as its version.
func TestRevisionsAfterARestore(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.BeginEra(start, 1)
	b.ApplyDeclaration(declaration(7, "app"), 40)
	b.Register(start, registration(1, "i-1"), 41)
	b.BeginEra(start, 2)
	if b.ApplyDeclaration(declaration(6, "old"), 12) || !b.ApplyDeclaration(declaration(8, "app"), 13) {
		t.Error("the copy reverted the configuration, or the next one is refused")
	}
	leaving := registration(1, "i-1")
	leaving.Leaving = true
	if got := b.Register(start, leaving, 14); got != stoatroute.Changed {
		t.Error(got)
	}
	if h := b.Table(); h.Era != stoatpaddle.Era(2) || h.Revision != 13 {
		t.Error(h.Era, h.Revision)
	}
}
