package stoatcall

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A refused caller must not be told to return before the wait that is known, nor later than it can bear, and callers
// that wait for several seconds must not return together.
func TestRetryAfterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait")) * time.Millisecond
		n := rapid.Uint32().Draw(t, "n")
		callers := rapid.IntRange(3, 200).Draw(t, "callers")
		seconds := map[int]int{}
		for i := range callers {
			got := retryAfter(wait, n+uint32(i))
			if got < minRetryAfter || got > maxRetryAfter {
				t.Fatal(got, "s is out of bounds")
			}
			if time.Duration(got)*time.Second < min(wait, maxKnownWait) {
				t.Fatal(got, "s is before the known wait", wait)
			}
			seconds[got]++
		}
		for at, count := range seconds {
			if wait > 2*time.Second && 3*count > 2*callers {
				t.Fatalf("%d of %d callers return after %d s", count, callers, at)
			}
		}
	})
}

// Callers that are refused one after the other return at the rate at which calls are admitted, and the queue is
// forgotten when it should be empty.
func TestTurns(t *testing.T) {
	now := time.Unix(1, 0)
	for name, c := range map[string]struct {
		wait      time.Duration
		perSecond float64
		refused   int
		low, high int // of the Retry-After of the last one
	}{
		"a single one":               {0, 100, 1, 1, 1},
		"worked off within a second": {0, 100, 90, 1, 1},
		"several seconds":            {0, 100, 350, 4, 8},
		"a token after 2.5 s":        {2500 * time.Millisecond, 10, 1, 3, 6},
		"nothing is answered":        {0, 0, 4, 3, 6},
		"more than can be borne":     {0, 1, 1000, 7, 10},
	} {
		t.Run(name, func(t *testing.T) {
			var q turns
			got := 0
			for range c.refused {
				got = q.take(now, c.wait, c.perSecond)
			}
			if got < c.low || got > c.high {
				t.Errorf("%d s, expected %d to %d", got, c.low, c.high)
			}
			if later := q.take(now.Add(maxRetryAfter*time.Second), 0, c.perSecond); later != minRetryAfter {
				t.Errorf("%d s after the queue is worked off", later)
			}
		})
	}
}
