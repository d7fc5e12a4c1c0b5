package stoattree_test

import (
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
)

// inCentre tells whether the member's parent is of its own data centre.
func (m *member) inCentre() bool { return m.parent != nil && m.parent.centre == m.centre }

// count sends how many entries are below each member up the tree, until nothing changes.
func (f *fleet) count() {
	for range 20 {
		for _, m := range f.all {
			if !m.dead && m.inCentre() {
				m.parent.tree.SetSubtreeSize(addr(m.i), m.tree.SubtreeSize())
			}
		}
	}
}

// rank is the member's place as it comes down the tree.
func (m *member) rank() int {
	if !m.inCentre() {
		return 0
	}
	return m.parent.tree.ChildRank(addr(m.i), m.parent.rank())
}

// Three hundred entries start. Those of one data centre that are gathered below one of them have
// ranks from 0 on, each its own, and that one knows how many they are; a data centre falls into few
// such parts. When a tenth of the entries are gone, the same holds of those that are left.
func TestPlaces(t *testing.T) {
	f := newFleet(t, 300, same(0.2))
	for round := range 2 {
		f.settle(4)
		f.count()
		parts, of := map[stoatpaddle.DataCentreID]int{}, map[*member]map[int]bool{}
		for _, m := range f.all {
			if m.dead {
				continue
			}
			top := m
			for top.inCentre() {
				top = top.parent
			}
			if of[top] == nil {
				of[top] = map[int]bool{}
				parts[m.centre]++
			}
			if of[top][m.rank()] {
				t.Errorf("round %d: two entries have rank %d", round, m.rank())
			}
			of[top][m.rank()] = true
		}
		for top, ranks := range of {
			for r := range len(ranks) {
				if !ranks[r] {
					t.Errorf("round %d: nobody of %d has rank %d", round, len(ranks), r)
				}
			}
			if top.tree.SubtreeSize() != len(ranks) {
				t.Errorf("round %d: %d are counted of %d", round, top.tree.SubtreeSize(), len(ranks))
			}
		}
		for centre, n := range parts {
			t.Logf("round %d: %s has %d parts", round, centre, n)
			if n > 3 {
				t.Errorf("round %d: %s falls into %d parts", round, centre, n)
			}
		}
		for i := 5; i < 300; i += 10 {
			if !f.all[i].dead {
				f.kill(f.all[i])
			}
		}
	}
}
