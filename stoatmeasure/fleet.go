package stoatmeasure

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatpeer"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Config configures one experiment.
type Config struct {
	Entries         int
	Upstreams       int
	Flows           int     // open in the steady state
	OpenRate        float64 // flows opened per second, over all entries
	Preference      stoatpaddle.Preference
	Gain            float64       // 0: the engine's default
	ControlBudget   int           // 0: the engine's default
	LoadReportDelay time.Duration // added to the delay of load reports
	LoadReportLoss  float64       // share of the load reports that are lost
	Seed            uint64
}

const (
	centreCount         = 3
	linkDelay           = 500 * time.Microsecond // one way between data centres, as in Muscat
	localDelay          = 100 * time.Microsecond // one way within a data centre
	clientDelay         = 3 * time.Millisecond   // one way between a caller and an entry
	dataInterval        = 2 * time.Second        // mean time between segments of a flow
	advanceInterval     = 100 * time.Millisecond // between runs of an entry's periodic work
	synTimeout          = time.Second            // before an opening without an answer is repeated
	maxPropagationDelay = 2 * time.Second        // until every entry has learned of a change
	detectionDelay      = 2 * time.Second        // until silence is detected, at least
	detectionJitter     = 500 * time.Millisecond // added to detectionDelay at most
	fabricLag           = 2 * time.Second        // how long the fabric still sends to an entry that leaves
	sampleInterval      = 250 * time.Millisecond
)

var (
	epoch   = time.Unix(0, 0)
	service = stoatpaddle.ServiceRef{Customer: "measured", Service: "flow"}
	vip     = netip.MustParseAddrPort("203.0.113.10:443")
)

// entry is one entry instance and what it knows.
type entry struct {
	instance     stoatpaddle.Instance
	engine       *stoatflow.Engine
	view         *stoatview.View
	input        stoatview.Input
	alive        bool
	leaving      bool
	leavingSince time.Duration
	naiveFlows   map[int]stoatpaddle.UpstreamKey // upstreams that the naive entry remembers, by connection id
}

// conn is one flow as its caller and its upstream see it.
type conn struct {
	id            int
	tuple         stoatpacket.Tuple
	upstream      stoatpaddle.UpstreamKey // 0 until an upstream has accepted the flow
	naiveUpstream stoatpaddle.UpstreamKey // chosen by the naive entry that got the opening; 0 before
	seq           uint32
	end           time.Duration
	side          int  // the side of a partition on which the caller is
	roams         bool // packets reach both sides as soon as a partition ends, although entries have not detected the end yet
	done          bool
	broken        bool
	naiveBroken   bool
}

// fleet is the simulated system.
type fleet struct {
	q              queue
	cfg            Config
	rnd            *rand.Rand
	entries        []*entry
	byRelay        map[netip.AddrPort]*entry
	contract       stoatpaddle.Contract
	instances      map[stoatpaddle.InstanceID]stoatpaddle.Instance // entries, and the upstreams that leave
	lastConnID     int
	openByUpstream map[stoatpaddle.UpstreamKey]int
	openFlows      int
	live           map[int]*conn
	partitioned    bool          // data centre 0 is disconnected from the others
	healedAt       time.Duration // when the partition ended; 0 before
	counting       bool
	result         Result
	imbalances     []float64 // one per sample
}

func newFleet(cfg Config) *fleet {
	f := &fleet{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 8)), byRelay: map[netip.AddrPort]*entry{},
		instances: map[stoatpaddle.InstanceID]stoatpaddle.Instance{}, openByUpstream: map[stoatpaddle.UpstreamKey]int{},
		live: map[int]*conn{},
	}
	f.contract = stoatpaddle.Contract{
		Customer: service.Customer, Preference: cfg.Preference,
		Services: []stoatpaddle.Service{{
			ID: service.Service, Kind: stoatpaddle.KindFlow, Addr: vip.Addr(), Protocol: stoatpaddle.ProtocolTCP, Ports: []uint16{vip.Port()},
		}},
	}
	for range cfg.Upstreams {
		f.declareUpstream()
	}
	for range cfg.Entries {
		f.declareEntry().alive = true
	}
	for _, e := range f.entries {
		f.boot(e)
	}
	f.every(sampleInterval, f.sample)
	return f
}

func centre(n int) stoatpaddle.DataCentreID {
	return stoatpaddle.DataCentreID("dc" + strconv.Itoa(n%centreCount))
}

// declareUpstream adds an upstream to the contract.
func (f *fleet) declareUpstream() stoatpaddle.InstanceID {
	s := &f.contract.Services[0]
	n := len(s.Upstreams)
	u := stoatpaddle.Upstream{
		ID: stoatpaddle.UpstreamID("u" + strconv.Itoa(n)), DataCentre: centre(n), Weight: 100,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(n + 1)}), 6080),
	}
	s.Upstreams = append(s.Upstreams[:n:n], u)
	return stoatpaddle.InstanceID(u.ID)
}

// declareEntry adds an entry without starting it.
func (f *fleet) declareEntry() *entry {
	n := len(f.entries)
	relay := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 6081)
	e := &entry{naiveFlows: map[int]stoatpaddle.UpstreamKey{}, instance: stoatpaddle.Instance{
		ID: stoatpaddle.InstanceID("e" + strconv.Itoa(n)), Role: stoatpaddle.RoleEntry, DataCentre: centre(n),
		State: stoatpaddle.StateLive, Relay: relay,
	}}
	f.entries = append(f.entries, e)
	f.byRelay[relay] = e
	f.instances[e.instance.ID] = e.instance
	return e
}

// boot starts an entry that knows everything declared so far.
func (f *fleet) boot(e *entry) {
	e.engine = stoatflow.New(stoatflow.Config{
		Self: e.instance.ID, Start: epoch, Gain: f.cfg.Gain, ControlBudget: f.cfg.ControlBudget, Seed: f.rnd.Uint64(),
	})
	e.input = stoatview.Input{
		Self: e.instance.ID, Seed: stoatpacket.Seed{K0: f.cfg.Seed, K1: 1}, Contracts: []stoatpaddle.Contract{f.contract},
		Dead: map[stoatpaddle.InstanceID]bool{}, Partitioned: map[stoatpaddle.DataCentreID]bool{}, Leaving: map[stoatpaddle.InstanceID]bool{},
	}
	for _, o := range f.entries {
		e.input.Instances = append(e.input.Instances, f.instances[o.instance.ID])
		if !o.alive {
			e.input.Dead[o.instance.ID] = true
		}
	}
	for id, i := range f.instances {
		if i.Role == stoatpaddle.RoleUpstream {
			e.input.Leaving[id] = true
		}
	}
	f.rebuildView(e)
	f.q.after(time.Duration(f.rnd.Int64N(int64(advanceInterval))), func() { f.advance(e) })
}

func (f *fleet) now() time.Time { return epoch.Add(f.q.now) }

// rebuildView derives an entry's view from its present input.
func (f *fleet) rebuildView(e *entry) {
	v := stoatview.Next(e.view, f.now(), e.input)
	e.engine.Prepare(f.now(), v)
	e.view = v
}

// every calls a function at each interval, for as long as the experiment runs.
func (f *fleet) every(d time.Duration, do func()) {
	f.q.after(d, func() {
		do()
		f.every(d, do)
	})
}

// advance runs an entry's periodic work again and again until the entry has ended.
func (f *fleet) advance(e *entry) {
	if !e.alive {
		return
	}
	connected := func(id stoatpaddle.InstanceID) bool {
		o := f.findEntry(id)
		return o != nil && o.alive && f.connected(e, o)
	}
	for _, b := range e.engine.Advance(f.now(), e.view, connected) {
		f.deliver(e, f.findEntry(b.To), b)
	}
	if e.leaving && f.q.now-e.leavingSince > fabricLag+time.Second && e.engine.Drained(e.view) {
		e.alive = false
		f.finishEntryStop(e)
		return
	}
	f.q.after(advanceInterval, func() { f.advance(e) })
}

func (f *fleet) findEntry(id stoatpaddle.InstanceID) *entry {
	for _, e := range f.entries {
		if e.instance.ID == id {
			return e
		}
	}
	return nil
}

// connected reports whether the network connects two entries.
func (f *fleet) connected(a, b *entry) bool {
	return !f.partitioned || (a.instance.DataCentre == centre(0)) == (b.instance.DataCentre == centre(0))
}

func (f *fleet) delay(a, b *entry) time.Duration {
	if a.instance.DataCentre == b.instance.DataCentre {
		return localDelay
	}
	return linkDelay
}

// deliver transmits a batch and counts the bytes of its encoded frame. Load reports can be lost or delayed
// further.
func (f *fleet) deliver(from, to *entry, b stoatflow.Batch) {
	if f.counting {
		frame, err := stoatpeer.Encode(&stoatmessage.Flows{Batch: b})
		if err == nil {
			f.result.ControlBytes += len(frame)
		}
	}
	loads := b.Loads
	b.Loads = nil
	f.q.after(f.delay(from, to), func() {
		if to.alive && f.connected(from, to) {
			to.engine.Receive(f.now(), to.view, from.instance.ID, b)
		}
	})
	if len(loads) == 0 || f.rnd.Float64() < f.cfg.LoadReportLoss {
		return
	}
	f.q.after(f.delay(from, to)+f.cfg.LoadReportDelay, func() {
		if to.alive && f.connected(from, to) {
			to.engine.Receive(f.now(), to.view, from.instance.ID, stoatflow.Batch{Loads: loads})
		}
	})
}

// sample records the imbalance among the upstreams that take new flows.
func (f *fleet) sample() {
	if !f.counting {
		return
	}
	most, sum, weights := 0.0, 0, 0
	for _, u := range f.contract.Services[0].Upstreams {
		if _, leaving := f.instances[stoatpaddle.InstanceID(u.ID)]; leaving || u.Weight == 0 {
			continue
		}
		n := f.openByUpstream[stoatview.UpstreamKeyOf(service, u.ID)]
		most = max(most, float64(n)/float64(u.Weight))
		sum += n
		weights += int(u.Weight)
	}
	if sum > 0 {
		f.imbalances = append(f.imbalances, most*float64(weights)/float64(sum))
	}
}
