package stoatfeed_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
)

func in(era stoatpaddle.Era, rev stoatpaddle.Version) stoatpaddle.Position {
	return stoatpaddle.Position{Era: era, Revision: rev}
}

// inEra returns a feed that has its first list, as of revision 10 of era 1.
func inEra(t *testing.T, stale bool) *stoatfeed.Feed {
	t.Helper()
	f := newFeed(stale)
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: in(1, 10)}); !v.Complete || v.AfterOutage || f.Position() != in(1, 10) {
		t.Fatalf("%+v %s", v, f.Position())
	}
	if c := f.Next(); c.List {
		t.Fatalf("a first era is taken for a restore: %+v", c)
	}
	return f
}

// The platform was restored and has counted beyond the revision that is known here, so that the watch
// from there is answered. What was written under the revisions below it would never be read: a list
// follows, and what it lacks may have been lost with the copy.
func TestWatchOverARestore(t *testing.T) {
	for name, r := range map[string]stoatfeed.Result{
		"answered":  {AsOf: in(2, 14), Changes: 2},
		"forgotten": {Outcome: stoatfeed.Forgotten, AsOf: in(2, 0)},
	} {
		f := inEra(t, true)
		if v := f.Done(start, start, f.Next(), r); v.Apply || v.Current {
			t.Errorf("%s: taken in: %+v", name, v)
		}
		c := f.Next()
		if !c.List || c.After != "" || c.AllowStale {
			t.Errorf("%s: no list: %+v", name, c)
		}
		if v := f.Done(start, start, c, stoatfeed.Result{AsOf: in(2, 7)}); !v.Complete || !v.AfterOutage || !v.Current || f.Position() != in(2, 7) {
			t.Errorf("%s: %+v %s", name, v, f.Position())
		}
		if c = f.Next(); c.List || c.From != 7 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// The platform is restored between two pages of a list. The first page is of another history than the
// second: the list begins anew.
func TestListOverARestore(t *testing.T) {
	f := newFeed(false)
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: in(1, 10), More: true, Last: "m"})
	if v := f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: in(2, 11)}); v.Apply || v.Complete {
		t.Errorf("%+v", v)
	}
	if c := f.Next(); !c.List || c.After != "" {
		t.Errorf("%+v", c)
	}
}

// A replica has not heard of the restore. Its revisions are higher than those of the new era, and older.
func TestReplicaOfAnEarlierEra(t *testing.T) {
	f := inEra(t, true)
	f.BeginEra(2)
	f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: in(2, 7)})
	c := f.Next()
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: in(1, 40), Changes: 1}); !c.AllowStale || v.Apply || !v.Outdated || f.Position() != in(2, 7) {
		t.Errorf("%+v %s", v, f.Position())
	}
	if c = f.Next(); c.AllowStale || c.List {
		t.Errorf("the platform itself is not asked: %+v", c)
	}
	// An answer that says no era, as through something that drops headers, is of the era that is known.
	if v := f.Done(start, start, c, stoatfeed.Result{AsOf: at(9)}); !v.Apply || f.Position() != in(2, 9) {
		t.Errorf("%+v %s", v, f.Position())
	}
}

// Another entry, which may be out of touch, knows of a restore. What it knows cannot be gone on from: a
// list of this entry's own has to come first. The word of one that is in touch is enough.
func TestRestoreThatOthersTell(t *testing.T) {
	f := inEra(t, true)
	f.Advance(in(2, 7))
	if c := f.Next(); !c.List {
		t.Errorf("%+v", c)
	}
	f.Adopt(in(1, 30))
	if c := f.Next(); !c.List {
		t.Errorf("a word of before the restore stands for its list: %+v", c)
	}
	f.Adopt(in(2, 8))
	if c := f.Next(); c.List || c.From != 8 {
		t.Errorf("%+v", c)
	}
}

// The platform's answers stay older than what is known, lists and watches alike, though none came from a
// replica. Entries asked again as soon as each was put aside: 150 to 220 calls a second each, which is
// the store's whole rate with ten entries. They ask a few times a second, and never a replica.
func TestOldAnswersAreNotAskedForInARow(t *testing.T) {
	for name, list := range map[string]bool{"lists": true, "watches": false} {
		f := inEra(t, true)
		if list {
			f.Done(start, start, f.Next(), stoatfeed.Result{Outcome: stoatfeed.Forgotten})
		}
		var passed time.Duration
		for n := range 30 {
			c := f.Next()
			if c.List != list || n > 0 && c.AllowStale {
				t.Fatalf("%s: %+v", name, c)
			}
			if n == 1 && c.Pause > 0 {
				t.Errorf("%s: an answer of a replica that is behind is not made good at once", name)
			}
			passed += c.Pause
			f.Done(start, start, c, stoatfeed.Result{AsOf: in(1, 7)})
		}
		if passed < 5*time.Second {
			t.Errorf("%s: 30 calls within %s", name, passed)
		}
		f.Done(start, start, f.Next(), stoatfeed.Result{AsOf: in(1, 12)})
		if c := f.Next(); c.Pause > 0 {
			t.Errorf("%s: %+v", name, c)
		}
	}
}

// A replica does not have the revision yet that it is asked to go on from, and says that its history there
// is gone. The list that follows is the platform's own, and as new; the replica says so again. The second
// time the platform itself is watched, and lists do not follow each other without a pause.
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
			f.Done(start, start, c, stoatfeed.Result{AsOf: in(1, 10)})
		case c.AllowStale:
			f.Done(start, start, c, stoatfeed.Result{Outcome: stoatfeed.Forgotten, AsOf: in(1, 0)})
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
