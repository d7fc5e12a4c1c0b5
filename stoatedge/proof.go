package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// readBarrier is a position of the platform, and the time at which the platform had reached it.
//
// Calls to replicas cost a tenth of an exact call and count toward no rate limit, but a replica may be seconds
// behind. Only one topic, the configuration, is requested from the platform itself. The answer says which
// position the platform was at, and the replicas that answer about the other topics have to reach it.
type readBarrier struct {
	asOf       time.Time
	pos        stoatpaddle.Position
	receivedAt time.Time // when the answer came
	// retried is set once the replicas that are behind were asked again.
	retried bool
}

// setBarrier sets the proof that this entry's state has to match. One that was retried and is not matched yet
// stays, since it would never be matched if each later proof replaced it.
func (ctl *controller) setBarrier(b readBarrier) {
	if ctl.pendingBarrier == nil || !ctl.pendingBarrier.retried {
		ctl.pendingBarrier = &b
	}
	ctl.checkBarrier()
}

// checkBarrier records the open proof as matched if everything up to its position is known.
func (ctl *controller) checkBarrier() {
	if ctl.pendingBarrier == nil {
		return
	}
	for _, t := range ctl.topics {
		if ctl.feeds[t].Position().Before(ctl.pendingBarrier.pos) {
			return
		}
	}
	ctl.state.MarkCurrent(ctl.pendingBarrier.asOf)
	ctl.pendingBarrier = nil
}

// retryBarrier asks the replicas that are behind the open proof again. If one of them is still behind then,
// updateProof asks the platform itself.
func (ctl *controller) retryBarrier(now time.Time) {
	if ctl.pendingBarrier == nil || ctl.pendingBarrier.retried || now.Sub(ctl.pendingBarrier.receivedAt) <= answerWait {
		return
	}
	ctl.pendingBarrier.retried = true
	for _, t := range ctl.topics {
		if f := ctl.feeds[t]; f.Position().Before(ctl.pendingBarrier.pos) {
			f.RequestNow()
			ctl.interruptWatch(t)
		}
	}
}
