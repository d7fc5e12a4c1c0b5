package stoatedge

import (
	"sync/atomic"
	"time"
)

// pausedFor is how long the process must have stood still for the packets that wait in its
// socket to be discarded: by then the fabric has given the flows to other entries, callers
// have repeated themselves there, and openings were given up. Forwarded now, old requests
// would run for nobody.
const pausedFor = 1500 * time.Millisecond

// pauseWatch notices that the process stood still: the ticker did not come. A clock that
// was set forward looks the same to wall time, so only the steady clock counts.
type pauseWatch struct {
	start  time.Time
	ticked atomic.Int64 // steady time since start
}

func (w *pauseWatch) tick(now time.Time) { w.ticked.Store(int64(now.Sub(w.start))) }

// paused tells for how long the process stood still until now; 0: it did not.
func (w *pauseWatch) paused(now time.Time) time.Duration {
	gap := now.Sub(w.start) - time.Duration(w.ticked.Load())
	if gap < pausedFor {
		return 0
	}
	return gap
}
