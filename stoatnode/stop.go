package stoatnode

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// stop is the progress of this entry's planned stop.
type stop struct {
	asked bool
	since time.Time
	calls int // still open when last told
	done  bool
}

// beginStop tells everybody that this entry leaves, and hands over.
func (n *Node) beginStop(now time.Time) {
	if n.stop.asked {
		return
	}
	n.stop.asked = true
	n.stop.since = now
	n.log(EventStopStarted, stoatevent.F("deadline", n.cfg.StopDeadline.String()))
	n.setState(stoatpaddle.StateLeaving)
	n.do(HandOver{})
}

// handed ends the process once nothing is left and the fabric had time to stop sending.
func (n *Node) handed(now time.Time, ev FlowsHandedOver) {
	n.stop.calls = ev.OpenCalls
	if ev.OpenCalls == 0 && now.Sub(n.stop.since) >= fabricLag {
		n.exit()
	}
}

func (n *Node) stopDeadline(now time.Time) {
	if !n.stop.asked || n.stop.done || now.Sub(n.stop.since) < n.cfg.StopDeadline {
		return
	}
	n.log(EventStopDeadlineReached, stoatevent.F("calls", count(n.stop.calls)))
	n.exit()
}

func (n *Node) exit() {
	if n.stop.done {
		return
	}
	n.stop.done = true
	n.log(EventStopped)
	n.do(Unregister{})
	n.do(Exit{})
}
