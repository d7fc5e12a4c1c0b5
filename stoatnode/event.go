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
	Cause     string
	After     time.Duration
	Forgotten bool
}

// Wrote carries an object that this entry's own write made.
type Wrote struct{ Object stoatpaddle.Object }

// Connected reports a connection with a peer.
type Connected struct{ Hello stoatmessage.Hello }

// Disconnected reports the end of the last connection with a peer.
type Disconnected struct{ Peer stoatpaddle.InstanceID }

// Received carries a message from a peer.
type Received struct {
	From    stoatpaddle.InstanceID
	Message stoatmessage.Message
}

// StopAsked begins the planned stop.
type StopAsked struct{}

// Handed reports that the flow engine has nothing left to hand over.
type Handed struct{ CallsOpen int }

func (Started) isEvent()        {}
func (Ticked) isEvent()         {}
func (Listed) isEvent()         {}
func (Watched) isEvent()        {}
func (PlatformFailed) isEvent() {}
func (Wrote) isEvent()          {}
func (Connected) isEvent()      {}
func (Disconnected) isEvent()   {}
func (Received) isEvent()       {}
func (StopAsked) isEvent()      {}
func (Handed) isEvent()         {}
