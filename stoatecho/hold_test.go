package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// All entries lost power; callers repeat their openings until an entry is back. Each flow's
// last copy waits, so that the copies do not look like an upstream that does not answer.
func TestHoldKeepsTheLastCopy(t *testing.T) {
	w := newWorld(t)
	var h stoatecho.HoldQueue
	a, b := w.caller(feed), w.caller(pledge)
	for i, c := range []*caller{a, b, a, a} {
		if !h.Add(w.now, &stoatpacket.Packet{Tuple: c.tuple, Opens: true, Retransmits: i}, []byte{byte(i)}) {
			t.Fatal("no room")
		}
	}
	list := h.Take()
	if len(list) != 2 || list[0].Data[0] != 3 || list[0].Packet.Retransmits != 3 || list[1].Data[0] != 1 {
		t.Errorf("%+v", list)
	}
	if len(h.Take()) != 0 {
		t.Error("held twice")
	}
}

// No table comes: what waited for a second is given back to be refused, the rest waits on.
func TestHoldGivesUp(t *testing.T) {
	w := newWorld(t)
	var h stoatecho.HoldQueue
	h.Add(w.now, &stoatpacket.Packet{Tuple: w.caller(feed).tuple}, nil)
	h.Add(w.now.Add(500*ms), &stoatpacket.Packet{Tuple: w.caller(feed).tuple}, nil)
	if got := h.TakeExpired(w.now.Add(time.Second)); len(got) != 1 {
		t.Error(len(got))
	}
	if got := h.Take(); len(got) != 1 {
		t.Error(len(got))
	}
}

// A flood before the first table is bounded.
func TestHoldIsBounded(t *testing.T) {
	w := newWorld(t)
	var h stoatecho.HoldQueue
	kept := 0
	for i := range uint32(5000) {
		if h.Add(w.now, &stoatpacket.Packet{Tuple: w.caller(feed).tuple, Seq: i}, nil) {
			kept++
		}
	}
	if kept != 2048 {
		t.Error(kept)
	}
}
