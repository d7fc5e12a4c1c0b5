package stoatnode

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// Event is an input of Node.Step; it is one of the types below.
type Event interface{ isEvent() }

// Started is the first event of an entry.
type Started struct{}

// Ticked occurs every TickInterval.
type Ticked struct{}

// Listed contains all objects on the platform.
type Listed struct{ Listing stoatpaddle.Listing }

// Watched contains the changes that a watch returned.
type Watched struct{ Listing stoatpaddle.Listing }

// PlatformFailed reports a failed list or watch. RetryAfter is the delay that the platform asked for, if any.
// HistoryGone reports that the platform no longer has the changes after the revision of the watch.
type PlatformFailed struct {
	Cause       string
	RetryAfter  time.Duration
	HistoryGone bool
}

// ObjectWritten contains the object that results from a write of this entry, or the current one if the write
// conflicted with it.
type ObjectWritten struct{ Object stoatpaddle.Object }

// Connected reports a new connection to a peer.
type Connected struct{ Hello stoatmessage.Hello }

// Disconnected reports the end of the last connection to a peer.
type Disconnected struct{ Peer stoatpaddle.InstanceID }

// Received contains a message from a peer.
type Received struct {
	From    stoatpaddle.InstanceID
	Message stoatmessage.Message
}

// StopRequested requests the planned stop.
type StopRequested struct{}

// FlowsHandedOver reports that the flow engine has nothing left to hand over, and the number of open calls.
type FlowsHandedOver struct{ OpenCalls int }

func (Started) isEvent()         {}
func (Ticked) isEvent()          {}
func (Listed) isEvent()          {}
func (Watched) isEvent()         {}
func (PlatformFailed) isEvent()  {}
func (ObjectWritten) isEvent()   {}
func (Connected) isEvent()       {}
func (Disconnected) isEvent()    {}
func (Received) isEvent()        {}
func (StopRequested) isEvent()   {}
func (FlowsHandedOver) isEvent() {}
