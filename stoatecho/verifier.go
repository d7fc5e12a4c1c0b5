package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const (
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
