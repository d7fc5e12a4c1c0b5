package stoatmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// latest is later than every revision in the models.
const latest stoatpaddle.Version = 1 << 40

// The overload model runs real engines, each of which sees a part of the flows of one data centre, and upstreams
// with slots and a queue, which reject requests that do not fit. Callers open a flow for each request, or keep
// flows open, and retry twice. Of the network only the delay is modelled.
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

// The streams of random numbers of a seed. The requests of a load are the same for all ways that are compared.
const modelStream, loadStream, treeStream = 7, 8, 9

var overloadEpoch = time.Unix(1000, 0)

// Stage is a period of constant load, as a multiple of the capacity of the upstreams.
type Stage struct {
	Load     float64
	Duration time.Duration
}

// OverloadConfig configures RunOverload.
type OverloadConfig struct {
	Entries, Upstreams int
	Stages             []Stage
	// Levels are the routes to the service; none: a usual and an urgent one.
	Levels []Level
	// Objective is the latency objective of the routes; 0: entries refuse no flow because of it.
	Objective time.Duration
	Way       Way
	Seed      uint64
	// LongFlows makes callers keep flows for many requests, to upstreams with two slots and a queue of eight.
	LongFlows bool
	// LongShare is the share of the callers that keep a flow for many requests; the others open one for each.
	LongShare float64
	// HangingShare is the share of the upstreams that never answer six of ten requests.
	HangingShare float64
	// SlowShare is the share of the upstreams that take twice as long for a request.
	SlowShare float64
	// MaxOutstanding is the number of requests outstanding at an upstream beyond which it resets connections;
	// 0: it never does.
	MaxOutstanding int
	// Patience is how long callers wait for an answer before they try again; 0: until it comes.
	Patience time.Duration
	// Tree describes how entries share what they observe; nil: they do not.
	Tree *TreeConfig
}

// withDefaults returns the configuration with default values in place of zero values.
func (c OverloadConfig) withDefaults() OverloadConfig {
	if len(c.Levels) == 0 {
		c.Levels = twoLevels
	}
	if c.LongFlows {
		c.LongShare = 1
	}
	return c
}

// capacity returns how many requests per second the upstreams can serve.
func (c OverloadConfig) capacity() float64 {
	slow := float64(c.slowUpstreams())
	return (float64(c.Upstreams) - slow*(1-1/slowFactor)) * float64(c.slots()) / overloadServiceTime.Seconds()
}

func (c OverloadConfig) slowUpstreams() int { return int(c.SlowShare * float64(c.Upstreams)) }

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

// deadline returns how long after the first try of a request its answer is in time.
func (c OverloadConfig) deadline() time.Duration {
	if c.LongFlows {
		return c.Objective
	}
	return overloadObjective
}

// overloadModel is one run.
type overloadModel struct {
	cfg        OverloadConfig
	loadRnd    *rand.Rand // of the requests that callers want to send, whatever the entries decide
	rnd        *rand.Rand
	q          queue
	entries    []*stoatecho.Engine
	routes     *stoatroute.Builder
	servers    map[stoatpaddle.UpstreamID]*overloadServer
	port       uint16
	idle       map[netip.AddrPort]*[]*longFlow // with LongFlows: open flows without a pending request
	callers    [][]caller                      // by level
	idleSlots  idleMeter
	recoveries []recovery
	result     OverloadResult
}

func newOverloadModel(cfg OverloadConfig) *overloadModel {
	cfg = cfg.withDefaults()
	m := &overloadModel{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, modelStream)), loadRnd: rand.New(rand.NewPCG(cfg.Seed, loadStream)), routes: stoatroute.NewBuilder(stoatroute.Config{}),
		servers: map[stoatpaddle.UpstreamID]*overloadServer{}, idle: map[netip.AddrPort]*[]*longFlow{},
		idleSlots: idleMeter{slots: cfg.Upstreams * cfg.slots(), bursts: burstsOf(cfg.Stages)}, recoveries: recoveriesOf(cfg.Stages),
	}
	m.routes.ApplyDeclaration(stoatpaddle.Declaration{Version: 1, Routes: cfg.routes()}, 1)
	m.addUpstreams()
	for i := range cfg.Entries {
		m.entries = append(m.entries, stoatecho.New(stoatecho.Config{
			DataCentre: "here", Start: overloadEpoch.Add(-time.Minute), Seed: cfg.Seed + uint64(i), Admission: cfg.Way.admission(),
		}))
	}
	m.result.Stages = make([][]Outcomes, len(cfg.Stages))
	for i := range m.result.Stages {
		m.result.Stages[i] = make([]Outcomes, len(cfg.Levels))
	}
	for i, l := range cfg.Levels {
		m.callers = append(m.callers, newCallers(i, l.Share*cfg.capacity(), cfg.LongShare))
		m.idle[levelListen(i)] = new([]*longFlow)
	}
	return m
}

// addUpstreams registers the upstreams. The first of them hang and the last are slow.
func (m *overloadModel) addUpstreams() {
	names := map[stoatpaddle.UpstreamID]bool{}
	hanging, fast := m.cfg.HangingShare*float64(m.cfg.Upstreams), m.cfg.Upstreams-m.cfg.slowUpstreams()
	for i := range m.cfg.Upstreams {
		id := stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", i+1))
		m.servers[id], names[id] = &overloadServer{hangs: float64(i) < hanging, slow: i >= fast}, true
		m.routes.Register(overloadEpoch, stoatpaddle.Registration{
			ID: id, Target: stoatpaddle.TargetID(i + 1), Service: "app", DataCentre: "here", Slots: m.cfg.slots(), CreateRevision: stoatpaddle.Version(i + 2),
		}, stoatpaddle.Version(i+2))
	}
	m.routes.ApplyList(overloadEpoch, names, latest, false)
}

// RunOverload simulates a load and returns the outcomes of its requests.
func RunOverload(ctx context.Context, cfg OverloadConfig) (OverloadResult, error) {
	m := newOverloadModel(cfg)
	from := time.Duration(0)
	for i, s := range cfg.Stages {
		m.offerLoad(i, from, s)
		from += s.Duration
	}
	if cfg.Tree != nil {
		m.shareEvidence(from)
	}
	for len(m.q.pending) > 0 {
		if err := ctx.Err(); err != nil {
			return OverloadResult{}, err
		}
		m.q.runUntil(m.q.pending[0].at)
	}
	m.summarize()
	return m.result, nil
}

func (m *overloadModel) now() time.Time { return overloadEpoch.Add(m.q.now) }

// offerLoad schedules the requests of a stage that begins at the given time. Each request schedules the next one,
// which keeps the event queue short.
func (m *overloadModel) offerLoad(stage int, from time.Duration, s Stage) {
	rate := s.Load * m.cfg.capacity()
	if rate <= 0 {
		return
	}
	end := from + s.Duration
	var next func()
	next = func() {
		m.newRequest(stage)
		gap := time.Duration(m.loadRnd.ExpFloat64() / rate * float64(time.Second))
		if m.q.now+gap < end {
			m.q.after(gap, next)
		}
	}
	m.q.after(from, next)
}
