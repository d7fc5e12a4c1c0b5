package stoatfilter

import "time"

// EntryRank is an entry's place among those of its data centre.
type EntryRank struct {
	Rank    int // from 0
	Entries int // 0: not known, and nothing is taken
}

const (
	// placeSteady is how long an entry has had a place before it goes by it. After a power loss all
	// entries start at once, and each is alone at first: it takes one or two seconds until the relay
	// tree has gathered and counted them.
	placeSteady = 2 * time.Second
	// placeKept is how long the greatest number of entries counts. Those that are cut off go on, and go
	// by it too: two halves that counted only themselves would each deal out everything.
	placeKept = time.Minute
)

// RankTracker follows the place of one entry.
type RankTracker struct {
	place EntryRank
	since time.Time // when it first had one
	most  int
	at    time.Time // when so many entries were counted last
}

// Update takes in the place as the relay tree tells it now. One that is not known leaves the last one in
// force: the parent may be back in a moment.
func (p *RankTracker) Update(now time.Time, x EntryRank) {
	if x.Entries <= 0 {
		return
	}
	if p.place.Entries == 0 {
		p.since = now
	}
	p.place = x
	if x.Entries >= p.most || now.Sub(p.at) > placeKept {
		p.most, p.at = x.Entries, now
	}
}

// At returns the place to go by.
func (p *RankTracker) At(now time.Time) EntryRank {
	if p.place.Entries == 0 || now.Sub(p.since) < placeSteady {
		return EntryRank{}
	}
	return EntryRank{Rank: p.place.Rank, Entries: max(p.place.Entries, p.most)}
}
