package stoatadmission

import "time"

// roomRejectedShare is the share of rejections below which a group has room for openings that another one refused.
// With three tries, next to none of its own callers fails below it.
const roomRejectedShare = 0.02

// HasRoom reports whether the group can take openings that another group refused: it limits no level, rejects next
// to nothing, and answers without a long queue.
func (l *Limiter) HasRoom(now time.Time) bool {
	l.update(now)
	o := &l.observed
	queued := o.unqueued > 0 && float64(o.answerTime) > promptAnswer*float64(o.unqueued)
	return !l.limiting && o.rejectedShare() < roomRejectedShare && !queued
}
