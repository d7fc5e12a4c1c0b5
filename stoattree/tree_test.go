package stoattree_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8166)
}

var seeds = []netip.AddrPort{addr(0), addr(1), addr(2)}

func newTree(i int, centre stoatpaddle.DataCentreID, share float64) *stoattree.Tree {
	return stoattree.New(stoattree.Config{
		Self: addr(i), Centre: centre, Seeds: seeds, CPUShare: share, Rand: rand.New(rand.NewPCG(1, uint64(i))),
	})
}

func at(rev stoatpaddle.Version) stoatpaddle.Position { return stoatpaddle.Position{Revision: rev} }

var inTouch = stoattree.State{Ready: true, Position: at(10), ReadsPlatform: true}

func ask(i int, centre stoatpaddle.DataCentreID) stoattree.JoinRequest {
	return stoattree.JoinRequest{From: addr(i), Centre: centre, Position: at(9)}
}

// Whom an entry does not tell, and why. Each refusal keeps the one that asks from a parent
// that would leave it worse off, or both in a loop.
func TestRefusals(t *testing.T) {
	path := []netip.AddrPort{addr(0), addr(7)}
	low, high := 5, 6
	if newTree(low, "a", 0).Admit(stoattree.State{Ready: true, Position: at(10)}, ask(high, "a")).Refusal != stoattree.Accepted {
		low, high = high, low
	}
	for name, try := range map[string]struct {
		self  int
		state stoattree.State
		ask   stoattree.JoinRequest
		want  stoattree.Refusal
	}{
		"a seed in touch":                         {0, inTouch, ask(5, "a"), stoattree.Accepted},
		"told itself":                             {9, stoattree.State{Ready: true, Position: at(10), Path: path}, ask(5, "a"), stoattree.Accepted},
		"starting":                                {0, stoattree.State{}, ask(5, "a"), stoattree.NotReady},
		"knows less":                              {0, stoattree.State{Ready: true, Position: at(8), ReadsPlatform: true}, ask(5, "a"), stoattree.Behind},
		"below the one that asks":                 {9, stoattree.State{Ready: true, Position: at(10), Path: path}, ask(7, "a"), stoattree.Loop},
		"knows an earlier era":                    {0, stoattree.State{Ready: true, Position: stoatpaddle.Position{Era: 1, Revision: 90}, ReadsPlatform: true}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: stoatpaddle.Position{Era: 2, Revision: 9}}, stoattree.Behind},
		"knows a later era":                       {0, stoattree.State{Ready: true, Position: stoatpaddle.Position{Era: 2, Revision: 9}, ReadsPlatform: true}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: stoatpaddle.Position{Era: 1, Revision: 90}}, stoattree.Accepted},
		"itself":                                  {9, stoattree.State{Ready: true, Position: at(10), Path: path}, ask(9, "a"), stoattree.Loop},
		"nobody tells it, and it is not first":    {high, stoattree.State{Ready: true, Position: at(10)}, ask(low, "a"), stoattree.NotRoot},
		"nobody tells it, but it is first":        {low, stoattree.State{Ready: true, Position: at(10)}, ask(high, "a"), stoattree.Accepted},
		"nobody tells it, for one without a view": {high, stoattree.State{Ready: true, Position: at(10)}, stoattree.JoinRequest{From: addr(low), Centre: "a"}, stoattree.Accepted},
		"its word is too old":                     {0, stoattree.State{Ready: true, Position: at(10), ReadsPlatform: true, Age: 3e9}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: at(9), MaxAge: 2e9}, stoattree.Stale},
		"its word has no age":                     {0, stoattree.State{Ready: true, Position: at(10), ReadsPlatform: true, Age: -1}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: at(9), MaxAge: 2e9}, stoattree.Stale},
		"another data centre, when near is asked": {0, inTouch, stoattree.JoinRequest{From: addr(5), Centre: "b", Position: at(9), LocalOnly: true}, stoattree.OtherDataCentre},
		"another data centre":                     {0, inTouch, ask(5, "b"), stoattree.Accepted},
	} {
		if got := newTree(try.self, "a", 0).Admit(try.state, try.ask).Refusal; got != try.want {
			t.Errorf("%s: %q, expected %q", name, got, try.want)
		}
	}
}

// A slow entry tells few, so that its callers' packets do not wait behind the news; a full
// one names its children instead.
func TestCapacity(t *testing.T) {
	for share, want := range map[float64]int{0: 5, 0.8: 5, 0.192: 5, 0.12: 4, 0.061: 2, 0.01: 2} {
		tree := newTree(0, "a", share)
		n := 0
		for ; n < 20; n++ {
			a := tree.Admit(inTouch, ask(10+n, "a"))
			if a.Refusal == stoattree.Full {
				if len(a.Alternatives) == 0 {
					t.Error("nobody is named instead")
				}
				break
			}
		}
		if n != want {
			t.Errorf("share %g: %d children, expected %d", share, n, want)
		}
	}
	slow := stoattree.New(stoattree.Config{Self: addr(0), Centre: "a", Seeds: seeds, CPUShare: 0.8, LinkMbps: 10, Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range 2 {
		slow.Admit(inTouch, ask(10+i, "a"))
	}
	if a := slow.Admit(inTouch, ask(20, "a")); a.Refusal != stoattree.Full {
		t.Error("a link of 10 Mbit/s tells three:", a)
	}
}

// The first entry of a data centre without a seed is told from elsewhere, the next ones by
// it: bytes between data centres are dear. It finds room although the parent is full.
func TestOneLinkBetweenDataCentres(t *testing.T) {
	tree := newTree(0, "a", 0)
	for i := range stoattree.MaxChildren {
		tree.Admit(inTouch, ask(10+i, "a"))
	}
	if a := tree.Admit(inTouch, ask(30, "b")); a.Refusal != stoattree.Accepted {
		t.Fatal(a)
	}
	a := tree.Admit(inTouch, ask(31, "b"))
	if a.Refusal != stoattree.OtherDataCentre || len(a.Alternatives) != 1 || a.Alternatives[0] != addr(30) {
		t.Error(a)
	}
	again := ask(31, "b")
	again.Tried = a.Alternatives
	if a := tree.Admit(inTouch, again); a.Refusal != stoattree.Accepted {
		t.Error("the one there does not answer, and nobody else is found:", a)
	}
}

// A child lost its connection and asks again before the end of the old one is noticed. That
// end must not take the new one out.
func TestLateEnd(t *testing.T) {
	tree := newTree(0, "a", 0)
	first := tree.Admit(inTouch, ask(5, "a"))
	second := tree.Admit(inTouch, ask(5, "a"))
	tree.RemoveChild(addr(5), first.Admission)
	if tree.ChildCount() != 1 {
		t.Error(tree.ChildCount())
	}
	tree.RemoveChild(addr(5), second.Admission)
	if tree.ChildCount() != 0 {
		t.Error(tree.ChildCount())
	}
}

// member is one entry of a fleet in which searches take no time.
type member struct {
	i      int
	centre stoatpaddle.DataCentreID
	tree   *stoattree.Tree
	parent *member
	ticket stoattree.AdmissionID
	dead   bool
}

type fleet struct {
	t    *testing.T
	all  []*member
	asks int
}

func newFleet(t *testing.T, n int, share func(i int) float64) *fleet {
	f := &fleet{t: t}
	centres := []stoatpaddle.DataCentreID{"a", "b", "c", "d"}
	for i := range n {
		f.all = append(f.all, &member{i: i, centre: centres[i%len(centres)], tree: newTree(i, centres[i%len(centres)], share(i))})
	}
	return f
}

func (m *member) path() []netip.AddrPort {
	var up []netip.AddrPort
	for p := m.parent; p != nil && len(up) < 100; p = p.parent {
		up = append([]netip.AddrPort{addr(p.i)}, up...)
	}
	return up
}

func (m *member) isSeed() bool { return m.i < len(seeds) }

// search has a member look for a parent.
func (f *fleet) search(m *member) {
	m.tree.StartSearch()
	for {
		to, a, ok := m.tree.NextCandidate()
		if !ok {
			return
		}
		f.asks++
		var p *member
		for _, x := range f.all {
			if addr(x.i) == to && !x.dead {
				p = x
			}
		}
		if p == nil {
			continue
		}
		a.Position = at(10)
		s := stoattree.State{Ready: true, Position: at(10), Path: p.path(), ReadsPlatform: p.isSeed() || p.parent == nil}
		answer := p.tree.Admit(s, a)
		if answer.Refusal != stoattree.Accepted {
			m.tree.AddCandidates(answer.Alternatives)
			continue
		}
		m.parent, m.ticket = p, answer.Admission
		m.tree.SetSiblings(p.tree.Siblings(addr(m.i), m.centre))
		return
	}
}

func (f *fleet) settle(rounds int) {
	for range rounds {
		for _, m := range f.all {
			if !m.dead && !m.isSeed() && m.parent == nil {
				f.search(m)
			}
		}
	}
}

func (f *fleet) kill(m *member) {
	m.dead = true
	if m.parent != nil {
		m.parent.tree.RemoveChild(addr(m.i), m.ticket)
	}
	for _, x := range f.all {
		if x.parent == m {
			x.parent = nil
		}
	}
}

// check tells how many are told by nobody, and how deep and wide the tree is.
func (f *fleet) check() (alone, depth, widest, across int) {
	f.t.Helper()
	for _, m := range f.all {
		if m.dead || m.isSeed() {
			continue
		}
		switch up := m.path(); {
		case len(up) >= stoattree.MaxPathLength:
			f.t.Fatal(m.i, "is in a loop, or too deep:", up)
		case m.parent == nil:
			alone++
		default:
			depth = max(depth, len(up))
		}
		if m.parent != nil && m.parent.centre != m.centre {
			across++
		}
		widest = max(widest, m.tree.ChildCount())
	}
	return alone, depth, widest, across
}

func same(share float64) func(int) float64 { return func(int) float64 { return share } }

// Three hundred and two thousand entries start at once. Each finds a parent with a few
// questions; nobody tells more than it can bear, the way from a seed is short, and few links
// cross between data centres.
func TestFleetStarts(t *testing.T) {
	for n, deepest := range map[int]int{300: 7, 2000: 10} {
		f := newFleet(t, n, same(0.2))
		f.settle(3)
		alone, depth, widest, across := f.check()
		if alone > 0 || depth > deepest || widest > 8 || across > 12 || f.asks > 12*n {
			t.Errorf("%d entries: %d alone, depth %d, %d children, %d links across, %d questions", n, alone, depth, widest, across, f.asks)
		}
	}
}

// Most entries are slow and tell two. The tree is deeper, and everybody is still told.
func TestFleetOfSlowEntries(t *testing.T) {
	f := newFleet(t, 300, func(i int) float64 {
		if i < 12 {
			return 0.8
		}
		return 0.05
	})
	f.settle(4)
	if alone, depth, widest, _ := f.check(); alone > 0 || depth > 12 || widest > 10 {
		t.Error(alone, depth, widest)
	}
}

// A tenth of the entries die, then a whole data centre, then the seeds. Those that lost their
// parent find another one; without seeds they gather below a few of themselves, which read
// the platform, and nobody is in a loop.
func TestFleetLosesEntries(t *testing.T) {
	f := newFleet(t, 400, same(0.2))
	f.settle(3)
	rnd := rand.New(rand.NewPCG(7, 7))
	for range 40 {
		f.kill(f.all[3+rnd.IntN(397)])
	}
	f.settle(3)
	if alone, _, _, _ := f.check(); alone > 0 {
		t.Error("after deaths:", alone, "alone")
	}
	for _, m := range f.all {
		if m.centre == "b" && !m.dead {
			f.kill(m)
		}
	}
	f.settle(3)
	if alone, _, _, _ := f.check(); alone > 0 {
		t.Error("after a data centre's death:", alone, "alone")
	}
	for _, m := range f.all[:3] {
		if !m.dead {
			f.kill(m)
		}
	}
	f.settle(10)
	if alone, _, _, _ := f.check(); alone > 40 {
		t.Error("without seeds:", alone, "alone of 260")
	}
}
