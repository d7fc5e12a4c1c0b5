// Package stoatpacket defines what an entry reads from one packet, on either fabric: the flow that it
// belongs to, its effect on the flow, and the reason why it was dropped.
package stoatpacket
