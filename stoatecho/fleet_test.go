package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// Guards against an entry that knows each upstream of a large service after one opening: it remembers those that
// it met, spreads its flows over all, and forgets those of which it heard nothing for a minute.
func TestLargeServiceIsNotHeldWhole(t *testing.T) {
	const upstreams, flows = 8000, 4000
	table := benchTable(upstreams)
	e := stoatecho.New(stoatecho.Config{DataCentre: "here", Start: start, Seed: 1})
	now := start.Add(time.Minute)
	met := map[string]int{}
	for i := range flows {
		now = now.Add(20 * time.Millisecond)
		a := e.Handle(now, table, &stoatpacket.Packet{Tuple: benchTuple(i * 7919), Opens: true})
		if a.Upstream == nil {
			t.Fatalf("refused: %+v", a)
		}
		met[string(a.Upstream.ID)]++
	}
	most := 0
	for _, n := range met {
		most = max(most, n)
	}
	if len(met) < flows/2 || most > 8 {
		t.Errorf("%d flows went to %d upstreams, %d of them to one", flows, len(met), most)
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
