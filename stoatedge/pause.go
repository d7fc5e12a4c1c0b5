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
//
// Whoever runs first after a pause notices it: the ticker, which leaves the gap for the
// goroutine that moves packets, or that goroutine.
type pauseWatch struct {
	ticked atomic.Int64 // time since the machine's start, at the last tick
	gap    atomic.Int64 // of a pause that the ticker noticed, until packets were discarded
	seen   atomic.Int64 // when it did
	last   atomic.Int64 // the time between the last two ticks
}

// pauseKept is how long a pause that the ticker noticed is remembered: what waited in the
// socket is read at once, and what comes later is not old.
const pauseKept = 200 * time.Millisecond

// tick notes that the process runs, and returns for how long it stood still; 0: it did not.
func (w *pauseWatch) tick(up time.Duration) time.Duration {
	gap := up - time.Duration(w.ticked.Swap(int64(up)))
	w.last.Store(int64(gap))
	if gap < pausedFor {
		return 0
	}
	w.seen.Store(int64(up))
	w.gap.Store(int64(gap))
	return gap
}

// starvedFor is how long after a tick the next one counts as late: twice the time between two,
// which is a share of a core that was used up, or a machine that is busy.
const starvedFor = 2 * tickEvery

// starved tells whether the process lately did not run for a while: packets may have waited
// though the socket was empty when it last looked.
func (w *pauseWatch) starved(up time.Duration) bool {
	return max(up-time.Duration(w.ticked.Load()), time.Duration(w.last.Load())) > starvedFor
}

// paused tells for how long the process stood still before this packet was read; 0: it did not.
func (w *pauseWatch) paused(up time.Duration) time.Duration {
	if gap := w.gap.Swap(0); gap != 0 && up-time.Duration(w.seen.Load()) < pauseKept {
		return time.Duration(gap)
	}
	gap := up - time.Duration(w.ticked.Load())
	if gap < pausedFor {
		return 0
	}
	w.ticked.Store(int64(up))
	return gap
}
