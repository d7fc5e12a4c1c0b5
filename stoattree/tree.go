package stoattree

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
)

const (
	// MaxChildren is how many others the ablest entry tells. With changes as often as the
	// largest deployment has them, each child takes 0.32 kB a second and the parent as much:
	// six of these are 1.9 of the 2 kB that control may take.
	MaxChildren = 5
	// minChildren is what every entry can bear: with one, the tree would be a chain.
	minChildren = 2
	// MaxPathLength bounds the way from a reader to an entry; eight levels of two reach further
	// than any deployment, and a longer way is a loop that nobody noticed.
	MaxPathLength = 16
	// hints is how many other entries are named to one that is sent on.
	hints = 3
)

// JoinRequest is what an entry says when it asks to be told.
type JoinRequest struct {
	From   netip.AddrPort
	Centre stoatpaddle.DataCentreID
	// Position is the position up to which it knows everything; revision 0: it has nothing to serve
	// by, and so no children that could be above the one it asks.
	Position stoatpaddle.Position
	// LocalOnly refuses another data centre's entry, since bytes between data centres are dear.
	LocalOnly bool
	// MaxAge is how old what is told may be; 0: it does not matter, since the platform does
	// not answer the one that asks.
	MaxAge time.Duration
	Tried  []netip.AddrPort // it asked these already
}

// Refusal says why an entry tells another one nothing.
type Refusal string

// The refusals.
const (
	Accepted        Refusal = ""
	NotReady        Refusal = "nothing to tell"
	Behind          Refusal = "knows less"
	Stale           Refusal = "knows only what is too old"
	Loop            Refusal = "is told by the one that asks"
	NotRoot         Refusal = "out of touch, and not the first of its kind"
	OtherDataCentre Refusal = "in another data centre"
	Full            Refusal = "tells as many as it can"
)

// JoinResponse is what becomes of an Ask.
type JoinResponse struct {
	Refusal      Refusal
	Alternatives []netip.AddrPort // ask these instead
	Admission    AdmissionID      // of one that is accepted
}

// AdmissionID names one acceptance: a child that lost its connection asks again before the old
// one is seen to be gone, whose end must not take the new one out.
type AdmissionID uint64

type child struct {
	centre stoatpaddle.DataCentreID
	ticket AdmissionID
	size   int // entries of its data centre that it told of, itself included
}

// State is what an entry is as others see it.
type State struct {
	Ready    bool
	Position stoatpaddle.Position
	// Path leads from a reader to this entry's parent; empty: nobody tells it.
	Path []netip.AddrPort
	// ReadsPlatform tells that it asks the platform itself and is answered.
	ReadsPlatform bool
	Age           time.Duration // of what it believes; negative: never known to be up to date
}

// Config configures a Tree.
type Config struct {
	Self   netip.AddrPort
	Centre stoatpaddle.DataCentreID
	Seeds  []netip.AddrPort
	// CPUShare is the part of a core that this entry has; 0: not known.
	CPUShare float64
	// LinkMbps is the bandwidth of its link, Mbit/s; 0: not known.
	LinkMbps float64
	Rand     *rand.Rand
}

// Tree is one entry's place: its children, and whom it may ask. One goroutine uses it at a time.
type Tree struct {
	cfg      Config
	children map[netip.AddrPort]child
	tickets  AdmissionID
	known    []netip.AddrPort // others of this data centre that a parent named
	round    *round
}

// New returns a Tree without children.
func New(cfg Config) *Tree {
	return &Tree{cfg: cfg, children: map[netip.AddrPort]child{}}
}

// SetSeeds replaces the seeds for the rounds to come.
func (t *Tree) SetSeeds(seeds []netip.AddrPort) { t.cfg.Seeds = seeds }

// IsSeed tells whether the settings name this entry.
func (t *Tree) IsSeed() bool { return slices.Contains(t.cfg.Seeds, t.cfg.Self) }

// ChildCount returns how many are told.
func (t *Tree) ChildCount() int { return len(t.children) }

// sharePerChild is the part of a core that an entry has for each child: a message without
// news costs 0.2 ms, so that a child takes a fiftieth of this at most.
const sharePerChild = 0.03

// farChildren is the room kept for entries of other data centres.
const farChildren = 2

// linkPerChild is the bandwidth that an entry has for each child, Mbit/s. Everything at once,
// 2,000 routes and 150 upstreams, is 40 kB, 60 ms on 5 Mbit/s. A link of 10 that told eight
// at once held callers' packets up for half a second, and their upstreams looked dead.
const linkPerChild = 5

// capacity is how many children this entry takes: a slow one tells few, so that nobody
// waits for it, neither children nor callers.
func (t *Tree) capacity() int {
	n := MaxChildren
	if t.cfg.CPUShare > 0 {
		n = min(n, int(t.cfg.CPUShare/sharePerChild))
	}
	if t.cfg.LinkMbps > 0 {
		n = min(n, int(t.cfg.LinkMbps/linkPerChild))
	}
	return max(minChildren, n)
}

// Admit decides about an entry that asks to be told. One that is accepted is a child until Part.
func (t *Tree) Admit(s State, a JoinRequest) JoinResponse {
	if refusal := t.unfit(s, a); refusal != Accepted {
		return JoinResponse{Refusal: refusal}
	}
	if a.Centre != t.cfg.Centre {
		// One link between two data centres is enough: the first entry there tells the others.
		if there := t.childrenIn(a.Centre, a.Tried); len(there) > 0 {
			return JoinResponse{Refusal: OtherDataCentre, Alternatives: there}
		}
		if a.LocalOnly {
			return JoinResponse{Refusal: OtherDataCentre}
		}
	}
	if _, again := t.children[a.From]; !again && len(t.children) >= t.room(a.Centre) {
		return JoinResponse{Refusal: Full, Alternatives: t.childrenIn(a.Centre, a.Tried)}
	}
	t.tickets++
	t.children[a.From] = child{centre: a.Centre, ticket: t.tickets, size: max(1, t.children[a.From].size)}
	return JoinResponse{Admission: t.tickets}
}

// room is how many children there may be when one of that data centre is taken. The first
// ones of others find room beyond the usual: a data centre without a seed has no other way.
func (t *Tree) room(c stoatpaddle.DataCentreID) int {
	if c == t.cfg.Centre {
		return t.capacity()
	}
	return t.capacity() + farChildren
}

// unfit tells why this entry must not tell the one that asks, whatever room it has.
func (t *Tree) unfit(s State, a JoinRequest) Refusal {
	switch {
	case !s.Ready:
		return NotReady
	case s.Position.Before(a.Position):
		return Behind
	case a.MaxAge > 0 && (s.Age < 0 || s.Age > a.MaxAge):
		return Stale
	case a.From == t.cfg.Self || slices.Contains(s.Path, a.From):
		return Loop
	case a.Position.Revision == 0 || len(s.Path) > 0 || s.ReadsPlatform && t.IsSeed():
		return Accepted
	case order(t.cfg.Self) < order(a.From):
		// Two that nobody tells would take each other as parents. One order over all
		// decides, so that they gather below the first of them.
		return Accepted
	}
	return NotRoot
}

func order(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

// childrenIn returns a few children in the data centre, or, when all are elsewhere, any.
func (t *Tree) childrenIn(c stoatpaddle.DataCentreID, skip []netip.AddrPort) []netip.AddrPort {
	var near, far []netip.AddrPort
	for a, x := range t.children {
		switch {
		case slices.Contains(skip, a):
		case x.centre == c:
			near = append(near, a)
		case c == t.cfg.Centre:
			far = append(far, a)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return t.some(near)
}

// some returns a few of a list, at random, so that the tree grows evenly.
func (t *Tree) some(list []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare)
	t.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), hints)]
}

// SetSubtreeSize takes in how many entries of its data centre are below a child, itself included.
func (t *Tree) SetSubtreeSize(from netip.AddrPort, n int) {
	if c, known := t.children[from]; known {
		c.size = max(1, n)
		t.children[from] = c
	}
}

// SubtreeSize returns how many entries of this data centre are below this one, itself included.
func (t *Tree) SubtreeSize() int {
	n := 1
	for _, c := range t.children {
		if c.centre == t.cfg.Centre {
			n += c.size
		}
	}
	return n
}

// ChildRank returns the rank of a child of this data centre, this entry having rank own: each is followed
// by those below it, one child after the other.
func (t *Tree) ChildRank(from netip.AddrPort, own int) int {
	rank := own + 1
	for a, c := range t.children {
		if c.centre == t.cfg.Centre && a.Compare(from) < 0 {
			rank += c.size
		}
	}
	return rank
}

// RemoveChild takes a child out, unless it has been accepted anew.
func (t *Tree) RemoveChild(from netip.AddrPort, ticket AdmissionID) {
	if t.children[from].ticket == ticket {
		delete(t.children, from)
	}
}

// Siblings returns a few entries for a child to ask when this one is gone: other children
// in its data centre.
func (t *Tree) Siblings(of netip.AddrPort, c stoatpaddle.DataCentreID) []netip.AddrPort {
	var list []netip.AddrPort
	for a, x := range t.children {
		if a != of && x.centre == c {
			list = append(list, a)
		}
	}
	return t.some(list)
}
