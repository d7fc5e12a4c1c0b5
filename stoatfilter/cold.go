package stoatfilter

import (
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Entries share the capacity of a cold upstream by taking turns.
//
// When a data centre's upstreams come back, all of them are cold at once. Each of them can handle
// three requests a second for some seconds, while thirty entries have callers waiting. Without a limit,
// each entry would send its first flow to the upstream with the least work in progress, which is a cold
// one. Thirty entries that do so at once overload that upstream, and then the next one.
//
// The entries have no time to coordinate. The limit is therefore divided into time slots: the entries of
// the upstream's data centre take turns in the order of their ranks, and a turn that is not used at once
// lapses. However many callers wait, all entries together send no more flows than there are turns. The
// entries of another data centre get no turns: the two data centres may be unable to reach each other,
// and the other one has its own upstreams.
const (
	// allottedFraction is the part of the limit that is divided into turns. The rest is a reserve: two
	// parts of a data centre that do not know of each other each allot the whole fraction, which adds up
	// to half as much again as the upstream can handle.
	allottedFraction = 0.75
	// turnOpenFraction is the part of the interval between two turns in which a turn can be used. It is
	// long enough for a caller to arrive, and short enough that a late flow of one turn does not coincide
	// with a flow of the next turn.
	turnOpenFraction = 0.5
)

// ColdLoad describes what this entry knows about the load on a cold upstream.
type ColdLoad struct {
	// RequestsPerFlow is how many requests a flow of the service was seen to carry while its upstream
	// was cold.
	RequestsPerFlow float64
	// LastSent is when this entry last sent a flow to the upstream while the upstream was cold.
	LastSent time.Time
}

// hasTurn reports whether it is this entry's turn to send a flow to the upstream and the entry has not
// used that turn yet.
func (r EntryRank) hasTurn(now time.Time, u *stoatroute.Upstream, load ColdLoad) bool {
	if r.Entries <= 0 || r.Rank < 0 || r.Rank >= r.Entries {
		return false
	}
	// The number of requests is rounded up, so that entries whose estimates differ a little compute the same
	// turns.
	requests := math.Ceil(math.Max(1, load.RequestsPerFlow))
	interval := time.Duration(float64(time.Second) * requests / (allottedFraction * u.ColdRate))
	// The first turn goes to a different entry for each upstream. Otherwise one entry would have its turn
	// at all upstreams at the same time.
	first := (r.Rank + int(uint32(u.Key)*hashMultiplier>>hashShift)) % r.Entries
	period := interval * time.Duration(r.Entries)
	sinceTurn := time.Duration(now.UnixNano()-int64(interval)*int64(first)) % period
	openFor := time.Duration(turnOpenFraction * float64(interval))
	return sinceTurn < openFor && now.Sub(load.LastSent) > openFor
}

// hashMultiplier and hashShift distribute the first turns over the entries with Knuth's multiplicative
// hash, because the keys of upstreams may be consecutive.
const (
	hashMultiplier = 2654435761
	hashShift      = 8
)
