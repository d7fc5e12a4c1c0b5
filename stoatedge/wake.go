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
func (ctl *controller) ring(now time.Time) {
	t := ctl.table
	if t == nil || !ctl.ready || t.Change == ctl.lastWake.change {
		return
	}
	if t.EvacuationChange() == ctl.lastWake.evacuation && now.Sub(ctl.lastWake.at) < ringEvery {
		return // the next tick is near
	}
	ctl.lastWake = rung{at: now, change: t.Change, evacuation: t.EvacuationChange()}
	ctl.emit(wakeChildren{})
}

// announce says what others may rely on, if it changed, after what they read is published.
func (ctl *controller) announce() {
	reads := ctl.reading && ctl.ready && ctl.failing().IsZero()
	if answers := ctl.ready && (reads || !ctl.reading); answers != ctl.platformAnswers {
		ctl.platformAnswers = answers
		ctl.emit(platformStatus{answers: answers})
	}
	if ctl.ready {
		ctl.known = ctl.feeds[declarations].Position()
		for _, t := range ctl.topics {
			if pos := ctl.feeds[t].Position(); pos.Before(ctl.known) {
				ctl.known = pos
			}
		}
	}
	now := announcement{known: ctl.known, path: ctl.follower.path, reads: reads, asOf: ctl.asOf()}
	if !now.same(&ctl.announced) {
		ctl.announced = now
		ctl.emit(now)
		if ctl.table != nil {
			// This wakes children too, and the table is published by then.
			ctl.lastWake.change, ctl.lastWake.evacuation = ctl.table.Change, ctl.table.EvacuationChange()
		}
	}
}
