package stoatedge

import (
	"sync/atomic"
	"time"
)

// pausedFor is how long the process must have stood still for its view of the platform to count
// as older by that: a watch that went on would have ended by then, and a parent's word is old.
const pausedFor = 1500 * time.Millisecond

// pauseWatch notices that the process stood still: the ticker did not come. It goes by the
// time since the machine was started, in which a suspended machine's time counts; the
// steady clock leaves that out, and the time of day jumps for other reasons.
type pauseWatch struct {
	ticked atomic.Int64 // time since the machine's start, at the last tick
	last   atomic.Int64 // the time between the last two ticks
}

// tick notes that the process runs, and returns for how long it stood still; 0: it did not.
func (w *pauseWatch) tick(up time.Duration) time.Duration {
	gap := up - time.Duration(w.ticked.Swap(int64(up)))
	w.last.Store(int64(gap))
	if gap < pausedFor {
		return 0
	}
	return gap
}

// starvedFor is how long after a tick the next one counts as late: twice the time between two,
// which is a share of a core that was used up, or a machine that is busy.
const starvedFor = 2 * tickInterval

// starved tells whether the process lately did not run for a while: packets may have waited
// though the socket was empty when it last looked.
func (w *pauseWatch) starved(up time.Duration) bool {
	return max(up-time.Duration(w.ticked.Load()), time.Duration(w.last.Load())) > starvedFor
}
