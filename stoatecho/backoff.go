package stoatecho

import "time"

// backoff keeps flows away for a while, each time for twice as long as the last time, until it is reset to zero.
type backoff struct {
	until time.Time
	last  time.Duration // the latest duration; zero: it never began, or was reset
}

// begin starts the next period, within bounds.
func (b *backoff) begin(now time.Time, least, most time.Duration) {
	b.last = min(most, max(least, 2*b.last))
	b.until = now.Add(b.last)
}

// active reports whether flows are kept away now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// begun reports whether a period has begun since the last reset, even if it is over by now.
func (b *backoff) begun() bool { return b.last > 0 }
