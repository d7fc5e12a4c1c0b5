package stoatpeer

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of connections between entries.
var (
	EventMalformedFrame = stoatevent.Register(stoatevent.Definition{
		Number: 1101, Severity: stoatevent.Warning, Since: "0.1",
		Title: "malformed frame",
		Text:  "A peer's connection brought something that is no frame of this protocol, or one over the size cap. That connection is closed and dialled again; nothing else is touched. If it repeats, something other than an entry connects to the peer port.",
	})
	EventPeerRefused = stoatevent.Register(stoatevent.Definition{
		Number: 1102, Severity: stoatevent.Warning, Since: "0.1",
		Title: "peer refused",
		Text:  "The other side's hello names another cluster, or this entry itself. Check the cluster and the addresses in its settings.",
	})
	EventSlowPeer = stoatevent.Register(stoatevent.Definition{
		Number: 1103, Severity: stoatevent.Warning, Since: "0.1",
		Title: "peer does not read",
		Text:  "A peer took too long to read what was sent. The connection is closed, so that it cannot hold memory here, and dialled again.",
	})
)
