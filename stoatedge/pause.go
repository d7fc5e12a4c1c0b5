package stoatedge

import (
	"sync/atomic"
	"time"
)

// minPause is the shortest pause of the process that makes its state count as older: during a pause of that
// length a watch would have ended, and the parent's state would have become too old.
const minPause = 1500 * time.Millisecond

// pauseDetector detects that the process did not run, by the time between two ticks. It uses the time since
// the machine booted, which includes the time for which the machine was suspended. The monotonic clock leaves
// that out, and the time of day jumps for other reasons.
type pauseDetector struct {
	lastTick atomic.Int64 // time since boot, at the last tick
	lastGap  atomic.Int64 // the time between the last two ticks
	pauseEnd atomic.Int64 // when the last pause of staleAfter or longer ended, by monotonic; 0: there was none
}

// tick records that the process runs, and returns for how long it did not; 0: it was not paused.
func (d *pauseDetector) tick(up time.Duration) time.Duration {
	gap := up - time.Duration(d.lastTick.Swap(int64(up)))
	d.lastGap.Store(int64(gap))
	if gap >= staleAfter {
		d.pauseEnd.Store(int64(monotonic()))
	}
	if gap < minPause {
		return 0
	}
	return gap
}

// starvedAfter is how long after a tick the next one counts as late: twice the interval of ticks. A late tick
// means that the process has used up its share of a core, or that the machine is busy.
const starvedAfter = 2 * tickInterval

// gap returns for how long the process recently did not run: packets may have waited although the socket was empty
// at the last read.
func (d *pauseDetector) gap(up time.Duration) time.Duration {
	return max(up-time.Duration(d.lastTick.Load()), time.Duration(d.lastGap.Load()))
}

// pauseMemory is how long after a pause its packets may still be unread, even on a busy machine.
const pauseMemory = 500 * time.Millisecond

// pausedSince reports whether a pause of staleAfter or longer has ended after the given time and just now. The ticks that
// follow a pause may come at once, so that gap no longer shows it.
func (d *pauseDetector) pausedSince(at time.Time) bool {
	end := time.Duration(d.pauseEnd.Load())
	return end > at.Sub(processStart) && monotonic()-end < pauseMemory
}
