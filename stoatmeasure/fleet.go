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
	OpenRate        float64 // flows opened a second, over all entries
	Lean            stoatpaddle.Preference
	Gain            float64       // 0: the engine's default
	ControlBudget   int           // 0: the engine's default
	LoadReportDelay time.Duration // added to the delay of load reports
	LoadReportLoss  float64       // part of the load reports that are lost
	Seed            uint64
}

const (
	centreCount = 3
	linkDelay   = 500 * time.Microsecond // one way between data centres, as in Muscat
	localDelay  = 100 * time.Microsecond
	clientDelay = 3 * time.Millisecond
	dataEvery   = 2 * time.Second
	advance     = 100 * time.Millisecond
	synAgain    = time.Second
	learnWithin = 2 * time.Second
	deadAfter   = 2 * time.Second
	deadJitter  = 500 * time.Millisecond
	fabricLag   = 2 * time.Second
	sampleEvery = 250 * time.Millisecond
)

var (
	epoch   = time.Unix(0, 0)
	service = stoatpaddle.ServiceRef{Customer: "measured", Service: "flow"}
	vip     = netip.MustParseAddrPort("203.0.113.10:443")
)

// entry is one entry instance and what it has learned.
type entry struct {
	inst    stoatpaddle.Instance
	engine  *stoatflow.Engine
	view    *stoatview.View
	input   stoatview.Input
	alive   bool
	leaving bool
	since   time.Duration // when it began to leave
	naive   map[int]stoatpaddle.UpstreamKey
}

// conn is one flow as its caller and upstream see it.
type conn struct {
	id       int
	tuple    stoatpacket.Tuple
	upstream stoatpaddle.UpstreamKey // that accepted it; 0 before
	naive    stoatpaddle.UpstreamKey
	seq      uint32
	end      time.Duration
	side     int  // which side of a cut the caller is on
	roams    bool // once the cut is over its packets go to both sides at once, though entries have not noticed
	done     bool
	broken   bool
	naiveBad bool
}

// fleet is the system in memory.
type fleet struct {
	q        queue
	cfg      Config
	rnd      *rand.Rand
	entries  []*entry
	byRelay  map[netip.AddrPort]*entry
	contract stoatpaddle.Contract
	instance map[stoatpaddle.InstanceID]stoatpaddle.Instance
	conns    int
	open     map[stoatpaddle.UpstreamKey]int
	openNow  int
	live     map[int]*conn
	cut      bool          // data centre 0 is cut off from the others
	healed   time.Duration // when the cut ended; 0 before
	counting bool
	result   Result
	worst    []float64
}

func newFleet(cfg Config) *fleet {
	f := &fleet{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 8)), byRelay: map[netip.AddrPort]*entry{},
		instance: map[stoatpaddle.InstanceID]stoatpaddle.Instance{}, open: map[stoatpaddle.UpstreamKey]int{},
		live: map[int]*conn{},
	}
	f.contract = stoatpaddle.Contract{
		Customer: service.Customer, Preference: cfg.Lean,
		Services: []stoatpaddle.Service{{
			ID: service.Service, Kind: stoatpaddle.KindFlow, Addr: vip.Addr(), Protocol: stoatpaddle.ProtocolTCP, Ports: []uint16{vip.Port()},
		}},
	}
	for range cfg.Upstreams {
		f.addUpstream()
	}
	for range cfg.Entries {
		f.declareEntry().alive = true
	}
	for _, e := range f.entries {
		f.boot(e)
	}
	f.every(sampleEvery, f.sample)
	return f
}

func centre(n int) stoatpaddle.DataCentreID {
	return stoatpaddle.DataCentreID("dc" + strconv.Itoa(n%centreCount))
}

func (f *fleet) addUpstream() stoatpaddle.InstanceID {
	s := &f.contract.Services[0]
	n := len(s.Upstreams)
	u := stoatpaddle.Upstream{
		ID: stoatpaddle.UpstreamID("u" + strconv.Itoa(n)), DataCentre: centre(n), Weight: 100,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(n + 1)}), 6080),
	}
	s.Upstreams = append(s.Upstreams[:n:n], u)
	return stoatpaddle.InstanceID(u.ID)
}

// declareEntry adds an entry that has not started.
func (f *fleet) declareEntry() *entry {
	n := len(f.entries)
	relay := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 6081)
	e := &entry{naive: map[int]stoatpaddle.UpstreamKey{}, inst: stoatpaddle.Instance{
		ID: stoatpaddle.InstanceID("e" + strconv.Itoa(n)), Role: stoatpaddle.RoleEntry, DataCentre: centre(n),
		State: stoatpaddle.StateLive, Relay: relay,
	}}
	f.entries = append(f.entries, e)
	f.byRelay[relay] = e
	f.instance[e.inst.ID] = e.inst
	return e
}

// boot starts an entry that knows everything declared so far.
func (f *fleet) boot(e *entry) {
	e.engine = stoatflow.New(stoatflow.Config{
		Self: e.inst.ID, Start: epoch, Gain: f.cfg.Gain, ControlBudget: f.cfg.ControlBudget, Seed: f.rnd.Uint64(),
	})
	e.input = stoatview.Input{
		Self: e.inst.ID, Seed: stoatpacket.Seed{K0: f.cfg.Seed, K1: 1}, Contracts: []stoatpaddle.Contract{f.contract},
		Dead: map[stoatpaddle.InstanceID]bool{}, Partitioned: map[stoatpaddle.DataCentreID]bool{}, Leaving: map[stoatpaddle.InstanceID]bool{},
	}
	for _, o := range f.entries {
		e.input.Instances = append(e.input.Instances, f.instance[o.inst.ID])
		if !o.alive {
			e.input.Dead[o.inst.ID] = true
		}
	}
	for id, i := range f.instance {
		if i.Role == stoatpaddle.RoleUpstream {
			e.input.Leaving[id] = true
		}
	}
	f.rebuild(e)
	f.q.after(time.Duration(f.rnd.Int64N(int64(advance))), func() { f.advance(e) })
}

func (f *fleet) now() time.Time { return epoch.Add(f.q.now) }

func (f *fleet) rebuild(e *entry) {
	v := stoatview.Next(e.view, f.now(), e.input)
	e.engine.Prepare(f.now(), v)
	e.view = v
}

func (f *fleet) every(d time.Duration, do func()) {
	f.q.after(d, func() {
		do()
		f.every(d, do)
	})
}

// advance does one entry's periodic work for as long as it lives.
func (f *fleet) advance(e *entry) {
	if !e.alive {
		return
	}
	connected := func(id stoatpaddle.InstanceID) bool {
		o := f.find(id)
		return o != nil && o.alive && f.reach(e, o)
	}
	for _, b := range e.engine.Advance(f.now(), e.view, connected) {
		f.deliver(e, f.find(b.To), b)
	}
	if e.leaving && f.q.now-e.since > fabricLag+time.Second && e.engine.Drained(e.view) {
		e.alive = false
		f.gone(e)
		return
	}
	f.q.after(advance, func() { f.advance(e) })
}

func (f *fleet) find(id stoatpaddle.InstanceID) *entry {
	for _, e := range f.entries {
		if e.inst.ID == id {
			return e
		}
	}
	return nil
}

// reach tells whether the network joins two entries.
func (f *fleet) reach(a, b *entry) bool {
	return !f.cut || (a.inst.DataCentre == centre(0)) == (b.inst.DataCentre == centre(0))
}

func (f *fleet) delay(a, b *entry) time.Duration {
	if a.inst.DataCentre == b.inst.DataCentre {
		return localDelay
	}
	return linkDelay
}

// deliver carries a batch, counting the bytes of its real frame.
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
		if to.alive && f.reach(from, to) {
			to.engine.Receive(f.now(), to.view, from.inst.ID, b)
		}
	})
	if len(loads) == 0 || f.rnd.Float64() < f.cfg.LoadReportLoss {
		return
	}
	f.q.after(f.delay(from, to)+f.cfg.LoadReportDelay, func() {
		if to.alive && f.reach(from, to) {
			to.engine.Receive(f.now(), to.view, from.inst.ID, stoatflow.Batch{Loads: loads})
		}
	})
}

// sample notes the imbalance over the upstreams that take new flows.
func (f *fleet) sample() {
	if !f.counting {
		return
	}
	most, sum, weights := 0.0, 0, 0
	for _, u := range f.contract.Services[0].Upstreams {
		if _, leaving := f.instance[stoatpaddle.InstanceID(u.ID)]; leaving || u.Weight == 0 {
			continue
		}
		n := f.open[stoatview.UpstreamKeyOf(service, u.ID)]
		most = max(most, float64(n)/float64(u.Weight))
		sum += n
		weights += int(u.Weight)
	}
	if sum > 0 {
		f.worst = append(f.worst, most*float64(weights)/float64(sum))
	}
}
