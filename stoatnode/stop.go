package stoatnode

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// stopState is the progress of this entry's planned stopState.
type stopState struct {
	requested bool
	startedAt time.Time
	openCalls int // still open when last told
	done  bool
}

// beginStop tells everybody that this entry leaves, and hands over.
func (n *Node) beginStop(now time.Time) {
	if n.stop.requested {
		return
	}
	n.stop.requested = true
	n.stop.startedAt = now
	n.log(EventStopBegins, stoatevent.F("deadline", n.cfg.Stop.String()))
	n.setState(stoatpaddle.StateLeaving)
	n.emit(HandOver{})
}

// handedOver ends the process once nothing is left and the fabric had time to stop sending.
func (n *Node) handedOver(now time.Time, ev Handed) {
	n.stop.openCalls = ev.CallsOpen
	if ev.CallsOpen == 0 && now.Sub(n.stop.startedAt) >= fabricLag {
		n.exit()
	}
}

func (n *Node) stopDeadline(now time.Time) {
	if !n.stop.requested || n.stop.done || now.Sub(n.stop.startedAt) < n.cfg.Stop {
		return
	}
	n.log(EventStopDeadline, stoatevent.F("calls", itoa(n.stop.openCalls)))
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
