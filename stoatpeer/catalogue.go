package stoatpeer

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The events of connections between entries.
var (
	EventMalformedFrame = stoatevent.Register(stoatevent.Definition{
		Number: 1101, Severity: stoatevent.Warning, Since: "0.1",
		Title: "malformed frame",
		Text:  "A peer's connection carried something that is not a frame of this protocol, or a frame above the size limit. The entry closes that connection and dials again; other connections are not affected. If the event repeats, check what connects to the peer port, as it may not be an entry.",
	})
	EventPeerRefused = stoatevent.Register(stoatevent.Definition{
		Number: 1102, Severity: stoatevent.Warning, Since: "0.1",
		Title: "peer refused",
		Text:  "The peer's hello names another cluster, or this entry itself. The entry closes the connection. Check the cluster and the addresses in the settings of both.",
	})
	EventSlowPeer = stoatevent.Register(stoatevent.Definition{
		Number: 1103, Severity: stoatevent.Warning, Since: "0.1",
		Title: "peer reads too slowly",
		Text:  "A peer reads messages more slowly than they are sent, and its queue is full. The entry closes the connection, which frees the memory of the queue, and dials again. If the event repeats, check the load of the peer and the network to it.",
	})
)
