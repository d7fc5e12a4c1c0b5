package stoatentry

import (
	"log/slog" // house: the type that the actor library's configuration asks for

	"github.com/asynkron/protoactor-go/actor"
)

// newSystem returns an actor system whose own log lines are discarded, because everything that an operator
// should see is logged as a numbered event.
func newSystem() *actor.ActorSystem {
	discard := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return actor.NewActorSystem(actor.WithLoggerFactory(discard))
}
