package stoatmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatspill"
)

// The model of an uneven day runs real engines in several data centres, whose callers do not come in proportion to
// their upstreams. Each entry has an engine for its own data centre and one for each of the others, which chooses the
// upstream of an opening that stoatspill sends there. Callers open a flow for each request and have three tries. Of
// the network only the delay is modelled, and of the relay tree the delay with which sums arrive.
const (
	unevenCentres = 3
	unevenSlots   = 2
	unevenQueue   = 8
	// unevenObjective is longer than a full queue takes, so that upstreams reject before answers are late.
	unevenObjective = 400 * time.Millisecond
	// unevenSlowFactor is how much longer a slow upstream works. Neither entries nor the platform know it.
	unevenSlowFactor = 4
	// unevenCentreRTT is what a round trip to another data centre takes in addition.
	unevenCentreRTT = 1800 * time.Microsecond
	// sumInterval and sumDelay are how often the loads of a data centre are added up, and how long a sum takes from
	// the measurement to the entries. centreInterval and centreDelay are the same for the sums that go on to other
	// data centres.
	sumInterval, sumDelay       = 200 * time.Millisecond, 400 * time.Millisecond
	centreInterval, centreDelay = time.Second, 400 * time.Millisecond
	// unevenStep is the resolution of the outcomes over time.
	unevenStep = 500 * time.Millisecond
	// delayedAckShare is the share of the callers that delay the acknowledgement of an answer.
	delayedAckShare = 0.25
)

// UnevenWay is a way of sending openings to other data centres.
type UnevenWay uint8

// The ways.
const (
	WayEngine UnevenWay = iota // the engine's own rule, by answer times
	WayNone                    // none
	WayLocal                   // stoatspill.RuleLocal
	WayRoom                    // stoatspill.RuleRoom
	WayBoth                    // stoatspill.RuleBoth
	unevenWays
)

var unevenWayNames = [unevenWays]string{"engine", "none", "local", "room", "both"}

// String returns the way's name.
func (w UnevenWay) String() string { return unevenWayNames[w] }

func (w UnevenWay) rule() stoatspill.Rule {
	switch w {
	case WayLocal:
		return stoatspill.RuleLocal
	case WayRoom:
		return stoatspill.RuleRoom
	case WayBoth:
		return stoatspill.RuleBoth
	default:
		return stoatspill.RuleNone
	}
}

// UnevenPhase is a period of constant load, as a multiple of the nominal capacity of all upstreams, and the share of
// the callers in each data centre.
type UnevenPhase struct {
	Load     float64
	Shares   [unevenCentres]float64
	Duration time.Duration
}

// UnevenConfig configures RunUneven.
type UnevenConfig struct {
	Way                UnevenWay
	Entries, Upstreams int // in all data centres together
	Phases             []UnevenPhase
	SlowShare          float64 // share of the upstreams that are slow
	// PublishInterval is how often a data centre's sum goes to the others, a multiple of sumInterval; 0: 1 s.
	PublishInterval time.Duration
	Seed            uint64
}

// UnevenStep is the outcome of the requests that were first tried within unevenStep, by data centre of the caller and
// by class: usual, urgent.
type UnevenStep [unevenCentres][2]Outcomes

// UnevenResult is the outcome of a run.
type UnevenResult struct {
	Steps    []UnevenStep
	Openings int // tries
	Resets   int // openings that entries refused
	Rejected int // requests that upstreams rejected
	Spilled  int // openings that were placed in another data centre
}

// Outcomes returns the sums by class: usual, urgent.
func (r *UnevenResult) Outcomes() [2]Outcomes {
	var sum [2]Outcomes
	for i := range r.Steps {
		for _, centre := range r.Steps[i] {
			sum[0].add(centre[0])
			sum[1].add(centre[1])
		}
	}
	return sum
}

// unevenModel is one run.
type unevenModel struct {
	cfg       UnevenConfig
	rnd       *rand.Rand
	q         queue
	length    time.Duration
	centres   [unevenCentres]*unevenCentre
	all       *stoatroute.Builder // with the upstreams of all data centres
	servers   map[stoatpaddle.UpstreamID]*unevenServer
	port      int
	published [unevenCentres]stoatload.CentreLoad // the sums that have arrived in the other data centres
	result    UnevenResult
}

// unevenCentre is a data centre.
type unevenCentre struct {
	index   int
	id      stoatpaddle.DataCentreID
	routes  *stoatroute.Builder // with its upstreams only
	slots   int
	entries []*unevenEntry
	sum     stoatload.CentreLoad // the sum that has arrived at its entries
}

func unevenCentreID(i int) stoatpaddle.DataCentreID {
	return stoatpaddle.DataCentreID(fmt.Sprintf("dc-%d", i+1))
}

func newUnevenModel(cfg UnevenConfig) *unevenModel {
	if cfg.PublishInterval == 0 {
		cfg.PublishInterval = centreInterval
	}
	m := &unevenModel{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11)), all: stoatroute.NewBuilder(stoatroute.Config{}), servers: map[stoatpaddle.UpstreamID]*unevenServer{}}
	for _, p := range cfg.Phases {
		m.length += p.Duration
	}
	m.result.Steps = make([]UnevenStep, int((m.length+unevenStep-1)/unevenStep))
	declareUneven(m.all)
	for i := range m.centres {
		m.centres[i] = &unevenCentre{index: i, id: unevenCentreID(i), routes: stoatroute.NewBuilder(stoatroute.Config{})}
		declareUneven(m.centres[i].routes)
	}
	m.register()
	for i := range cfg.Entries {
		c := m.centres[i%unevenCentres]
		c.entries = append(c.entries, m.newEntry(c, cfg.Seed+uint64(i)))
	}
	return m
}

// The addresses of the usual and the urgent route.
var (
	usualListen  = netip.MustParseAddrPort("198.18.0.1:8443")
	urgentListen = netip.MustParseAddrPort("198.18.0.1:8080")
)

// declareUneven declares a usual and an urgent route.
func declareUneven(b *stoatroute.Builder) {
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	b.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{
		{Listen: usualListen, Backends: to, Idempotent: true, TargetLatency: unevenObjective, Priority: 2},
		{Listen: urgentListen, Backends: to, TargetLatency: unevenObjective, Priority: 1},
	}}, 1)
}

// register registers the upstreams; the slow ones are spread over the data centres.
func (m *unevenModel) register() {
	names, own := map[stoatpaddle.UpstreamID]bool{}, [unevenCentres]map[stoatpaddle.UpstreamID]bool{{}, {}, {}}
	for i := range m.cfg.Upstreams {
		c := m.centres[i%unevenCentres]
		id := stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i+1))
		names[id], own[c.index][id] = true, true
		inCentre := float64(i / unevenCentres)
		m.servers[id] = &unevenServer{centre: c.index, slow: int((inCentre+1)*m.cfg.SlowShare) > int(inCentre*m.cfg.SlowShare)}
		c.slots += unevenSlots
		r := stoatpaddle.Registration{
			ID: id, Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: c.id, Slots: unevenSlots, CreateRevision: stoatpaddle.Version(i + 2),
		}
		m.all.Register(overloadEpoch, r, r.CreateRevision)
		c.routes.Register(overloadEpoch, r, r.CreateRevision)
	}
	m.all.ApplyList(overloadEpoch, names, latest, false)
	for _, c := range m.centres {
		c.routes.ApplyList(overloadEpoch, own[c.index], latest, false)
	}
}

// RunUneven simulates a day and returns the outcomes of its requests.
func RunUneven(ctx context.Context, cfg UnevenConfig) (UnevenResult, error) {
	m := newUnevenModel(cfg)
	from := time.Duration(0)
	for _, p := range cfg.Phases {
		for c := range m.centres {
			m.offerLoad(c, from, p)
		}
		from += p.Duration
	}
	m.scheduleSums()
	for len(m.q.pending) > 0 {
		if err := ctx.Err(); err != nil {
			return UnevenResult{}, err
		}
		m.q.runUntil(m.q.pending[0].at)
	}
	return m.result, nil
}

func (m *unevenModel) now() time.Time { return overloadEpoch.Add(m.q.now) }

// capacity returns how many requests a second all upstreams serve if none is slow.
func (c UnevenConfig) capacity() float64 {
	return float64(c.Upstreams*unevenSlots) / overloadServiceTime.Seconds()
}

// offerLoad schedules the requests of the callers in a data centre in a phase. Only the next request is scheduled
// at a time, which keeps the queue short.
func (m *unevenModel) offerLoad(centre int, from time.Duration, p UnevenPhase) {
	rate := p.Load * p.Shares[centre] * m.cfg.capacity()
	if rate <= 0 {
		return
	}
	end := from + p.Duration
	var next func()
	next = func() {
		if m.q.now >= end {
			return
		}
		m.request(centre)
		m.q.after(m.interval(rate), next)
	}
	m.q.after(from+m.interval(rate), next)
}

func (m *unevenModel) interval(rate float64) time.Duration {
	return time.Duration(m.rnd.ExpFloat64() / rate * float64(time.Second))
}

// unevenRequest is a request of a caller.
type unevenRequest struct {
	centre  int
	to      netip.AddrPort
	out     *Outcomes
	first   time.Duration // when it was first tried
	tries   int
	delayed bool // the caller delays the acknowledgement
}

// request begins a request.
func (m *unevenModel) request(centre int) {
	r := &unevenRequest{centre: centre, to: usualListen, first: m.q.now, delayed: m.rnd.Float64() < delayedAckShare}
	step := &m.result.Steps[min(int(m.q.now/unevenStep), len(m.result.Steps)-1)][centre]
	r.out = &step[0]
	if m.rnd.Float64() < urgentShare {
		r.to, r.out = urgentListen, &step[1]
	}
	r.out.Asked++
	m.try(r)
}

// newFlow returns the five-tuple of a new flow and the entry that its packets pass through.
func (m *unevenModel) newFlow(r *unevenRequest) (*unevenEntry, stoatpacket.Tuple) {
	m.port++
	entries := m.centres[r.centre].entries
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(m.port >> 24), byte(m.port >> 16), 7}), uint16(m.port))
	return entries[m.rnd.IntN(len(entries))], stoatpacket.Tuple{Src: src, Dst: r.to, Protocol: stoatpaddle.ProtocolTCP}
}

// try opens a flow for the next try of a request.
func (m *unevenModel) try(r *unevenRequest) {
	r.tries++
	m.result.Openings++
	e, tuple := m.newFlow(r)
	f := e.open(m, tuple)
	if f == nil {
		m.result.Resets++
		m.retry(r, overloadRTT)
		return
	}
	s := m.servers[f.upstream.ID]
	rtt := overloadRTT
	if s.centre != r.centre {
		rtt += unevenCentreRTT
		m.result.Spilled++
	}
	m.q.after(rtt, func() {
		f.send(m, 1, 1, 0, false)
		f.send(m, 1, 1, 100, false)
		m.serve(s, rtt, func(ran bool) { m.answer(r, f, ran) })
	})
}

// answer handles the answer to a request, or its rejection.
func (m *unevenModel) answer(r *unevenRequest, f *unevenFlow, ran bool) {
	size := uint32(overloadAnswer)
	switch {
	case !ran:
		size = overloadRejection
		m.result.Rejected++
		m.retry(r, overloadRTT)
	case m.q.now-r.first <= unevenObjective:
		r.out.InTime++
	default:
		r.out.Late++
	}
	if r.delayed {
		m.q.after(longAckDelay, func() { f.send(m, 101, size, 0, true) })
		return
	}
	f.send(m, 101, size, 0, true)
}

// retry tries a request again, unless it has no tries left.
func (m *unevenModel) retry(r *unevenRequest, after time.Duration) {
	if r.tries == overloadMaxTries {
		r.out.Refused++
		return
	}
	m.q.after(after, func() { m.try(r) })
}

// unevenServer is an upstream.
type unevenServer struct {
	centre  int
	slow    bool
	running int
	queue   []func()
}

// serve runs a request, now or from the queue, or rejects it.
func (m *unevenModel) serve(s *unevenServer, rtt time.Duration, done func(ran bool)) {
	work := time.Duration(float64(overloadServiceTime) * (0.5 + m.rnd.Float64()))
	if s.slow {
		work *= unevenSlowFactor
	}
	begin := func() {
		s.running++
		m.q.after(work, func() {
			s.releaseSlot()
			done(true)
		})
	}
	switch {
	case s.running < unevenSlots:
		begin()
	case len(s.queue) < unevenQueue:
		s.queue = append(s.queue, begin)
	default:
		m.q.after(rtt, func() { done(false) })
	}
}

// releaseSlot frees a slot and starts the next request of the queue.
func (s *unevenServer) releaseSlot() {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// unevenFlow is an open flow.
type unevenFlow struct {
	entry    *unevenEntry
	group    int // the data centre whose engine placed it
	tuple    stoatpacket.Tuple
	upstream *stoatroute.Upstream
}

// send passes a packet of the flow through its entry.
func (f *unevenFlow) send(m *unevenModel, seq, ack uint32, size int, ends bool) {
	f.entry.handle(m, f.group, &stoatpacket.Packet{Tuple: f.tuple, Cookie: f.upstream.Key, Seq: seq, Ack: ack, Size: size, Ends: ends})
}
