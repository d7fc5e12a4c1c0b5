package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// proof is a position of the platform, and the time at which the platform had reached it.
//
// Calls to replicas cost a tenth of an exact call and count toward no rate limit, but a replica may be seconds
// behind. Only one topic, the configuration, is requested from the platform itself. The answer says which
// position the platform was at, and the replicas that answer about the other topics have to reach it.
type proof struct {
	asOf       time.Time
	pos        stoatpaddle.Position
	receivedAt time.Time // when the answer came
	// retried is set once the replicas that are behind were asked again.
	retried bool
}

// setProof sets the proof that this entry's state has to match. One that was retried and is not matched yet
// stays, since it would never be matched if each later proof replaced it.
func (ctl *controller) setProof(p proof) {
	if ctl.openProof == nil || !ctl.openProof.retried {
		ctl.openProof = &p
	}
	ctl.matchProof()
}

// matchProof records the open proof as matched if everything up to its position is known.
func (ctl *controller) matchProof() {
	if ctl.openProof == nil {
		return
	}
	for _, t := range ctl.topics {
		if ctl.feeds[t].Position().Before(ctl.openProof.pos) {
			return
		}
	}
	ctl.state.MarkCurrent(ctl.openProof.asOf)
	ctl.openProof = nil
}

// retryProof asks the replicas that are behind the open proof again. If one of them is still behind then,
// updateProof asks the platform itself.
func (ctl *controller) retryProof(now time.Time) {
	if ctl.openProof == nil || ctl.openProof.retried || now.Sub(ctl.openProof.receivedAt) <= answerWait {
		return
	}
	ctl.openProof.retried = true
	for _, t := range ctl.topics {
		if f := ctl.feeds[t]; f.Position().Before(ctl.openProof.pos) {
			f.RequestNow()
			ctl.interruptWatch(t)
		}
	}
}
