package stoatentry

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
)

// statusQuery asks the control actor for the node's status.
type statusQuery struct{}

// controlActor owns the node. It handles one message at a time, so the node needs no lock.
type controlActor struct {
	node    *stoatnode.Node
	clock   func() time.Time
	perform func(stoatnode.Effect)
}

// Receive implements actor.Actor.
func (c *controlActor) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case stoatnode.Event:
		for _, e := range c.node.Step(c.clock(), m) {
			c.perform(e)
		}
	case statusQuery:
		ctx.Respond(c.node.Status())
	}
}

// Connected implements stoatpeer.Handler.
func (e *Entry) Connected(h stoatmessage.Hello) { e.post(stoatnode.Connected{Hello: h}) }

// Disconnected implements stoatpeer.Handler.
func (e *Entry) Disconnected(id stoatpaddle.InstanceID) { e.post(stoatnode.Disconnected{Peer: id}) }

// Received implements stoatpeer.Handler.
func (e *Entry) Received(from stoatpaddle.InstanceID, m stoatmessage.Message) {
	e.post(stoatnode.Received{From: from, Message: m})
}

func (e *Entry) post(ev stoatnode.Event) { e.system.Root.Send(e.pid, ev) }
