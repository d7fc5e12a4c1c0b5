package stoatedge

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
)

// Entries of one data centre share limits without asking each other. Each entry computes its part from its
// place, which is its rank among them and their number. Counts go up the relay tree, and ranks come down it.

// assignedPlace is the place that the parent assigned to this entry.
type assignedPlace struct {
	parent netip.AddrPort
	place  stoatfilter.EntryRank
}

// topmost reports whether no entry of this data centre is above this one; the caller holds relay.mu. The first
// entry of a data centre is a seed, or has a parent in another data centre. Any other entry without a parent
// knows of no other entries.
func (e *Edge) topmost() bool {
	return e.relay.assigned.Load() == nil && (len(e.relay.announced.Load().path) > 0 || e.relay.tree.IsSeed())
}

// ownPlace returns this entry's place as the tree has it now; the caller holds relay.mu. An entry that is cut off
// from the others has none.
func (e *Edge) ownPlace() stoatfilter.EntryRank {
	if assigned := e.relay.assigned.Load(); assigned != nil {
		return assigned.place
	}
	if !e.topmost() {
		return stoatfilter.EntryRank{}
	}
	return stoatfilter.EntryRank{Entries: e.relay.tree.SubtreeSize()}
}

// currentPlace returns this entry's place and the number of entries below it, itself included. To is the parent
// if it does not know that number yet; an invalid address means that nothing has to be reported.
func (e *Edge) currentPlace() (own stoatfilter.EntryRank, size int, to netip.AddrPort) {
	e.relay.mu.Lock()
	defer e.relay.mu.Unlock()
	own, size = e.ownPlace(), e.relay.tree.SubtreeSize()
	if assigned := e.relay.assigned.Load(); assigned != nil && e.relay.reportedSize.Load() != int64(size) {
		to = assigned.parent
	}
	return own, size, to
}

// setPlace records the place that a parent assigned; an invalid address means that there is no parent in this
// data centre.
func (e *Edge) setPlace(parent netip.AddrPort, p stoatfilter.EntryRank) {
	if !parent.IsValid() {
		e.relay.assigned.Store(nil)
		return
	}
	if old := e.relay.assigned.Load(); old == nil || old.parent != parent {
		e.relay.reportedSize.Store(0)
	}
	e.relay.assigned.Store(&assignedPlace{parent: parent, place: p})
}
