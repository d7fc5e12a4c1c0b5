// Package stoattunnel parses the inner IP packets that arrive from a tunnel fabric and builds the few
// packets that an entry itself sends.
//
// A packet arrives as the payload of a UDP datagram: generic UDP encapsulation, variant 1
// (draft-ietf-intarea-gue), so the first byte is that of the inner IP header.
//
// The package is separate from stoatpacket, whose types both fabrics use, because gopacket's layers build
// their tables at each start of a program that links them. An entry on an echo fabric never uses them.
package stoattunnel
