package stoatfilter_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
)

// An entry that starts after a power loss first counts itself alone, then four entries, then thirty. It
// must use a rank only after two seconds. Later half of the data centre is cut off: the entry must go on
// dividing the limit by thirty for a minute, since the other half does so too, and then by fifteen.
func TestRankTracker(t *testing.T) {
	var tracker stoatfilter.RankTracker
	now := start
	at := func(d time.Duration, rank, want stoatfilter.EntryRank) {
		t.Helper()
		now = now.Add(d)
		tracker.Update(now, rank)
		if got := tracker.At(now); got != want {
			t.Errorf("after %s: %+v, expected %+v", now.Sub(start), got, want)
		}
	}
	none := stoatfilter.EntryRank{}
	thirty, half := stoatfilter.EntryRank{Rank: 3, Entries: 30}, stoatfilter.EntryRank{Rank: 2, Entries: 15}
	at(0, none, none)
	at(time.Second, stoatfilter.EntryRank{Entries: 1}, none)
	at(time.Second, stoatfilter.EntryRank{Entries: 4}, none)
	at(time.Second, thirty, thirty)
	at(10*time.Second, none, thirty) // the parent cannot be reached for a moment
	at(10*time.Second, thirty, thirty)
	at(time.Second, half, stoatfilter.EntryRank{Rank: 2, Entries: 30})
	at(50*time.Second, half, stoatfilter.EntryRank{Rank: 2, Entries: 30})
	at(20*time.Second, half, half)
}
