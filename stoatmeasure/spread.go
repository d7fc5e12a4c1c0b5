package stoatmeasure

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// SpreadConfig configures the experiment on how entries choose upstreams on an echo fabric: one data centre,
// and a flow for each request.
type SpreadConfig struct {
	Entries     int
	Upstreams   int
	Slots       int           // requests that an upstream runs at once
	Load        float64       // share of the capacity of all slots that the requests need
	ServiceTime time.Duration // of a request, mean; uniform between half and one and a half times the mean
	Duration    time.Duration
	Seed        uint64
}

const (
	spreadQueue = 12                   // requests that an upstream queues
	spreadRTT   = 6 * time.Millisecond // from a caller to its upstream and back
	subsetSize  = 8                    // upstreams of an entry that uses only some of them
)

// SpreadResult is the outcome of one policy.
type SpreadResult struct {
	Policy    string
	Load      float64
	Requests  int
	Rejected  int // by a full upstream
	P50, P99  time.Duration
	Imbalance float64 // ratio of the requests at the busiest upstream to the mean
}

// spreadModel is one data centre.
type spreadModel struct {
	cfg           SpreadConfig
	q             queue
	rnd           *rand.Rand
	running       []int
	waiting       [][]func()
	served        []int
	pending       [][]int // requests in progress, by entry and upstream
	sharedPending []int   // the same over all entries, as of the last copy
	answerTimes   []time.Duration
	rejected      int
}

// policy is a way of choosing an upstream: choose returns its index, or, if engine is set, the engine of the
// entry decides.
type policy struct {
	name   string
	age    time.Duration // of the shared counts
	choose func(m *spreadModel, entry int) int
	engine bool
}

// policies returns the product's policy and those that it is compared with.
func policies() []policy {
	least := func(count func(i int) int, m *spreadModel, among []int) int {
		at := m.rnd.IntN(len(among))
		best := among[at]
		for n := range among {
			if i := among[(at+n)%len(among)]; count(i) < count(best) {
				best = i
			}
		}
		return best
	}
	all := func(m *spreadModel) []int {
		list := make([]int, m.cfg.Upstreams)
		for i := range list {
			list[i] = i
		}
		return list
	}
	shared := func(m *spreadModel, e int) int {
		return least(func(i int) int { return m.sharedPending[i] + m.pending[e][i] }, m, all(m))
	}
	return []policy{
		{name: "product: own requests and times", engine: true},
		{name: "random", choose: func(m *spreadModel, _ int) int { return m.rnd.IntN(m.cfg.Upstreams) }},
		{name: "own requests, least", choose: func(m *spreadModel, e int) int {
			return least(func(i int) int { return m.pending[e][i] }, m, all(m))
		}},
		{name: "own requests, better of two", choose: func(m *spreadModel, e int) int {
			two := []int{m.rnd.IntN(m.cfg.Upstreams), m.rnd.IntN(m.cfg.Upstreams)}
			return least(func(i int) int { return m.pending[e][i] }, m, two)
		}},
		{name: "own requests, 8 by rendezvous", choose: func(m *spreadModel, e int) int {
			return least(func(i int) int { return m.pending[e][i] }, m, subset(m, e))
		}},
		{name: "all requests, at once", age: time.Millisecond, choose: shared},
		{name: "all requests, 0.1 s ago", age: 100 * time.Millisecond, choose: shared},
		{name: "all requests, 1 s ago", age: time.Second, choose: shared},
	}
}

// subset returns the upstreams that rendezvous hashing assigns to an entry.
func subset(m *spreadModel, entry int) []int {
	list := make([]int, m.cfg.Upstreams)
	for i := range list {
		list[i] = i
	}
	rank := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprint(entry, " ", i)) }
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	return list[:min(subsetSize, len(list))]
}

// RunSpread returns the outcome of each policy.
func RunSpread(ctx context.Context, cfg SpreadConfig) ([]SpreadResult, error) {
	var out []SpreadResult
	for _, p := range policies() {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		out = append(out, runPolicy(cfg, p))
	}
	return out, nil
}

func runPolicy(cfg SpreadConfig, p policy) SpreadResult {
	m := &spreadModel{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), running: make([]int, cfg.Upstreams),
		waiting: make([][]func(), cfg.Upstreams), served: make([]int, cfg.Upstreams), sharedPending: make([]int, cfg.Upstreams),
	}
	for range cfg.Entries {
		m.pending = append(m.pending, make([]int, cfg.Upstreams))
	}
	if p.age > 0 {
		m.shareCounts(p.age)
	}
	handle := m.handler(p)
	rate := cfg.Load * float64(cfg.Upstreams*cfg.Slots) / cfg.ServiceTime.Seconds()
	asked := 0
	var arrive func()
	arrive = func() {
		if m.q.now >= cfg.Duration {
			return
		}
		asked++
		handle(m.rnd.IntN(cfg.Entries))
		m.q.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	m.q.runUntil(cfg.Duration + 10*time.Second)
	slices.Sort(m.answerTimes)
	sum := 0
	for _, n := range m.served {
		sum += n
	}
	return SpreadResult{
		Policy: p.name, Load: cfg.Load, Requests: asked, Rejected: m.rejected, P50: m.answerTimes[len(m.answerTimes)/2], P99: m.answerTimes[len(m.answerTimes)*99/100],
		Imbalance: float64(slices.Max(m.served)) * float64(cfg.Upstreams) / float64(max(1, sum)),
	}
}

// shareCounts copies the counts of all entries at each interval.
func (m *spreadModel) shareCounts(age time.Duration) {
	clear(m.sharedPending)
	for _, own := range m.pending {
		for i, n := range own {
			m.sharedPending[i] += n
		}
	}
	if m.q.now < m.cfg.Duration {
		m.q.after(age, func() { m.shareCounts(age) })
	}
}

// handler returns the function that handles a request at an entry.
func (m *spreadModel) handler(p policy) func(entry int) {
	if p.engine {
		return m.engineHandler()
	}
	return func(e int) {
		i := p.choose(m, e)
		m.pending[e][i]++
		began := m.q.now
		m.q.after(spreadRTT, func() {
			m.serve(i, func(ran bool) {
				m.pending[e][i]--
				m.countAnswer(began, ran)
			})
		})
	}
}

// countAnswer records the answer time of a request, or that it was rejected.
func (m *spreadModel) countAnswer(began time.Duration, ran bool) {
	if !ran {
		m.rejected++
		return
	}
	m.answerTimes = append(m.answerTimes, m.q.now-began)
}

// serve runs a request at an upstream, now or from its queue, or rejects it.
func (m *spreadModel) serve(i int, done func(ran bool)) {
	var begin func()
	begin = func() {
		m.running[i]++
		m.served[i]++
		m.q.after(time.Duration(float64(m.cfg.ServiceTime)*(0.5+m.rnd.Float64())), func() {
			m.running[i]--
			if len(m.waiting[i]) > 0 {
				next := m.waiting[i][0]
				m.waiting[i] = m.waiting[i][1:]
				next()
			}
			done(true)
		})
	}
	switch {
	case m.running[i] < m.cfg.Slots:
		begin()
	case len(m.waiting[i]) < spreadQueue:
		m.waiting[i] = append(m.waiting[i], begin)
	default:
		done(false)
	}
}

var spreadListen = netip.MustParseAddrPort("198.18.0.1:443")

// engineHandler returns the function that handles a request at an entry whose engine chooses the upstream.
func (m *spreadModel) engineHandler() func(entry int) {
	start := time.Unix(1000, 0)
	b := stoatroute.NewBuilder(stoatroute.Config{})
	b.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{
		{Listen: spreadListen, Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}}},
	}}, 1)
	names, indexes := map[stoatpaddle.UpstreamID]bool{}, map[stoatpaddle.UpstreamKey]int{}
	for i := range m.cfg.Upstreams {
		r := stoatpaddle.Registration{ID: stoatpaddle.UpstreamID(fmt.Sprint("i-", i)), Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: "a", Slots: m.cfg.Slots}
		b.Register(start, r, stoatpaddle.Version(i+2))
		names[r.ID], indexes[stoatroute.KeyOf(r.Target)] = true, i
	}
	b.ApplyList(start, names, latest, false)
	table := b.Table()
	var engines []*stoatecho.Engine
	for i := range m.cfg.Entries {
		engines = append(engines, stoatecho.New(stoatecho.Config{DataCentre: "a", Start: start, Seed: m.cfg.Seed + uint64(i)}))
	}
	flows := uint32(0)
	return func(e int) {
		flows++
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(flows >> 16), byte(flows >> 8), byte(flows)}), 4000)
		tuple := stoatpacket.Tuple{Src: src, Dst: spreadListen, Protocol: stoatpaddle.ProtocolTCP}
		now := func() time.Time { return start.Add(time.Minute + m.q.now) }
		a := engines[e].Handle(now(), table, &stoatpacket.Packet{Tuple: tuple, Opens: true})
		began := m.q.now
		if a.Upstream == nil {
			m.rejected++
			return
		}
		send := func(seq, ack uint32, size int, ends bool) {
			engines[e].Handle(now(), table, &stoatpacket.Packet{Tuple: tuple, Cookie: a.Upstream.Key, Seq: seq, Ack: ack, Size: size, Ends: ends})
		}
		m.q.after(spreadRTT, func() {
			send(1, 1, 0, false)
			send(1, 1, 100, false)
			m.serve(indexes[a.Upstream.Key], func(ran bool) {
				send(101, 500, 0, true)
				m.countAnswer(began, ran)
			})
		})
	}
}

// spreadLoads are the loads with which ReportSpread measures: a calm day, a busy one, a burst.
var spreadLoads = []float64{0.35, 0.7, 0.9}

// wireSpread is a row of the JSON output.
type wireSpread struct {
	Policy    string  `json:"way"`
	Load      float64 `json:"load"`
	Requests  int     `json:"asked"`
	Rejected  int     `json:"turned"`
	P50       float64 `json:"p50"` // ms
	P99       float64 `json:"p99"` // ms
	Imbalance float64 `json:"busiest"`
}

// ReportSpread measures each policy under each load, and writes a table or JSON.
func ReportSpread(ctx context.Context, cfg SpreadConfig, asJSON bool, w io.Writer) error {
	var rows []wireSpread
	for _, load := range spreadLoads {
		cfg.Load = load
		list, err := RunSpread(ctx, cfg)
		if err != nil {
			return err
		}
		for _, s := range list {
			rows = append(rows, wireSpread{
				Policy: s.Policy, Load: s.Load, Requests: s.Requests, Rejected: s.Rejected, Imbalance: s.Imbalance,
				P50: float64(s.P50.Microseconds()) / 1000, P99: float64(s.P99.Microseconds()) / 1000,
			})
		}
	}
	if asJSON {
		return encodeJSON(w, rows)
	}
	_, _ = fmt.Fprintf(w, "%-34s %6s %8s %8s %8s %8s %8s\n", "way of choosing", "load", "asked", "turned", "p50 ms", "p99 ms", "busiest")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%-34s %6.2f %8d %8d %8.1f %8.1f %8.3f\n", r.Policy, r.Load, r.Requests, r.Rejected, r.P50, r.P99, r.Imbalance)
	}
	return nil
}
