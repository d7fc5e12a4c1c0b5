package stoattree

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAsked bounds a round: a parent is found within the depth of the tree, and whoever finds
// none asks the platform meanwhile.
const maxAsked = 12

// maxKnown bounds the relatives that are remembered.
const maxKnown = 6

// round is one search for a parent.
type round struct {
	next  []netip.AddrPort
	asked []netip.AddrPort
	// near is set in the first pass, in which other data centres only send on.
	near bool
}

// SetSiblings remembers others of this data centre, named by a parent, in place of those before.
func (t *Tree) SetSiblings(relatives []netip.AddrPort) {
	list := make([]netip.AddrPort, 0, maxKnown)
	for _, a := range relatives {
		if a != t.cfg.Self && a.IsValid() && len(list) < maxKnown {
			list = append(list, a)
		}
	}
	if len(list) > 0 {
		t.known = list
	}
}

// StartSearch starts a search for a parent: relatives first, since they are near and were told
// the same, then seeds. Each entry has an order of seeds of its own, so that they share the load.
func (t *Tree) StartSearch() {
	t.round = &round{next: t.candidates(), near: true}
}

func (t *Tree) candidates() []netip.AddrPort {
	seeds := slices.Clone(t.cfg.Seeds)
	slices.SortFunc(seeds, func(a, b netip.AddrPort) int {
		if t.rank(a) < t.rank(b) {
			return -1
		}
		return 1
	})
	list := slices.Concat(t.known, seeds)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == t.cfg.Self })
}

// rank orders seeds for this entry: rendezvous hashing.
func (t *Tree) rank(seed netip.AddrPort) uint64 {
	return xxhash.Sum64String(t.cfg.Self.String() + " " + seed.String())
}

// NextCandidate returns whom to ask now, what to say, and whether there is anybody left.
func (t *Tree) NextCandidate() (netip.AddrPort, JoinRequest, bool) {
	r := t.round
	for r != nil && len(r.asked) < maxAsked {
		if len(r.next) == 0 {
			if !r.near {
				break
			}
			r.near, r.next, r.asked = false, t.candidates(), nil
			continue
		}
		a := r.next[0]
		r.next = r.next[1:]
		if slices.Contains(r.asked, a) {
			continue
		}
		r.asked = append(r.asked, a)
		return a, JoinRequest{From: t.cfg.Self, Centre: t.cfg.Centre, LocalOnly: r.near, Tried: r.asked}, true
	}
	t.round = nil
	return netip.AddrPort{}, JoinRequest{}, false
}

// AddCandidates takes in whom one that refused names instead: they are asked next.
func (t *Tree) AddCandidates(try []netip.AddrPort) {
	if t.round == nil {
		return
	}
	var fresh []netip.AddrPort
	for _, a := range try {
		if a != t.cfg.Self && a.IsValid() && len(fresh) < hints {
			fresh = append(fresh, a)
		}
	}
	t.round.next = append(fresh, t.round.next...)
}

// FormsLoop tells whether a path that a parent names shows that this entry is above it.
func (t *Tree) FormsLoop(path []netip.AddrPort) bool {
	return len(path) > MaxPathLength || slices.Contains(path, t.cfg.Self)
}
