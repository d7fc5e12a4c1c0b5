package stoatfilter_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
)

// An entry starts after a power loss and counts itself alone, then four, then thirty. It goes by a place
// only after two seconds. Later half of the data centre is cut off from it: it goes on dealing out parts
// of thirty for a minute, since the other half does too, and of fifteen after that.
func TestPlacing(t *testing.T) {
	var p stoatfilter.RankTracker
	now := start
	at := func(d time.Duration, x, want stoatfilter.EntryRank) {
		t.Helper()
		now = now.Add(d)
		p.Update(now, x)
		if got := p.At(now); got != want {
			t.Errorf("after %s: %+v, expected %+v", now.Sub(start), got, want)
		}
	}
	none := stoatfilter.EntryRank{}
	thirty, half := stoatfilter.EntryRank{Rank: 3, Entries: 30}, stoatfilter.EntryRank{Rank: 2, Entries: 15}
	at(0, none, none)
	at(time.Second, stoatfilter.EntryRank{Entries: 1}, none)
	at(time.Second, stoatfilter.EntryRank{Entries: 4}, none)
	at(time.Second, thirty, thirty)
	at(10*time.Second, none, thirty) // the parent is away for a moment
	at(10*time.Second, thirty, thirty)
	at(time.Second, half, stoatfilter.EntryRank{Rank: 2, Entries: 30})
	at(50*time.Second, half, stoatfilter.EntryRank{Rank: 2, Entries: 30})
	at(20*time.Second, half, half)
}
