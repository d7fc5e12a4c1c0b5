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
	DefaultDeadAfter  = 2 * time.Second // of silence, until an entry counts as dead
	redialAfter       = time.Second
	// pausedAfter is a gap between ticks that only a paused process shows.
	pausedAfter = time.Second
	// fabricLag is how long packets still arrive after an entry said that it leaves.
	fabricLag = 2 * time.Second
)

// Config configures a Node.
type Config struct {
	Self         stoatpaddle.Instance
	Cluster      stoatpaddle.ClusterID
	Seeds        []netip.AddrPort // peers to dial without knowing them
	RandomSeed   uint64           // seed of pauses
	StopDeadline time.Duration    // deadline of a planned stop
	DeadAfter    time.Duration    // of silence, until an entry counts as dead; 0: DefaultDead
}

// Node is the control state of one entry; one goroutine uses it.
type Node struct {
	cfg       Config
	rnd       *rand.Rand
	objects   map[stoatpaddle.ObjectRef]stoatpaddle.Object
	contracts map[stoatpaddle.CustomerID]served
	conflicts map[stoatpaddle.CustomerID]stoatpaddle.Version // reported as not served
	instances map[stoatpaddle.InstanceID]stoatpaddle.Instance
	peers     map[stoatpaddle.InstanceID]*peer
	cut       map[stoatpaddle.DataCentreID]bool
	evacuated map[stoatpaddle.DataCentreID]bool
	wanted    map[stoatpaddle.ObjectRef]time.Time
	seed      *stoatpacket.Seed
	view      *stoatview.View
	platform  platform
	stop      stop
	ticked    time.Time
	beat      time.Time
	seeded    time.Time // when the seeds were last dialled
	dirty     bool
	effects   []Effect
}

// served is the last good version of a contract; a newer object may be unusable.
type served struct {
	contract stoatpaddle.Contract
	version  stoatpaddle.Version
}

// peer is what is known of another entry's process.
type peer struct {
	connected bool
	apart     time.Time // since when there is no connection
	heard     time.Time
	dead      bool
	dialled   time.Time
	differs   time.Time // since when its digest differs; zero if it does not
	offered   time.Time // when it was last told everything held here
}

// New returns a Node.
func New(cfg Config) *Node {
	cfg.Self.State = stoatpaddle.StateJoining
	if cfg.DeadAfter == 0 {
		cfg.DeadAfter = DefaultDeadAfter
	}
	n := &Node{
		cfg:       cfg,
		rnd:       rand.New(rand.NewPCG(cfg.RandomSeed, 1)),
		objects:   map[stoatpaddle.ObjectRef]stoatpaddle.Object{},
		contracts: map[stoatpaddle.CustomerID]served{},
		conflicts: map[stoatpaddle.CustomerID]stoatpaddle.Version{},
		instances: map[stoatpaddle.InstanceID]stoatpaddle.Instance{cfg.Self.ID: cfg.Self},
		peers:     map[stoatpaddle.InstanceID]*peer{},
		cut:       map[stoatpaddle.DataCentreID]bool{},
		evacuated: map[stoatpaddle.DataCentreID]bool{},
		wanted:    map[stoatpaddle.ObjectRef]time.Time{},
	}
	return n
}

// Step takes one event at a time that never goes back and returns what to do.
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
		n.handed(now, ev)
	}
	n.publish(now)
	return n.effects
}

func (n *Node) do(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) log(e *stoatevent.Definition, fields ...stoatevent.Field) {
	n.do(Log{Entry: e, Fields: fields})
}

func (n *Node) start(now time.Time) {
	n.ticked = now
	n.do(Register{Instance: n.cfg.Self})
	n.platform.busy = true
	n.do(List{})
	n.dialSeeds(now)
}

func (n *Node) tick(now time.Time) {
	if gap := now.Sub(n.ticked); gap > pausedAfter {
		n.resume(now, gap)
	}
	n.ticked = now
	n.members(now)
	n.dial(now)
	if now.Sub(n.beat) >= HeartbeatInterval {
		n.beat = now
		n.heartbeat()
	}
	n.poll()
	n.stopDeadline(now)
}

// publish builds a view if something changed and the entry can serve.
func (n *Node) publish(now time.Time) {
	if !n.dirty || n.seed == nil || !n.platform.known {
		return
	}
	first := n.view == nil
	if first && !n.stop.asked {
		// Only now can records of flows be taken in; before, peers must not send any.
		n.setState(stoatpaddle.StateLive)
	}
	n.dirty = false
	n.view = stoatview.Next(n.view, now, n.input())
	n.do(Publish{View: n.view})
	if first {
		n.log(EventReady, stoatevent.F("contracts", count(len(n.contracts))))
	}
}

// setState changes this entry's own state and tells everybody.
func (n *Node) setState(s stoatpaddle.InstanceState) {
	n.cfg.Self.State = s
	n.instances[n.cfg.Self.ID] = n.cfg.Self
	n.dirty = true
	n.do(Register{Instance: n.cfg.Self})
	n.heartbeat()
}

func (n *Node) input() stoatview.Input {
	in := stoatview.Input{
		Self:        n.cfg.Self.ID,
		Seed:        *n.seed,
		Contracts:   n.servable(),
		Dead:        map[stoatpaddle.InstanceID]bool{},
		Partitioned: n.cut,
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
	n.leaveEvacuated(&in)
	return in
}

// View returns the view in force, or nil before the first.
func (n *Node) View() *stoatview.View { return n.view }
