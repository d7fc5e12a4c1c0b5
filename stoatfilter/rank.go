package stoatfilter

import "time"

// EntryRank is the rank of an entry among the entries of its data centre.
type EntryRank struct {
	Rank    int // counts from 0
	Entries int // number of entries; 0 means unknown, and the entry then gets no turns
}

const (
	// rankSettleTime is how long an entry must have had a rank before it uses the rank. After a power
	// loss all entries start at once and each of them is alone at first: the relay tree needs one or two
	// seconds to connect and count them.
	rankSettleTime = 2 * time.Second
	// maxEntriesRetention is how long the greatest number of entries stays in force. Entries that are cut
	// off still run and use that number too: if two halves counted only themselves, each of them would
	// allot the whole limit.
	maxEntriesRetention = time.Minute
)

// RankTracker tracks the rank of one entry over time.
type RankTracker struct {
	last        EntryRank
	rankedSince time.Time // when the entry first had a rank
	maxEntries  int       // greatest number of entries counted lately
	maxSeenAt   time.Time // when that number was counted last
}

// Update records the rank that the relay tree reports now. An unknown rank leaves the last one in force,
// because the parent in the relay tree may be back in a moment.
func (t *RankTracker) Update(now time.Time, rank EntryRank) {
	if rank.Entries <= 0 {
		return
	}
	if t.last.Entries == 0 {
		t.rankedSince = now
	}
	t.last = rank
	if rank.Entries >= t.maxEntries || now.Sub(t.maxSeenAt) > maxEntriesRetention {
		t.maxEntries, t.maxSeenAt = rank.Entries, now
	}
}

// At returns the rank to use at the given time; its Entries is 0 while the rank is not settled.
func (t *RankTracker) At(now time.Time) EntryRank {
	if t.last.Entries == 0 || now.Sub(t.rankedSince) < rankSettleTime {
		return EntryRank{}
	}
	return EntryRank{Rank: t.last.Rank, Entries: max(t.last.Entries, t.maxEntries)}
}
