package stoatnode

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Effect is something to do; one of the types below.
type Effect interface{ isEffect() }

// Publish makes a view the one that traffic reads.
type Publish struct{ View *stoatview.View }

// List reads everything from the platform, after a pause; it ends in Listed or PlatformFailed.
type List struct{ Delay time.Duration }

// Watch waits for changes on the platform; it ends in Watched or PlatformFailed.
type Watch struct {
	From  stoatpaddle.Version
	Delay time.Duration
}

// Rewrite writes an object again that a restored platform has lost, on top of the version it names.
type Rewrite struct{ Object stoatpaddle.Object }

// Register writes this entry's instance object.
type Register struct{ Instance stoatpaddle.Instance }

// Unregister removes this entry's instance object.
type Unregister struct{}

// MakeSeed creates the cluster's hash key unless another entry does first.
type MakeSeed struct{}

// Dial connects to a peer; an empty ID means a seed of unknown name.
type Dial struct {
	Peer stoatpaddle.InstanceID
	Addr netip.AddrPort
}

// Disconnect closes the connection with a peer.
type Disconnect struct{ Peer stoatpaddle.InstanceID }

// Send sends a message to a peer.
type Send struct {
	To      stoatpaddle.InstanceID
	Message stoatmessage.Message
}

// DeliverFlows gives flow records from a peer to the flow engine.
type DeliverFlows struct {
	From  stoatpaddle.InstanceID
	Flows *stoatmessage.Flows
}

// Resync sends a newly connected peer every flow record it should hold: what was under
// way on an earlier connection may be lost.
type Resync struct{ Peer stoatpaddle.InstanceID }

// Log writes a numbered event.
type Log struct {
	Entry  *stoatevent.Definition
	Fields []stoatevent.Field
}

// HandOver begins to hand over flows and to refuse new calls; it ends in Handed.
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
