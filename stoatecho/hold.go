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
}

// HoldQueue holds packets during the first second after the entry's start.
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

const (
	// maxHeld bounds the memory, at 1.3 kB a packet; it covers two seconds of the busiest entry's traffic.
	maxHeld = 2048
	// holdTimeout is how long a packet is held. A caller gives up on an opening after 1.4 s.
	holdTimeout = time.Second
)

// Add holds a copy of the packet, and reports whether there was room.
func (h *HoldQueue) Add(now time.Time, p *stoatpacket.Packet, data []byte) bool {
	if h.index == nil {
		h.index = map[heldKey]int{}
	}
	k := heldKey{tuple: p.Tuple, seq: p.Seq, size: p.Size}
	if i, known := h.index[k]; known {
		h.list[i].Packet, h.list[i].Data = *p, append(h.list[i].Data[:0], data...)
		return true
	}
	if len(h.list) >= maxHeld {
		return false
	}
	h.index[k] = len(h.list)
	h.list = append(h.list, HeldPacket{Packet: *p, Data: slices.Clone(data), Since: now})
	return true
}

// Take removes and returns all held packets, oldest first.
func (h *HoldQueue) Take() []HeldPacket {
	list := h.list
	h.list, h.index = nil, nil
	return list
}

// TakeExpired removes and returns the packets that have been held for too long.
func (h *HoldQueue) TakeExpired(now time.Time) []HeldPacket {
	n := 0
	for n < len(h.list) && now.Sub(h.list[n].Since) >= holdTimeout {
		n++
	}
	if n == 0 {
		return nil
	}
	out := h.list[:n:n]
	h.list = h.list[n:]
	h.index = make(map[heldKey]int, len(h.list))
	for i := range h.list {
		p := &h.list[i].Packet
		h.index[heldKey{tuple: p.Tuple, seq: p.Seq, size: p.Size}] = i
	}
	return out
}
