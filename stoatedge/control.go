package stoatedge

import (
	"log/slog" // house: the type that the actor library's configuration asks for

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

// newSystem returns an actor system that keeps its own log lines to itself: everything a
// user should see is a numbered event.
func newSystem() *actor.ActorSystem {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return actor.NewActorSystem(actor.WithLoggerFactory(quiet))
}
