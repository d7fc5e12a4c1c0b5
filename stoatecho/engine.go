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
	// young is how long after its start an entry without a table holds packets: the table
	// comes within 50 ms if the platform or a neighbour answers. Then it refuses at once.
	young = time.Second
	// idleKept is how long a flow is remembered of which no packet comes.
	idleKept = 20 * time.Second
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
	Verdict         Verdict
	Upstream        *stoatroute.Upstream // also of a flow that is reset, where it is known
	Reason          stoatpacket.DropReason
	Opened          bool // a flow was placed
	Moved           bool // its opening went elsewhere before and got no answer
	Retransmissions int  // how often the packet's flow repeated itself, where known
	// AnswerTime is how long the answer took that the packet acknowledges; Late says that this is
	// more than its route's objective.
	AnswerTime time.Duration
	Late       bool
	// InProgress and Mean are what the upstream had in progress from here and the answer time that was
	// expected of it (0: not known), where they decided; Bound is what Mean may be for the flow to be admitted.
	InProgress     int
	ExpectedAnswer time.Duration
	AnswerBound    time.Duration
	// RejectedShare is which part of their requests of late the upstreams refused, where the flow gave way for it.
	RejectedShare float64
	// Excluded counts the upstreams that might not get the flow, where it was refused.
	Excluded Excluded
	// Ejected is the upstream that gets no flows for a while, on the packet's evidence, or nil.
	Ejected         *stoatroute.Upstream
	Silence         time.Duration // of Ejected
	PendingRequests int           // requests from here that wait at Ejected
}

// flow is what is remembered of a flow, to judge its upstream.
type flow struct {
	key  stoatpaddle.UpstreamKey
	seen time.Time
	// progress is when the caller last sent something new of its request.
	progress time.Time
	asked    time.Time // when its request began; zero: none is in progress
	ack      uint32    // what the caller acknowledged when it began
	seq      uint32    // last sequence number with data
	end      uint32    // the one that follows that data
	repeats  int
	beside   int // requests in progress at its upstream when its own began, itself included
	opening  bool
	awaited  bool // it stands in Engine.answers
	owes     bool // it stands in Engine.owed
}

// Stats counts what the engine did since its start.
type Stats struct {
	Opened, Moved, Ejected, Refused int64
	EjectedJointly                  int64 // ejections by what the data centre saw together
	Answered, Late                  int64 // requests; late: over their route's objective
	Rejected                        int64 // of those answered: upstreams refused them, as far as can be told
	AnsweredElsewhere               int64 // requests noted here whose answer another entry saw
	Resets, Drops                   [stoatpacket.DropCount]int64
	Forwarded                       int64
	Flows                           int
}

// Engine decides for one entry. One goroutine uses it at a time.
type Engine struct {
	cfg     Config
	filter  stoatfilter.Filter
	placing stoatfilter.RankTracker
	health  map[stoatpaddle.UpstreamKey]*health // of upstreams that this entry met
	// unsettled are those of them to look at with the next table whatever changes in it: they are new, perhaps
	// by a packet that came with the table before, or have something in progress though they are in none.
	unsettled map[stoatpaddle.UpstreamKey]bool
	retained  *stoatroute.Table // the last one that Retain took in
	flows     map[stoatpacket.Tuple]*flow
	unproven  map[stoatpaddle.UpstreamKey]time.Time // since when a cookie waits for proof
	rnd       *rand.Rand
	stats     Stats
	swept     time.Time
	// last is the latest opening of each caller: one that comes back at once was refused.
	last      map[callerKey]stoatpacket.Tuple
	handshake handshake
	sign      time.Time // the last one of any upstream
	openings  expectations
	owed      expectations // requests, until they count as failed
	together  map[stoatpaddle.UpstreamKey]shared
	answers   expectations
	// waitOpenings may turn out to wait in vain.
	waitOpenings expectations
	noted        time.Time // when these were looked through last
	moved        time.Time // when a flow last came that another entry had placed
	observed     bool      // what this entry says of upstreams changed
	groups       map[groupKey]*group
	sizes        answerSizes
	endedUpTo    uint64    // the table's count of changes at the last TakeEnded
	drained      time.Time // when everything that had come was handled; zero: always
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = defaultMaxFlows
	}
	return &Engine{
		cfg: cfg, filter: stoatfilter.Filter{DataCentre: cfg.DataCentre, Regions: cfg.Regions}, health: map[stoatpaddle.UpstreamKey]*health{}, unsettled: map[stoatpaddle.UpstreamKey]bool{}, groups: map[groupKey]*group{}, sizes: answerSizes{}, flows: map[stoatpacket.Tuple]*flow{},
		unproven: map[stoatpaddle.UpstreamKey]time.Time{}, last: map[callerKey]stoatpacket.Tuple{},
		rnd: rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)), swept: cfg.Start,
	}
}

// SetPlace takes in this entry's place among those of its data centre.
func (e *Engine) SetPlace(now time.Time, p stoatfilter.EntryRank) {
	e.placing.Update(now, p)
	e.filter.EntryRank = e.placing.At(now)
}

// SetRegions replaces the regions of data centres.
func (e *Engine) SetRegions(r stoatfilter.Regions) { e.filter.Regions = r }

// Stats returns what was done so far.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Flows = len(e.flows)
	return s
}

// UpstreamState is what this entry has in progress at one upstream.
type UpstreamState struct {
	Upstream        stoatpaddle.UpstreamKey
	Flows           int
	PendingRequests int
	MeanAnswer      time.Duration // of answers
	Ejected         bool
	Failing         bool // it gets no new flows since it fails requests
	Avoided         bool // new flows prefer others, on what this entry or another one saw
}

// UpstreamStates returns what is in progress at each upstream that this entry met, in any order.
func (e *Engine) UpstreamStates(now time.Time) []UpstreamState {
	out := make([]UpstreamState, 0, len(e.health))
	for k, h := range e.health {
		out = append(out, UpstreamState{Upstream: k, Flows: h.flows, PendingRequests: h.busy, MeanAnswer: h.usual.mean, Ejected: h.isEjected(now), Failing: now.Before(h.mark.until), Avoided: h.avoidance.active(now) || now.Before(h.preferOthers)})
	}
	return out
}

// NoteQueueEmpty takes in when everything that had come to this entry was handled: what has come since
// may be waiting for it.
func (e *Engine) NoteQueueEmpty(at time.Time) { e.drained = at }

// behind tells whether this entry handles packets so late that the silence of an upstream may be
// its own: an answer's acknowledgement may be among what waits.
func (e *Engine) behind(now time.Time) bool {
	return !e.drained.IsZero() && now.Sub(e.drained) > ownSilence
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
		return e.early(now, p)
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
	return e.follow(now, t, r, p)
}

// early handles a packet that comes before there is a table. Only an opening is refused:
// whether an open flow can live is not known.
func (e *Engine) early(now time.Time, p *stoatpacket.Packet) Action {
	switch {
	case now.Sub(e.cfg.Start) <= young:
		return Action{Verdict: Wait, Reason: stoatpacket.DropUnconfigured}
	case p.Opens:
		return Action{Verdict: Reset, Reason: stoatpacket.DropUnconfigured}
	}
	return Action{Reason: stoatpacket.DropUnconfigured}
}

// follow forwards a packet of an open flow to the upstream that its cookie names.
func (e *Engine) follow(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet) Action {
	u := t.Upstream(p.Cookie)
	if u == nil {
		return e.unknown(now, t, p)
	}
	// A caller can write any cookie; one of another service must not bring its packets there.
	if !r.EverUsed(u.Service) {
		return Action{Reason: stoatpacket.DropForged}
	}
	a := e.track(now, r, u, p)
	if p.Reset {
		return a
	}
	if e.hasEnded(u) {
		e.forget(p.Tuple)
		return Action{Verdict: Reset, Upstream: u, Reason: stoatpacket.DropUpstreamGone}
	}
	return a
}

// unknown handles a cookie of which this entry never heard. Its upstream may be younger
// than this entry's view; only an answer to a question that was sent after the packet came
// proves that it is gone. Until then the caller repeats itself, and a reset would break a
// flow that is alive.
func (e *Engine) unknown(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	since, waits := e.unproven[p.Cookie]
	if !waits {
		if len(e.unproven) < maxUnproven {
			e.unproven[p.Cookie] = now
		}
		return Action{Reason: stoatpacket.DropUnverified}
	}
	if !t.CompleteAsOf.After(since) || p.Reset {
		return Action{Reason: stoatpacket.DropUnverified}
	}
	return Action{Verdict: Reset, Reason: stoatpacket.DropUpstreamGone}
}

// maxUnproven bounds the cookies that are waited for: a flood of forged ones must not fill the memory.
const maxUnproven = 4096
