package stoatnode

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

// Event is something that happened; one of the types below.
type Event interface{ isEvent() }

// Started is the first event.
type Started struct{}

// Ticked comes every TickEvery.
type Ticked struct{}

// Listed carries everything that stands on the platform.
type Listed struct{ Listing stoatpaddle.Listing }

// Watched carries the changes that a watch brought.
type Watched struct{ Listing stoatpaddle.Listing }

// PlatformFailed reports a list or watch without an answer; After is the pause the platform asked for.
// Forgotten says that it cannot go on from the revision that was named.
type PlatformFailed struct {
	Cause       string
	RetryAfter  time.Duration
	HistoryGone bool
}

// ObjectWritten carries an object that this entry's own write made.
type ObjectWritten struct{ Object stoatpaddle.Object }

// Connected reports a connection with a peer.
type Connected struct{ Hello stoatmessage.Hello }

// Disconnected reports the end of the last connection with a peer.
type Disconnected struct{ Peer stoatpaddle.InstanceID }

// Received carries a message from a peer.
type Received struct {
	From    stoatpaddle.InstanceID
	Message stoatmessage.Message
}

// StopRequested begins the planned stop.
type StopRequested struct{}

// FlowsHandedOver reports that the flow engine has nothing left to hand over.
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
