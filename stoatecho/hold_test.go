package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// After a power loss of all entries, callers retransmit their openings until an entry is back. Only the last
// copy of each is kept, so that the copies do not look like an upstream that does not answer.
func TestHoldKeepsTheLastCopy(t *testing.T) {
	w := newWorld(t)
	var h stoatecho.HoldQueue
	a, b := w.caller(idempotentAddr), w.caller(nonIdempotentAddr)
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

// No table arrives: packets that were held for a second are returned to be refused, and the others are still held.
func TestHoldExpires(t *testing.T) {
	w := newWorld(t)
	var h stoatecho.HoldQueue
	h.Add(w.now, &stoatpacket.Packet{Tuple: w.caller(idempotentAddr).tuple}, nil)
	h.Add(w.now.Add(500*ms), &stoatpacket.Packet{Tuple: w.caller(idempotentAddr).tuple}, nil)
	if got := h.TakeExpired(w.now.Add(time.Second)); len(got) != 1 {
		t.Error(len(got))
	}
	if got := h.Take(); len(got) != 1 {
		t.Error(len(got))
	}
}

// The number of held packets is bounded, so that a flood before the first table cannot exhaust the memory.
func TestHoldIsBounded(t *testing.T) {
	w := newWorld(t)
	var h stoatecho.HoldQueue
	kept := 0
	for i := range uint32(5000) {
		if h.Add(w.now, &stoatpacket.Packet{Tuple: w.caller(idempotentAddr).tuple, Seq: i}, nil) {
			kept++
		}
	}
	if kept != 2048 {
		t.Error(kept)
	}
}
