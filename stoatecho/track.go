package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// track updates what is known of the flow and its upstream.
//
// A request begins with data and ends when the caller acknowledges something new: an
// upstream's answers do not pass here.
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

// noteAlive notes a proof of life of an upstream, which is one of this entry's network too.
func (e *Engine) noteAlive(now time.Time, h *health) {
	if !h.unansweredSince.IsZero() || now.Before(h.deprioritizedUntil) || h.jointlyEjected {
		// Others wait for it, or go by what this entry said.
		e.reportChanged = true
	}
	if h.suspected() {
		// It is back, and others may be.
		h.group.nextTrial = now
	}
	h.noteAlive(now)
	h.group.silence.reset(now)
	e.lastAlive = now
}

// answered takes in that the caller has an answer.
func (e *Engine) answered(now time.Time, r *stoatroute.Route, u *stoatroute.Upstream, h *health, f *flow, bytes uint32, a *Action) {
	took := now.Sub(f.requestStart)
	h.requestEnded()
	switch {
	case e.isRejection(r, h, took, bytes):
		h.noteRejection(now)
		h.group.noteAnswer(true)
		h.saturation.noteAnswer(now, true)
		e.stats.TurnedAway++
	default:
		h.group.noteAnswer(false)
		h.saturation.noteAnswer(now, false)
		h.answered(now, took, f.concurrency)
		// One that has just started is slow without a queue.
		if !now.Before(u.Warm) {
			h.recentAnswers.add(now, took)
			h.group.answered(now, took)
		}
	}
	e.noteAlive(now, h)
	f.requestStart = time.Time{}
	e.stats.Answered++
	a.Took, a.Busy = took, h.pendingRequests
	if r.Objective > 0 && took > r.Objective {
		e.stats.Late++
		a.Late = true
	}
}

// skippedData tells whether the caller sent data on the flow that this entry did not see: its packets went to
// another entry for a while, as happens to most when one joins or leaves. An end of the flow that was lost on
// the way here takes one number, and is no data.
func (f *flow) skippedData(p *stoatpacket.Packet) bool { return int32(p.Seq-f.nextSeq) > 1 }

// answeredElsewhere takes in that another entry saw the answer to the request that was noted here, at a
// time that is not known.
//
// The failure: entries are replaced in turn, flows come back after 1.5 s, and that time counted as an
// answer's. Two of them were a queue, and openings were refused at upstreams with nothing in progress.
func (e *Engine) answeredElsewhere(now time.Time, h *health, f *flow) {
	h.requestEnded()
	e.noteAlive(now, h)
	f.requestStart = time.Time{}
	e.stats.Elsewhere++
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

// noteData takes in a packet that carries a request, or a part of one; before is when the
// flow's last packet came.
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
	a.Repeats = f.retransmissions
	e.noteUnanswered(now, h, f.lastProgress)
	e.noteRetransmission(now, a.Upstream, h, a)
}

// forget takes a flow out of the table and its upstream's counts.
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

// sweep forgets flows that ended elsewhere, for their later packets reached other entries,
// and cookies that nobody sends any more.
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
	for k, since := range e.unprovenCookies {
		if now.Sub(since) > flowIdleTimeout {
			delete(e.unprovenCookies, k)
		}
	}
}

// healthIdleTimeout is how long is remembered what this entry saw of an upstream with nothing in progress: longer than
// any backoff, and than an upstream may be cold after a start.
const healthIdleTimeout = time.Minute

// forgetIdle forgets what was seen of upstreams long ago: before 8,000 of a service, an entry meets all of them
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

// Retain forgets the health of upstreams that are not in the table any more, and of those that
// started again under the name that they had.
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
		life := stoatroute.LifeOf(&u.Registration)
		if h.life.Same(life) {
			h.life = life
			return
		}
		h.group.inProgress -= h.pendingOpenings + h.pendingRequests
		e.health[k] = e.newHealth(u)
		e.health[k].group.silence.reset(now)
		restarted[k] = true
	}
	t.Differing(e.retainedTable, retain)
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

// forgetHealth forgets that of an upstream which is in the table no more, once nothing is in progress there.
func (e *Engine) forgetHealth(k stoatpaddle.UpstreamKey, h *health) {
	if h.flows+h.pendingOpenings+h.pendingRequests == 0 {
		delete(e.health, k)
		delete(e.recheck, k)
		return
	}
	e.recheck[k] = true
}

// forgetGroups forgets the groups of which no upstream is left.
func (e *Engine) forgetGroups() {
	used := make(map[*group]bool, len(e.groups))
	for _, h := range e.health {
		used[h.group] = true
	}
	for k, g := range e.groups {
		if !used[g] {
			delete(e.groups, k)
		}
	}
}

// forgetRestarted forgets the flows that were remembered at upstreams which started again.
//
// The failure: an upstream crashes with thirty requests in progress and starts again. Counted
// on, they would make it look full and silent for a second, and what it answers late since it
// is cold would be evidence against it: it would be ejected although it lives.
//
// Which life a flow opened at is not known here: the upstream may have started long before its
// registration arrived, and the cookie is the same. So no flow is reset for the restart. Its
// packets go on to the upstream, which resets what it does not hold: at the caller's next
// repeat, 0.2 s after its request at first. A request that may not repeat is not sent again by
// its caller then, since its flow had opened; whether it ran nobody can tell.
//
// Openings stay: they wait for an answer of whoever lives there now.
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
