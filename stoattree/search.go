package stoattree

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRequests limits the entries that are asked in one pass of a search. A parent is found within the depth
// of the tree, and an entry that finds none reads the platform meanwhile.
const maxRequests = 12

// maxSiblings limits the siblings that are remembered.
const maxSiblings = 6

// search is the state of one search for a parent.
type search struct {
	pending []netip.AddrPort
	asked   []netip.AddrPort
	// localOnly is set in the first pass, in which entries of other data centres don't accept this one and
	// only name others to ask.
	localOnly bool
}

// SetSiblings replaces the remembered siblings, which are other entries of this data centre that a parent
// named. A list without a usable address leaves them unchanged.
func (t *Tree) SetSiblings(siblings []netip.AddrPort) {
	list := make([]netip.AddrPort, 0, maxSiblings)
	for _, a := range siblings {
		if a != t.cfg.Self && a.IsValid() && len(list) < maxSiblings {
			list = append(list, a)
		}
	}
	if len(list) > 0 {
		t.siblings = list
	}
}

// StartSearch begins a search for a parent. Siblings are asked first, since they are near and were sent the
// same state, and seeds after them. Each entry has its own order of the seeds, so that the seeds share the load.
func (t *Tree) StartSearch() {
	t.search = &search{pending: t.candidates(), localOnly: true}
}

func (t *Tree) candidates() []netip.AddrPort {
	seeds := slices.Clone(t.cfg.Seeds)
	slices.SortFunc(seeds, func(a, b netip.AddrPort) int {
		if t.seedOrder(a) < t.seedOrder(b) {
			return -1
		}
		return 1
	})
	list := slices.Concat(t.siblings, seeds)
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == t.cfg.Self })
}

// seedOrder returns the sort key of a seed for this entry, by rendezvous hashing.
func (t *Tree) seedOrder(seed netip.AddrPort) uint64 {
	return xxhash.Sum64String(t.cfg.Self.String() + " " + seed.String())
}

// NextCandidate returns the entry to ask next and the request for it, or false if no candidate is left.
func (t *Tree) NextCandidate() (netip.AddrPort, JoinRequest, bool) {
	s := t.search
	for s != nil && len(s.asked) < maxRequests {
		if len(s.pending) == 0 {
			if !s.localOnly {
				break
			}
			s.localOnly, s.pending, s.asked = false, t.candidates(), nil
			continue
		}
		a := s.pending[0]
		s.pending = s.pending[1:]
		if slices.Contains(s.asked, a) {
			continue
		}
		s.asked = append(s.asked, a)
		return a, JoinRequest{From: t.cfg.Self, Centre: t.cfg.Centre, LocalOnly: s.localOnly, Tried: s.asked}, true
	}
	t.search = nil
	return netip.AddrPort{}, JoinRequest{}, false
}

// AddCandidates adds the entries that a refusing entry named as alternatives. They are asked next.
func (t *Tree) AddCandidates(alternatives []netip.AddrPort) {
	if t.search == nil {
		return
	}
	var valid []netip.AddrPort
	for _, a := range alternatives {
		if a != t.cfg.Self && a.IsValid() && len(valid) < maxAlternatives {
			valid = append(valid, a)
		}
	}
	t.search.pending = append(valid, t.search.pending...)
}

// FormsLoop reports whether a parent with this path is below this entry. A path longer than MaxPathLength
// counts as a loop too.
func (t *Tree) FormsLoop(path []netip.AddrPort) bool {
	return len(path) > MaxPathLength || slices.Contains(path, t.cfg.Self)
}
