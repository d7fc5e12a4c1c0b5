package stoatflow

import (
	"encoding/binary"
	"fmt"

	"github.com/dchest/siphash"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// HeaderKind is the purpose of a datagram between entries.
type HeaderKind uint8

// The kinds of datagrams between entries. The zero value stands for a packet from the fabric.
const (
	KindFabric     HeaderKind = iota
	KindRelay                 // the receiver owns or claimed the flow, according to the sender
	KindLookup                // a lookup: the sender owns the flow but has no record of it
	KindLookupMiss            // the answer to a lookup if the receiver does not know the flow either
	KindNotice                // tells the owner to which upstream the flow goes; no packet follows
)

// Header precedes the inner packet in a datagram between entries.
type Header struct {
	Kind    HeaderKind
	Hops    uint8 // number of entries that have handled the packet
	Queried uint8 // number of candidates that have been queried
}

// HeaderSize is the length of an encoded header in bytes.
const HeaderSize = 8

const tagOffset = 4 // the authentication tag follows the fields that it covers

// headerVersion is the first byte. It differs from the first byte of any IP packet, whose high four bits are
// the IP version, so that a packet from the fabric sent to the wrong port cannot pass for a relayed one.
const headerVersion = 0x01

// HeaderError reports a datagram that no entry of this version sent.
type HeaderError struct {
	Length  int
	Version byte
	Kind    byte
}

// Error returns the length, version and kind that were found.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("relayed datagram: length %d, version %d, kind %d", e.Length, e.Version, e.Kind)
}

// Encode encodes the header of a packet of flow k into b, which has room for HeaderSize bytes.
func (h Header) Encode(b []byte, seed stoatpacket.Seed, k stoatpaddle.FlowHash) {
	b[0] = headerVersion
	b[1] = byte(h.Kind)
	b[2] = h.Hops
	b[3] = h.Queried
	binary.BigEndian.PutUint32(b[tagOffset:], authTag(b, seed, k))
}

// authTag returns a tag that proves that the header comes from an entry of the cluster, since only those
// know the seed. A check of the sender's address instead would refuse an entry that joined a moment ago and
// is not known here yet, and its packets would be lost while views differ.
func authTag(b []byte, seed stoatpacket.Seed, k stoatpaddle.FlowHash) uint32 {
	var msg [tagOffset + 8]byte
	copy(msg[:], b[:tagOffset])
	binary.BigEndian.PutUint64(msg[tagOffset:], uint64(k))
	return uint32(siphash.Hash(seed.K1, seed.K0, msg[:]))
}

// noticeSize is the length in bytes of the flow and its upstream, which follow the header of a KindNotice
// datagram.
const noticeSize = 12

// EncodeNotice encodes a KindNotice datagram into b and returns its length.
func EncodeNotice(b []byte, seed stoatpacket.Seed, k stoatpaddle.FlowHash, up stoatpaddle.UpstreamKey) int {
	Header{Kind: KindNotice}.Encode(b, seed, k)
	binary.BigEndian.PutUint64(b[HeaderSize:], uint64(k))
	binary.BigEndian.PutUint32(b[HeaderSize+8:], uint32(up))
	return HeaderSize + noticeSize
}

// DecodeNotice decodes the record in a KindNotice datagram. ok is false unless an entry of the cluster made
// the datagram.
func DecodeNotice(b []byte, seed stoatpacket.Seed) (r Record, ok bool) {
	if len(b) < HeaderSize+noticeSize {
		return Record{}, false
	}
	r.Key = stoatpaddle.FlowHash(binary.BigEndian.Uint64(b[HeaderSize:]))
	r.Upstream = stoatpaddle.UpstreamKey(binary.BigEndian.Uint32(b[HeaderSize+8:]))
	return r, VerifyTag(b, seed, r.Key)
}

// VerifyTag reports whether the header in b was made for flow k by an entry of the cluster.
func VerifyTag(b []byte, seed stoatpacket.Seed, k stoatpaddle.FlowHash) bool {
	return binary.BigEndian.Uint32(b[tagOffset:]) == authTag(b, seed, k)
}

// DecodeHeader decodes the header of a datagram, or returns *HeaderError.
func DecodeHeader(b []byte) (Header, error) {
	if len(b) < HeaderSize {
		return Header{}, &HeaderError{Length: len(b)}
	}
	kind := HeaderKind(b[1])
	if b[0] != headerVersion || kind < KindRelay || kind > KindNotice {
		return Header{}, &HeaderError{Length: len(b), Version: b[0], Kind: b[1]}
	}
	return Header{Kind: kind, Hops: b[2], Queried: b[3]}, nil
}
