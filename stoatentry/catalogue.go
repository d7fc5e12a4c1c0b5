package stoatentry

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of an entry's sockets.
var (
	EventListening = stoatevent.Register(stoatevent.Definition{
		Number: 1201, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry listens",
		Text:  "All sockets of the entry are open.",
	})
	EventHandover = stoatevent.Register(stoatevent.Definition{
		Number: 1202, Severity: stoatevent.Info, Since: "0.1",
		Title: "handing over",
		Text:  "The entry sends its tracked flows to their next owners within the byte budget; the event estimates how long that takes.",
	})
	EventWriteFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1203, Severity: stoatevent.Warning, Since: "0.1",
		Title: "own write unanswered",
		Text:  "The platform did not answer a write of the entry's own object. Peers know the entry from its hello meanwhile; the write is tried again.",
	})
)
