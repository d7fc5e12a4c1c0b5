// Package stoattunnel reads the inner IP packets that arrive from a tunnel fabric and
// builds the few packets that an entry sends itself.
//
// A packet arrives as the payload of a UDP datagram: generic UDP encapsulation,
// variant 1 (draft-ietf-intarea-gue), so the first byte is the inner IP header's.
//
// It stands apart from stoatpacket, whose types both fabrics use: gopacket's layers build
// their tables at each start of a program that links them, which an entry on an echo fabric
// never uses.
package stoattunnel
