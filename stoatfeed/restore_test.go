package stoatfeed_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

func position(era stoatpaddle.Era, rev stoatpaddle.Version) stoatpaddle.Position {
	return stoatpaddle.Position{Era: era, Revision: rev}
}

// inEra returns a feed that has completed its first list, as of revision 10 of era 1.
func inEra(t *testing.T, stale bool) *stoatfeed.Feed {
	t.Helper()
	f := newFeed(stale)
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: position(1, 10)}); !v.Complete || v.AfterOutage || f.Position() != position(1, 10) {
		t.Fatalf("%+v %s", v, f.Position())
	}
	if c := f.Next(); c.List {
		t.Fatalf("the first era is taken for a restore: %+v", c)
	}
	return f
}

// The platform was restored and its revisions have already passed the one that this entry knows, so that a
// watch from there is answered. Changes of the new era with lower revisions would never be read. A list must
// follow instead, and objects that it lacks may have been lost in the restore.
func TestWatchOverARestore(t *testing.T) {
	for name, r := range map[string]stoatfeed.Result{
		"answered":  {AsOf: position(2, 14), Changes: 2},
		"forgotten": {Outcome: stoatfeed.HistoryGone, AsOf: position(2, 0)},
	} {
		f := inEra(t, true)
		if v := f.Done(start, start, f.Next(), r); v.Apply || v.Current {
			t.Errorf("%s: applied: %+v", name, v)
		}
		c := f.Next()
		if !c.List || c.After != "" || c.AllowStale {
			t.Errorf("%s: no list: %+v", name, c)
		}
		if v := f.Done(start, start, c, stoatfeed.Result{AsOf: position(2, 7)}); !v.Complete || !v.AfterOutage || !v.Current || f.Position() != position(2, 7) {
			t.Errorf("%s: %+v %s", name, v, f.Position())
		}
		if c = f.Next(); c.List || c.From != 7 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// The platform is restored between two pages of a list. The pages belong to different eras, so the list
// must start again.
func TestListOverARestore(t *testing.T) {
	f := newFeed(false)
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: position(1, 10), More: true, Last: "m"})
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: position(2, 11)}); v.Apply || v.Complete {
		t.Errorf("%+v", v)
	}
	if c := f.Next(); !c.List || c.After != "" {
		t.Errorf("%+v", c)
	}
}

// A replica does not know of the restore yet. Its revisions are higher than those of the new era, but older,
// and must not be applied.
func TestReplicaOfAnEarlierEra(t *testing.T) {
	f := inEra(t, true)
	f.BeginEra(2)
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: position(2, 7)})
	c := f.Next()
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: position(1, 40), Changes: 1}); !c.AllowStale || v.Apply || !v.Outdated || f.Position() != position(2, 7) {
		t.Errorf("%+v %s", v, f.Position())
	}
	if c = f.Next(); c.AllowStale || c.List {
		t.Errorf("the platform itself is not called: %+v", c)
	}
	// An answer without an era, for example through a proxy that drops headers, belongs to the known era.
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: revision(9)}); !v.Apply || f.Position() != position(2, 9) {
		t.Errorf("%+v %s", v, f.Position())
	}
}

// An entry that may have lost contact with the platform reports a restore. The feed must not watch from its
// position without a list of its own. The position of an entry that is in contact with the platform and
// knows the new era takes the place of that list.
func TestRestoreReportedByAnotherEntry(t *testing.T) {
	f := inEra(t, true)
	f.Advance(position(2, 7))
	if c := f.Next(); !c.List {
		t.Errorf("%+v", c)
	}
	f.Adopt(position(1, 30))
	if c := f.Next(); !c.List {
		t.Errorf("a position from before the restore takes the place of a list: %+v", c)
	}
	f.Adopt(position(2, 8))
	if c := f.Next(); c.List || c.From != 8 {
		t.Errorf("%+v", c)
	}
}

// Lists and watches stay older than what is known, although none of them comes from a replica. Entries used
// to repeat the call as soon as an answer was discarded, 150 to 220 times a second each, so that ten entries
// used up the platform's whole rate. They must call a few times a second, and never a replica.
func TestOutdatedAnswersAreFollowedByPauses(t *testing.T) {
	for name, list := range map[string]bool{"lists": true, "watches": false} {
		f := inEra(t, true)
		if list {
			f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.HistoryGone})
		}
		var passed time.Duration
		for n := range 30 {
			c := f.Next()
			if c.List != list || n > 0 && c.AllowStale {
				t.Fatalf("%s: %+v", name, c)
			}
			if n == 1 && c.Pause > 0 {
				t.Errorf("%s: the call is not repeated at once after an outdated answer of a replica", name)
			}
			passed += c.Pause
			f.Done(start, start, c, stoatfeed.Result{AsOf: position(1, 7)})
		}
		if passed < 5*time.Second {
			t.Errorf("%s: 30 calls within %s", name, passed)
		}
		f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: position(1, 12)})
		if c := f.Next(); c.Pause > 0 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// A replica has not yet reached the revision from which it should watch, and answers as if that history were
// gone. The list that follows comes from the platform itself, and the replica still lacks its revision.
// The second time the platform itself must be watched, and lists must not follow each other without a pause.
func TestReplicaWithoutTheRevision(t *testing.T) {
	f := inEra(t, true)
	var lists int
	var passed time.Duration
	for n := range 20 {
		c := f.Next()
		passed += c.Pause
		switch {
		case c.List:
			lists++
			f.Done(start, start, c, stoatfeed.Result{AsOf: position(1, 10)})
		case c.AllowStale:
			f.Done(start, start, c, stoatfeed.Result{Outcome: stoatfeed.HistoryGone, AsOf: position(1, 0)})
		case lists != 2:
			t.Fatalf("the platform itself is watched after %d lists, call %d", lists, n)
		default:
			if passed == 0 {
				t.Error("no pause before it")
			}
			return
		}
	}
	t.Error("the platform itself is never watched")
}
