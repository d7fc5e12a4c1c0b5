package stoatnode

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// platform is what is known of the platform.
type platform struct {
	known    bool // the configuration is complete, from the platform or from a peer
	busy     bool // a list or watch is under way
	failures int
	revision stoatpaddle.Version
	relist   bool
}

func (n *Node) listed(now time.Time, l stoatpaddle.Listing) {
	n.answered(l)
	n.platform.relist = false
	n.findLost(l)
	n.platform.revision = max(n.platform.revision, l.Revision)
	if !n.platform.known {
		n.platform.known = true
		n.dirty = true
	}
	for _, o := range l.Objects {
		n.adopt(now, o, "")
	}
	if n.seed == nil {
		n.do(MakeSeed{})
	}
	n.poll()
}

func (n *Node) watched(now time.Time, l stoatpaddle.Listing) {
	n.answered(l)
	n.platform.revision = max(n.platform.revision, l.Revision)
	for _, o := range l.Objects {
		n.adopt(now, o, "")
	}
	n.poll()
}

func (n *Node) answered(l stoatpaddle.Listing) {
	n.platform.busy = false
	if n.platform.failures > 0 {
		n.platform.failures = 0
		n.log(EventPlatformBack)
	}
	if l.Revision < n.platform.revision {
		n.log(EventRevisionDecreased, stoatevent.F("seen", n.platform.revision.String()), stoatevent.F("shown", l.Revision.String()))
	}
}

func (n *Node) platformFailed(ev PlatformFailed) {
	n.platform.busy = false
	if ev.HistoryGone && !n.platform.relist {
		// It answers; a watch from there would be refused for ever.
		n.platform.relist = true
		n.call(ev.RetryAfter)
		return
	}
	if n.platform.failures == 0 {
		n.log(EventPlatformLost, stoatevent.F("cause", ev.Cause))
	}
	after := max(ev.RetryAfter, stoatplatform.Backoff(n.rnd, n.platform.failures))
	n.platform.failures++
	n.call(after)
}

// poll begins a watch unless one is under way or other entries watch for this one.
func (n *Node) poll() {
	if !n.platform.busy && n.watches() {
		n.call(0)
	}
}

func (n *Node) call(after time.Duration) {
	n.platform.busy = true
	if n.platform.revision == 0 || n.platform.relist {
		n.do(List{Delay: after})
		return
	}
	n.do(Watch{From: n.platform.revision, Delay: after})
}

// watchKey places the watchers; any constant would do.
var watchKey = stoatpaddle.FlowHash(xxhash.Sum64String("watch"))

// watches tells whether this entry watches the platform: two in each data centre do, the
// others hear of changes from them, so that the platform's calls do not grow with the
// fleet. An entry that no peer is connected to has to watch by itself.
func (n *Node) watches() bool {
	if n.view == nil || !n.anyPeer() {
		return true
	}
	a, b := n.view.Entries.OwnerAndNext(watchKey, n.cfg.Self.DataCentre)
	return a != nil && a.ID == n.cfg.Self.ID || b != nil && b.ID == n.cfg.Self.ID
}

func (n *Node) anyPeer() bool {
	for _, p := range n.peers {
		if p.connected && !p.dead {
			return true
		}
	}
	return false
}
