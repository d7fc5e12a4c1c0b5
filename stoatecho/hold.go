package stoatecho

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// HeldPacket is a packet that is held until this entry has a table.
type HeldPacket struct {
	Packet stoatpacket.Packet
	Data   []byte
	Since  time.Time
	Action Action // the decision to hold it
}

// HoldQueue holds packets, a second at most: those that come before the first table, and those whose answer has to
// be verified.
//
// After a power loss all entries start at once, and callers have been retransmitting for seconds. If a packet
// were dropped in the 40 ms before the first table arrives, its caller's next retransmission would come 1.6 s
// later, after most deadlines.
type HoldQueue struct {
	list  []HeldPacket
	index map[heldKey]int
}

// heldKey identifies copies of a packet. Only the last copy is kept: several would look like an upstream that
// does not answer.
type heldKey struct {
	tuple stoatpacket.Tuple
	seq   uint32
	size  int
}

func keyOf(p *stoatpacket.Packet) heldKey { return heldKey{tuple: p.Tuple, seq: p.Seq, size: p.Size} }

const (
	// maxHeld bounds the memory, at 1.3 kB a packet; it covers two seconds of the busiest entry's traffic.
	maxHeld = 2048
	// holdTimeout is how long a packet is held. A caller gives up on an opening after 1.4 s.
	holdTimeout = time.Second
)

// Add holds a copy of a packet that came before the first table, and reports whether there was room.
func (h *HoldQueue) Add(now time.Time, p *stoatpacket.Packet, data []byte) bool {
	return h.add(now, p, data, Action{Verdict: Hold, Reason: stoatpacket.DropUnconfigured})
}

func (h *HoldQueue) add(since time.Time, p *stoatpacket.Packet, data []byte, a Action) bool {
	if h.index == nil {
		h.index = map[heldKey]int{}
	}
	k := keyOf(p)
	if i, known := h.index[k]; known {
		x := &h.list[i]
		x.Packet, x.Data, x.Action = *p, append(x.Data[:0], data...), a
		if a.Verify != 0 && p.Opens {
			// The copy can be placed for as long as the first one could.
			x.Since = since
		}
		return true
	}
	if len(h.list) >= maxHeld {
		return false
	}
	h.index[k] = len(h.list)
	h.list = append(h.list, HeldPacket{Packet: *p, Data: slices.Clone(data), Since: since, Action: a})
	return true
}

// has reports whether a copy of the packet is held.
func (h *HoldQueue) has(p *stoatpacket.Packet) bool {
	_, held := h.index[keyOf(p)]
	return held
}

// Take removes and returns all held packets, oldest first.
func (h *HoldQueue) Take() []HeldPacket {
	list := h.list
	h.list, h.index = nil, nil
	return list
}

// TakeExpired removes and returns the packets that have been held for too long.
func (h *HoldQueue) TakeExpired(now time.Time) []HeldPacket {
	return h.takeIf(func(x *HeldPacket) bool { return now.Sub(x.Since) >= holdTimeout })
}

// takeIf removes and returns the packets for which taken returns true, oldest first.
func (h *HoldQueue) takeIf(taken func(*HeldPacket) bool) []HeldPacket {
	var out, kept []HeldPacket
	for i := range h.list {
		if x := &h.list[i]; taken(x) {
			out = append(out, *x)
		} else {
			kept = append(kept, *x)
		}
	}
	if len(out) == 0 {
		return nil
	}
	h.list, h.index = kept, make(map[heldKey]int, len(kept))
	for i := range kept {
		h.index[keyOf(&kept[i].Packet)] = i
	}
	return out
}
