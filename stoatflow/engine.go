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

// Config configures an Engine; zero values take the defaults.
type Config struct {
	Self          stoatpaddle.InstanceID
	Start         time.Time     // times in the flow table count from here
	Settle        time.Duration // how long after a change other entries are asked about unknown flows
	ControlBudget int           // control traffic, bytes a second
	Gain          float64       // of the load difference, under lean = balance
	MaxOpening    int           // opening flows remembered at once, over all shards
	Seed          uint64        // of the random choices
}

// The defaults of Config.
const (
	DefaultSettle        = 60 * time.Second
	DefaultControlBudget = 1750
	DefaultGain          = 12.0
	DefaultMaxOpening    = 1 << 16
)

// leanFlowsGain is the gain for customers who weigh broken flows more than imbalance:
// a quarter of the tracked flows, so a quarter of those at risk when an entry dies.
const leanFlowsGain = 0.25

const (
	shardCount = 64
	// maxRelays and maxHops bound the entries that one packet passes while views differ:
	// without them entries whose views point in a circle would hand it on for good. After
	// maxRelays the receiver acts as the owner and may still ask, up to maxHops; a packet
	// that used those up is dropped.
	maxRelays = 4
	maxHops   = 16
)

// Verdict tells what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop    Verdict = iota
	Forward         // to Upstream
	Relay           // to the entry at To, with Header
	Reset           // answer the caller with a reset
)

// Inbound is one packet to decide about.
type Inbound struct {
	Packet  *stoatpacket.Packet
	Key     stoatpaddle.FlowHash // of the packet's tuple under the view's seed
	Service *stoatview.Service
	Header  Header
	From    netip.AddrPort // the relaying entry; zero from the fabric
}

// Action is the decision about one packet.
type Action struct {
	Verdict    Verdict
	Upstream   *stoatview.Upstream
	To         netip.AddrPort
	Header     Header
	Reason     stoatpacket.DropReason
	NotifyAddr netip.AddrPort // if valid, the entry to send a Known datagram about the flow
}

// Engine owns the flow table of one entry. Its methods may be called concurrently.
type Engine struct {
	cfg     Config
	shards  [shardCount]shard
	reg     atomic.Pointer[registry]
	regMu   sync.Mutex
	out     outbox
	usage   usageTable
	stats   Stats
	syncs   []peerSync            // under regMu
	sweep   int                   // next shard to sweep; used by Advance only
	reports reports               // under regMu
	sent    time.Time             // when Advance last sent; used by it only
	told    map[audience]reported // used by Advance only
}

// Stats counts what the engine did since its start.
type Stats struct {
	Opened   atomic.Int64
	Adopted  atomic.Int64 // unknown flows placed by hash
	Tracked  atomic.Int64 // flows that opened away from their first choice
	Relayed  atomic.Int64
	Lookups  atomic.Int64
	Refused  atomic.Int64 // over a limit
	Silent   atomic.Int64 // reset because nothing answered
	Flooded  atomic.Int64 // opened without state
	Promoted atomic.Int64 // taken over from a copy
	Bytes    atomic.Int64 // control bytes sent
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
	e.told = map[audience]reported{}
	e.out.init()
	return e
}

// Stats returns the engine's counters.
func (e *Engine) Stats() *Stats { return &e.stats }

func (e *Engine) shard(k stoatpaddle.FlowHash) *shard { return &e.shards[k%shardCount] }

// tick is a time in the flow table: tenths of a second since Config.Start.
type tick uint32

const tickLength = 100 * time.Millisecond

func (e *Engine) tick(now time.Time) tick { return tick(now.Sub(e.cfg.Start) / tickLength) }

func ticks(d time.Duration) tick { return tick(d / tickLength) }

// gain returns the weight of load differences for a customer, less when the byte budget
// is short: a tracked flow whose copy waits would break with this entry.
func (e *Engine) gain(lean stoatpaddle.Lean) float64 {
	gain := e.cfg.Gain * e.out.ease()
	if lean == stoatpaddle.LeanFlows {
		return gain * leanFlowsGain
	}
	return gain
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, ^seed)) }
