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

// pauseWatch notices that the process stood still: the ticker did not come. It goes by the
// time since the machine was started, in which a suspended machine's time counts; the
// steady clock leaves that out, and the time of day jumps for other reasons.
type pauseWatch struct {
	ticked atomic.Int64 // time since the machine's start, at the last tick
}

func (w *pauseWatch) tick(up time.Duration) { w.ticked.Store(int64(up)) }

// paused tells for how long the process stood still; 0: it did not.
func (w *pauseWatch) paused(up time.Duration) time.Duration {
	gap := up - time.Duration(w.ticked.Load())
	if gap < pausedFor {
		return 0
	}
	return gap
}
