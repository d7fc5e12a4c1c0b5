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
func (p *RankTracker) Update(now time.Time, x EntryRank) {
	if x.Entries <= 0 {
		return
	}
	if p.last.Entries == 0 {
		p.rankedSince = now
	}
	p.last = x
	if x.Entries >= p.maxEntries || now.Sub(p.maxSeenAt) > maxEntriesRetention {
		p.maxEntries, p.maxSeenAt = x.Entries, now
	}
}

// At returns the rank to use at the given time; its Entries is 0 while the rank is not settled.
func (p *RankTracker) At(now time.Time) EntryRank {
	if p.last.Entries == 0 || now.Sub(p.rankedSince) < rankSettleTime {
		return EntryRank{}
	}
	return EntryRank{Rank: p.last.Rank, Entries: max(p.last.Entries, p.maxEntries)}
}
