package stoatnode

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// The times of the control protocol.
const (
	TickInterval      = 250 * time.Millisecond
	HeartbeatInterval = 500 * time.Millisecond
	DefaultDeadAfter  = 2 * time.Second // time without a message after which a peer is considered dead
	redialInterval    = time.Second
	// pauseThreshold is the gap between ticks above which the process must have been paused.
	pauseThreshold = time.Second
	// fabricLag is how long the fabric continues to send packets to an entry that announced its stop.
	fabricLag = 2 * time.Second
)

// Config configures a Node.
type Config struct {
	Self         stoatpaddle.Instance
	Cluster      stoatpaddle.ClusterID
	Seeds        []netip.AddrPort // peers to dial until the configuration is complete
	RandomSeed   uint64           // seed of the generator of random delays
	StopDeadline time.Duration    // deadline of a planned stop
	DeadAfter    time.Duration    // time without a message after which a peer is considered dead; 0 means DefaultDeadAfter
}

// Node is the control state of one entry. It is not safe for concurrent use.
type Node struct {
	cfg             Config
	rnd             *rand.Rand
	objects         map[stoatpaddle.ObjectRef]stoatpaddle.Object
	contracts       map[stoatpaddle.CustomerID]validContract
	loggedConflicts map[stoatpaddle.CustomerID]stoatpaddle.Version // the version whose conflict was last logged
	instances       map[stoatpaddle.InstanceID]stoatpaddle.Instance
	peers           map[stoatpaddle.InstanceID]*peer
	partitioned     map[stoatpaddle.DataCentreID]bool // data centres whose known entries are all dead
	evacuated       map[stoatpaddle.DataCentreID]bool
	requestedUntil  map[stoatpaddle.ObjectRef]time.Time // until when no other peer is asked for the object
	hashKey         *stoatpacket.Seed
	view            *stoatview.View
	platform        platformState
	stop            stopState
	lastTick        time.Time
	lastHeartbeat   time.Time
	lastSeedDial    time.Time // when Config.Seeds were last dialled
	dirty           bool      // the view is outdated
	effects         []Effect
}

// validContract is the last valid version of a contract; a newer object may be invalid.
type validContract struct {
	contract stoatpaddle.Contract
	version  stoatpaddle.Version
}

// peer is what this entry knows of the process of another entry.
type peer struct {
	connected          bool
	disconnectedSince  time.Time // if not connected
	lastHeard          time.Time
	dead               bool
	lastDial           time.Time
	digestDiffersSince time.Time // zero if its digest equals the local one
	lastOffer          time.Time // when it was last offered all objects
}

// New returns the Node of an entry in the state joining.
func New(cfg Config) *Node {
	cfg.Self.State = stoatpaddle.StateJoining
	if cfg.DeadAfter == 0 {
		cfg.DeadAfter = DefaultDeadAfter
	}
	n := &Node{
		cfg:             cfg,
		rnd:             rand.New(rand.NewPCG(cfg.RandomSeed, 1)),
		objects:         map[stoatpaddle.ObjectRef]stoatpaddle.Object{},
		contracts:       map[stoatpaddle.CustomerID]validContract{},
		loggedConflicts: map[stoatpaddle.CustomerID]stoatpaddle.Version{},
		instances:       map[stoatpaddle.InstanceID]stoatpaddle.Instance{cfg.Self.ID: cfg.Self},
		peers:           map[stoatpaddle.InstanceID]*peer{},
		partitioned:     map[stoatpaddle.DataCentreID]bool{},
		evacuated:       map[stoatpaddle.DataCentreID]bool{},
		requestedUntil:  map[stoatpaddle.ObjectRef]time.Time{},
	}
	return n
}

// Step processes one event and returns the effects to perform. The time must not decrease between calls.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	n.effects = nil
	switch ev := ev.(type) {
	case Started:
		n.start(now)
	case Ticked:
		n.tick(now)
	case Listed:
		n.listed(now, ev.Listing)
	case Watched:
		n.watched(now, ev.Listing)
	case PlatformFailed:
		n.platformFailed(ev)
	case ObjectWritten:
		n.adopt(now, ev.Object, "")
	case Connected:
		n.connected(now, ev)
	case Disconnected:
		n.disconnected(now, ev.Peer)
	case Received:
		n.received(now, ev)
	case StopRequested:
		n.beginStop(now)
	case FlowsHandedOver:
		n.handedOver(now, ev)
	}
	n.publish(now)
	return n.effects
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) log(e *stoatevent.Definition, fields ...stoatevent.Field) {
	n.emit(Log{Definition: e, Fields: fields})
}

func (n *Node) start(now time.Time) {
	n.lastTick = now
	n.emit(Register{Instance: n.cfg.Self})
	n.platform.readPending = true
	n.emit(List{})
	n.dialSeeds(now)
}

func (n *Node) tick(now time.Time) {
	if gap := now.Sub(n.lastTick); gap > pauseThreshold {
		n.resumeAfterPause(now, gap)
	}
	n.lastTick = now
	n.checkPeers(now)
	n.dial(now)
	if now.Sub(n.lastHeartbeat) >= HeartbeatInterval {
		n.lastHeartbeat = now
		n.sendHeartbeats()
	}
	n.poll()
	n.checkStopDeadline(now)
}

// publish emits a new view if something changed and the entry has what it needs to serve.
func (n *Node) publish(now time.Time) {
	if !n.dirty || n.hashKey == nil || !n.platform.configComplete {
		return
	}
	first := n.view == nil
	if first && !n.stop.requested {
		// Without a view the entry cannot store flow records, so peers must not send any earlier.
		n.setState(stoatpaddle.StateLive)
	}
	n.dirty = false
	n.view = stoatview.Next(n.view, now, n.viewInput())
	n.emit(Publish{View: n.view})
	if first {
		n.log(EventReady, stoatevent.F("contracts", itoa(len(n.contracts))))
	}
}

// setState changes this entry's own state and announces it on the platform and to peers.
func (n *Node) setState(s stoatpaddle.InstanceState) {
	n.cfg.Self.State = s
	n.instances[n.cfg.Self.ID] = n.cfg.Self
	n.dirty = true
	n.emit(Register{Instance: n.cfg.Self})
	n.sendHeartbeats()
}

func (n *Node) viewInput() stoatview.Input {
	in := stoatview.Input{
		Self:        n.cfg.Self.ID,
		Seed:        *n.hashKey,
		Contracts:   n.servable(),
		Dead:        map[stoatpaddle.InstanceID]bool{},
		Partitioned: n.partitioned,
		Leaving:     map[stoatpaddle.InstanceID]bool{},
	}
	for _, id := range sortedIDs(n.instances) {
		i := n.instances[id]
		in.Instances = append(in.Instances, i)
		if i.Role == stoatpaddle.RoleUpstream && i.State == stoatpaddle.StateLeaving {
			in.Leaving[id] = true
		}
		if p := n.peers[id]; p != nil && p.dead {
			in.Dead[id] = true
		}
	}
	n.markEvacuated(&in)
	return in
}

// View returns the current view, or nil before the first one.
func (n *Node) View() *stoatview.View { return n.view }
