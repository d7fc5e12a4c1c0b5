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
	before := f.seen
	f.seen = now
	if f.opening {
		f.opening = false
		e.handshake.took(now.Sub(before))
		h.openingEnded()
		h.flows++
		e.heard(now, h)
		f.ack = p.Ack
	}
	if !f.asked.IsZero() && p.Ack != f.ack {
		if f.wasAway(p) {
			e.answeredElsewhere(now, h, f)
		} else {
			e.answered(now, r, u, h, f, p.Ack-f.ack, &a)
		}
	}
	if p.Ends {
		e.forget(p.Tuple)
		return a
	}
	if p.Size > 0 {
		e.data(now, before, h, f, p, &a)
	}
	return a
}

// heard notes a proof of life of an upstream, which is one of this entry's network too.
func (e *Engine) heard(now time.Time, h *health) {
	if !h.waitFrom.IsZero() || now.Before(h.preferOthers) || h.together {
		// Others wait for it, or go by what this entry said.
		e.observed = true
	}
	if h.suspected() {
		// It is back, and others may be.
		h.group.nextTrial = now
	}
	h.heard(now)
	h.group.silence.ended(now)
	e.sign = now
}

// answered takes in that the caller has an answer.
func (e *Engine) answered(now time.Time, r *stoatroute.Route, u *stoatroute.Upstream, h *health, f *flow, bytes uint32, a *Action) {
	took := now.Sub(f.asked)
	h.requestEnded()
	switch {
	case e.turnedAway(r, h, took, bytes):
		h.refused(now)
		h.group.replied(true)
		h.full.replied(now, true)
		e.stats.Rejected++
	default:
		h.group.replied(false)
		h.full.replied(now, false)
		h.answered(now, took, f.beside)
		// One that has just started is slow without a queue.
		if !now.Before(u.WarmAt) {
			h.recent.add(now, took)
			h.group.answered(now, took)
		}
	}
	e.heard(now, h)
	f.asked = time.Time{}
	e.stats.Answered++
	a.AnswerTime, a.InProgress = took, h.busy
	if r.Objective > 0 && took > r.Objective {
		e.stats.Late++
		a.Late = true
	}
}

// wasAway tells whether the caller sent data on the flow that this entry did not see: its packets went to
// another entry for a while, as happens to most when one joins or leaves. An end of the flow that was lost on
// the way here takes one number, and is no data.
func (f *flow) wasAway(p *stoatpacket.Packet) bool { return int32(p.Seq-f.end) > 1 }

// answeredElsewhere takes in that another entry saw the answer to the request that was noted here, at a
// time that is not known.
//
// The failure: entries are replaced in turn, flows come back after 1.5 s, and that time counted as an
// answer's. Two of them were a queue, and openings were refused at upstreams with nothing in progress.
func (e *Engine) answeredElsewhere(now time.Time, h *health, f *flow) {
	h.requestEnded()
	e.heard(now, h)
	f.asked = time.Time{}
	e.stats.AnsweredElsewhere++
}

// adopt remembers a flow that another entry placed.
func (e *Engine) adopt(now time.Time, u *stoatroute.Upstream, p *stoatpacket.Packet) *flow {
	if len(e.flows) >= e.cfg.MaxFlows || p.Ends {
		return nil
	}
	e.flowsMoved(now)
	f := &flow{key: u.Key, seen: now, ack: p.Ack}
	e.flows[p.Tuple] = f
	e.healthOf(u).flows++
	return f
}

// data takes in a packet that carries a request, or a part of one; before is when the
// flow's last packet came.
func (e *Engine) data(now, before time.Time, h *health, f *flow, p *stoatpacket.Packet, a *Action) {
	if int32(p.Seq-f.seq) > 0 || f.asked.IsZero() {
		f.end = p.Seq + uint32(p.Size)
	}
	if f.asked.IsZero() {
		f.asked, f.ack, f.seq, f.repeats = now, p.Ack, p.Seq, 0
		f.progress = now
		h.asked(now)
		f.beside = h.busy + h.opening
		e.await(now, p.Tuple, f)
		e.owe(now, p.Tuple, f)
		return
	}
	if int32(p.Seq-f.seq) > 0 {
		f.seq, f.repeats, f.progress = p.Seq, 0, now
		return
	}
	if now.Sub(before) < repeatLeast {
		return
	}
	f.repeats++
	a.Retransmissions = f.repeats
	e.waits(now, h, f.progress)
	e.suspect(now, a.Upstream, h, a)
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
	if !f.asked.IsZero() {
		h.requestEnded()
	}
	delete(e.flows, t)
}

const sweepEvery = time.Second

// sweep forgets flows that ended elsewhere, for their later packets reached other entries,
// and cookies that nobody sends any more.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.swept) < sweepEvery {
		return
	}
	e.swept = now
	for t, f := range e.flows {
		if now.Sub(f.seen) > idleKept {
			e.forget(t)
		}
	}
	e.forgetCallers()
	e.forgetIdle(now)
	for k, since := range e.unproven {
		if now.Sub(since) > idleKept {
			delete(e.unproven, k)
		}
	}
}

// healthKept is how long is remembered what this entry saw of an upstream with nothing in progress: longer than
// any backoff, and than an upstream may be cold after a start.
const healthKept = time.Minute

// forgetIdle forgets what was seen of upstreams long ago: before 8,000 of a service, an entry meets all of them
// within hours.
func (e *Engine) forgetIdle(now time.Time) {
	before := len(e.health)
	for k, h := range e.health {
		if h.met.IsZero() {
			h.met = now
		}
		if h.flows+h.opening+h.busy == 0 && now.Sub(h.latest()) > healthKept {
			delete(e.health, k)
			delete(e.unsettled, k)
		}
	}
	if len(e.health) < before {
		e.forgetGroups()
	}
}

// forgetCallers forgets callers whose last flow is forgotten.
func (e *Engine) forgetCallers() {
	for k, t := range e.last {
		if e.flows[t] == nil {
			delete(e.last, k)
		}
	}
}

// Retain forgets the health of upstreams that are not in the table any more, and of those that
// started again under the name that they had.
func (e *Engine) Retain(now time.Time, t *stoatroute.Table) {
	renewed := map[stoatpaddle.UpstreamKey]bool{}
	before := len(e.health)
	retain := func(k stoatpaddle.UpstreamKey) {
		h, u := e.health[k], t.Upstream(k)
		switch {
		case h == nil:
			delete(e.unsettled, k)
			return
		case u == nil:
			e.forgetHealth(k, h)
			return
		}
		delete(e.unsettled, k)
		life := stoatroute.IdentityOf(&u.Registration)
		if h.life.Same(life) {
			h.life = life
			return
		}
		h.group.inProgress -= h.opening + h.busy
		e.health[k] = e.newHealth(u)
		e.health[k].group.silence.ended(now)
		renewed[k] = true
	}
	t.EachChangedKey(e.retained, retain)
	for k := range e.unsettled {
		retain(k)
	}
	e.retained = t
	if len(renewed) > 0 {
		e.renew(now, renewed)
	}
	if len(renewed) > 0 || len(e.health) < before {
		e.forgetGroups()
	}
}

// forgetHealth forgets that of an upstream which is in the table no more, once nothing is in progress there.
func (e *Engine) forgetHealth(k stoatpaddle.UpstreamKey, h *health) {
	if h.flows+h.opening+h.busy == 0 {
		delete(e.health, k)
		delete(e.unsettled, k)
		return
	}
	e.unsettled[k] = true
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

// renew forgets the flows that were remembered at upstreams which started again.
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
func (e *Engine) renew(now time.Time, renewed map[stoatpaddle.UpstreamKey]bool) {
	for tuple, f := range e.flows {
		switch {
		case !renewed[f.key]:
		case f.opening:
			e.health[f.key].opened(now)
		default:
			delete(e.flows, tuple)
		}
	}
}
