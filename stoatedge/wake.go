package stoatedge

import (
	"time"
)

// ringEvery is how often children are sent what changed at most: changes of upstreams come in swarms,
// and each message costs a small machine 0.2 ms of its processor whatever is in it.
const ringEvery = 200 * time.Millisecond

// rung is what children were last woken for.
type rung struct {
	at         time.Time
	change     uint64 // the table's count
	evacuation uint64 // the same, at the last change of an evacuation
}

// ring wakes children for what changed of what they mirror. Without it they would hear of it with the
// next proof, which comes with the next answer about the configuration: 0.6 s later, and 1.4 s at most.
// An evacuation does not wait.
func (k *keeper) ring(now time.Time) {
	t := k.table
	if t == nil || !k.ready || t.ChangeSeq == k.rung.change {
		return
	}
	if t.EvacuationSeq() == k.rung.evacuation && now.Sub(k.rung.at) < ringEvery {
		return // the next tick is near
	}
	k.rung = rung{at: now, change: t.ChangeSeq, evacuation: t.EvacuationSeq()}
	k.do(changed{})
}

// announce says what others may rely on, if it changed, after what they read is published.
func (k *keeper) announce() {
	reads := k.reading && k.ready && k.failing().IsZero()
	if answers := k.ready && (reads || !k.reading); answers != k.answers {
		k.answers = answers
		k.do(touched{answers: answers})
	}
	if k.ready {
		k.known = k.feeds[declarations].Position()
		for _, t := range k.topics {
			if pos := k.feeds[t].Position(); pos.Before(k.known) {
				k.known = pos
			}
		}
	}
	now := announcement{known: k.known, path: k.follow.path, reads: reads, asOf: k.asOf()}
	if !now.same(&k.announced) {
		k.announced = now
		k.do(now)
		if k.table != nil {
			// This wakes children too, and the table is published by then.
			k.rung.change, k.rung.evacuation = k.table.ChangeSeq, k.table.EvacuationSeq()
		}
	}
}
