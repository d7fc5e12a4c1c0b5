package stoattunnel

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

var (
	caller4  = netip.MustParseAddrPort("198.18.0.7:4242")
	service4 = netip.MustParseAddrPort("203.0.113.10:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:4242")
	service6 = netip.MustParseAddrPort("[2001:db8:1::10]:443")
)

func segment(t testing.TB, s Segment) []byte {
	data, err := BuildSegment(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func with(data []byte, at int, b byte) []byte {
	out := append([]byte(nil), data...)
	out[at] = b
	return out
}

// tooBig quotes a packet from the service to the caller, as a router on the way would.
func tooBig(t testing.TB) []byte {
	quoted := segment(t, Segment{Src: service4, Dst: caller4, ACK: true})[:28]
	head := segment(t, Segment{Src: netip.MustParseAddrPort("192.0.2.1:1"), Dst: service4})[:20]
	head[9], head[3] = 1, byte(28+len(quoted))
	return append(append(head, 3, 4, 0, 0, 0, 0, 5, 0), quoted...)
}

func TestParse(t *testing.T) {
	syn4 := segment(t, Segment{Src: caller4, Dst: service4, SYN: true, Seq: 9})
	syn6 := segment(t, Segment{Src: caller6, Dst: service6, SYN: true, Seq: 9})
	for _, c := range []struct {
		name string
		data []byte
		want stoatpacket.DropReason
	}{
		{"IPv4 SYN", syn4, stoatpacket.DropNone},
		{"IPv6 SYN", syn6, stoatpacket.DropNone},
		{"packet too big", tooBig(t), stoatpacket.DropNone},
		{"empty", nil, stoatpacket.DropShort},
		{"cut in the IP header", syn4[:12], stoatpacket.DropShort},
		{"cut in the TCP header", with(syn4, 3, 30)[:30], stoatpacket.DropShort},
		{"not IP", with(syn4, 0, 0x15), stoatpacket.DropNotIP},
		{"first fragment", with(syn4, 6, 0x20), stoatpacket.DropFragment},
		{"later fragment", with(syn4, 7, 0x10), stoatpacket.DropFragment},
		{"IPv6 fragment", with(syn6, 6, 44), stoatpacket.DropFragment},
		{"other protocol", with(syn4, 9, 47), stoatpacket.DropProtocol},
		{"echo request", with(tooBig(t), 20, 8), stoatpacket.DropProtocol},
		{"error quoting too little", with(tooBig(t), 3, 40)[:40], stoatpacket.DropShort},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p stoatpacket.Packet
			if got := NewParser().Parse(c.data, &p); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestParsedFields(t *testing.T) {
	convey.Convey("A packet and an ICMP error about its answer belong to one flow", t, func() {
		var p, e stoatpacket.Packet
		r := NewParser()
		convey.So(r.Parse(segment(t, Segment{Src: caller4, Dst: service4, SYN: true, Seq: 9}), &p), convey.ShouldEqual, stoatpacket.DropNone)
		convey.So(r.Parse(tooBig(t), &e), convey.ShouldEqual, stoatpacket.DropNone)
		convey.So(p.Opens, convey.ShouldBeTrue)
		convey.So(e.ICMP, convey.ShouldBeTrue)
		convey.So(e.Tuple, convey.ShouldResemble, p.Tuple)
		convey.So(p.Tuple, convey.ShouldResemble, stoatpacket.Tuple{Src: caller4, Dst: service4, Protocol: stoatpaddle.ProtocolTCP})
		convey.So(stoatpacket.Seed{K0: 1}.Hash(p.Tuple), convey.ShouldNotEqual, stoatpacket.Seed{K0: 2}.Hash(p.Tuple))
	})
	convey.Convey("A reset is one that the caller accepts (RFC 9293, 3.5.2)", t, func() {
		var p, rst stoatpacket.Packet
		r := NewParser()
		convey.So(r.Parse(segment(t, Segment{Src: caller6, Dst: service6, ACK: true, Seq: 9, Ack: 77}), &p), convey.ShouldEqual, stoatpacket.DropNone)
		data, err := ResetToCaller(&p)
		convey.So(err, convey.ShouldBeNil)
		convey.So(r.Parse(data, &rst), convey.ShouldEqual, stoatpacket.DropNone)
		convey.So(rst.Reset, convey.ShouldBeTrue)
		convey.So(rst.Seq, convey.ShouldEqual, 77)
		convey.So(rst.Tuple.Src, convey.ShouldResemble, service6)
	})
}

func TestUnreachable(t *testing.T) {
	for _, c := range []struct {
		src, dst netip.AddrPort
		head     int
		icmp     []byte
	}{{caller4, service4, 20, []byte{3, 3}}, {caller6, service6, 40, []byte{1, 4}}} {
		packet := segment(t, Segment{Src: c.src, Dst: c.dst, SYN: true})
		var p stoatpacket.Packet
		if reason := NewParser().Parse(packet, &p); reason != stoatpacket.DropNone {
			t.Fatal(reason)
		}
		data, err := PortUnreachable(&p, packet)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(data[c.head:c.head+2], c.icmp) || !bytes.Equal(data[c.head+8:], packet) {
			t.Errorf("% x", data)
		}
	}
}

func FuzzParse(f *testing.F) {
	syn := segment(f, Segment{Src: caller4, Dst: service4, SYN: true})
	for _, seed := range [][]byte{nil, {0x45}, {0x60}, syn, syn[:21], with(syn, 0, 0x4f), with(syn, 2, 0xff), tooBig(f), with(tooBig(f), 28, 0x4f), segment(f, Segment{Src: caller6, Dst: service6})} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p stoatpacket.Packet
		if NewParser().Parse(data, &p) == stoatpacket.DropNone && (!p.Tuple.Src.IsValid() || !p.Tuple.Dst.IsValid()) {
			t.Fatal("accepted without addresses")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	data := segment(b, Segment{Src: caller4, Dst: service4, ACK: true, Payload: make([]byte, 100)})
	r := NewParser()
	var p stoatpacket.Packet
	b.ReportAllocs()
	for b.Loop() {
		r.Parse(data, &p)
	}
}

func BenchmarkHash(b *testing.B) {
	t := stoatpacket.Tuple{Src: caller4, Dst: service4, Protocol: stoatpaddle.ProtocolTCP}
	s := stoatpacket.Seed{K0: 1, K1: 2}
	for b.Loop() {
		s.Hash(t)
	}
}
