package stoatecho

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Config configures an Engine; zero values take the defaults.
type Config struct {
	DataCentre stoatpaddle.DataCentreID
	Start      time.Time
	Regions    stoatfilter.Regions
	Spill      SpillConfig
	MaxFlows   int // how many flows are remembered at once
	Admission  stoatadmission.Config
	Seed       uint64
}

const (
	// defaultMaxFlows bounds the memory, at 200 bytes a flow. A flow that is not remembered is served like any
	// other, but is not counted.
	defaultMaxFlows = 1 << 16
	// startGrace is how long after its start an entry without a table holds packets: the table arrives within
	// 50 ms if the platform or a neighbour answers. After that, the entry refuses openings at once.
	startGrace = time.Second
	// flowIdleTimeout is how long a flow without packets is remembered.
	flowIdleTimeout = 20 * time.Second
)

// Verdict says what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop    Verdict = iota
	Forward         // send it to Upstream, with its cookie
	Reset           // answer the caller with a reset
	Hold            // hold the packet until there is a table, or until Action.Verify is verified
)

// Action is the decision about one packet.
type Action struct {
	Verdict  Verdict
	Upstream *stoatroute.Upstream // set for a flow that is reset too, if its upstream is known
	Reason   stoatpacket.DropReason
	// Verify has the parts of the state that a held packet waits for; 0: it waits for a table.
	Verify          stoatroute.Parts
	Opened          bool // a new flow was placed
	Spilled         bool // it went to another data centre, since this one is overloaded
	Moved           bool // its opening went to another upstream before and was not answered
	Retransmissions int  // retransmissions of the flow's packet, where known
	// AnswerTime is how long the answer took that the packet acknowledges; Late reports that this exceeds the
	// latency objective of the route.
	AnswerTime time.Duration
	Late       bool
	// InProgress is the number of requests of this entry that are pending at the upstream, for an opening
	// together with the pending openings. ExpectedAnswer is the answer time expected of the upstream (0:
	// unknown), and AnswerBound the greatest ExpectedAnswer with which the flow is admitted; both are set for
	// openings.
	InProgress     int
	ExpectedAnswer time.Duration
	AnswerBound    time.Duration
	// Priority is the priority of the opening's route, and Admission the decision by levels about it; both are set
	// for openings that have an upstream.
	Priority  int
	Admission stoatadmission.Decision
	// Excluded counts the upstreams that were not eligible for the flow, if it was refused.
	Excluded Excluded
	// Ejected is the upstream that the packet caused to be ejected, so that it gets no new flows for a while,
	// or nil.
	Ejected         *stoatroute.Upstream
	Silence         time.Duration // how long Ejected has been silent
	PendingRequests int           // requests of this entry that are pending at Ejected
}

// flow is what an entry remembers of a flow in order to judge its upstream.
type flow struct {
	key      stoatpaddle.UpstreamKey
	lastSeen time.Time
	// lastProgress is when the caller last sent new data of its request.
	lastProgress      time.Time
	requestStart      time.Time // when its pending request began; zero: none is pending
	requestAck        uint32    // the caller's acknowledgement number when the request began
	seq               uint32    // last sequence number with data
	nextSeq           uint32    // the sequence number after that data
	retransmissions   int
	concurrency       int // requests and openings pending at its upstream when its request began, itself included
	opening           bool
	firstRequest      bool // opened here, and its first request is not answered yet
	hasRequestTimeout bool // it is in Engine.requestTimeouts
	hasFailureTimeout bool // it is in Engine.failureTimeouts
}

// Stats counts what the engine did since it was created.
type Stats struct {
	Opened, Moved, Ejected, Refused int64
	Spilled                         int64 // openings that went to another data centre, since this one was overloaded
	EjectedJointly                  int64 // ejections that follow from the reports of all entries of the data centre
	Answered, Late                  int64 // requests; late: longer than the latency objective of the route
	Rejected                        int64 // answered requests that the upstream rejected, as far as can be inferred
	AnsweredElsewhere               int64 // requests that began here and whose answer another entry saw
	Resets, Drops                   [stoatpacket.DropCount]int64
	Forwarded                       int64
	Flows                           int
}

// Engine decides for one entry. It is not safe for concurrent use.
type Engine struct {
	cfg    Config
	filter stoatfilter.Filter
	rank   stoatfilter.RankTracker
	health map[stoatpaddle.UpstreamKey]*health // of the upstreams that this entry has seen
	// recheck has the upstreams that the next Retain looks at even if the table does not differ there: those
	// that are new, since the packet may have come with the previous table, and those that are in no table but
	// still have something in progress.
	recheck       map[stoatpaddle.UpstreamKey]bool
	retainedTable *stoatroute.Table // the table of the last Retain
	flows         map[stoatpacket.Tuple]*flow
	rnd           *rand.Rand
	stats         Stats
	lastSweep     time.Time
	// lastOpenings is the latest opening of each caller: a caller that comes back at once was refused.
	lastOpenings    map[callerKey]stoatpacket.Tuple
	handshake       handshake
	lastAlive       time.Time // latest sign of life of any upstream
	openingTimeouts timeoutQueue
	failureTimeouts timeoutQueue // requests that count as failed when they expire
	dataCentreSums  map[stoatpaddle.UpstreamKey]dataCentreSum
	requestTimeouts timeoutQueue // requests that no longer count as pending when they expire
	// patienceTimeouts has the openings that are reported as unanswered when they expire.
	patienceTimeouts timeoutQueue
	openingsChecked  time.Time // when patienceTimeouts was last checked
	lastAdoption     time.Time // when a packet last came of a flow that another entry had placed
	reportChanged    bool      // what this entry reports about upstreams has changed
	groups           map[groupKey]*group
	limited          map[groupKey]*group // groups with a level that is limited, or with changes to report
	sharedGroups     []*group            // groups with evidence of the data centre
	spillover        spillover
	answerSizes      answerSizes
	endedUpTo        uint64                           // the table's change counter at the last TakeOrphanedFlows
	unverifiedEnds   map[stoatpaddle.UpstreamKey]bool // upstreams with pending requests whose end is not verified
	queueEmptied     time.Time                        // when this entry had last handled all packets received; zero: it is never behind
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = defaultMaxFlows
	}
	return &Engine{
		cfg: cfg, spillover: spillover{cfg: cfg.Spill}, filter: stoatfilter.Filter{DataCentre: cfg.DataCentre, Regions: cfg.Regions}, health: map[stoatpaddle.UpstreamKey]*health{}, recheck: map[stoatpaddle.UpstreamKey]bool{}, groups: map[groupKey]*group{}, limited: map[groupKey]*group{}, answerSizes: answerSizes{}, flows: map[stoatpacket.Tuple]*flow{},
		unverifiedEnds: map[stoatpaddle.UpstreamKey]bool{}, lastOpenings: map[callerKey]stoatpacket.Tuple{},
		rnd: rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)), lastSweep: cfg.Start,
	}
}

// SetRank sets this entry's rank among the entries of its data centre.
func (e *Engine) SetRank(now time.Time, p stoatfilter.EntryRank) {
	e.rank.Update(now, p)
	e.filter.EntryRank = e.rank.At(now)
}

// SetRegions replaces the regions of the data centres.
func (e *Engine) SetRegions(r stoatfilter.Regions) { e.filter.Regions = r }

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Flows = len(e.flows)
	return s
}

// UpstreamState is what this entry knows of one upstream.
type UpstreamState struct {
	Upstream        stoatpaddle.UpstreamKey
	Flows           int           // open flows seen here
	PendingRequests int           // pending requests of this entry
	MeanAnswer      time.Duration // mean answer time
	Ejected         bool
	Failing         bool // it gets no new flows, because it fails requests
	Avoided         bool // new flows prefer other upstreams, on the evidence of this entry or of another one
}

// UpstreamStates returns the state of each upstream that this entry has seen, in no particular order.
func (e *Engine) UpstreamStates(now time.Time) []UpstreamState {
	out := make([]UpstreamState, 0, len(e.health))
	for k, h := range e.health {
		out = append(out, UpstreamState{Upstream: k, Flows: h.flows, PendingRequests: h.pendingRequests, MeanAnswer: h.answerTimes.mean, Ejected: h.isEjected(now), Failing: now.Before(h.failing.until), Avoided: h.avoidance.active(now) || now.Before(h.deprioritizedUntil)})
	}
	return out
}

// NoteQueueEmpty records when this entry had last handled every packet it received; packets that came later may
// still be queued.
func (e *Engine) NoteQueueEmpty(at time.Time) { e.queueEmptied = at }

// behind reports whether this entry handles packets so late that an upstream may only seem silent: the
// acknowledgement of its answer may still be queued here.
func (e *Engine) behind(now time.Time) bool {
	return !e.queueEmptied.IsZero() && now.Sub(e.queueEmptied) > localFaultSilence
}

// Handle decides what to do with one packet.
func (e *Engine) Handle(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	return e.handle(now, t, p, arrival{at: now})
}

func (e *Engine) handle(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet, came arrival) Action {
	e.sweep(now)
	e.expire(now)
	a := e.decide(now, t, p, came)
	e.count(&a)
	return a
}

// count counts a decision.
func (e *Engine) count(a *Action) {
	switch a.Verdict {
	case Forward:
		e.stats.Forwarded++
	case Reset:
		e.stats.Resets[a.Reason]++
	case Drop:
		e.stats.Drops[a.Reason]++
	}
}

func (e *Engine) decide(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet, came arrival) Action {
	if !t.Ready() {
		return e.beforeTable(now, p)
	}
	r := t.Route(p.Tuple.Dst)
	if r == nil {
		// A reset must not be answered with a reset.
		if p.Reset {
			return Action{Reason: stoatpacket.DropNoRoute}
		}
		// A flow that is known here was open while it had a route, which a configuration has removed since.
		if parts := partsFor(p, stoatroute.PartRoutes); e.established(p) == nil && !verified(t, parts, came) {
			return hold(Action{}, stoatpacket.DropNoRoute, parts)
		}
		e.forget(p.Tuple)
		return Action{Verdict: Reset, Reason: stoatpacket.DropNoRoute}
	}
	if p.Opens {
		return e.open(now, t, r, p, came)
	}
	return e.forwardOpen(now, t, r, p, came)
}

// beforeTable handles a packet that comes before there is a table. Only an opening is refused: whether the
// upstream of an open flow is alive is not known.
func (e *Engine) beforeTable(now time.Time, p *stoatpacket.Packet) Action {
	switch {
	case now.Sub(e.cfg.Start) <= startGrace:
		return Action{Verdict: Hold, Reason: stoatpacket.DropUnconfigured}
	case p.Opens:
		return Action{Verdict: Reset, Reason: stoatpacket.DropUnconfigured}
	}
	return Action{Reason: stoatpacket.DropUnconfigured}
}

// forwardOpen forwards a packet of an open flow to the upstream that its cookie names.
func (e *Engine) forwardOpen(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet, came arrival) Action {
	u := t.Upstream(p.Cookie)
	if u == nil {
		return e.unknownCookie(t, p, came)
	}
	// A caller can forge a cookie; the cookie of another service must not route its packets there.
	if !r.EverUsed(u.Service) {
		if !verified(t, stoatroute.PartRoutes, came) {
			return hold(Action{}, stoatpacket.DropForged, stoatroute.PartRoutes)
		}
		return Action{Reason: stoatpacket.DropForged}
	}
	endVerified := e.endVerified(t, u, p, came)
	a := Action{Verdict: Forward, Upstream: u}
	if !came.tracked {
		a = e.track(now, r, u, p)
	}
	switch {
	case p.Reset || !e.hasEnded(u):
		return a
	case !endVerified:
		return hold(a, stoatpacket.DropUpstreamGone, stoatroute.PartUpstreams)
	}
	e.forget(p.Tuple)
	return Action{Verdict: Reset, Upstream: u, Reason: stoatpacket.DropUpstreamGone}
}

// unknownCookie handles a cookie that is not in the table. Its upstream may have registered after the table was
// read.
func (e *Engine) unknownCookie(t *stoatroute.Table, p *stoatpacket.Packet, came arrival) Action {
	switch {
	case p.Reset:
		return Action{Reason: stoatpacket.DropUnverified}
	case !verified(t, stoatroute.PartUpstreams, came):
		return hold(Action{}, stoatpacket.DropUpstreamGone, stoatroute.PartUpstreams)
	}
	return Action{Verdict: Reset, Reason: stoatpacket.DropUpstreamGone}
}
