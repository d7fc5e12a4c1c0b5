package stoatpacket

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/stoatpaddle/stoatpaddle"
)

// DropReason tells why a packet was not forwarded.
type DropReason uint8

// The reasons for dropping a packet, in the order of the checks.
const (
	DropNone DropReason = iota
	DropShort
	DropNotIP
	DropFragment
	DropProtocol
	DropUnknownService
	DropLimit
	DropNoUpstream
	DropHopLimit
	DropUnauthenticated
	DropPartitioned  // of a flow that entries beyond a cut may know
	DropLength       // a length that is not the datagram's
	DropFlags        // flags that no caller sends
	DropOwnSource    // an address of this entry as the caller's
	DropForged       // a cookie of a service that the route never had
	DropUnverified   // a cookie that this entry cannot judge yet
	DropUnconfigured // this entry has no configuration yet
	DropUpstreamGone // the flow's upstream is gone
	DropNoRoute      // no route has the address
	DropOverload     // it would be answered late, and make others late
	DropCount        // number of reasons
)

var dropNames = [DropCount]string{
	"none", "short", "notip", "fragment", "protocol", "service", "limit", "upstream", "hops", "foreign", "elsewhere",
	"length", "flags", "own", "forged", "unproven", "young", "gone", "route", "overload",
}

// String returns the metric label of the reason.
func (r DropReason) String() string { return dropNames[r] }

// Tuple is a flow's five-tuple, seen from the caller.
type Tuple struct {
	Src      netip.AddrPort
	Dst      netip.AddrPort
	Protocol stoatpaddle.Protocol
}

// Packet is what an entry needs to know of one inner packet.
type Packet struct {
	Tuple Tuple
	Opens bool   // TCP SYN without ACK; every UDP packet may open
	Ends  bool   // TCP FIN or RST
	Reset bool   // TCP RST
	ICMP  bool   // an ICMP error that quotes the tuple, reversed
	Seq   uint32 // TCP sequence number
	Ack   uint32 // TCP acknowledgment number
	Size  int    // TCP payload, bytes

	// On a fabric whose packets bring back what an entry wrote into them:
	Cookie      stoatpaddle.UpstreamKey // the flow's upstream; 0 while it opens
	Retransmits int                     // of an opening packet: how many were sent before
}

// Seed is the cluster's secret hash key; without it callers could aim flows at one upstream.
type Seed struct{ K0, K1 uint64 }

// Hash returns the keyed hash of the tuple.
func (s Seed) Hash(t Tuple) stoatpaddle.FlowHash {
	var b [37]byte
	src, dst := t.Src.Addr().As16(), t.Dst.Addr().As16()
	copy(b[0:16], src[:])
	copy(b[16:32], dst[:])
	binary.BigEndian.PutUint16(b[32:], t.Src.Port())
	binary.BigEndian.PutUint16(b[34:], t.Dst.Port())
	b[36] = byte(t.Protocol)
	return stoatpaddle.FlowHash(siphash.Hash(s.K0, s.K1, b[:]) >> (64 - stoatpaddle.FlowHashBits))
}
