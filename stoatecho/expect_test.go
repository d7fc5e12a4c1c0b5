package stoatecho

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// A caller asks without a pause on one flow for a minute. What is kept about the answers it
// awaits must not grow with its requests: an entry would be killed for its memory at night.
func TestBusyFlowIsAwaitedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	listen := netip.MustParseAddrPort("198.18.0.1:443")
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{{Listen: listen, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}}}}, 1)
	b.Register(start, stoatpaddle.Registration{ID: "i-1", Target: 1, Service: "app", Slots: 3}, 2)
	b.ApplyList(start, map[stoatpaddle.UpstreamID]bool{"i-1": true}, false)
	e := New(Config{Start: start, Seed: 1})
	p := stoatpacket.Packet{Cookie: stoatroute.KeyOf(1), Size: 100}
	p.Tuple = stoatpacket.Tuple{Src: netip.MustParseAddrPort("100.64.0.7:4000"), Dst: listen, Protocol: stoatpaddle.ProtocolTCP}
	for i := range uint32(60 * 50) {
		p.Seq, p.Ack = i*100, i*1000
		e.Handle(start.Add(time.Duration(i)*20*time.Millisecond), b.Table(), &p)
	}
	if n := len(e.answers.list) - e.answers.head; n > 1 {
		t.Error(n, "answers awaited on one flow")
	}
	if n := cap(e.answers.list); n > 2*compactAt+2 {
		t.Error("the list has grown to", n)
	}
}
