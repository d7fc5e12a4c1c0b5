package stoatentry

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of an entry's sockets, of its handover and of writes to the platform.
var (
	EventListening = stoatevent.Register(stoatevent.Definition{
		Number: 1201, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry is listening",
		Text:  "All sockets of the entry are open.",
	})
	EventHandover = stoatevent.Register(stoatevent.Definition{
		Number: 1202, Severity: stoatevent.Info, Since: "0.1",
		Title: "flow handover begins",
		Text:  "The entry is stopping and sends its tracked flows to their next owners, at the rate that the control budget allows. The field estimate has the expected duration.",
	})
	EventWriteFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1203, Severity: stoatevent.Warning, Since: "0.1",
		Title: "write to the platform failed",
		Text:  "A write of the entry's own object, or of an object that a restored platform had lost, failed or got no answer. The entry retries it with backoff. Until a write of its own object succeeds, peers know the entry from the hello message that it sends them.",
	})
)
