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
	// MaxChildren is how many children the fastest entry accepts. With changes as often as the largest
	// deployment has them, each child takes 0.32 kB a second, and the connection to the parent as much:
	// six of these are 1.9 of the 2 kB a second that control traffic may take.
	MaxChildren = 5
	// minChildren is how many children every entry can serve. With one child for each entry, the tree would
	// be a chain.
	minChildren = 2
	// MaxPathLength limits the path from an entry that reads the platform to any other. Eight levels with
	// two children each reach further than any deployment, and a path longer than this limit is a loop that
	// was not detected.
	MaxPathLength = 16
	// maxAlternatives limits the entries that are named to one that looks for a parent.
	maxAlternatives = 3
)

// JoinRequest is what an entry sends when it asks to become a child.
type JoinRequest struct {
	From   netip.AddrPort
	Centre stoatpaddle.DataCentreID
	// Position is the position up to which the requester knows everything. Revision 0: the requester
	// knows nothing yet, so it has no children, and the entry that it asks cannot be below it.
	Position stoatpaddle.Position
	// LocalOnly makes an entry of another data centre refuse, since traffic between data centres is
	// expensive.
	LocalOnly bool
	// MaxAge is how old the knowledge of the parent may be. 0: any age will do, since the platform does not
	// answer the requester.
	MaxAge time.Duration
	Tried  []netip.AddrPort // entries that were asked already
}

// Refusal says why an entry does not accept another one as its child.
type Refusal string

// The reasons to refuse a request. The refusing entry sends the text to the requester, which logs it.
const (
	Accepted        Refusal = ""                                            // no refusal
	NotReady        Refusal = "nothing to tell"                             // this entry has no complete state to relay, or is stopping
	Behind          Refusal = "knows less"                                  // the requester knows a later position
	Stale           Refusal = "knows only what is too old"                  // this entry's knowledge is older than the requester's MaxAge
	Loop            Refusal = "is told by the one that asks"                // the requester is above this entry in the tree
	NotRoot         Refusal = "out of touch, and not the first of its kind" // this entry has no parent and may not be a root for the requester
	OtherDataCentre Refusal = "in another data centre"                      // the requester is in another data centre and has a nearer entry to ask
	Full            Refusal = "tells as many as it can"                     // this entry has as many children as it can serve
)

// JoinResponse is the decision on a JoinRequest.
type JoinResponse struct {
	Refusal      Refusal
	Alternatives []netip.AddrPort // entries to ask instead
	Admission    AdmissionID      // of a request that was accepted
}

// AdmissionID identifies one admission of a child. A child that lost its connection asks again before the
// end of the old connection is noticed, and that end must not remove the new admission.
type AdmissionID uint64

type child struct {
	centre    stoatpaddle.DataCentreID
	admission AdmissionID
	size      int // entries of its data centre in its subtree as it reported, itself included
}

// State is the state of an entry that decides on a request.
type State struct {
	Ready    bool
	Position stoatpaddle.Position
	// Path leads from an entry that reads the platform to this entry's parent; empty: it has no parent.
	Path []netip.AddrPort
	// ReadsPlatform means that this entry reads the platform itself and gets answers.
	ReadsPlatform bool
	Age           time.Duration // of its knowledge; negative: it was never known to be up to date
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

// Tree is one entry's view of the relay tree: its children, and the entries that it may ask to become its
// parent. It must not be used by several goroutines at once.
type Tree struct {
	cfg           Config
	children      map[netip.AddrPort]child
	lastAdmission AdmissionID
	siblings      []netip.AddrPort // other entries of this data centre that a parent named
	search        *search
}

// New returns a Tree without children.
func New(cfg Config) *Tree {
	return &Tree{cfg: cfg, children: map[netip.AddrPort]child{}}
}

// SetSeeds replaces the seeds for later searches.
func (t *Tree) SetSeeds(seeds []netip.AddrPort) { t.cfg.Seeds = seeds }

// IsSeed reports whether the settings name this entry as a seed.
func (t *Tree) IsSeed() bool { return slices.Contains(t.cfg.Seeds, t.cfg.Self) }

// ChildCount returns the number of children.
func (t *Tree) ChildCount() int { return len(t.children) }

// cpuPerChild is the part of a core that an entry must have for each child. A message without changes costs
// 0.2 ms, so that a child takes a fiftieth of this at most.
const cpuPerChild = 0.03

// remoteChildren is the additional number of children for entries of other data centres.
const remoteChildren = 2

// linkMbpsPerChild is the bandwidth that an entry must have for each child, Mbit/s. A full message with
// 2,000 routes and 150 upstreams is 40 kB, which takes 60 ms at 5 Mbit/s. A link of 10 Mbit/s that sent it
// to eight children at once delayed the packets of callers for half a second, and their upstreams looked
// dead.
const linkMbpsPerChild = 5

// capacity returns how many children this entry accepts. A slow entry accepts few, so that neither its
// children nor its callers have to wait for it.
func (t *Tree) capacity() int {
	n := MaxChildren
	if t.cfg.CPUShare > 0 {
		n = min(n, int(t.cfg.CPUShare/cpuPerChild))
	}
	if t.cfg.LinkMbps > 0 {
		n = min(n, int(t.cfg.LinkMbps/linkMbpsPerChild))
	}
	return max(minChildren, n)
}

// Admit decides on a request to become a child. An accepted entry is a child until RemoveChild.
func (t *Tree) Admit(s State, req JoinRequest) JoinResponse {
	if refusal := t.refusalReason(s, req); refusal != Accepted {
		return JoinResponse{Refusal: refusal}
	}
	if req.Centre != t.cfg.Centre {
		// One link between two data centres is enough: the first child there serves the others.
		if alternatives := t.childrenIn(req.Centre, req.Tried); len(alternatives) > 0 {
			return JoinResponse{Refusal: OtherDataCentre, Alternatives: alternatives}
		}
		if req.LocalOnly {
			return JoinResponse{Refusal: OtherDataCentre}
		}
	}
	if _, admitted := t.children[req.From]; !admitted && len(t.children) >= t.limit(req.Centre) {
		return JoinResponse{Refusal: Full, Alternatives: t.childrenIn(req.Centre, req.Tried)}
	}
	t.lastAdmission++
	t.children[req.From] = child{centre: req.Centre, admission: t.lastAdmission, size: max(1, t.children[req.From].size)}
	return JoinResponse{Admission: t.lastAdmission}
}

// limit returns how many children there may be when an entry of that data centre is accepted. Entries of
// other data centres are accepted beyond the usual capacity, since a data centre without a seed has no
// other source.
func (t *Tree) limit(centre stoatpaddle.DataCentreID) int {
	if centre == t.cfg.Centre {
		return t.capacity()
	}
	return t.capacity() + remoteChildren
}

// refusalReason returns why this entry must not accept the requester even if it has capacity, or Accepted.
func (t *Tree) refusalReason(s State, req JoinRequest) Refusal {
	switch {
	case !s.Ready:
		return NotReady
	case s.Position.Before(req.Position):
		return Behind
	case req.MaxAge > 0 && (s.Age < 0 || s.Age > req.MaxAge):
		return Stale
	case req.From == t.cfg.Self || slices.Contains(s.Path, req.From):
		return Loop
	case req.Position.Revision == 0 || len(s.Path) > 0 || s.ReadsPlatform && t.IsSeed():
		return Accepted
	case entryOrder(t.cfg.Self) < entryOrder(req.From):
		// Two entries without a parent would accept each other. A total order of all entries decides, so
		// that they gather below the first of them.
		return Accepted
	}
	return NotRoot
}

func entryOrder(a netip.AddrPort) uint64 { return xxhash.Sum64String(a.String()) }

// childrenIn returns a few children in a data centre. If there are none and it is the data centre of this
// entry, childrenIn returns a few children in other data centres. Entries that were tried are left out.
func (t *Tree) childrenIn(centre stoatpaddle.DataCentreID, tried []netip.AddrPort) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for a, c := range t.children {
		switch {
		case slices.Contains(tried, a):
		case c.centre == centre:
			local = append(local, a)
		case centre == t.cfg.Centre:
			remote = append(remote, a)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	return t.sample(local)
}

// sample returns a few entries of the list at random, so that the tree grows evenly.
func (t *Tree) sample(list []netip.AddrPort) []netip.AddrPort {
	slices.SortFunc(list, netip.AddrPort.Compare)
	t.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAlternatives)]
}

// SetSubtreeSize records how many entries of its data centre are in the subtree of a child, itself
// included.
func (t *Tree) SetSubtreeSize(from netip.AddrPort, n int) {
	if c, known := t.children[from]; known {
		c.size = max(1, n)
		t.children[from] = c
	}
}

// SubtreeSize returns how many entries of this data centre are in the subtree of this one, itself included.
func (t *Tree) SubtreeSize() int {
	n := 1
	for _, c := range t.children {
		if c.centre == t.cfg.Centre {
			n += c.size
		}
	}
	return n
}

// ChildRank returns the rank of a child of this data centre, given the rank of this entry. Ranks number the
// entries depth first: each entry is followed by those below it, one child after the other.
func (t *Tree) ChildRank(from netip.AddrPort, own int) int {
	rank := own + 1
	for a, c := range t.children {
		if c.centre == t.cfg.Centre && a.Compare(from) < 0 {
			rank += c.size
		}
	}
	return rank
}

// ChildCentre returns the data centre of a child; false: the entry is not a child.
func (t *Tree) ChildCentre(from netip.AddrPort) (stoatpaddle.DataCentreID, bool) {
	c, known := t.children[from]
	return c.centre, known
}

// RemoveChild removes a child, unless it has been admitted again.
func (t *Tree) RemoveChild(from netip.AddrPort, admission AdmissionID) {
	if t.children[from].admission == admission {
		delete(t.children, from)
	}
}

// Siblings returns a few entries that a child may ask when this one is gone, which are other children in the
// child's data centre.
func (t *Tree) Siblings(child netip.AddrPort, centre stoatpaddle.DataCentreID) []netip.AddrPort {
	var list []netip.AddrPort
	for a, c := range t.children {
		if a != child && c.centre == centre {
			list = append(list, a)
		}
	}
	return t.sample(list)
}
