package stoatedge

import (
	"github.com/asynkron/protoactor-go/actor"
)

// control is the actor that owns the keeper: one event at a time.
type control struct {
	edge   *Edge
	keeper *keeper
}

// Receive implements actor.Actor.
func (c *control) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case started, ticked, ended, told, parted, resumed, doubted, rebound:
		for _, effect := range c.keeper.step(clock(), m) {
			c.edge.do(effect)
		}
	}
}
