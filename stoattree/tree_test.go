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

var upToDate = stoattree.State{Ready: true, Position: at(10), ReadsPlatform: true}

func request(i int, centre stoatpaddle.DataCentreID) stoattree.JoinRequest {
	return stoattree.JoinRequest{From: addr(i), Centre: centre, Position: at(9)}
}

// An entry refuses a requester for each reason. A refusal protects the requester from a parent that knows
// less than it does, or both from a loop.
func TestRefusals(t *testing.T) {
	path := []netip.AddrPort{addr(0), addr(7)}
	low, high := 5, 6
	if newTree(low, "a", 0).Admit(stoattree.State{Ready: true, Position: at(10)}, request(high, "a")).Refusal != stoattree.Accepted {
		low, high = high, low
	}
	for name, tc := range map[string]struct {
		self  int
		state stoattree.State
		req   stoattree.JoinRequest
		want  stoattree.Refusal
	}{
		"seed that reads the platform":              {0, upToDate, request(5, "a"), stoattree.Accepted},
		"has a parent":                              {9, stoattree.State{Ready: true, Position: at(10), Path: path}, request(5, "a"), stoattree.Accepted},
		"starting":                                  {0, stoattree.State{}, request(5, "a"), stoattree.NotReady},
		"knows less":                                {0, stoattree.State{Ready: true, Position: at(8), ReadsPlatform: true}, request(5, "a"), stoattree.Behind},
		"below the requester":                       {9, stoattree.State{Ready: true, Position: at(10), Path: path}, request(7, "a"), stoattree.Loop},
		"knows an earlier era":                      {0, stoattree.State{Ready: true, Position: stoatpaddle.Position{Era: 1, Revision: 90}, ReadsPlatform: true}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: stoatpaddle.Position{Era: 2, Revision: 9}}, stoattree.Behind},
		"knows a later era":                         {0, stoattree.State{Ready: true, Position: stoatpaddle.Position{Era: 2, Revision: 9}, ReadsPlatform: true}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: stoatpaddle.Position{Era: 1, Revision: 90}}, stoattree.Accepted},
		"request from itself":                       {9, stoattree.State{Ready: true, Position: at(10), Path: path}, request(9, "a"), stoattree.Loop},
		"without a parent, and not the first":       {high, stoattree.State{Ready: true, Position: at(10)}, request(low, "a"), stoattree.NotRoot},
		"without a parent, but the first":           {low, stoattree.State{Ready: true, Position: at(10)}, request(high, "a"), stoattree.Accepted},
		"without a parent, requester without state": {high, stoattree.State{Ready: true, Position: at(10)}, stoattree.JoinRequest{From: addr(low), Centre: "a"}, stoattree.Accepted},
		"knowledge is too old":                      {0, stoattree.State{Ready: true, Position: at(10), ReadsPlatform: true, Age: 3e9}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: at(9), MaxAge: 2e9}, stoattree.Stale},
		"knowledge has no age":                      {0, stoattree.State{Ready: true, Position: at(10), ReadsPlatform: true, Age: -1}, stoattree.JoinRequest{From: addr(5), Centre: "a", Position: at(9), MaxAge: 2e9}, stoattree.Stale},
		"another data centre, local only":           {0, upToDate, stoattree.JoinRequest{From: addr(5), Centre: "b", Position: at(9), LocalOnly: true}, stoattree.OtherDataCentre},
		"another data centre":                       {0, upToDate, request(5, "b"), stoattree.Accepted},
	} {
		if got := newTree(tc.self, "a", 0).Admit(tc.state, tc.req).Refusal; got != tc.want {
			t.Errorf("%s: %q, expected %q", name, got, tc.want)
		}
	}
}

// A slow entry accepts few children, so that packets of its callers don't wait behind messages to children.
// A full entry names its children instead.
func TestCapacity(t *testing.T) {
	for share, want := range map[float64]int{0: 5, 0.8: 5, 0.192: 5, 0.12: 4, 0.061: 2, 0.01: 2} {
		tree := newTree(0, "a", share)
		n := 0
		for ; n < 20; n++ {
			a := tree.Admit(upToDate, request(10+n, "a"))
			if a.Refusal == stoattree.Full {
				if len(a.Alternatives) == 0 {
					t.Error("no alternative is named")
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
		slow.Admit(upToDate, request(10+i, "a"))
	}
	if a := slow.Admit(upToDate, request(20, "a")); a.Refusal != stoattree.Full {
		t.Error("a link of 10 Mbit/s accepts three children:", a)
	}
}

// The first entry of a data centre without a seed has its parent in another one and serves the others
// there, since traffic between data centres is expensive. It is accepted although the parent is full.
func TestOneLinkBetweenDataCentres(t *testing.T) {
	tree := newTree(0, "a", 0)
	for i := range stoattree.MaxChildren {
		tree.Admit(upToDate, request(10+i, "a"))
	}
	if a := tree.Admit(upToDate, request(30, "b")); a.Refusal != stoattree.Accepted {
		t.Fatal(a)
	}
	a := tree.Admit(upToDate, request(31, "b"))
	if a.Refusal != stoattree.OtherDataCentre || len(a.Alternatives) != 1 || a.Alternatives[0] != addr(30) {
		t.Error(a)
	}
	again := request(31, "b")
	again.Tried = a.Alternatives
	if a := tree.Admit(upToDate, again); a.Refusal != stoattree.Accepted {
		t.Error("refused although the only alternative was tried:", a)
	}
}

// A child lost its connection and asks again before the end of the old connection is noticed. That end must
// not remove the new admission.
func TestLateDisconnect(t *testing.T) {
	tree := newTree(0, "a", 0)
	first := tree.Admit(upToDate, request(5, "a"))
	second := tree.Admit(upToDate, request(5, "a"))
	tree.RemoveChild(addr(5), first.Admission)
	if tree.ChildCount() != 1 {
		t.Error(tree.ChildCount())
	}
	tree.RemoveChild(addr(5), second.Admission)
	if tree.ChildCount() != 0 {
		t.Error(tree.ChildCount())
	}
}

// member is one entry of a simulated fleet in which searches take no time.
type member struct {
	i         int
	centre    stoatpaddle.DataCentreID
	tree      *stoattree.Tree
	parent    *member
	admission stoattree.AdmissionID
	dead      bool
}

type fleet struct {
	t        *testing.T
	all      []*member
	requests int
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

// search makes a member look for a parent.
func (f *fleet) search(m *member) {
	m.tree.StartSearch()
	for {
		to, req, ok := m.tree.NextCandidate()
		if !ok {
			return
		}
		f.requests++
		var p *member
		for _, other := range f.all {
			if addr(other.i) == to && !other.dead {
				p = other
			}
		}
		if p == nil {
			continue
		}
		req.Position = at(10)
		s := stoattree.State{Ready: true, Position: at(10), Path: p.path(), ReadsPlatform: p.isSeed() || p.parent == nil}
		response := p.tree.Admit(s, req)
		if response.Refusal != stoattree.Accepted {
			m.tree.AddCandidates(response.Alternatives)
			continue
		}
		m.parent, m.admission = p, response.Admission
		m.tree.SetSiblings(p.tree.Siblings(addr(m.i), m.centre))
		return
	}
}

// settle lets all members without a parent search, for several rounds.
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
		m.parent.tree.RemoveChild(addr(m.i), m.admission)
	}
	for _, other := range f.all {
		if other.parent == m {
			other.parent = nil
		}
	}
}

// inspect returns how many members have no parent, the depth of the tree, the largest number of children
// and the number of links between data centres. It fails the test on a loop.
func (f *fleet) inspect() (orphans, depth, widest, crossLinks int) {
	f.t.Helper()
	for _, m := range f.all {
		if m.dead || m.isSeed() {
			continue
		}
		switch up := m.path(); {
		case len(up) >= stoattree.MaxPathLength:
			f.t.Fatal(m.i, "is in a loop, or too deep:", up)
		case m.parent == nil:
			orphans++
		default:
			depth = max(depth, len(up))
		}
		if m.parent != nil && m.parent.centre != m.centre {
			crossLinks++
		}
		widest = max(widest, m.tree.ChildCount())
	}
	return orphans, depth, widest, crossLinks
}

func uniformShare(share float64) func(int) float64 { return func(int) float64 { return share } }

// Fleets of three hundred and of two thousand entries start at once. Each entry finds a parent with a few
// requests, none has more children than it can serve, the tree is shallow, and few links cross between data
// centres.
func TestFleetStarts(t *testing.T) {
	for n, deepest := range map[int]int{300: 7, 2000: 10} {
		f := newFleet(t, n, uniformShare(0.2))
		f.settle(3)
		orphans, depth, widest, crossLinks := f.inspect()
		if orphans > 0 || depth > deepest || widest > 8 || crossLinks > 12 || f.requests > 12*n {
			t.Errorf("%d entries: %d without a parent, depth %d, %d children, %d links between data centres, %d requests", n, orphans, depth, widest, crossLinks, f.requests)
		}
	}
}

// Most entries are slow and accept two children. The tree is deeper, and every entry still has a parent.
func TestFleetOfSlowEntries(t *testing.T) {
	f := newFleet(t, 300, func(i int) float64 {
		if i < 12 {
			return 0.8
		}
		return 0.05
	})
	f.settle(4)
	if orphans, depth, widest, _ := f.inspect(); orphans > 0 || depth > 12 || widest > 10 {
		t.Error(orphans, depth, widest)
	}
}

// A tenth of the entries die, then a whole data centre, then the seeds. Entries that lost their parent find
// another one. Without seeds they gather below a few of themselves, which read the platform, and there is
// no loop.
func TestFleetLosesEntries(t *testing.T) {
	f := newFleet(t, 400, uniformShare(0.2))
	f.settle(3)
	rnd := rand.New(rand.NewPCG(7, 7))
	for range 40 {
		f.kill(f.all[3+rnd.IntN(397)])
	}
	f.settle(3)
	if orphans, _, _, _ := f.inspect(); orphans > 0 {
		t.Error("after single deaths:", orphans, "without a parent")
	}
	for _, m := range f.all {
		if m.centre == "b" && !m.dead {
			f.kill(m)
		}
	}
	f.settle(3)
	if orphans, _, _, _ := f.inspect(); orphans > 0 {
		t.Error("after a data centre's death:", orphans, "without a parent")
	}
	for _, m := range f.all[:3] {
		if !m.dead {
			f.kill(m)
		}
	}
	f.settle(10)
	if orphans, _, _, _ := f.inspect(); orphans > 40 {
		t.Error("without seeds:", orphans, "of 260 without a parent")
	}
}
