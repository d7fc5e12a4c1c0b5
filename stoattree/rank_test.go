package stoattree_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
)

// hasLocalParent reports whether the member's parent is in its own data centre.
func (m *member) hasLocalParent() bool { return m.parent != nil && m.parent.centre == m.centre }

// propagateSizes reports the subtree sizes up the tree often enough to reach the roots.
func (f *fleet) propagateSizes() {
	for range 20 {
		for _, m := range f.all {
			if !m.dead && m.hasLocalParent() {
				m.parent.tree.SetSubtreeSize(addr(m.i), m.tree.SubtreeSize())
			}
		}
	}
}

// rank returns the member's rank as it is passed down the tree.
func (m *member) rank() int {
	if !m.hasLocalParent() {
		return 0
	}
	return m.parent.tree.ChildRank(addr(m.i), m.parent.rank())
}

// Three hundred entries start. The entries of a data centre form few groups, each below one of its entries.
// Within a group, the ranks are distinct and count from 0, and the topmost entry knows the size of the
// group. The same holds for the remaining entries after a tenth of them have died.
func TestRanks(t *testing.T) {
	f := newFleet(t, 300, uniformShare(0.2))
	for round := range 2 {
		f.settle(4)
		f.propagateSizes()
		groups, ranksOf := map[stoatpaddle.DataCentreID]int{}, map[*member]map[int]bool{}
		for _, m := range f.all {
			if m.dead {
				continue
			}
			top := m
			for top.hasLocalParent() {
				top = top.parent
			}
			if ranksOf[top] == nil {
				ranksOf[top] = map[int]bool{}
				groups[m.centre]++
			}
			if ranksOf[top][m.rank()] {
				t.Errorf("round %d: two entries have rank %d", round, m.rank())
			}
			ranksOf[top][m.rank()] = true
		}
		for top, ranks := range ranksOf {
			for r := range len(ranks) {
				if !ranks[r] {
					t.Errorf("round %d: none of %d entries has rank %d", round, len(ranks), r)
				}
			}
			if top.tree.SubtreeSize() != len(ranks) {
				t.Errorf("round %d: subtree size is %d, expected %d", round, top.tree.SubtreeSize(), len(ranks))
			}
		}
		for centre, n := range groups {
			t.Logf("round %d: %s has %d groups", round, centre, n)
			if n > 3 {
				t.Errorf("round %d: %s is split into %d groups", round, centre, n)
			}
		}
		for i := 5; i < 300; i += 10 {
			if !f.all[i].dead {
				f.kill(f.all[i])
			}
		}
	}
}
