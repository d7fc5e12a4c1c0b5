// Package stoatpacket holds what an entry knows of one packet, on either fabric: its flow,
// what it does to the flow, and why it was dropped.
package stoatpacket
