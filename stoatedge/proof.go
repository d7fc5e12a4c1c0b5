package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// proof says which position the platform was at at a time.
//
// Replicas cost a tenth and count toward no rate, but may be seconds behind. Of the topics one is
// asked exactly, the configuration: its answer says which position the platform was at, and the
// replicas that tell of the others have to reach it.
type proof struct {
	asOf time.Time
	pos  stoatpaddle.Position
	receivedAt   time.Time // when it came
	// retried is set once the replicas that are behind were asked for it.
	retried bool
}

// setProof notes a proof that this entry's view has to match, unless it has one already
// that is not matched: the older one would never be.
func (ctl *controller) setProof(p proof) {
	if ctl.openProof == nil || !ctl.openProof.retried {
		ctl.openProof = &p
	}
	ctl.matchProof()
}

// matchProof tells whether everything up to the open proof's position is known here.
func (ctl *controller) matchProof() {
	if ctl.openProof == nil {
		return
	}
	for _, t := range ctl.topics {
		if ctl.feeds[t].Position().Before(ctl.openProof.pos) {
			return
		}
	}
	ctl.book.Prove(ctl.openProof.asOf)
	ctl.openProof = nil
}

// retryProof asks replicas that are behind the open proof: first once more, then around them.
func (ctl *controller) retryProof(now time.Time) {
	if ctl.openProof == nil || ctl.openProof.retried || now.Sub(ctl.openProof.receivedAt) <= answerWait {
		return
	}
	ctl.openProof.retried = true
	for _, t := range ctl.topics {
		if f := ctl.feeds[t]; f.Position().Before(ctl.openProof.pos) {
			f.Hurry()
			ctl.interruptWatch(t)
		}
	}
}
