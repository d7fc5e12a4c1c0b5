package stoattunnel

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// Parser parses packets without allocating. It must not be used by several goroutines at once.
type Parser struct {
	ip4      layers.IPv4
	ip6      layers.IPv6
	tcp      layers.TCP
	udp      layers.UDP
	icmp4    layers.ICMPv4
	icmp6    layers.ICMPv6
	feedback gopacket.DecodeFeedback
}

// NewParser returns a Parser.
func NewParser() *Parser { return &Parser{feedback: gopacket.NilDecodeFeedback} }

const (
	version4 = 4
	version6 = 6
	// icmp6Unused is the length of the unused field between an ICMPv6 header and the packet that it quotes
	// (RFC 4443).
	icmp6Unused = 4
	// quotedPorts is the length in bytes of the two ports, the part of the quoted transport header that is
	// read. An ICMP error always quotes them (RFC 792).
	quotedPorts = 4
)

// Parse fills p from data and returns the reason to drop the packet, or DropNone.
func (r *Parser) Parse(data []byte, p *stoatpacket.Packet) stoatpacket.DropReason {
	*p = stoatpacket.Packet{}
	if len(data) == 0 {
		return stoatpacket.DropShort
	}
	switch data[0] >> 4 {
	case version4:
		return r.parse4(data, p)
	case version6:
		return r.parse6(data, p)
	default:
		return stoatpacket.DropNotIP
	}
}

func (r *Parser) parse4(data []byte, p *stoatpacket.Packet) stoatpacket.DropReason {
	if err := r.ip4.DecodeFromBytes(data, r.feedback); err != nil {
		return stoatpacket.DropShort
	}
	// Fragments after the first have no ports, so their flow is not known, and the first would reach an
	// upstream that never gets the rest.
	if r.ip4.FragOffset != 0 || r.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return stoatpacket.DropFragment
	}
	src, okSrc := netip.AddrFromSlice(r.ip4.SrcIP)
	dst, okDst := netip.AddrFromSlice(r.ip4.DstIP)
	if !okSrc || !okDst {
		return stoatpacket.DropShort
	}
	if r.ip4.Protocol == layers.IPProtocolICMPv4 {
		return r.parseICMP4(p)
	}
	return r.parseTransport(uint8(r.ip4.Protocol), src.Unmap(), dst.Unmap(), r.ip4.Payload, p)
}

func (r *Parser) parse6(data []byte, p *stoatpacket.Packet) stoatpacket.DropReason {
	if err := r.ip6.DecodeFromBytes(data, r.feedback); err != nil {
		return stoatpacket.DropShort
	}
	if r.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return stoatpacket.DropFragment
	}
	src, okSrc := netip.AddrFromSlice(r.ip6.SrcIP)
	dst, okDst := netip.AddrFromSlice(r.ip6.DstIP)
	if !okSrc || !okDst {
		return stoatpacket.DropShort
	}
	if r.ip6.NextHeader == layers.IPProtocolICMPv6 {
		return r.parseICMP6(p)
	}
	return r.parseTransport(uint8(r.ip6.NextHeader), src, dst, r.ip6.Payload, p)
}

func (r *Parser) parseTransport(proto uint8, src, dst netip.Addr, data []byte, p *stoatpacket.Packet) stoatpacket.DropReason {
	p.Tuple.Protocol = stoatpaddle.Protocol(proto)
	switch p.Tuple.Protocol {
	case stoatpaddle.ProtocolTCP:
		if err := r.tcp.DecodeFromBytes(data, r.feedback); err != nil {
			return stoatpacket.DropShort
		}
		p.Tuple.Src = netip.AddrPortFrom(src, uint16(r.tcp.SrcPort))
		p.Tuple.Dst = netip.AddrPortFrom(dst, uint16(r.tcp.DstPort))
		p.Opens = r.tcp.SYN && !r.tcp.ACK
		p.Ends = r.tcp.FIN || r.tcp.RST
		p.Reset = r.tcp.RST
		p.Seq = r.tcp.Seq
		p.Ack = r.tcp.Ack
		p.Size = len(r.tcp.Payload)
		return stoatpacket.DropNone
	case stoatpaddle.ProtocolUDP:
		if err := r.udp.DecodeFromBytes(data, r.feedback); err != nil {
			return stoatpacket.DropShort
		}
		p.Tuple.Src = netip.AddrPortFrom(src, uint16(r.udp.SrcPort))
		p.Tuple.Dst = netip.AddrPortFrom(dst, uint16(r.udp.DstPort))
		p.Opens = true
		p.Size = len(r.udp.Payload)
		return stoatpacket.DropNone
	default:
		return stoatpacket.DropProtocol
	}
}

// parseICMP4 takes the flow from the packet that the error quotes. That packet went from the upstream to
// the caller, so its source is the service (RFC 792, RFC 1191).
func (r *Parser) parseICMP4(p *stoatpacket.Packet) stoatpacket.DropReason {
	if err := r.icmp4.DecodeFromBytes(r.ip4.Payload, r.feedback); err != nil {
		return stoatpacket.DropShort
	}
	if r.icmp4.TypeCode.Type() != layers.ICMPv4TypeDestinationUnreachable {
		return stoatpacket.DropProtocol
	}
	quoted := r.icmp4.Payload
	if len(quoted) == 0 || quoted[0]>>4 != version4 {
		return stoatpacket.DropShort
	}
	header := int(quoted[0]&0x0f) * 4
	if header < 20 || len(quoted) < header+quotedPorts {
		return stoatpacket.DropShort
	}
	src, _ := netip.AddrFromSlice(quoted[12:16])
	dst, _ := netip.AddrFromSlice(quoted[16:20])
	return setQuotedFlow(quoted[9], src, dst, quoted[header:], p)
}

func (r *Parser) parseICMP6(p *stoatpacket.Packet) stoatpacket.DropReason {
	if err := r.icmp6.DecodeFromBytes(r.ip6.Payload, r.feedback); err != nil {
		return stoatpacket.DropShort
	}
	t := r.icmp6.TypeCode.Type()
	if t != layers.ICMPv6TypeDestinationUnreachable && t != layers.ICMPv6TypePacketTooBig {
		return stoatpacket.DropProtocol
	}
	const header = 40
	if len(r.icmp6.Payload) < icmp6Unused+header+quotedPorts {
		return stoatpacket.DropShort
	}
	quoted := r.icmp6.Payload[icmp6Unused:]
	if quoted[0]>>4 != version6 {
		return stoatpacket.DropShort
	}
	src, _ := netip.AddrFromSlice(quoted[8:24])
	dst, _ := netip.AddrFromSlice(quoted[24:40])
	return setQuotedFlow(quoted[6], src, dst, quoted[header:], p)
}

// setQuotedFlow fills p with the flow of a packet that an ICMP error quotes, with source and destination
// exchanged.
func setQuotedFlow(proto uint8, src, dst netip.Addr, ports []byte, p *stoatpacket.Packet) stoatpacket.DropReason {
	p.Tuple.Protocol = stoatpaddle.Protocol(proto)
	if p.Tuple.Protocol != stoatpaddle.ProtocolTCP && p.Tuple.Protocol != stoatpaddle.ProtocolUDP {
		return stoatpacket.DropProtocol
	}
	p.ICMP = true
	p.Tuple.Dst = netip.AddrPortFrom(src, binary.BigEndian.Uint16(ports))
	p.Tuple.Src = netip.AddrPortFrom(dst, binary.BigEndian.Uint16(ports[2:]))
	return stoatpacket.DropNone
}
