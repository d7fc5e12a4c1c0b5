package stoatecho

import "time"

// backoff keeps flows away for a while, each time for twice as long as the last one, until it is ended.
type backoff struct {
	until time.Time
	last  time.Duration // zero: it has ended, or never began
}

// begin starts it, within bounds.
func (b *backoff) begin(now time.Time, least, most time.Duration) {
	b.last = min(most, max(least, 2*b.last))
	b.until = now.Add(b.last)
}

// active tells whether it keeps flows away now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// begun tells whether it began and was not ended since, also when it keeps nothing away any more.
func (b *backoff) begun() bool { return b.last > 0 }
