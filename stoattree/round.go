package stoattree

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRequests limits the entries that one search asks. A parent is found within the depth of the tree, and
// an entry that finds none reads the platform meanwhile.
const maxAsked = 12

// maxSiblings limits the siblings that are remembered.
const maxKnown = 6

// search is the state of one search for a parent.
type round struct {
	next  []netip.AddrPort
	asked []netip.AddrPort
	// localOnly is set in the first pass, in which entries of other data centres don't accept this one and
	// only name others to ask.
	near bool
}

// SetSiblings replaces the remembered siblings, which are other entries of this data centre that a parent
// named. A list without any leaves them as they are.
func (t *Tree) Learn(relatives []netip.AddrPort) {
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

// StartSearch begins a search for a parent. Siblings are asked first, since they are near and were sent the
// same, and seeds after them. Each entry has its own order of the seeds, so that they share the load.
func (t *Tree) Begin() {
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

// seedOrder returns the sort key of a seed for this entry, by rendezvous hashing.
func (t *Tree) rank(seed netip.AddrPort) uint64 {
	return xxhash.Sum64String(t.cfg.Self.String() + " " + seed.String())
}

// NextCandidate returns the entry to ask next and the request for it, or false if no candidate is left.
func (t *Tree) Next() (netip.AddrPort, Ask, bool) {
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
		return a, Ask{From: t.cfg.Self, Centre: t.cfg.Centre, Near: r.near, Skip: r.asked}, true
	}
	t.round = nil
	return netip.AddrPort{}, Ask{}, false
}

// AddCandidates adds the entries that a refusing one named instead. They are asked next.
func (t *Tree) Refused(try []netip.AddrPort) {
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

// FormsLoop reports whether a parent with this path is below this entry, or its path is too long to be free
// of loops.
func (t *Tree) Looped(path []netip.AddrPort) bool {
	return len(path) > MaxPath || slices.Contains(path, t.cfg.Self)
}
