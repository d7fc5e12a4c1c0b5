package stoattunnel

import (
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/rotisserie/eris"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// Segment describes a TCP segment to build.
type Segment struct {
	Src, Dst           netip.AddrPort
	Seq, Ack           uint32
	SYN, ACK, FIN, RST bool
	Payload            []byte
}

const defaultTTL = 64

// BuildSegment returns the segment as an IP packet with checksums.
func BuildSegment(s Segment) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Src.Port()),
		DstPort: layers.TCPPort(s.Dst.Port()),
		Seq:     s.Seq,
		Ack:     s.Ack,
		SYN:     s.SYN,
		ACK:     s.ACK,
		FIN:     s.FIN,
		RST:     s.RST,
		Window:  65535,
	}
	ip, network := ipLayer(s.Src.Addr(), s.Dst.Addr())
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, eris.Wrap(err, "tcp checksum")
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload(s.Payload)); err != nil {
		return nil, eris.Wrap(err, "serialize segment")
	}
	return buf.Bytes(), nil
}

func ipLayer(src, dst netip.Addr) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	if src.Is4() {
		ip := &layers.IPv4{
			Version: version4, TTL: defaultTTL, Protocol: layers.IPProtocolTCP,
			SrcIP: net.IP(src.AsSlice()), DstIP: net.IP(dst.AsSlice()),
		}
		return ip, ip
	}
	ip := &layers.IPv6{
		Version: version6, HopLimit: defaultTTL, NextHeader: layers.IPProtocolTCP,
		SrcIP: net.IP(src.AsSlice()), DstIP: net.IP(dst.AsSlice()),
	}
	return ip, ip
}

// ResetToCaller returns the reset that tells the caller of p that its flow is refused or lost. Its sequence
// and acknowledgment numbers follow RFC 9293 section 3.5.2, so that the caller accepts it.
func ResetToCaller(p *stoatpacket.Packet) ([]byte, error) {
	s := Segment{Src: p.Tuple.Dst, Dst: p.Tuple.Src, RST: true}
	if p.Opens {
		s.ACK = true
		s.Ack = p.Seq + 1 + uint32(p.Size)
	} else {
		s.Seq = p.Ack
	}
	return BuildSegment(s)
}

// maxQuoteSize is the maximum number of bytes of a packet that an ICMP error quotes (RFC 1812, 4.3.2.3).
const maxQuoteSize = 548

// PortUnreachable returns the ICMP error that tells a caller that nothing accepts its UDP flow (RFC 792,
// RFC 4443: port unreachable). data is the packet of the caller, and p is what was parsed from it.
func PortUnreachable(p *stoatpacket.Packet, data []byte) ([]byte, error) {
	quoted := gopacket.Payload(data[:min(len(data), maxQuoteSize)])
	src, dst := p.Tuple.Dst.Addr(), p.Tuple.Src.Addr()
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	ip, network := ipLayer(src, dst)
	if v4, ok := ip.(*layers.IPv4); ok {
		v4.Protocol = layers.IPProtocolICMPv4
		icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)}
		err := gopacket.SerializeLayers(buf, opts, v4, icmp, quoted)
		return buf.Bytes(), eris.Wrap(err, "serialize unreachable")
	}
	v6, _ := ip.(*layers.IPv6)
	v6.NextHeader = layers.IPProtocolICMPv6
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)}
	if err := icmp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, eris.Wrap(err, "icmp checksum")
	}
	err := gopacket.SerializeLayers(buf, opts, v6, icmp, gopacket.Payload(make([]byte, icmp6Unused)), quoted)
	return buf.Bytes(), eris.Wrap(err, "serialize unreachable")
}

// ResetToUpstream returns the reset that ends the flow of p at its upstream, which would otherwise keep the
// connection for a caller that has given it up.
func ResetToUpstream(p *stoatpacket.Packet) ([]byte, error) {
	return BuildSegment(Segment{Src: p.Tuple.Src, Dst: p.Tuple.Dst, RST: true, Seq: p.Seq})
}
