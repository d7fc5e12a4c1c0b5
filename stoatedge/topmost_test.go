package stoatedge

import (
	"net/netip"
	"testing"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatrelay"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
)

// noLoads is an engine without traffic.
type noLoads struct{ loadEngine }

// Guards against an entry that has just lost its parent, still announces the path to it, and publishes its own subtree
// as the load of the data centre.
func TestOnlyRootsAreTopmost(t *testing.T) {
	self, parent := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for name, c := range map[string]struct {
		seed         bool
		parent       string // data centre of the parent; empty: none
		lost         bool
		wantsTopmost bool
	}{
		"seed":                      {seed: true, wantsTopmost: true},
		"seed below another":        {seed: true, parent: "here"},
		"below its data centre":     {parent: "here"},
		"below another data centre": {parent: "there", wantsTopmost: true},
		"parent lost":               {parent: "here", lost: true},
		"remote parent lost":        {parent: "there", lost: true},
		"seed that lost its parent": {seed: true, parent: "here", lost: true, wantsTopmost: true},
		"never had a parent":        {},
	} {
		cfg := stoattree.Config{Self: self, Centre: "here"}
		if c.seed {
			cfg.Seeds = []netip.AddrPort{self}
		}
		e := &Edge{relay: newRelayState(cfg), loads: newLoadExchange(stoatsetting.Settings{AdminAddr: self, DataCentre: "here"}, noLoads{})}
		if c.parent != "" {
			e.relay.announced.Store(&announcement{path: []netip.AddrPort{parent}})
			if c.parent == "here" {
				e.relay.assigned.Store(&assignedPlace{parent: parent})
			}
			e.loads.handleHead(clock(), parent, &stoatrelay.Head{Centre: c.parent})
		}
		if c.lost {
			e.relay.assigned.Store(nil)
			e.loads.parentLost(clock())
		}
		if got := e.topmost(); got != c.wantsTopmost {
			t.Errorf("%s: topmost %v", name, got)
		}
	}
}

// Guards against a faulty load that costs an entry its parent: it counts as none.
func TestFaultyLoadsOfParentCountAsNone(t *testing.T) {
	x := newLoadExchange(stoatsetting.Settings{DataCentre: "here"}, noLoads{})
	parent, now := netip.MustParseAddrPort("10.0.0.2:1"), clock()
	group := stoatload.GroupLoad{Group: stoatload.GroupID{Service: "app", DataCentre: "here"}, Entries: 1, Answered: 5}
	good, err := stoatload.EncodeCentre(now, stoatload.CentreLoad{DataCentre: "here", At: now, Groups: []stoatload.GroupLoad{group}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		load, others []byte
		want         bool
	}{
		"both good":     {load: good, want: true},
		"faulty others": {load: good, others: []byte{0x91, 5}, want: true},
		"faulty sum":    {load: []byte{0x93, 1, 2, 3}},
		"no array":      {load: []byte{0xa1, 'x'}},
		"none":          {},
	} {
		x.handleHead(now, parent, &stoatrelay.Head{Centre: "here", CentreLoad: good})
		x.handleHead(now, parent, &stoatrelay.Head{Centre: "here", CentreLoad: c.load, OtherLoads: c.others})
		if _, ok := x.aggregator.Sum(now); ok != c.want || x.aggregator.Parent() != parent {
			t.Errorf("%s: sum %v, parent %s", name, ok, x.aggregator.Parent())
		}
	}
}
