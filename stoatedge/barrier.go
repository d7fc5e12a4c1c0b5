package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// readBarrier is the position of the platform that an exact answer about the configuration reported. The state
// counts as current as of that answer once the answers about all other topics have reached the position.
//
// Calls to replicas cost a tenth of an exact call and count toward no rate limit, but a replica may be seconds
// behind. Therefore only one topic, the configuration, is requested from the platform itself, and replicas
// answer about the other topics.
type readBarrier struct {
	asOf       time.Time // the time as of which the state is current once the barrier is reached
	pos        stoatpaddle.Position
	receivedAt time.Time // when the exact answer came
	// retried is set once the replicas that are behind the barrier were asked again.
	retried bool
}

// setBarrier makes b the pending barrier, unless the pending one was already retried. That one stays until it
// is reached: if each later barrier replaced it, a replica that lags behind would never reach any of them.
func (ctl *controller) setBarrier(b readBarrier) {
	if ctl.pendingBarrier == nil || !ctl.pendingBarrier.retried {
		ctl.pendingBarrier = &b
	}
	ctl.checkBarrier()
}

// checkBarrier marks the state as current and clears the pending barrier if every topic is known up to the
// barrier's position.
func (ctl *controller) checkBarrier() {
	if ctl.pendingBarrier == nil {
		return
	}
	for _, t := range ctl.topics {
		if ctl.feeds[t].ReadPosition().Before(ctl.pendingBarrier.pos) {
			return
		}
	}
	ctl.state.MarkCurrent(ctl.pendingBarrier.asOf)
	ctl.pendingBarrier = nil
}

// retryBarrier sends one more request to each replica that has not reached the pending barrier within
// answerWait. If the answer is still behind the barrier, updateAsOf makes the next call about that topic go to
// the platform itself.
func (ctl *controller) retryBarrier(now time.Time) {
	if ctl.pendingBarrier == nil || ctl.pendingBarrier.retried || now.Sub(ctl.pendingBarrier.receivedAt) <= answerWait {
		return
	}
	ctl.pendingBarrier.retried = true
	for _, t := range ctl.topics {
		if f := ctl.feeds[t]; f.ReadPosition().Before(ctl.pendingBarrier.pos) {
			f.RequestNow()
			ctl.interruptWatch(t)
		}
	}
}
