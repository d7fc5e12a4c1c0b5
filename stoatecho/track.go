package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// track updates what is known of a flow and its upstream.
//
// A request begins with data and ends when the caller acknowledges something new, since an upstream's answers do
// not pass through the entry.
func (e *Engine) track(now time.Time, r *stoatroute.Route, u *stoatroute.Upstream, p *stoatpacket.Packet) Action {
	a := Action{Verdict: Forward, Upstream: u}
	f, h := e.flows[p.Tuple], e.healthOf(u)
	if f == nil || f.key != u.Key {
		e.forget(p.Tuple)
		if f = e.adopt(now, u, p); f == nil {
			return a
		}
	}
	before := f.lastSeen
	f.lastSeen = now
	if f.opening {
		f.opening = false
		e.handshake.add(now.Sub(before))
		h.openingEnded()
		h.flows++
		e.noteAlive(now, h)
		f.requestAck = p.Ack
	}
	if !f.requestStart.IsZero() && p.Ack != f.requestAck {
		if f.skippedData(p) {
			e.answeredElsewhere(now, h, f)
		} else {
			e.answered(now, r, u, h, f, p.Ack-f.requestAck, &a)
		}
	}
	if p.Ends {
		e.forget(p.Tuple)
		return a
	}
	if p.Size > 0 {
		e.noteData(now, before, h, f, p, &a)
	}
	return a
}

// noteAlive records a sign of life of an upstream, which also shows that this entry's network works.
func (e *Engine) noteAlive(now time.Time, h *health) {
	if !h.unansweredSince.IsZero() || now.Before(h.deprioritizedUntil) || h.jointlyEjected {
		// Other entries wait for the upstream as well, or act on what this entry reported.
		e.reportChanged = true
	}
	if h.suspected() {
		// The upstream is alive again, and other suspected ones may be.
		h.group.nextTrial = now
	}
	h.noteAlive(now)
	h.group.silence.reset(now)
	e.lastAlive = now
}

// answered records that the caller has received an answer.
func (e *Engine) answered(now time.Time, r *stoatroute.Route, u *stoatroute.Upstream, h *health, f *flow, bytes uint32, a *Action) {
	took := now.Sub(f.requestStart)
	h.requestEnded()
	rejected := e.isRejection(r, h, took, bytes)
	if f.firstRequest {
		h.group.limiter.FirstRequest(now, rejected)
	}
	switch {
	case rejected:
		h.noteRejection(now)
		h.group.limiter.Rejected(now)
		h.saturation.noteAnswer(now, true)
		e.stats.Rejected++
	default:
		h.saturation.noteAnswer(now, false)
		h.answered(now, took, f.concurrency)
		// A cold upstream is slow without a queue.
		cold := now.Before(u.WarmAt)
		if !cold {
			h.recentAnswers.add(now, took)
			h.group.answered(now, took)
		}
		h.group.noteAnswer(now, took, cold)
	}
	e.noteAlive(now, h)
	f.requestStart, f.firstRequest = time.Time{}, false
	e.stats.Answered++
	a.AnswerTime, a.InProgress = took, h.pendingRequests
	if r.TargetLatency > 0 && took > r.TargetLatency {
		e.stats.Late++
		a.Late = true
	}
}

// skippedData reports whether the caller has sent data that this entry did not see, since its packets went to
// another entry for a while; this happens to most flows when an entry joins or leaves. A FIN that was lost on the
// way here takes up one sequence number and is not data.
func (f *flow) skippedData(p *stoatpacket.Packet) bool { return int32(p.Seq-f.nextSeq) > 1 }

// answeredElsewhere records that another entry saw the answer to the request that began here, at an unknown time.
//
// When entries are replaced one after another, flows come back after 1.5 s. Counted as answer times, these delays
// look like a queue: two such flows were enough for openings to be refused at upstreams with nothing in progress.
func (e *Engine) answeredElsewhere(now time.Time, h *health, f *flow) {
	h.requestEnded()
	e.noteAlive(now, h)
	f.requestStart, f.firstRequest = time.Time{}, false
	e.stats.AnsweredElsewhere++
}

// adopt remembers a flow that another entry placed.
func (e *Engine) adopt(now time.Time, u *stoatroute.Upstream, p *stoatpacket.Packet) *flow {
	if len(e.flows) >= e.cfg.MaxFlows || p.Ends {
		return nil
	}
	e.noteAdoption(now)
	f := &flow{key: u.Key, lastSeen: now, requestAck: p.Ack}
	e.flows[p.Tuple] = f
	e.healthOf(u).flows++
	return f
}

// noteData records a packet that carries a request or a part of one; before is when the previous packet of the
// flow came.
func (e *Engine) noteData(now, before time.Time, h *health, f *flow, p *stoatpacket.Packet, a *Action) {
	if int32(p.Seq-f.seq) > 0 || f.requestStart.IsZero() {
		f.nextSeq = p.Seq + uint32(p.Size)
	}
	if f.requestStart.IsZero() {
		f.requestStart, f.requestAck, f.seq, f.retransmissions = now, p.Ack, p.Seq, 0
		f.lastProgress = now
		h.requestStarted(now)
		f.concurrency = h.pendingRequests + h.pendingOpenings
		e.startRequestTimeout(now, p.Tuple, f)
		e.startFailureTimeout(now, p.Tuple, f)
		return
	}
	if int32(p.Seq-f.seq) > 0 {
		f.seq, f.retransmissions, f.lastProgress = p.Seq, 0, now
		return
	}
	if now.Sub(before) < minRetransmitInterval {
		return
	}
	f.retransmissions++
	a.Retransmissions = f.retransmissions
	e.noteUnanswered(now, h, f.lastProgress)
	e.noteRetransmission(now, a.Upstream, h, a)
}

// forget removes a flow and its share in the counts of its upstream.
func (e *Engine) forget(t stoatpacket.Tuple) {
	f := e.flows[t]
	if f == nil {
		return
	}
	h := e.health[f.key]
	if f.opening {
		h.openingEnded()
	} else {
		h.flows--
	}
	if !f.requestStart.IsZero() {
		h.requestEnded()
	}
	delete(e.flows, t)
}

const sweepInterval = time.Second

// sweep forgets flows without recent packets, whose later packets reached other entries.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.lastSweep) < sweepInterval {
		return
	}
	e.lastSweep = now
	for t, f := range e.flows {
		if now.Sub(f.lastSeen) > flowIdleTimeout {
			e.forget(t)
		}
	}
	e.forgetCallers()
	e.forgetIdle(now)
}

// healthIdleTimeout is how long an entry remembers an upstream with nothing in progress: longer than any backoff,
// and than an upstream may be cold after a start.
const healthIdleTimeout = time.Minute

// forgetIdle forgets upstreams that were last seen long ago. Of a service with 8,000 upstreams, an entry sees each
// within hours.
func (e *Engine) forgetIdle(now time.Time) {
	before := len(e.health)
	for k, h := range e.health {
		if h.firstSwept.IsZero() {
			h.firstSwept = now
		}
		if h.flows+h.pendingOpenings+h.pendingRequests == 0 && now.Sub(h.latest()) > healthIdleTimeout {
			delete(e.health, k)
			delete(e.recheck, k)
		}
	}
	if len(e.health) < before {
		e.forgetGroups()
	}
}

// forgetCallers forgets callers whose last flow is forgotten.
func (e *Engine) forgetCallers() {
	for k, t := range e.lastOpenings {
		if e.flows[t] == nil {
			delete(e.lastOpenings, k)
		}
	}
}

// Retain forgets the health of upstreams that are no longer in the table, and of those that restarted under the
// same id.
func (e *Engine) Retain(now time.Time, t *stoatroute.Table) {
	restarted := map[stoatpaddle.UpstreamKey]bool{}
	before := len(e.health)
	retain := func(k stoatpaddle.UpstreamKey) {
		h, u := e.health[k], t.Upstream(k)
		switch {
		case h == nil:
			delete(e.recheck, k)
			return
		case u == nil:
			e.forgetHealth(k, h)
			return
		}
		delete(e.recheck, k)
		identity := stoatroute.IdentityOf(&u.Registration)
		if h.identity.Same(identity) {
			h.identity = identity
			return
		}
		h.group.inProgress -= h.pendingOpenings + h.pendingRequests
		e.health[k] = e.newHealth(u)
		e.health[k].group.silence.reset(now)
		restarted[k] = true
	}
	t.EachChangedKey(e.retainedTable, retain)
	for k := range e.recheck {
		retain(k)
	}
	e.retainedTable = t
	if len(restarted) > 0 {
		e.forgetRestarted(now, restarted)
	}
	if len(restarted) > 0 || len(e.health) < before {
		e.forgetGroups()
	}
}

// forgetHealth forgets the health of an upstream that is no longer in the table, unless something is in progress
// there; then it is checked again with the next table.
func (e *Engine) forgetHealth(k stoatpaddle.UpstreamKey, h *health) {
	if h.flows+h.pendingOpenings+h.pendingRequests == 0 {
		delete(e.health, k)
		delete(e.recheck, k)
		return
	}
	e.recheck[k] = true
}

// forgetGroups forgets the groups without any known upstream.
func (e *Engine) forgetGroups() {
	used := make(map[*group]bool, len(e.groups))
	for _, h := range e.health {
		used[h.group] = true
	}
	for k, g := range e.groups {
		if !used[g] {
			delete(e.groups, k)
			delete(e.limited, k)
		}
	}
	e.dropDeciders()
}

// forgetRestarted forgets the flows that were remembered at upstreams which restarted.
//
// When an upstream crashes with thirty requests in progress and restarts, these would make it look full and silent
// for a second. Its late answers while it is cold would be evidence against it, and it would be ejected although
// it is alive.
//
// Whether a flow opened before or after the restart is not known here: the upstream may have started long
// before its new registration arrived, and the cookie is the same. So no flow is reset because of the restart.
// Its packets still go to the upstream, which resets the flows that it does not know, with the caller's next
// retransmission: the first one comes 0.2 s after the request. After such a reset a caller does not resend a
// request that must not run twice, since its flow had opened and nobody can tell whether the request ran.
//
// Openings are kept: they wait for an answer of the restarted upstream.
func (e *Engine) forgetRestarted(now time.Time, restarted map[stoatpaddle.UpstreamKey]bool) {
	for tuple, f := range e.flows {
		switch {
		case !restarted[f.key]:
		case f.opening:
			e.health[f.key].openingStarted(now)
		default:
			delete(e.flows, tuple)
		}
	}
}
