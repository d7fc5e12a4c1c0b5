package stoatnode

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Effect is an action for the caller of Node.Step to perform; it is one of the types below.
type Effect interface{ isEffect() }

// Publish makes a view the current one for the handling of packets and calls.
type Publish struct{ View *stoatview.View }

// List reads all objects from the platform after a delay. Its result is Listed or PlatformFailed.
type List struct{ Delay time.Duration }

// Watch waits for changes on the platform after a revision. It starts after a delay, and its result is
// Watched or PlatformFailed.
type Watch struct {
	From  stoatpaddle.Version
	Delay time.Duration
}

// Rewrite writes an object again that a restored platform has lost. The version of the object is the one to
// replace, or 0 if the platform has none.
type Rewrite struct{ Object stoatpaddle.Object }

// Register writes the instance object of this entry.
type Register struct{ Instance stoatpaddle.Instance }

// Unregister deletes the instance object of this entry.
type Unregister struct{}

// MakeSeed creates the hash key of the cluster unless another entry creates it first.
type MakeSeed struct{}

// Dial connects to a peer. The ID is empty if the address is one of Config.Seeds, whose ID is not known yet.
type Dial struct {
	Peer stoatpaddle.InstanceID
	Addr netip.AddrPort
}

// Disconnect closes the connection to a peer.
type Disconnect struct{ Peer stoatpaddle.InstanceID }

// Send sends a message to a peer.
type Send struct {
	To      stoatpaddle.InstanceID
	Message stoatmessage.Message
}

// DeliverFlows passes flow records from a peer to the flow engine.
type DeliverFlows struct {
	From  stoatpaddle.InstanceID
	Flows *stoatmessage.Flows
}

// Resync sends a newly connected peer every flow record that it should have: messages in transit on an
// earlier connection may be lost.
type Resync struct{ Peer stoatpaddle.InstanceID }

// Log writes a numbered event to the log.
type Log struct {
	Definition *stoatevent.Definition
	Fields     []stoatevent.Field
}

// HandOver starts to hand over flows and to refuse new calls. When the flows are handed over,
// FlowsHandedOver events report the number of open calls.
type HandOver struct{}

// Exit ends the process.
type Exit struct{}

func (Publish) isEffect()      {}
func (List) isEffect()         {}
func (Watch) isEffect()        {}
func (Rewrite) isEffect()      {}
func (Register) isEffect()     {}
func (Unregister) isEffect()   {}
func (MakeSeed) isEffect()     {}
func (Dial) isEffect()         {}
func (Disconnect) isEffect()   {}
func (Send) isEffect()         {}
func (DeliverFlows) isEffect() {}
func (Log) isEffect()          {}
func (Resync) isEffect()       {}
func (HandOver) isEffect()     {}
func (Exit) isEffect()         {}
