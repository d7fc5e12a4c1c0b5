package stoatecho

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// HeldPacket is a packet that waits until this entry has something to decide by.
type HeldPacket struct {
	Packet stoatpacket.Packet
	Data   []byte
	Since  time.Time
}

// HoldQueue keeps packets while an entry is young.
//
// The load: after a power loss all entries start at once, and callers have repeated
// themselves for seconds. A packet dropped in the 40 ms before the first table waits for
// its caller's next try, which by then is 1.6 s away and past most deadlines.
type HoldQueue struct {
	list  []HeldPacket
	index map[heldKey]int
}

// heldKey tells copies of a packet: only the last one is kept, or the copies would look
// like an upstream that does not answer.
type heldKey struct {
	tuple stoatpacket.Tuple
	seq   uint32
	size  int
}

const (
	// maxHeld bounds the memory, at 1.3 kB a packet; it is two seconds of the busiest entry.
	maxHeld = 2048
	// heldFor is how long a packet may wait. A caller gives an opening up after 1.4 s.
	heldFor = time.Second
)

// Add keeps a copy of the packet, and tells whether there was room.
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

// Take returns what is held, oldest first, and keeps nothing.
func (h *HoldQueue) Take() []HeldPacket {
	list := h.list
	h.list, h.index = nil, nil
	return list
}

// TakeExpired returns what has waited too long, and keeps the rest.
func (h *HoldQueue) TakeExpired(now time.Time) []HeldPacket {
	n := 0
	for n < len(h.list) && now.Sub(h.list[n].Since) >= heldFor {
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
