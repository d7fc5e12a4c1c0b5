package stoatroute_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// The platform confirmed that an upstream is leaving, and was then restored from a copy made just before, in
// which the upstream is ready. The upstream ends soon and repeats the announcement only with its next
// heartbeat. Until then it must get no new flow, not even from an entry whose parent started after the restore
// and knows only the copy. The same holds for an upstream that had already ended.
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
		if got := stateOf(t, b, "i-1"); got != stoatroute.Leaving {
			t.Error(ended, "state after the restored copy was read:", got)
		}
		b.Mirror(start, stoatroute.RemoteUpdate{Upstreams: []stoatroute.RemoteUpstream{{Registration: ready, Revision: 24}}, Complete: true, UpToDate: true})
		if got := stateOf(t, b, "i-1"); got != stoatroute.Leaving {
			t.Error(ended, "state after the report of another entry:", got)
		}
		if u, _ := b.Lookup("i-1"); u.AcceptsFlows() {
			t.Error(ended, "the upstream takes new flows")
		}
		// After a restart under its id the upstream is a new incarnation, which is not leaving.
		again := ready
		again.Incarnation = 7
		if got := b.Register(start, again, 32); got != stoatroute.Restarted || stateOf(t, b, "i-1") != stoatroute.Serving {
			t.Error(ended, "the next incarnation:", got, stateOf(t, b, "i-1"))
		}
	}
}

// Another writer overwrote an upstream's registration, and the platform was restored from a copy made before
// that. The registration in the copy is valid and must be used.
func TestInvalidRegistrationObjectBeforeRestore(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.BeginEra(start, 1)
	b.Register(start, registration(1, "i-1"), 20)
	b.MarkInvalid(start, "i-1", 0, 30)
	b.BeginEra(start, 2)
	b.Register(start, registration(1, "i-1"), 20)
	if got := stateOf(t, b, "i-1"); got != stoatroute.Serving {
		t.Error(got)
	}
}

// Revisions of two eras must not be compared. What the restored copy has counts as later than what was known,
// whatever its revision, and configurations are ordered by their versions.
func TestRevisionsAfterARestore(t *testing.T) {
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.BeginEra(start, 1)
	b.ApplyDeclaration(declaration(7, "app"), 40)
	b.Register(start, registration(1, "i-1"), 41)
	b.BeginEra(start, 2)
	if b.ApplyDeclaration(declaration(6, "old"), 12) || !b.ApplyDeclaration(declaration(8, "app"), 13) {
		t.Error("the restored copy reverted the configuration, or the next one is ignored")
	}
	leaving := registration(1, "i-1")
	leaving.Leaving = true
	if got := b.Register(start, leaving, 14); got != stoatroute.Changed {
		t.Error(got)
	}
	if table := b.Table(); table.Era != stoatpaddle.Era(2) || table.Revision != 13 {
		t.Error(table.Era, table.Revision)
	}
}
