package stoatmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// The model of an overload: real engines that each see a part of the flows of one data centre, and
// upstreams with slots and a queue that turn away what does not fit. Callers open a flow a request and
// come back twice. Virtual time; no network but its delay.
const (
	overloadSlots     = 3
	overloadQueue     = 12
	overloadWork      = 45 * time.Millisecond
	overloadTrip      = 6 * time.Millisecond // from a caller to its upstream and back
	overloadObjective = 200 * time.Millisecond
	overloadTries     = 3
	// overloadAnswer and overloadRefusal are the bytes that callers acknowledge of an answer, and of
	// what an upstream says that turns a request away.
	overloadAnswer, overloadRefusal = 500, 100
)

// Of three quarters of the requests a late one costs a caller little; a quarter is more urgent and worth
// twice as much.
const (
	urgentPart  = 0.25
	urgentWorth = 2.0
)

var (
	overloadEpoch = time.Unix(1000, 0)
	usualListen   = netip.MustParseAddrPort("198.18.0.1:8443")
	urgentListen  = netip.MustParseAddrPort("198.18.0.1:8080")
)

// Stage is a part of a load: so many times what the upstreams can do, for a while.
type Stage struct {
	Load     float64
	Duration time.Duration
}

// OverloadConfig configures RunOverload.
type OverloadConfig struct {
	Entries, Upstreams int
	Stages             []Stage
	// Objective is how soon an answer has to come, as entries know it; 0: they refuse nobody for being late.
	Objective time.Duration
	Seed      uint64
	// LongFlows has callers keep flows for many requests, before upstreams of two slots and a queue of eight.
	LongFlows bool
	// HangingShare is the part of the upstreams that never answer six of ten requests.
	HangingShare float64
}

// capacity is how many requests a second the upstreams can do.
func (c OverloadConfig) capacity() float64 {
	return float64(c.Upstreams) * float64(c.slots()) / overloadWork.Seconds()
}

func (c OverloadConfig) slots() int {
	if c.LongFlows {
		return longSlots
	}
	return overloadSlots
}

func (c OverloadConfig) queue() int {
	if c.LongFlows {
		return longQueue
	}
	return overloadQueue
}

// Outcomes count the requests of one route.
type Outcomes struct{ Asked, InTime, Late, Refused int }

func (o *Outcomes) add(x Outcomes) {
	o.Asked += x.Asked
	o.InTime += x.InTime
	o.Late += x.Late
	o.Refused += x.Refused
}

// OverloadResult is what a load came to.
type OverloadResult struct {
	Usual, Urgent Outcomes
	// Bound is the worth that the slots can yield in time, with the urgent ones first.
	Bound float64
	// Stages has the same by the stage in which a request was first tried: usual and urgent.
	Stages [][2]Outcomes
}

// Goodput is what was answered in time.
func (o *OverloadResult) Goodput() float64 {
	return float64(o.Usual.InTime) + urgentWorth*float64(o.Urgent.InTime)
}

// bound is the worth that the upstreams can yield of what was asked in each stage. What is asked in one
// may be answered within the objective after it, which is added once for each.
func (c OverloadConfig) bound(stages [][2]Outcomes) float64 {
	sum := 0.0
	for i, s := range c.Stages {
		can := c.capacity() * (s.Duration + overloadObjective).Seconds()
		urgent := min(can, float64(stages[i][1].Asked))
		sum += urgentWorth*urgent + min(can-urgent, float64(stages[i][0].Asked))
	}
	return sum
}

// overloadModel is one run.
type overloadModel struct {
	cfg     OverloadConfig
	rnd     *rand.Rand
	q       queue
	entries []*stoatecho.Engine
	book    *stoatroute.Builder
	servers map[stoatpaddle.UpstreamID]*overloadServer
	port    int
	idle    map[netip.AddrPort][]*longFlow // open flows without a request
	out     OverloadResult
}

type overloadServer struct {
	hangs   bool
	running int
	queue   []func()
}

func newOverloadModel(cfg OverloadConfig) *overloadModel {
	m := &overloadModel{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), book: stoatroute.NewBuilder(stoatroute.Config{}),
		servers: map[stoatpaddle.UpstreamID]*overloadServer{}, idle: map[netip.AddrPort][]*longFlow{},
	}
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	m.book.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{
		{Listen: usualListen, Backends: to, Idempotent: true, TargetLatency: cfg.Objective, Priority: 2},
		{Listen: urgentListen, Backends: to, TargetLatency: cfg.Objective, Priority: 1},
	}}, 1)
	names := map[stoatpaddle.UpstreamID]bool{}
	for i := range cfg.Upstreams {
		id := stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i+1))
		m.servers[id], names[id] = &overloadServer{hangs: float64(i) < cfg.HangingShare*float64(cfg.Upstreams)}, true
		m.book.Register(overloadEpoch, stoatpaddle.Registration{
			ID: id, Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: "here", Slots: cfg.slots(), CreateRevision: stoatpaddle.Version(i + 2),
		}, stoatpaddle.Version(i+2))
	}
	m.book.ApplyList(overloadEpoch, names, false)
	for i := range cfg.Entries {
		m.entries = append(m.entries, stoatecho.New(stoatecho.Config{
			DataCentre: "here", Start: overloadEpoch.Add(-time.Minute), Seed: cfg.Seed + uint64(i),
		}))
	}
	return m
}

// RunOverload plays a load, and returns what became of its requests.
func RunOverload(ctx context.Context, cfg OverloadConfig) (OverloadResult, error) {
	m := newOverloadModel(cfg)
	m.out.Stages = make([][2]Outcomes, len(cfg.Stages))
	at := time.Duration(0)
	for i, s := range cfg.Stages {
		m.offer(i, at, s)
		at += s.Duration
	}
	for len(m.q.list) > 0 {
		if err := ctx.Err(); err != nil {
			return OverloadResult{}, err
		}
		m.q.run(m.q.list[0].at)
	}
	for _, s := range m.out.Stages {
		m.out.Usual.add(s[0])
		m.out.Urgent.add(s[1])
	}
	m.out.Bound = cfg.bound(m.out.Stages)
	return m.out, nil
}

func (m *overloadModel) now() time.Time { return overloadEpoch.Add(m.q.now) }

// offer has callers ask in a stage that begins at that time.
func (m *overloadModel) offer(stage int, from time.Duration, s Stage) {
	rate := s.Load * m.cfg.capacity()
	if rate <= 0 {
		return
	}
	for at := from; at < from+s.Duration; at += time.Duration(m.rnd.ExpFloat64() / rate * float64(time.Second)) {
		urgent := m.rnd.Float64() < urgentPart
		m.q.after(at, func() {
			out, listen := &m.out.Stages[stage][0], usualListen
			if urgent {
				out, listen = &m.out.Stages[stage][1], urgentListen
			}
			out.Asked++
			if m.cfg.LongFlows {
				m.ask(listen, out, m.q.now)
				return
			}
			m.try(listen, out, m.q.now, 1)
		})
	}
}

// newFlow returns the entry that a new flow's packets pass, and its five-tuple.
func (m *overloadModel) newFlow(to netip.AddrPort) (*stoatecho.Engine, stoatpacket.Tuple) {
	m.port++
	e := m.entries[m.rnd.IntN(len(m.entries))]
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(m.port >> 16), 0, 7}), uint16(m.port))
	return e, stoatpacket.Tuple{Src: src, Dst: to, Protocol: stoatpaddle.ProtocolTCP}
}

// try opens a flow for a request that was first tried at that time.
func (m *overloadModel) try(to netip.AddrPort, out *Outcomes, first time.Duration, n int) {
	e, tuple := m.newFlow(to)
	a := e.Handle(m.now(), m.book.Table(), &stoatpacket.Packet{Tuple: tuple, Opens: true})
	again := func() {
		if n == overloadTries {
			out.Refused++
			return
		}
		m.q.after(overloadTrip, func() { m.try(to, out, first, n+1) })
	}
	if a.Verdict != stoatecho.Forward {
		again()
		return
	}
	send := func(seq, ack uint32, size int, ends bool) {
		e.Handle(m.now(), m.book.Table(), &stoatpacket.Packet{Tuple: tuple, Cookie: a.Upstream.Key, Seq: seq, Ack: ack, Size: size, Ends: ends})
	}
	m.q.after(overloadTrip, func() {
		send(1, 1, 0, false)
		send(1, 1, 100, false)
		m.serve(m.servers[a.Upstream.ID], func(ran bool) {
			switch {
			case !ran:
				send(101, overloadRefusal, 0, true)
				again()
				return
			case m.q.now-first <= overloadObjective:
				out.InTime++
			default:
				out.Late++
			}
			send(101, overloadAnswer, 0, true)
		})
	})
}

// ended frees a slot for the next request of the queue.
func (s *overloadServer) ended() {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// serve runs one request, now or from the queue, or turns it away.
func (m *overloadModel) serve(s *overloadServer, done func(ran bool)) {
	var begin func()
	begin = func() {
		s.running++
		if s.hangs && m.rnd.Float64() < hangShare {
			// Nobody hears of it again; its slot is free when its caller gives up.
			m.q.after(longDeadline, func() { s.ended() })
			return
		}
		m.q.after(time.Duration(float64(overloadWork)*(0.5+m.rnd.Float64())), func() {
			s.ended()
			done(true)
		})
	}
	switch {
	case s.running < m.cfg.slots():
		begin()
	case len(s.queue) < m.cfg.queue():
		s.queue = append(s.queue, begin)
	default:
		m.q.after(overloadTrip, func() { done(false) })
	}
}
