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

// The overload model runs real engines, each of which sees a part of the flows of one data centre, and upstreams
// with slots and a queue, which reject requests that do not fit. Callers open a flow for each request and retry
// twice. Of the network only the delay is modelled.
const (
	overloadSlots       = 3
	overloadQueue       = 12
	overloadServiceTime = 45 * time.Millisecond
	overloadRTT         = 6 * time.Millisecond // from a caller to its upstream and back
	overloadObjective   = 200 * time.Millisecond
	overloadMaxTries    = 3
	// overloadAnswer and overloadRejection are the numbers of bytes that callers acknowledge of an answer and of
	// the rejection that a full upstream sends.
	overloadAnswer, overloadRejection = 500, 100
)

// A quarter of the requests are urgent, and an answer in time to one of them counts twice. For the other
// requests a late answer costs the caller little.
const (
	urgentShare  = 0.25
	urgentWeight = 2.0
)

var (
	overloadEpoch = time.Unix(1000, 0)
	usualListen   = netip.MustParseAddrPort("198.18.0.1:8443")
	urgentListen  = netip.MustParseAddrPort("198.18.0.1:8080")
)

// Stage is a period of constant load, as a multiple of the capacity of the upstreams.
type Stage struct {
	Load     float64
	Duration time.Duration
}

// OverloadConfig configures RunOverload.
type OverloadConfig struct {
	Entries, Upstreams int
	Stages             []Stage
	// Objective is the latency objective of the routes; 0: entries refuse no flow because of it.
	Objective time.Duration
	Seed      uint64
	// LongFlows makes callers keep flows for many requests, to upstreams with two slots and a queue of eight.
	LongFlows bool
	// HangingShare is the share of the upstreams that never answer six of ten requests.
	HangingShare float64
}

// capacity returns how many requests per second the upstreams can serve.
func (c OverloadConfig) capacity() float64 {
	return float64(c.Upstreams) * float64(c.slots()) / overloadServiceTime.Seconds()
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

// Outcomes counts the requests of one route. The names of its fields are part of the JSON output.
type Outcomes struct{ Asked, InTime, Late, Refused int }

func (o *Outcomes) add(x Outcomes) {
	o.Asked += x.Asked
	o.InTime += x.InTime
	o.Late += x.Late
	o.Refused += x.Refused
}

// OverloadResult is the outcome of a run.
type OverloadResult struct {
	Usual, Urgent Outcomes
	// Bound is the goodput that the slots can yield if urgent requests are served first.
	Bound float64
	// Stages holds the outcomes of usual and urgent requests, by the stage in which a request was first tried.
	Stages [][2]Outcomes
}

// Goodput returns the number of answers in time, with those to urgent requests weighted by urgentWeight.
func (o *OverloadResult) Goodput() float64 {
	return float64(o.Usual.InTime) + urgentWeight*float64(o.Urgent.InTime)
}

// bound returns the goodput that the upstreams can yield for the requests of each stage. A request may still be
// answered within the objective after the end of its stage, so that this time is added to each stage.
func (c OverloadConfig) bound(stages [][2]Outcomes) float64 {
	sum := 0.0
	for i, s := range c.Stages {
		capacity := c.capacity() * (s.Duration + overloadObjective).Seconds()
		urgent := min(capacity, float64(stages[i][1].Asked))
		sum += urgentWeight*urgent + min(capacity-urgent, float64(stages[i][0].Asked))
	}
	return sum
}

// overloadModel is one run.
type overloadModel struct {
	cfg     OverloadConfig
	rnd     *rand.Rand
	q       queue
	entries []*stoatecho.Engine
	routes  *stoatroute.Builder
	servers map[stoatpaddle.UpstreamID]*overloadServer
	port    int
	idle    map[netip.AddrPort][]*longFlow // open flows without a pending request
	result  OverloadResult
}

// overloadServer is an upstream. One that hangs leaves a share of its requests without an answer.
type overloadServer struct {
	hangs   bool
	running int
	queue   []func()
}

func newOverloadModel(cfg OverloadConfig) *overloadModel {
	m := &overloadModel{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), routes: stoatroute.NewBuilder(stoatroute.Config{}),
		servers: map[stoatpaddle.UpstreamID]*overloadServer{}, idle: map[netip.AddrPort][]*longFlow{},
	}
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	m.routes.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: []stoatpaddle.Route{
		{Listen: usualListen, Backends: to, Idempotent: true, TargetLatency: cfg.Objective, Priority: 2},
		{Listen: urgentListen, Backends: to, TargetLatency: cfg.Objective, Priority: 1},
	}}, 1)
	names := map[stoatpaddle.UpstreamID]bool{}
	for i := range cfg.Upstreams {
		id := stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i+1))
		m.servers[id], names[id] = &overloadServer{hangs: float64(i) < cfg.HangingShare*float64(cfg.Upstreams)}, true
		m.routes.Register(overloadEpoch, stoatpaddle.Registration{
			ID: id, Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: "here", Slots: cfg.slots(), CreateRevision: stoatpaddle.Version(i + 2),
		}, stoatpaddle.Version(i+2))
	}
	m.routes.ApplyList(overloadEpoch, names, false)
	for i := range cfg.Entries {
		m.entries = append(m.entries, stoatecho.New(stoatecho.Config{
			DataCentre: "here", Start: overloadEpoch.Add(-time.Minute), Seed: cfg.Seed + uint64(i),
		}))
	}
	return m
}

// RunOverload simulates a load and returns the outcomes of its requests.
func RunOverload(ctx context.Context, cfg OverloadConfig) (OverloadResult, error) {
	m := newOverloadModel(cfg)
	m.result.Stages = make([][2]Outcomes, len(cfg.Stages))
	from := time.Duration(0)
	for i, s := range cfg.Stages {
		m.offerLoad(i, from, s)
		from += s.Duration
	}
	for len(m.q.pending) > 0 {
		if err := ctx.Err(); err != nil {
			return OverloadResult{}, err
		}
		m.q.runUntil(m.q.pending[0].at)
	}
	for _, s := range m.result.Stages {
		m.result.Usual.add(s[0])
		m.result.Urgent.add(s[1])
	}
	m.result.Bound = cfg.bound(m.result.Stages)
	return m.result, nil
}

func (m *overloadModel) now() time.Time { return overloadEpoch.Add(m.q.now) }

// offerLoad schedules the requests of a stage that begins at the given time.
func (m *overloadModel) offerLoad(stage int, from time.Duration, s Stage) {
	rate := s.Load * m.cfg.capacity()
	if rate <= 0 {
		return
	}
	for at := from; at < from+s.Duration; at += time.Duration(m.rnd.ExpFloat64() / rate * float64(time.Second)) {
		urgent := m.rnd.Float64() < urgentShare
		m.q.after(at, func() {
			out, listen := &m.result.Stages[stage][0], usualListen
			if urgent {
				out, listen = &m.result.Stages[stage][1], urgentListen
			}
			out.Asked++
			if m.cfg.LongFlows {
				m.sendRequest(listen, out, m.q.now)
				return
			}
			m.openFlow(listen, out, m.q.now, 1)
		})
	}
}

// newFlow returns the five-tuple of a new flow and the entry that its packets pass through.
func (m *overloadModel) newFlow(to netip.AddrPort) (*stoatecho.Engine, stoatpacket.Tuple) {
	m.port++
	e := m.entries[m.rnd.IntN(len(m.entries))]
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(m.port >> 16), 0, 7}), uint16(m.port))
	return e, stoatpacket.Tuple{Src: src, Dst: to, Protocol: stoatpaddle.ProtocolTCP}
}

// openFlow opens a flow for the n-th try of a request that was first tried at the given time.
func (m *overloadModel) openFlow(to netip.AddrPort, out *Outcomes, first time.Duration, n int) {
	e, tuple := m.newFlow(to)
	a := e.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: tuple, Opens: true})
	retry := func() {
		if n == overloadMaxTries {
			out.Refused++
			return
		}
		m.q.after(overloadRTT, func() { m.openFlow(to, out, first, n+1) })
	}
	if a.Verdict != stoatecho.Forward {
		retry()
		return
	}
	send := func(seq, ack uint32, size int, ends bool) {
		e.Handle(m.now(), m.routes.Table(), &stoatpacket.Packet{Tuple: tuple, Cookie: a.Upstream.Key, Seq: seq, Ack: ack, Size: size, Ends: ends})
	}
	m.q.after(overloadRTT, func() {
		send(1, 1, 0, false)
		send(1, 1, 100, false)
		m.serve(m.servers[a.Upstream.ID], func(ran bool) {
			switch {
			case !ran:
				send(101, overloadRejection, 0, true)
				retry()
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

// releaseSlot frees a slot and starts the next request of the queue.
func (s *overloadServer) releaseSlot() {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// serve runs a request, now or from the queue, or rejects it.
func (m *overloadModel) serve(s *overloadServer, done func(ran bool)) {
	var begin func()
	begin = func() {
		s.running++
		if s.hangs && m.rnd.Float64() < hangShare {
			// The request gets no answer; its slot is free when the caller gives up.
			m.q.after(longDeadline, func() { s.releaseSlot() })
			return
		}
		m.q.after(time.Duration(float64(overloadServiceTime)*(0.5+m.rnd.Float64())), func() {
			s.releaseSlot()
			done(true)
		})
	}
	switch {
	case s.running < m.cfg.slots():
		begin()
	case len(s.queue) < m.cfg.queue():
		s.queue = append(s.queue, begin)
	default:
		m.q.after(overloadRTT, func() { done(false) })
	}
}
