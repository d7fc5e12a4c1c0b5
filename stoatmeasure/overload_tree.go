package stoatmeasure

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// TreeConfig describes how the entries of a data centre add up what they observe; zero values take the defaults.
type TreeConfig struct {
	Children int           // of an entry
	Hop      time.Duration // from an entry to its parent or child
	// CutShare is the share of the entries that have no parent: they neither report nor receive a sum.
	CutShare float64
	// Age is how much older than by Hop a sum is when a child receives it.
	Age time.Duration
}

const (
	// defaultTreeChildren is less than stoattree.MaxChildren, as only the fastest entries take as many.
	defaultTreeChildren = 4
	// defaultTreeHop covers a message within a data centre between entries that have a tenth of a core.
	defaultTreeHop = 10 * time.Millisecond
)

func (c TreeConfig) withDefaults() TreeConfig {
	if c.Children == 0 {
		c.Children = defaultTreeChildren
	}
	if c.Hop == 0 {
		c.Hop = defaultTreeHop
	}
	return c
}

// loadEngine is the part of an engine that observes loads, and decides by those of others.
type loadEngine interface {
	Loads(now time.Time) []stoatload.GroupLoad
	SetSharedLoads(now time.Time, own stoatload.CentreLoad, fresh bool, others []stoatload.CentreLoad)
}

// loadTree adds up the loads of entries along a tree in virtual time. Its nodes do what an entry does in each round of
// the exchange, without the network.
type loadTree struct {
	cfg   TreeConfig
	q     *queue
	epoch time.Time
	until time.Duration // no round begins later
	nodes []*loadNode   // the first is the root; the children of node i begin at i x Children + 1
}

// loadNode is an entry of the tree.
type loadNode struct {
	engine      loadEngine
	addr        netip.AddrPort
	parent      *loadNode // nil: none
	children    []*loadNode
	aggregator  *stoatload.Aggregator
	reportPacer stoatload.Pacer
	childPacer  stoatload.ChildPacer
}

// newLoadTree returns the tree of the entries. The last ones are cut off.
func newLoadTree(cfg TreeConfig, engines []loadEngine) *loadTree {
	t := &loadTree{cfg: cfg.withDefaults()}
	connected := len(engines) - int(t.cfg.CutShare*float64(len(engines)))
	for i, e := range engines {
		n := &loadNode{engine: e, addr: nodeAddr(i)}
		n.aggregator = stoatload.NewAggregator(stoatload.AggregatorConfig{Self: n.addr, DataCentre: "here"})
		n.aggregator.SetTopmost(i == 0)
		if 0 < i && i < connected {
			n.parent = t.nodes[(i-1)/t.cfg.Children]
			n.parent.children = append(n.parent.children, n)
			n.aggregator.HandleParent(t.epoch, n.parent.addr, nil)
		}
		t.nodes = append(t.nodes, n)
	}
	return t
}

func nodeAddr(i int) netip.AddrPort {
	a := [4]byte{10}
	binary.BigEndian.PutUint16(a[2:], uint16(i))
	return netip.AddrPortFrom(netip.AddrFrom4(a), 1)
}

// start schedules the rounds of all entries, each with a phase of its own.
func (t *loadTree) start(rnd *rand.Rand) {
	for _, n := range t.nodes {
		t.q.after(time.Duration(rnd.Int64N(int64(stoatload.PressedInterval))), func() { t.periodicRound(n) })
	}
}

func (t *loadTree) now() time.Time { return t.epoch.Add(t.q.now) }

func (t *loadTree) periodicRound(n *loadNode) {
	t.round(n)
	if t.q.now < t.until {
		t.q.after(stoatload.PressedInterval, func() { t.periodicRound(n) })
	}
}

// round passes the loads between the engine, the parent and the children.
func (t *loadTree) round(n *loadNode) {
	now, agg := t.now(), n.aggregator
	agg.SetOwn(now, n.engine.Loads(now))
	sum, fresh := agg.Sum(now)
	n.engine.SetSharedLoads(now, sum, fresh, nil)
	if n.parent != nil && n.reportPacer.Next(now, agg.Pace(now)) {
		report := agg.Report(now)
		t.q.after(t.cfg.Hop, func() { n.parent.aggregator.HandleChild(t.now(), n.addr, report) })
	}
	if forChildren, ok := agg.SumForChildren(now); ok && n.childPacer.Next(now, agg.Pace(now), forChildren.At) {
		forChildren.At = forChildren.At.Add(-t.cfg.Age)
		for _, child := range n.children {
			t.q.after(t.cfg.Hop, func() {
				child.aggregator.HandleParent(t.now(), n.addr, &forChildren)
				t.round(child)
			})
		}
	}
}
