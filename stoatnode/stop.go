package stoatnode

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// stopState is the progress of the planned stop of this entry.
type stopState struct {
	requested bool
	startedAt time.Time
	openCalls int // as last reported
	done      bool
}

// beginStop announces that this entry is leaving and starts the handover.
func (n *Node) beginStop(now time.Time) {
	if n.stop.requested {
		return
	}
	n.stop.requested = true
	n.stop.startedAt = now
	n.log(EventStopStarted, stoatevent.F("deadline", n.cfg.StopDeadline.String()))
	n.setState(stoatpaddle.StateLeaving)
	n.emit(HandOver{})
}

// handedOver ends the process when no calls are open and the fabric has had time to stop sending packets.
func (n *Node) handedOver(now time.Time, ev FlowsHandedOver) {
	n.stop.openCalls = ev.OpenCalls
	if ev.OpenCalls == 0 && now.Sub(n.stop.startedAt) >= fabricLag {
		n.exit()
	}
}

func (n *Node) checkStopDeadline(now time.Time) {
	if !n.stop.requested || n.stop.done || now.Sub(n.stop.startedAt) < n.cfg.StopDeadline {
		return
	}
	n.log(EventStopDeadlineReached, stoatevent.F("calls", itoa(n.stop.openCalls)))
	n.exit()
}

func (n *Node) exit() {
	if n.stop.done {
		return
	}
	n.stop.done = true
	n.log(EventStopped)
	n.emit(Unregister{})
	n.emit(Exit{})
}
