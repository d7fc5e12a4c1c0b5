package stoatfilter

import (
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// How entries share what a cold upstream bears.
//
// The load: a data centre's upstreams come back cold, all at once, and bear three requests a second
// each for some seconds; thirty entries have callers waiting. Each entry alone would send its first
// flow to the upstream with the least in progress, which is a cold one, and thirty at once make it
// fall over; then the next one.
//
// Nobody can be asked in that time. So the limit is dealt out as moments: entries of the upstream's
// data centre take turns, in the order of their ranks, and a turn that is not used at once lapses.
// However many callers wait, the flows of all entries come no faster than turns do. Another data
// centre's entries get none: the two may not reach each other, and have other upstreams.
const (
	// coldShare is the part of the limit that is dealt out. The rest is for entries that do not know
	// each other: two halves of a data centre that are cut off from each other count half of the
	// entries each, and deal out everything twice.
	coldShare = 0.5
	// turnMost bounds how long a turn is open: callers come every some ten milliseconds in a herd, and
	// late flows of one turn must not meet those of the next ones.
	turnMost = 150 * time.Millisecond
)

// Place is an entry's place among those of its data centre.
type Place struct {
	Rank    int // from 0
	Entries int // 0: not known, and nothing is taken
}

// Load is what one flow asks of its upstream.
type Load struct {
	// Requests are how many a flow of the service is seen to carry while an upstream is cold.
	Requests float64
	// Taken is when this entry last sent the upstream a flow while it was cold.
	Taken time.Time
}

// hasTurn tells whether it is this entry's turn to send the upstream a flow, and it has not yet.
func (p Place) hasTurn(now time.Time, u *stoatroute.Upstream, load Load) bool {
	if p.Entries <= 0 || p.Rank < 0 || p.Rank >= p.Entries {
		return false
	}
	// Whole requests, so that entries which see a little more or less deal out the same turns.
	requests := math.Ceil(math.Max(1, load.Requests))
	between := time.Duration(float64(time.Second) * requests / (coldShare * u.ColdRate))
	// Upstreams begin with different entries, or the first one would have a turn at all of them at once.
	first := (p.Rank + int(uint32(u.Key)*spread>>spreadShift)) % p.Entries
	period := between * time.Duration(p.Entries)
	begun := time.Duration(now.UnixNano()-int64(between)*int64(first)) % period
	return begun < min(between, turnMost) && now.Sub(load.Taken) > turnMost
}

// spread and spreadShift spread upstreams over entries (Knuth's multiplicative hash): their keys may
// follow each other.
const (
	spread      = 2654435761
	spreadShift = 8
)
