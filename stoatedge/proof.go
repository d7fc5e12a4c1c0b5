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
	at   time.Time // when it came
	// hurried is set once the replicas that are behind were asked for it.
	hurried bool
}

// challenge notes a proof that this entry's view has to match, unless it has one already
// that is not matched: the older one would never be.
func (k *keeper) challenge(p proof) {
	if k.open == nil || !k.open.hurried {
		k.open = &p
	}
	k.match()
}

// match tells whether everything up to the open proof's position is known here.
func (k *keeper) match() {
	if k.open == nil {
		return
	}
	for _, t := range k.topics {
		if k.feeds[t].Position().Before(k.open.pos) {
			return
		}
	}
	k.book.MarkCurrent(k.open.asOf)
	k.open = nil
}

// press asks replicas that are behind the open proof: first once more, then around them.
func (k *keeper) press(now time.Time) {
	if k.open == nil || k.open.hurried || now.Sub(k.open.at) <= settle {
		return
	}
	k.open.hurried = true
	for _, t := range k.topics {
		if f := k.feeds[t]; f.Position().Before(k.open.pos) {
			f.RequestNow()
			k.nudge(t)
		}
	}
}
