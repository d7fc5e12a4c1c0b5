package stoatedge

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
)

// Which place an entry has among those of its data centre, for what they share without asking each
// other. Counts go up the relay tree, ranks come down it.

// givenPlace is what the parent says of this entry's place.
type givenPlace struct {
	parent netip.AddrPort
	place  stoatfilter.EntryRank
}

// ownPlace is this entry's place as the tree has it now; the caller holds place.mu. The first entry of
// a data centre is one that another data centre's entry tells, or a seed. Any other one that nobody
// tells knows of nobody, and has none.
func (e *Edge) ownPlace() stoatfilter.EntryRank {
	if g := e.place.given.Load(); g != nil {
		return g.place
	}
	if len(e.place.announced.Load().path) == 0 && !e.place.tree.IsSeed() {
		return stoatfilter.EntryRank{}
	}
	return stoatfilter.EntryRank{Entries: e.place.tree.SubtreeSize()}
}

// findPlace returns this entry's place, and what its parent has to be told of how many are below it; an
// invalid address means nothing.
func (e *Edge) findPlace() (own stoatfilter.EntryRank, size int, to netip.AddrPort) {
	e.place.mu.Lock()
	defer e.place.mu.Unlock()
	own, size = e.ownPlace(), e.place.tree.SubtreeSize()
	if g := e.place.given.Load(); g != nil && e.place.sized.Load() != int64(size) {
		to = g.parent
	}
	return own, size, to
}

// givePlace takes in what a parent says of this entry's place; an invalid address means that there is
// no parent in this data centre.
func (e *Edge) givePlace(parent netip.AddrPort, p stoatfilter.EntryRank) {
	if !parent.IsValid() {
		e.place.given.Store(nil)
		return
	}
	if old := e.place.given.Load(); old == nil || old.parent != parent {
		e.place.sized.Store(0)
	}
	e.place.given.Store(&givenPlace{parent: parent, place: p})
}
