package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// An entry must not keep state of all upstreams of a large service: it remembers those that it sent flows to,
// spreads its flows over all, and forgets the upstreams that it has not heard of for a minute.
func TestLargeServiceIsSampled(t *testing.T) {
	const upstreams, flows = 8000, 4000
	table := benchTable(upstreams)
	e := stoatecho.New(stoatecho.Config{DataCentre: "here", Start: start, Seed: 1})
	now := start.Add(time.Minute)
	chosen := map[string]int{}
	for i := range flows {
		now = now.Add(20 * time.Millisecond)
		a := e.Handle(now, table, &stoatpacket.Packet{Tuple: benchTuple(i * 7919), Opens: true})
		if a.Upstream == nil {
			t.Fatalf("refused: %+v", a)
		}
		chosen[string(a.Upstream.ID)]++
	}
	most := 0
	for _, n := range chosen {
		most = max(most, n)
	}
	if len(chosen) < flows/2 || most > 8 {
		t.Errorf("%d flows went to %d upstreams, %d of them to one", flows, len(chosen), most)
	}
	if known := len(e.UpstreamStates(now)); known > flows {
		t.Error(known, "upstreams are remembered")
	}
	for range 3 {
		now = now.Add(time.Minute)
		e.Handle(now, table, &stoatpacket.Packet{Tuple: benchTuple(7), Opens: true})
	}
	if known := len(e.UpstreamStates(now)); known > 3 {
		t.Error(known, "upstreams are remembered minutes later")
	}
}
