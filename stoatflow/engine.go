package stoatflow

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Config configures an Engine. Zero values of Settle, ControlBudget, Gain and MaxOpening stand for the
// defaults.
type Config struct {
	Self          stoatpaddle.InstanceID // this entry
	Start         time.Time              // origin of the times in the flow table
	Settle        time.Duration          // how long after a change other entries are queried about unknown flows
	ControlBudget int                    // limit on control traffic, bytes a second
	Gain          float64                // weight of load differences for customers with lean = balance
	MaxOpening    int                    // limit on opening flows in the table, over all shards
	Seed          uint64                 // of the random choices
}

// The defaults of Config.
const (
	DefaultSettle        = 60 * time.Second
	DefaultControlBudget = 1750
	DefaultGain          = 12.0
	DefaultMaxOpening    = 1 << 16
)

// leanFlowsGain is the fraction of the gain that applies to customers with lean = flows, for whom a broken
// flow is worse than an imbalance. They have a quarter of the tracked flows, and therefore a quarter of the
// flows at risk when an entry dies.
const leanFlowsGain = 0.25

const (
	shardCount = 64
	// maxRelays and maxHops limit the number of entries that one packet passes while views differ. Without
	// them, entries whose views name each other as the owner in a cycle would relay the packet forever.
	// After maxRelays the receiver acts as the owner and may still query other entries, up to maxHops. At
	// maxHops a packet is dropped unless it opens a flow.
	maxRelays = 4
	maxHops   = 16
)

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop    Verdict = iota
	Forward         // to Upstream
	Relay           // to the entry at To, with Header
	Reset           // answer the caller with a reset
)

// Inbound is a packet to decide about.
type Inbound struct {
	Packet  *stoatpacket.Packet
	Key     stoatpaddle.FlowHash // hash of the packet's tuple under the view's seed
	Service *stoatview.Service
	Header  Header
	From    netip.AddrPort // the relaying entry; the zero value for a packet from the fabric
}

// Action is the decision about one packet.
type Action struct {
	Verdict    Verdict
	Upstream   *stoatview.Upstream
	To         netip.AddrPort
	Header     Header
	Reason     stoatpacket.DropReason
	NotifyAddr netip.AddrPort // if valid, the entry that is to get a KindNotice datagram about the flow
}

// Engine holds the flow table of one entry. Its methods may be called concurrently.
type Engine struct {
	cfg         Config
	shards      [shardCount]shard
	reg         atomic.Pointer[registry]
	regMu       sync.Mutex
	outbox      outbox
	usage       usageTable
	stats       Stats
	resyncs     []peerSync                 // guarded by regMu
	nextSweep   int                        // next shard to sweep; used by Advance only
	reports     receivedReports            // guarded by regMu
	lastFlush   time.Time                  // used by Advance only
	sentReports map[reportScope]sentReport // used by Advance only
}

// Stats counts what the engine did since its start.
type Stats struct {
	Opened   atomic.Int64 // TCP flows placed when they opened
	Adopted  atomic.Int64 // flows that no queried entry knew, placed by hash
	Tracked  atomic.Int64 // flows placed, when they opened, at an upstream other than their preferred one
	Relayed  atomic.Int64 // packets relayed to the owner or to a claimant
	Lookups  atomic.Int64 // lookups sent
	Refused  atomic.Int64 // flows refused because of a limit
	Silent   atomic.Int64 // flows reset because nothing answered or their upstream is gone
	Flooded  atomic.Int64 // flows that opened without a table entry
	Promoted atomic.Int64 // flows taken over from a copy
	Bytes    atomic.Int64 // control traffic sent
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.Settle == 0 {
		cfg.Settle = DefaultSettle
	}
	if cfg.ControlBudget == 0 {
		cfg.ControlBudget = DefaultControlBudget
	}
	if cfg.Gain == 0 {
		cfg.Gain = DefaultGain
	}
	if cfg.MaxOpening == 0 {
		cfg.MaxOpening = DefaultMaxOpening
	}
	e := &Engine{cfg: cfg}
	for i := range e.shards {
		e.shards[i].init(cfg.Seed + uint64(i))
	}
	e.reg.Store(&registry{byKey: map[stoatpaddle.UpstreamKey]slotIndex{}})
	e.usage.init()
	e.sentReports = map[reportScope]sentReport{}
	e.outbox.init()
	return e
}

// Stats returns the engine's counters.
func (e *Engine) Stats() *Stats { return &e.stats }

func (e *Engine) shard(k stoatpaddle.FlowHash) *shard { return &e.shards[k%shardCount] }

// tick is a time in the flow table, in units of tickLength since Config.Start.
type tick uint32

const tickLength = 100 * time.Millisecond

func (e *Engine) tick(now time.Time) tick { return tick(now.Sub(e.cfg.Start) / tickLength) }

func ticks(d time.Duration) tick { return tick(d / tickLength) }

// gain returns the weight of load differences for a customer. It is lower while the byte budget is short,
// because a tracked flow whose copy has not been sent breaks if this entry dies.
func (e *Engine) gain(preference stoatpaddle.Preference) float64 {
	gain := e.cfg.Gain * e.outbox.gainFactor()
	if preference == stoatpaddle.PreferFewTracked {
		return gain * leanFlowsGain
	}
	return gain
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, ^seed)) }
