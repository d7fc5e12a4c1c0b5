package stoatecho

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Config configures an Engine; zero values take the defaults.
type Config struct {
	DataCentre stoatpaddle.DataCentreID
	Start      time.Time
	Regions    stoatfilter.Regions
	MaxFlows   int // remembered at once
	Seed       uint64
}

const (
	// defaultMaxFlows bounds the memory: 200 bytes a flow. A flow that is not remembered is
	// served like any other; it is only not counted.
	defaultMaxFlows = 1 << 16
	// startGrace is how long after its start an entry without a table holds packets: the table
	// comes within 50 ms if the platform or a neighbour answers. Then it refuses at once.
	startGrace = time.Second
	// flowIdleTimeout is how long a flow is remembered of which no packet comes.
	flowIdleTimeout = 20 * time.Second
)

// Verdict tells what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop    Verdict = iota
	Forward         // to Upstream, with its cookie
	Reset           // answer the caller with a reset
	Wait            // hold the packet until there is a table
)

// Action is the decision about one packet.
type Action struct {
	Verdict  Verdict
	Upstream *stoatroute.Upstream // also of a flow that is reset, where it is known
	Reason   stoatpacket.DropReason
	Opened   bool // a flow was placed
	Moved    bool // its opening went elsewhere before and got no answer
	Repeats  int  // how often the packet's flow repeated itself, where known
	// Took is how long the answer took that the packet acknowledges; Late says that this is
	// more than its route's objective.
	Took time.Duration
	Late bool
	// Busy and Mean are what the upstream had in progress from here and the answer time that was
	// expected of it (0: not known), where they decided; Bound is what Mean may be for the flow to be admitted.
	Busy  int
	Mean  time.Duration
	Bound time.Duration
	// TurnedAway is which part of their requests of late the upstreams refused, where the flow gave way for it.
	TurnedAway float64
	// Excluded counts the upstreams that might not get the flow, where it was refused.
	Excluded Excluded
	// Ejected is the upstream that gets no flows for a while, on the packet's evidence, or nil.
	Ejected *stoatroute.Upstream
	Silence time.Duration // of Ejected
	Waiting int           // requests from here that wait at Ejected
}

// flow is what is remembered of a flow, to judge its upstream.
type flow struct {
	key      stoatpaddle.UpstreamKey
	lastSeen time.Time
	// lastProgress is when the caller last sent something new of its request.
	lastProgress      time.Time
	requestStart      time.Time // when its request began; zero: none is in progress
	requestAck        uint32    // what the caller acknowledged when it began
	seq               uint32    // last sequence number with data
	nextSeq           uint32    // the one that follows that data
	retransmissions   int
	concurrency       int // requests in progress at its upstream when its own began, itself included
	opening           bool
	hasRequestTimeout bool // it stands in Engine.answers
	hasFailureTimeout bool // it stands in Engine.owed
}

// Stats counts what the engine did since its start.
type Stats struct {
	Opened, Moved, Ejected, Refused int64
	Together                        int64 // ejections by what the data centre saw together
	Answered, Late                  int64 // requests; late: over their route's objective
	TurnedAway                      int64 // of those answered: upstreams refused them, as far as can be told
	Elsewhere                       int64 // requests noted here whose answer another entry saw
	Resets, Drops                   [stoatpacket.DropCount]int64
	Forwarded                       int64
	Flows                           int
}

// Engine decides for one entry. One goroutine uses it at a time.
type Engine struct {
	cfg     Config
	filter  stoatfilter.Filter
	placing stoatfilter.Placing
	health  map[stoatpaddle.UpstreamKey]*health // of upstreams that this entry met
	// recheck are those of them to look at with the next table whatever changes in it: they are new, perhaps
	// by a packet that came with the table before, or have something in progress though they are in none.
	recheck         map[stoatpaddle.UpstreamKey]bool
	retainedTable   *stoatroute.Table // the last one that Retain took in
	flows           map[stoatpacket.Tuple]*flow
	unprovenCookies map[stoatpaddle.UpstreamKey]time.Time // since when a cookie waits for proof
	rnd             *rand.Rand
	stats           Stats
	lastSweep       time.Time
	// lastOpenings is the latest opening of each caller: one that comes back at once was refused.
	lastOpenings    map[callerKey]stoatpacket.Tuple
	handshake       handshake
	lastAlive       time.Time // the last one of any upstream
	openingTimeouts timeoutQueue
	failureTimeouts timeoutQueue // requests, until they count as failed
	dataCentreSums  map[stoatpaddle.UpstreamKey]dataCentreSum
	requestTimeouts timeoutQueue
	// patienceTimeouts may turn out to wait in vain.
	patienceTimeouts timeoutQueue
	openingsChecked  time.Time // when these were looked through last
	lastAdoption     time.Time // when a flow last came that another entry had placed
	reportChanged    bool      // what this entry says of upstreams changed
	groups           map[groupKey]*group
	answerSizes      answerSizes
	endedUpTo        uint64    // the table's count of changes at the last TakeEnded
	queueEmptied     time.Time // when everything that had come was handled; zero: always
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = defaultMaxFlows
	}
	return &Engine{
		cfg: cfg, filter: stoatfilter.Filter{DataCentre: cfg.DataCentre, Regions: cfg.Regions}, health: map[stoatpaddle.UpstreamKey]*health{}, recheck: map[stoatpaddle.UpstreamKey]bool{}, groups: map[groupKey]*group{}, answerSizes: answerSizes{}, flows: map[stoatpacket.Tuple]*flow{},
		unprovenCookies: map[stoatpaddle.UpstreamKey]time.Time{}, lastOpenings: map[callerKey]stoatpacket.Tuple{},
		rnd: rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)), lastSweep: cfg.Start,
	}
}

// SetPlace takes in this entry's place among those of its data centre.
func (e *Engine) SetPlace(now time.Time, p stoatfilter.Place) {
	e.placing.Set(now, p)
	e.filter.Place = e.placing.At(now)
}

// SetRegions replaces the regions of data centres.
func (e *Engine) SetRegions(r stoatfilter.Regions) { e.filter.Regions = r }

// Stats returns what was done so far.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Flows = len(e.flows)
	return s
}

// InProgress is what this entry has in progress at one upstream.
type InProgress struct {
	Upstream stoatpaddle.UpstreamKey
	Flows    int
	Requests int
	Mean     time.Duration // of answers
	Ejected  bool
	Failing  bool // it gets no new flows since it fails requests
	Avoided  bool // new flows prefer others, on what this entry or another one saw
}

// InProgress returns what is in progress at each upstream that this entry met, in any order.
func (e *Engine) InProgress(now time.Time) []InProgress {
	out := make([]InProgress, 0, len(e.health))
	for k, h := range e.health {
		out = append(out, InProgress{Upstream: k, Flows: h.flows, Requests: h.pendingRequests, Mean: h.answerTimes.mean, Ejected: h.isEjected(now), Failing: now.Before(h.failing.until), Avoided: h.avoidance.active(now) || now.Before(h.deprioritizedUntil)})
	}
	return out
}

// Drained takes in when everything that had come to this entry was handled: what has come since
// may be waiting for it.
func (e *Engine) Drained(at time.Time) { e.queueEmptied = at }

// behind tells whether this entry handles packets so late that the silence of an upstream may be
// its own: an answer's acknowledgement may be among what waits.
func (e *Engine) behind(now time.Time) bool {
	return !e.queueEmptied.IsZero() && now.Sub(e.queueEmptied) > localFaultSilence
}

// Handle decides about one packet.
func (e *Engine) Handle(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	e.sweep(now)
	e.expire(now)
	a := e.decide(now, t, p)
	switch a.Verdict {
	case Forward:
		e.stats.Forwarded++
	case Reset:
		e.stats.Resets[a.Reason]++
	case Drop:
		e.stats.Drops[a.Reason]++
	}
	return a
}

func (e *Engine) decide(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	if !t.Ready() {
		return e.beforeTable(now, p)
	}
	r := t.Route(p.Tuple.Dst)
	if r == nil {
		// Resets must not answer resets.
		if p.Reset {
			return Action{Reason: stoatpacket.DropNoRoute}
		}
		e.forget(p.Tuple)
		return Action{Verdict: Reset, Reason: stoatpacket.DropNoRoute}
	}
	if p.Opens {
		return e.open(now, t, r, p)
	}
	return e.forwardOpen(now, t, r, p)
}

// beforeTable handles a packet that comes before there is a table. Only an opening is refused:
// whether an open flow can live is not known.
func (e *Engine) beforeTable(now time.Time, p *stoatpacket.Packet) Action {
	switch {
	case now.Sub(e.cfg.Start) <= startGrace:
		return Action{Verdict: Wait, Reason: stoatpacket.DropYoung}
	case p.Opens:
		return Action{Verdict: Reset, Reason: stoatpacket.DropYoung}
	}
	return Action{Reason: stoatpacket.DropYoung}
}

// forwardOpen forwards a packet of an open flow to the upstream that its cookie names.
func (e *Engine) forwardOpen(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet) Action {
	u := t.Upstream(p.Cookie)
	if u == nil {
		return e.unknownCookie(now, t, p)
	}
	// A caller can write any cookie; one of another service must not bring its packets there.
	if !r.Had(u.Service) {
		return Action{Reason: stoatpacket.DropForged}
	}
	a := e.track(now, r, u, p)
	if p.Reset {
		return a
	}
	if e.hasEnded(u) {
		e.forget(p.Tuple)
		return Action{Verdict: Reset, Upstream: u, Reason: stoatpacket.DropGone}
	}
	return a
}

// unknownCookie handles a cookie of which this entry never heard. Its upstream may be younger
// than this entry's view; only an answer to a question that was sent after the packet came
// proves that it is gone. Until then the caller repeats itself, and a reset would break a
// flow that is alive.
func (e *Engine) unknownCookie(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	since, waits := e.unprovenCookies[p.Cookie]
	if !waits {
		if len(e.unprovenCookies) < maxUnproven {
			e.unprovenCookies[p.Cookie] = now
		}
		return Action{Reason: stoatpacket.DropUnproven}
	}
	if !t.Proven.After(since) || p.Reset {
		return Action{Reason: stoatpacket.DropUnproven}
	}
	return Action{Verdict: Reset, Reason: stoatpacket.DropGone}
}

// maxUnproven bounds the cookies that are waited for: a flood of forged ones must not fill the memory.
const maxUnproven = 4096
