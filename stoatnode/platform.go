package stoatnode

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// platformState is the state of the communication with the platform.
type platformState struct {
	configComplete bool                // all objects are known, from the platform or from a peer
	readPending    bool                // a list or watch is in progress or scheduled
	failures       int                 // number of consecutive failed reads
	revision       stoatpaddle.Version // highest one read
	relist         bool                // the next read must be a list
}

func (n *Node) listed(now time.Time, l stoatpaddle.Listing) {
	n.platformAnswered(l)
	n.platform.relist = false
	n.rewriteLost(l)
	n.platform.revision = max(n.platform.revision, l.Revision)
	if !n.platform.configComplete {
		n.platform.configComplete = true
		n.dirty = true
	}
	for _, o := range l.Objects {
		n.adopt(now, o, "")
	}
	if n.hashKey == nil {
		n.emit(MakeSeed{})
	}
	n.poll()
}

func (n *Node) watched(now time.Time, l stoatpaddle.Listing) {
	n.platformAnswered(l)
	n.platform.revision = max(n.platform.revision, l.Revision)
	for _, o := range l.Objects {
		n.adopt(now, o, "")
	}
	n.poll()
}

func (n *Node) platformAnswered(l stoatpaddle.Listing) {
	n.platform.readPending = false
	for _, err := range l.Foreign {
		n.log(EventObjectInvalid, stoatevent.F("cause", err.Error()))
	}
	if n.platform.failures > 0 {
		n.platform.failures = 0
		n.log(EventPlatformBack)
	}
	if l.Revision < n.platform.revision {
		n.log(EventRevisionDecreased, stoatevent.F("seen", n.platform.revision.String()), stoatevent.F("shown", l.Revision.String()))
	}
}

func (n *Node) platformFailed(ev PlatformFailed) {
	n.platform.readPending = false
	if ev.HistoryGone && !n.platform.relist {
		// The platform is available, but it would reject every watch from this revision.
		n.platform.relist = true
		n.readPlatform(ev.RetryAfter)
		return
	}
	if n.platform.failures == 0 {
		n.log(EventPlatformLost, stoatevent.F("cause", ev.Cause))
	}
	after := max(ev.RetryAfter, stoatplatform.Backoff(n.rnd, n.platform.failures))
	n.platform.failures++
	n.readPlatform(after)
}

// poll starts a read of the platform unless one is pending or other entries watch on behalf of this one.
func (n *Node) poll() {
	if !n.platform.readPending && n.isWatcher() {
		n.readPlatform(0)
	}
}

func (n *Node) readPlatform(after time.Duration) {
	n.platform.readPending = true
	if n.platform.revision == 0 || n.platform.relist {
		n.emit(List{Delay: after})
		return
	}
	n.emit(Watch{From: n.platform.revision, Delay: after})
}

// watchKey selects the watching entries by hashing; any constant would do.
var watchKey = stoatpaddle.FlowHash(xxhash.Sum64String("watch"))

// isWatcher reports whether this entry watches the platform. Two entries in each data centre do and tell the
// others of changes, so that the calls to the platform do not grow with the number of entries. An entry
// without a connected live peer watches by itself.
func (n *Node) isWatcher() bool {
	if n.view == nil || !n.hasLivePeer() {
		return true
	}
	owner, next := n.view.Entries.OwnerAndNext(watchKey, n.cfg.Self.DataCentre)
	return owner != nil && owner.ID == n.cfg.Self.ID || next != nil && next.ID == n.cfg.Self.ID
}

func (n *Node) hasLivePeer() bool {
	for _, p := range n.peers {
		if p.connected && !p.dead {
			return true
		}
	}
	return false
}
