package stoatecho

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Final answers from a state that is as recent as any other entry's.
//
// Entries learn of changes at different moments. A route, an upstream or a restart that this entry has not heard of
// may be known to another entry, through which flows are open already. A reset from the older state would break
// them. Therefore an answer that ends a flow needs a read of the platform that began after the packet came, or
// after an earlier packet of the flow: until then the packet is held. A refusal ends no flow: an opening is held for
// a read of a replica, which costs a tenth.

// arrival says when a packet came.
type arrival struct {
	at      time.Time
	tracked bool // the flow and its upstream have taken account of the packet
}

// verified reports whether the table has the parts as of a time after the packet came.
func verified(t *stoatroute.Table, parts stoatroute.Parts, came arrival) bool {
	return t.AsOf(parts).After(came.at)
}

// established returns the flow of a packet that is known here to be open at the upstream of its cookie, or nil.
func (e *Engine) established(p *stoatpacket.Packet) *flow {
	if f := e.flows[p.Tuple]; f != nil && !f.opening && !p.Opens && f.key == p.Cookie {
		return f
	}
	return nil
}

// endVerified reports whether the platform has confirmed that the upstream of a packet is gone, after the packet came
// or after an earlier packet of its flow. The flow was open by then.
func (e *Engine) endVerified(t *stoatroute.Table, u *stoatroute.Upstream, p *stoatpacket.Packet, came arrival) bool {
	if u.State != stoatroute.Gone || verified(t, stoatroute.PartUpstreams, came) {
		return true
	}
	f, asOf := e.established(p), t.AsOf(stoatroute.PartUpstreams)
	return f != nil && !came.tracked && f.lastSeen.Before(asOf) && u.EndedAt.Before(asOf)
}

// partsFor returns the parts as they have to be read for a final answer to the packet.
func partsFor(p *stoatpacket.Packet, parts stoatroute.Parts) stoatroute.Parts {
	if p.Opens {
		return parts.OfReplica()
	}
	return parts
}

// hold returns the action for a packet that is answered once the parts of the state are verified. The reason is
// that of the final answer, unless the verification changes the decision.
func hold(a Action, reason stoatpacket.DropReason, parts stoatroute.Parts) Action {
	a.Verdict, a.Reason, a.Verify, a.Opened, a.Moved = Hold, reason, parts, false, false
	return a
}

// GiveUp returns the action for a packet whose verification takes too long or cannot begin soon. An opening is
// refused, which promises the caller only that nothing ran. A packet of an open flow is dropped without an answer,
// and its sender retransmits it.
func (e *Engine) GiveUp(p *stoatpacket.Packet, a Action) Action {
	a.Verify = 0
	if !p.Opens {
		a.Verdict, a.Reason = Drop, stoatpacket.DropUnverified
	} else if a.Verdict = Reset; a.Reason == stoatpacket.DropNoUpstream {
		e.stats.Refused++
	}
	e.count(&a)
	return a
}

// HandleHeld decides about a packet that was held until the state was verified, or until there was a table. An opening
// that is late is not placed: a copy of it may have opened the flow, here or through another entry.
func (e *Engine) HandleHeld(now time.Time, t *stoatroute.Table, h *HeldPacket) Action {
	if h.Packet.Opens && h.Action.Verify != 0 && h.Resolved(t) && e.isLate(now, h) {
		a := Action{Reason: stoatpacket.DropStale}
		e.count(&a)
		return a
	}
	return e.handle(now, t, &h.Packet, arrival{at: h.Since, tracked: h.Action.Upstream != nil && !h.Packet.Opens})
}

// isLate reports whether callers have sent a copy of a held opening, or are about to.
func (e *Engine) isLate(now time.Time, h *HeldPacket) bool {
	f := e.flows[h.Packet.Tuple]
	return now.Sub(h.Since) >= maxPlacementDelay || f != nil && f.lastSeen.After(h.Since)
}

// Resolved reports whether the table has what a held packet refers to, so that it need not be verified any more.
func (h *HeldPacket) Resolved(t *stoatroute.Table) bool {
	r := t.Route(h.Packet.Tuple.Dst)
	switch h.Action.Reason {
	case stoatpacket.DropNoRoute:
		return r != nil
	case stoatpacket.DropForged:
		u := t.Upstream(h.Packet.Cookie)
		return r != nil && u != nil && r.EverUsed(u.Service)
	case stoatpacket.DropUpstreamGone:
		u := t.Upstream(h.Packet.Cookie)
		return u != nil && u.State != stoatroute.Gone
	case stoatpacket.DropNoUpstream:
		return r != nil && slices.ContainsFunc(r.Backends, func(b stoatpaddle.Backend) bool { return len(t.Candidates(b.Service)) > 0 })
	}
	return false
}

const (
	// maxPlacementDelay is how long after its arrival an opening may be placed: callers send a copy after 0.2 s, which
	// may come through another entry, and the flow would be open twice.
	maxPlacementDelay = 150 * time.Millisecond
	// verificationBurst and verificationInterval limit the calls that packets cause, for each part of the state:
	// a flood of packets without a route, or with forged cookies, must not use up the platform's rate limits.
	verificationBurst    = 4
	verificationInterval = time.Second
	// replicaBurst and replicaInterval limit the reads of replicas, which only openings cause. Scanners open flows to
	// addresses without a route all the time.
	replicaBurst    = 2
	replicaInterval = 5 * time.Second
	// minVerificationGap is the shortest pause between two calls about one part: one call serves all packets that
	// came before it.
	minVerificationGap = 100 * time.Millisecond
	// maxOpeningWait is how soon the next call must be allowed for an opening to be held. Its caller is refused at once
	// while a flood uses up the calls.
	maxOpeningWait = minVerificationGap
	// verificationTimeout is how long an opening is held. Its caller can try again elsewhere.
	verificationTimeout = 500 * time.Millisecond
)

// tokenBucket limits how often something happens: burst times at once, and then once in each interval.
type tokenBucket struct {
	burst    float64
	interval time.Duration
	tokens   float64
	last     time.Time // when tokens was computed, by the last take; zero: the bucket is full
}

// tokensAt returns the tokens at a time.
func (b *tokenBucket) tokensAt(now time.Time) float64 {
	if b.last.IsZero() {
		return b.burst
	}
	return min(b.burst, b.tokens+now.Sub(b.last).Seconds()/b.interval.Seconds())
}

// wait returns how long it takes until there is a token.
func (b *tokenBucket) wait(now time.Time) time.Duration {
	return max(0, time.Duration((1-b.tokensAt(now))*float64(b.interval)))
}

func (b *tokenBucket) take(now time.Time) { b.tokens, b.last = b.tokensAt(now)-1, now }

// partWaiting is what waits for the verification of one part of the state.
type partWaiting struct {
	calls   tokenBucket
	packets int       // that are held
	newest  time.Time // when the last of them came
}

// wait returns how long it takes until a call is allowed.
func (x *partWaiting) wait(now time.Time) time.Duration {
	wait := x.calls.wait(now)
	if !x.calls.last.IsZero() {
		wait = max(wait, minVerificationGap-now.Sub(x.calls.last))
	}
	return wait
}

// Verifier holds packets until the state on which their answer depends is verified, and decides when to ask the
// platform. It is not safe for concurrent use.
type Verifier struct {
	held        HoldQueue
	parts       [stoatroute.PartCount]partWaiting
	unavailable bool // the platform does not answer
	watching    bool // this entry watches the platform itself
	// lastEnd is when the last upstream ended whose end has to be verified for flows that wait for its answers;
	// zero: there is none.
	lastEnd time.Time
}

// exactParts are the parts as the platform itself has them.
const exactParts = stoatroute.PartRoutes | stoatroute.PartUpstreams | stoatroute.PartEvacuations

// NewVerifier returns a Verifier that takes the platform for available, and not watched by this entry.
func NewVerifier() *Verifier {
	v := &Verifier{}
	for i := range v.parts {
		v.parts[i].calls = tokenBucket{burst: replicaBurst, interval: replicaInterval}
		if exactParts.Has(i) {
			v.parts[i].calls = tokenBucket{burst: verificationBurst, interval: verificationInterval}
		}
	}
	return v
}

// SetPlatform sets whether the platform answers, and whether this entry watches it: a watch shows changes as soon as a
// replica would, so that openings need no other read.
func (v *Verifier) SetPlatform(available, watching bool) {
	v.unavailable, v.watching = !available, watching
}

// SetLastEnd sets when the last of the upstreams ended whose end is not verified; see Engine.TakeOrphanedFlows.
func (v *Verifier) SetLastEnd(at time.Time) { v.lastEnd = at }

// Add holds a copy of the packet, which came at since, and reports whether it did. A packet of an open flow is held
// if there is room, and an opening only if its verification can begin soon or has begun with a copy of it.
func (v *Verifier) Add(now, since time.Time, p *stoatpacket.Packet, data []byte, a Action) bool {
	if p.Opens && !v.held.has(p) && (v.unavailable || v.watching || v.wait(now, a.Verify) > maxOpeningWait) {
		return false
	}
	if !v.held.add(since, p, data, a) {
		return false
	}
	v.count(since, a.Verify)
	return true
}

// wait returns how long it takes until calls about all the parts are allowed.
func (v *Verifier) wait(now time.Time, parts stoatroute.Parts) time.Duration {
	var wait time.Duration
	for i := range v.parts {
		if parts.Has(i) {
			wait = max(wait, v.parts[i].wait(now))
		}
	}
	return wait
}

// count counts a packet that is held.
func (v *Verifier) count(since time.Time, parts stoatroute.Parts) {
	for i := range v.parts {
		if x := &v.parts[i]; parts.Has(i) {
			x.packets++
			if since.After(x.newest) {
				x.newest = since
			}
		}
	}
}

// TakeRequests returns the parts of the state about which the platform is to be asked now, and counts the calls. A
// part that something waits for is asked about again if its last call began before the newest packet came, or has
// not been answered for verificationInterval.
func (v *Verifier) TakeRequests(now time.Time) stoatroute.Parts {
	var out stoatroute.Parts
	for i := range v.parts {
		x := &v.parts[i]
		newest, waits := x.newest, x.packets > 0
		if part := stoatroute.Parts(1 << i); part == stoatroute.PartUpstreams && !v.lastEnd.IsZero() {
			waits = true
			if v.lastEnd.After(newest) {
				newest = v.lastEnd
			}
		}
		due := waits && (newest.After(x.calls.last) || now.Sub(x.calls.last) >= verificationInterval)
		if due && x.wait(now) <= 0 {
			x.calls.take(now)
			out |= 1 << i
		}
	}
	return out
}

// TakeVerified removes and returns the packets whose answer the table verifies, or that it resolves, oldest first.
func (v *Verifier) TakeVerified(t *stoatroute.Table) []HeldPacket {
	return v.takeIf(func(h *HeldPacket) bool { return h.Resolved(t) || t.AsOf(h.Action.Verify).After(h.Since) })
}

// TakeExpired removes and returns the packets that have been held for too long.
func (v *Verifier) TakeExpired(now time.Time) []HeldPacket {
	return v.takeIf(func(h *HeldPacket) bool {
		age := now.Sub(h.Since)
		return age >= holdTimeout || h.Packet.Opens && (age >= verificationTimeout || v.unavailable)
	})
}

func (v *Verifier) takeIf(taken func(*HeldPacket) bool) []HeldPacket {
	out := v.held.takeIf(taken)
	if len(out) == 0 {
		return nil
	}
	for i := range v.parts {
		v.parts[i].packets, v.parts[i].newest = 0, time.Time{}
	}
	for i := range v.held.list {
		v.count(v.held.list[i].Since, v.held.list[i].Action.Verify)
	}
	return out
}

// Len returns the number of packets that are held.
func (v *Verifier) Len() int { return len(v.held.list) }
