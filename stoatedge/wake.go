package stoatedge

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// wakeInterval is the shortest time between two wake-ups of children for changes: changes of upstreams come
// in bursts, and each message costs a small machine 0.2 ms of processor time, whatever its size.
const wakeInterval = 200 * time.Millisecond

// wakeState is what children were last woken for.
type wakeState struct {
	at         time.Time
	change     uint64 // the change count of the table
	evacuation uint64 // the change count at the last change of an evacuation
}

// wakeChildrenIfDue wakes children when the state that they mirror has changed. Otherwise they would hear of
// the change only when this entry next confirms that its state is current, which it does with the next answer
// about the configuration: 0.6 s later, and 1.4 s at most. An evacuation does not wait.
func (ctl *controller) wakeChildrenIfDue(now time.Time) {
	t := ctl.table
	if t == nil || !ctl.ready || t.ChangeSeq == ctl.lastWake.change {
		return
	}
	if t.EvacuationSeq() == ctl.lastWake.evacuation && now.Sub(ctl.lastWake.at) < wakeInterval {
		return // a later tick wakes them
	}
	ctl.lastWake = wakeState{at: now, change: t.ChangeSeq, evacuation: t.EvacuationSeq()}
	ctl.emit(wakeChildren{})
}

// announce emits which state children may rely on, if it changed, after that state is published.
func (ctl *controller) announce() {
	reads := ctl.reading && ctl.ready && ctl.failingSince().IsZero()
	status := platformStatus{answers: ctl.ready && (reads || !ctl.reading && ctl.failingSince().IsZero())}
	status.watches = reads && !ctl.table.AsOf(stoatroute.PartRoutes).IsZero()
	if ctl.ready && !ctl.statusKnown || status != ctl.status {
		ctl.status, ctl.statusKnown = status, ctl.ready
		ctl.emit(status)
	}
	if ctl.ready {
		ctl.known = ctl.leastPosition()
	}
	next := announcement{known: ctl.known, leads: ctl.leads(), path: ctl.follower.path, reads: reads, asOf: ctl.asOf()}
	if !next.same(&ctl.announced) {
		ctl.announced = next
		ctl.emit(next)
		if ctl.table != nil {
			// This wakes children too, and the table is published by then.
			ctl.lastWake.change, ctl.lastWake.evacuation = ctl.table.ChangeSeq, ctl.table.EvacuationSeq()
		}
	} else if !slices.Equal(next.leads, ctl.announced.leads) {
		ctl.announced = next
		ctl.emit(updatedAnnouncement{next})
	}
}

// leastPosition returns the position up to which all topics are known.
func (ctl *controller) leastPosition() stoatpaddle.Position {
	least := ctl.feeds[declarations].Position()
	for _, t := range ctl.topics {
		if pos := ctl.feeds[t].Position(); pos.Before(least) {
			least = pos
		}
	}
	return least
}

// leads returns how far each topic is known beyond the position up to which all are known, or nil if no topic is. A
// topic of a later era has no lead that a revision could state.
func (ctl *controller) leads() []uint64 {
	if !ctl.ready {
		return nil
	}
	var out []uint64
	for _, t := range ctl.topics {
		pos := ctl.feeds[t].Position()
		if pos.Era != ctl.known.Era || pos.Revision <= ctl.known.Revision {
			continue
		}
		if out == nil {
			out = make([]uint64, topicCount)
		}
		out[t] = uint64(pos.Revision - ctl.known.Revision)
	}
	return out
}
