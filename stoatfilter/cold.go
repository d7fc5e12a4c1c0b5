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
	// coldShare is the part of the limit that is dealt out. The rest is a reserve: two parts of a data
	// centre that never heard of each other deal out everything twice, which is then half as much again
	// as the upstream bears.
	coldShare = 0.75
	// turnOpen is the part of the time until the next entry's turn for which a turn is open: long enough
	// for a caller to come, and short enough that a late flow of one turn does not meet the next one's.
	turnOpen = 0.5
)

// ColdLoad is what one flow asks of its upstream.
type ColdLoad struct {
	// RequestsPerFlow are how many a flow of the service is seen to carry while an upstream is cold.
	RequestsPerFlow float64
	// LastSent is when this entry last sent the upstream a flow while it was cold.
	LastSent time.Time
}

// hasTurn tells whether it is this entry's turn to send the upstream a flow, and it has not yet.
func (p EntryRank) hasTurn(now time.Time, u *stoatroute.Upstream, load ColdLoad) bool {
	if p.Entries <= 0 || p.Rank < 0 || p.Rank >= p.Entries {
		return false
	}
	// Whole requests, so that entries which see a little more or less deal out the same turns.
	requests := math.Ceil(math.Max(1, load.RequestsPerFlow))
	between := time.Duration(float64(time.Second) * requests / (coldShare * u.ColdRate))
	// Upstreams begin with different entries, or the first one would have a turn at all of them at once.
	first := (p.Rank + int(uint32(u.Key)*spread>>spreadShift)) % p.Entries
	period := between * time.Duration(p.Entries)
	begun := time.Duration(now.UnixNano()-int64(between)*int64(first)) % period
	open := time.Duration(turnOpen * float64(between))
	return begun < open && now.Sub(load.LastSent) > open
}

// spread and spreadShift spread upstreams over entries (Knuth's multiplicative hash): their keys may
// follow each other.
const (
	spread      = 2654435761
	spreadShift = 8
)
