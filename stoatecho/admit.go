package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Admission control: new flows are refused where their requests would be answered late.
//
// In a burst of twice the usual traffic or more, while some upstreams are slow or lost, upstreams queue a dozen
// requests each and reject the rest. All of them work at full speed, but nearly every answer is late because of
// the queue, and rejected callers come back at once and keep it full. Requests on open flows cannot be refused
// here, but new flows can. An opening whose request would wait so long that it is late, and make the next ones
// late, is refused at once, before any of it has run.
//
// The queue is the limit: with a short one the same number of requests is answered, but in time. So the bounds are
// on the mean answer time, and as low as they can be without leaving upstreams idle.
//
// The right length of the queue depends on the overload. In a slight overload, a queue that is short compared
// with the objective harms no caller, and each refusal is a request that would have been answered. In a heavy
// overload, the queue grows between two answers by more than its permitted length, so it has to be kept short.
// The share of openings that were refused shows which of the two it is.
const (
	// admitShare is the share of a route's latency objective that a mean answer may take for one more flow to be
	// admitted, while few are refused. The rest allows for the spread around the mean.
	admitShare = 0.5
	// The share falls linearly as more openings are refused: to overloadAdmitShare, once overloadRefusedShare
	// of them are.
	overloadAdmitShare   = 0.3
	overloadRefusedShare = 0.25
	// urgentShare and overloadUrgentShare are the same for a route that is more urgent than another one with recent
	// traffic to the same group. They are higher, so that in an overload mostly openings of the less urgent route are
	// refused. Both are near the objective, since an answer within it is in time, and urgent openings are refused in
	// favour of nobody.
	urgentShare         = 0.85
	overloadUrgentShare = 0.80
	// admitFloorFactor is the factor on the answer time without a queue up to which flows are admitted whatever
	// the objective. It keeps requests whose work alone takes most of the objective from being refused, and
	// upstreams from idling. It covers kinds of requests that take three fifths longer than others.
	admitFloorFactor = 1.6
	// floorGrowth is the factor by which the answer time without a queue may rise with each answer, so that it
	// follows work that takes longer: by half in 800 answers.
	floorGrowth = 1.0005
	// maxGroupWeight is the greatest weight of the mean of the group beside the upstream's own answers, each of
	// which has a weight of one while it is new. One of nine entries sees ten answers of an upstream within
	// answerDecay, and relies on those.
	//
	// The group counts because an entry mostly has nothing in progress at an upstream. If that alone were taken
	// for an empty queue, the bounds on the answer time would have no effect.
	maxGroupWeight = 2
	// minAnswerWeight is the number of recent answers of a group without which no flow is refused. A single one
	// says little: a packet that was lost and retransmitted 0.2 s later looks like a queue.
	minAnswerWeight = 2
	// minAnswerScale bounds how much sooner an upstream is expected to answer because this entry has fewer
	// requests than usual in progress there, since most of its queue is from other entries. More than usual
	// counts in full: the mean lags behind by the length of the queue, but what this entry has sent since then
	// is known.
	//
	// Without the bound, all entries admit flows until the mean exceeds the bound, by when the queue is twice as
	// long, and then all refuse them until it is empty.
	minAnswerScale = 0.9
)

// expectedAnswer returns how long an answer of the upstream would take now, or 0 if this entry cannot tell, as
// after a start; then flows are admitted and provide the first samples.
//
// Without the conditions on recent answers and on requests in progress, an idle upstream can be taken for a full
// one: in a data centre with one upstream of a service left, a lost packet made one answer take 0.2 s, and all
// new flows were refused for a second with nothing in progress.
func expectedAnswer(now time.Time, h *health) time.Duration {
	own, others := h.recentAnswers.weightAt(now), h.group.recentAnswers.weightAt(now)
	if others < minAnswerWeight || h.group.inProgress == 0 {
		return 0
	}
	others = min(maxGroupWeight, others)
	mean := (own*float64(h.recentAnswers.mean) + others*float64(h.group.recentAnswers.mean)) / (own + others)
	if h.concurrency == 0 {
		// This entry has had no answer of the upstream yet: it is assumed to be as full as the rest of its group.
		return time.Duration(mean)
	}
	return time.Duration(mean * max(minAnswerScale, float64(h.pendingRequests+h.pendingOpenings)/h.concurrency))
}

// admits reports whether the upstream may get one more flow of the route.
func admits(now time.Time, h *health, r *stoatroute.Route) bool {
	return r.TargetLatency == 0 || expectedAnswer(now, h) <= admitBound(h, r)
}

// admitBound returns the greatest expected answer time with which one more flow of the route is admitted.
func admitBound(h *health, r *stoatroute.Route) time.Duration {
	most, least := admitShare, overloadAdmitShare
	if h.group.limiter.HasPrecedence(r.Priority) {
		most, least = urgentShare, overloadUrgentShare
	}
	share := most - (most-least)*min(1, h.group.refusedShare/overloadRefusedShare)
	return max(time.Duration(share*float64(r.TargetLatency)), time.Duration(admitFloorFactor*float64(unqueuedAnswer(h))))
}

// unqueuedAnswer returns how long an answer takes without a queue. The upstream's own floor may be too high,
// since an entry that sees few of its answers may have learned it during an overload, when all were late; then
// the floor of the group is used.
func unqueuedAnswer(h *health) time.Duration {
	own, group := h.answerTimes.floor, h.group.answerTimes.floor
	if own == 0 || float64(own) > admitFloorFactor*float64(group) {
		return group
	}
	return own
}
