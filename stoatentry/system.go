package stoatentry

import (
	"log/slog" // house: the type that the actor library's configuration asks for

	"github.com/asynkron/protoactor-go/actor"
)

// newSystem returns an actor system that keeps its own log lines to itself: everything a
// user should see is a numbered event.
func newSystem() *actor.ActorSystem {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
	return actor.NewActorSystem(actor.WithLoggerFactory(quiet))
}
