package stoatecho

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Config configures an Engine; zero values take the defaults.
type Config struct {
	DataCentre stoatpaddle.DataCentreID
	Start      time.Time
	MaxFlows   int // remembered at once
	Seed       uint64
}

const (
	// defaultMaxFlows bounds the memory: 200 bytes a flow. A flow that is not remembered is
	// served like any other; it is only not counted.
	defaultMaxFlows = 1 << 16
	// young is how long after its start an entry without a configuration stays silent
	// towards an opening: its copy 200 ms later may be served. Then it refuses at once.
	young = time.Second
	// stuckRepeats is how often a packet must be repeated before a flow at an upstream that
	// answers nobody is reset: the caller comes back at once and is placed elsewhere.
	stuckRepeats = 2
	// openingKept, busyKept and idleKept are how long a flow is remembered of which no packet
	// comes: a caller gives an opening up after 1.4 s, and repeats a request every 1.6 s at
	// least. Its packets may reach other entries, and then it must not count here.
	openingKept = 2 * time.Second
	busyKept    = 4 * time.Second
	idleKept    = 20 * time.Second
)

// Verdict tells what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop    Verdict = iota
	Forward         // to Upstream, with its cookie
	Reset           // answer the caller with a reset
)

// Action is the decision about one packet.
type Action struct {
	Verdict  Verdict
	Upstream *stoatroute.Upstream // also of a flow that is reset, where it is known
	Reason   stoatpacket.DropReason
	Opened   bool // a flow was placed
	Moved    bool // its opening went elsewhere before and got no answer
	Ejected  bool // the packet was the evidence on which Upstream gets no flows for a while
	Repeats  int  // how often the packet's flow repeated itself, where known
}

// Unproven is how long cookies are waited for that no answer has settled.
type unproven struct {
	since time.Time
}

// flow is what is remembered of a flow, to judge its upstream.
type flow struct {
	key     stoatpaddle.UpstreamKey
	seen    time.Time
	asked   time.Time // when its request began; zero: none is in progress
	ack     uint32    // what the caller acknowledged when it began
	seq     uint32    // last sequence number with data
	repeats int
	opening bool
}

// Stats counts what the engine did since its start.
type Stats struct {
	Opened, Moved, Ejected, Refused int64
	Resets, Drops                   [stoatpacket.DropCount]int64
	Forwarded                       int64
	Flows                           int
}

// Engine decides for one entry. One goroutine uses it at a time.
type Engine struct {
	cfg      Config
	health   healths
	flows    map[stoatpacket.Tuple]*flow
	unproven map[stoatpaddle.UpstreamKey]unproven
	rnd      *rand.Rand
	stats    Stats
	swept    time.Time
}

// New returns an Engine.
func New(cfg Config) *Engine {
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = defaultMaxFlows
	}
	return &Engine{
		cfg: cfg, health: healths{}, flows: map[stoatpacket.Tuple]*flow{},
		unproven: map[stoatpaddle.UpstreamKey]unproven{},
		rnd:      rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)), swept: cfg.Start,
	}
}

// Stats returns what was done so far.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Flows = len(e.flows)
	return s
}

// Handle decides about one packet.
func (e *Engine) Handle(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	e.sweep(now)
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
		if p.Opens && now.Sub(e.cfg.Start) > young {
			return Action{Verdict: Reset, Reason: stoatpacket.DropYoung}
		}
		return Action{Reason: stoatpacket.DropYoung}
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

// open places a new flow, or a copy of its opening.
func (e *Engine) open(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet) Action {
	f := e.flows[p.Tuple]
	var except stoatpaddle.UpstreamKey
	moved, ejected := false, false
	if f != nil && f.opening && p.Copies > 0 {
		u, h := t.Upstream(f.key), e.health.of(f.key)
		ejected = h.repeated(now)
		// A sign since then says that the packet was lost, not the upstream. At another one
		// the flow would be open twice, and the caller's packets would bring either cookie.
		if u != nil && u.Opens() && h.sign.After(f.seen) && !h.isEjected(now) {
			return Action{Verdict: Forward, Upstream: u}
		}
		except, moved = f.key, true
	}
	e.forget(p.Tuple)
	u := e.choose(now, t, r, except)
	if u == nil {
		e.stats.Refused++
		return Action{Verdict: Reset, Reason: stoatpacket.DropNoUpstream}
	}
	moved = moved && u.Key != except
	if moved {
		e.stats.Moved++
	}
	e.stats.Opened++
	e.health.of(u.Key).opened(now)
	if len(e.flows) < e.cfg.MaxFlows {
		e.flows[p.Tuple] = &flow{key: u.Key, seen: now, opening: true}
	}
	return Action{Verdict: Forward, Upstream: u, Opened: true, Moved: moved, Ejected: ejected}
}

// follow forwards a packet of an open flow to the upstream that its cookie names.
func (e *Engine) follow(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet) Action {
	u := t.Upstream(p.Cookie)
	if u == nil {
		return e.unknown(now, t, p)
	}
	// A caller can write any cookie; one of another service must not bring its packets there.
	if !r.Had(u.Service) {
		return Action{Reason: stoatpacket.DropForged}
	}
	a := e.track(now, u, p)
	if p.Reset {
		return a
	}
	if u.Standing == stoatroute.Gone {
		e.forget(p.Tuple)
		return Action{Verdict: Reset, Upstream: u, Reason: stoatpacket.DropGone}
	}
	return a
}

// unknown handles a cookie of which this entry never heard. Its upstream may be younger
// than this entry's view; only an answer to a question that was sent after the packet came
// proves that it is gone. Until then the caller repeats itself, and a reset would break a
// flow that is alive.
func (e *Engine) unknown(now time.Time, t *stoatroute.Table, p *stoatpacket.Packet) Action {
	w, waits := e.unproven[p.Cookie]
	if !waits {
		if len(e.unproven) < maxUnproven {
			e.unproven[p.Cookie] = unproven{since: now}
		}
		return Action{Reason: stoatpacket.DropUnproven}
	}
	if !t.Proven.After(w.since) || p.Reset {
		return Action{Reason: stoatpacket.DropUnproven}
	}
	return Action{Verdict: Reset, Reason: stoatpacket.DropGone}
}

// maxUnproven bounds the cookies that are waited for: a flood of forged ones must not fill the memory.
const maxUnproven = 4096

// Doubts tells whether a cookie waits for an answer that was asked for after t.Proven.
func (e *Engine) Doubts(t *stoatroute.Table) bool {
	for _, w := range e.unproven {
		if w.since.After(t.Proven) {
			return true
		}
	}
	return false
}
