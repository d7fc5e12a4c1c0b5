package stoatactor

import (
	"log/slog" // house: the type that the actor library's configuration asks for

	"github.com/asynkron/protoactor-go/actor"
)

// NewSystem returns an actor system that keeps its own log lines to itself: everything a
// user should see is a numbered event.
func NewSystem() *actor.ActorSystem {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return actor.NewActorSystem(actor.WithLoggerFactory(quiet))
}
