package stoatpacket

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/stoatpaddle/stoatpaddle"
)

// DropReason is the reason why a packet was not forwarded.
type DropReason uint8

// The reasons for dropping a packet, in the order of dropNames.
const (
	DropNone  DropReason = iota
	DropShort            // too short for its headers
	DropNotIP
	DropFragment
	DropProtocol
	DropUnknownService
	DropLimit
	DropNoUpstream
	DropHopLimit        // passed too many entries
	DropUnauthenticated // a relayed datagram that no entry of the cluster sent
	DropPartitioned     // its flow may be known only to entries beyond a partition
	DropLength          // its length field differs from the length of the datagram
	DropFlags           // flags that no caller sends
	DropOwnSource       // the caller's address is one of this entry's
	DropForged          // the cookie belongs to a service that the route never had
	DropUnverified      // this entry cannot verify the cookie yet
	DropUnconfigured    // this entry has no configuration yet
	DropUpstreamGone    // the flow's upstream is gone
	DropNoRoute         // no route has the address
	DropOverload        // it would be answered late and delay others
	DropLevel           // a more urgent level needs the room at the upstreams
	DropFairness        // other routes of its level need the room at the upstreams
	DropAway            // the callers of its upstreams' own data centre leave no room
	DropStale           // an opening that waited so long that a copy of it may have opened its flow elsewhere
	DropCount           // number of reasons
)

var dropNames = [DropCount]string{
	"none", "short", "notip", "fragment", "protocol", "service", "limit", "upstream", "hops", "foreign", "elsewhere",
	"length", "flags", "own", "forged", "unproven", "young", "gone", "route", "overload",
	"level", "fairness", "away", "stale",
}

// String returns the metric label of the reason.
func (r DropReason) String() string { return dropNames[r] }

// Tuple is the five-tuple of a flow, with the caller as the source.
type Tuple struct {
	Src      netip.AddrPort
	Dst      netip.AddrPort
	Protocol stoatpaddle.Protocol
}

// Packet is the part of one inner packet on which the decisions of an entry depend.
type Packet struct {
	Tuple Tuple
	Opens bool   // TCP SYN without ACK; any UDP packet, as it may be the first of its flow
	Ends  bool   // TCP FIN or RST
	Reset bool   // TCP RST
	ICMP  bool   // an ICMP error that quotes the tuple, in reverse
	Seq   uint32 // TCP sequence number
	Ack   uint32 // TCP acknowledgment number
	Size  int    // TCP payload in bytes

	// These fields are set on a fabric whose packets return what an entry wrote into earlier ones.
	Cookie      stoatpaddle.UpstreamKey // key of the flow's upstream; 0 while the flow opens
	Retransmits int                     // of an opening packet: how many were sent before it
}

// Seed is the cluster's secret hash key. Without a secret, callers could choose tuples that all hash to one
// upstream.
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
