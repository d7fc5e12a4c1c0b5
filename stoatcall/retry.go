package stoatcall

import (
	"math"
	"time"
)

const (
	// maxRetryAfter bounds the Retry-After of a refusal. A caller with three tries waits twice, and both waits end
	// within responseHeaderTimeout, the longest that any call may take.
	maxRetryAfter = 10 // seconds
	// maxKnownWait bounds the queue that is remembered, below maxRetryAfter so that the longest waits are spread too.
	maxKnownWait = 7 * time.Second
	// minReturnRate is the rate at which callers are told to return while no call is answered.
	minReturnRate = 1 // calls a second
	// minRetryAfter is the shortest Retry-After, as the header has whole seconds.
	minRetryAfter = 1 // seconds
)

// turns tells refused callers when to return: one after the other, at the rate at which calls are admitted. Only
// the end of the queue is remembered, so that callers who do not return leave nothing behind.
type turns struct {
	next time.Time // when the next refused caller should return
	sent uint32    // answers, which spread selects by
}

// take returns the Retry-After, in seconds, of one more refused call. No caller should return before the given wait,
// and later ones return at perSecond.
func (t *turns) take(now time.Time, wait time.Duration, perSecond float64) int {
	if earliest := now.Add(wait); t.next.Before(earliest) {
		t.next = earliest
	}
	latest := now.Add(maxKnownWait)
	if t.next.After(latest) {
		t.next = latest
	}
	known := t.next.Sub(now)
	t.next = t.next.Add(time.Duration(float64(time.Second) / max(perSecond, minReturnRate)))
	t.sent++
	return retryAfter(known, t.sent)
}

// retryAfter spreads a wait over the seconds from it to twice as long. The sequence of n is one of low discrepancy
// (multiples of the golden ratio), so that even a few callers are spread evenly.
func retryAfter(wait time.Duration, n uint32) int {
	low := max(minRetryAfter, int(math.Ceil(min(wait, maxKnownWait).Seconds())))
	if low == minRetryAfter {
		return low
	}
	high := min(2*low, maxRetryAfter)
	const goldenRatio = 2654435769 // as a part of 2^32
	return low + int(uint64(n*goldenRatio)*uint64(high-low+1)>>32)
}
