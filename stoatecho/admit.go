package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// The load: a burst of twice the usual, or more, while a part of the upstreams is slow or
// lost. Upstreams queue a dozen requests and turn the rest away, so that each of them
// works at full speed, and nearly every answer is late by the queue; those turned away
// come back at once and keep it full. Requests on open flows cannot be refused here, new
// flows can: where one would wait so long that it is late, and make the next ones late,
// its caller is told at once, before anything ran.
//
// The queue is what limits: the same number of requests is answered with a short one, but in
// time. So the bounds are on the mean answer time, and as low as keeps upstreams at work.
//
// How much queue is right depends on how far the load is over what the upstreams can do. A little
// over, a queue that is short of the objective costs no caller anything, and each refusal is a
// request that would have been answered. Far over, the queue grows between two answers by more
// than it should be long, so it has to be kept short. The share of openings that were refused
// tells which it is.
const (
	// admitShare is the part of a route's objective that an answer may take, as a mean, for one
	// more flow to be admitted, while few are refused; what is left covers the spread around the mean.
	admitShare = 0.5
	// admitLeast is the same once refusedMost of the openings are refused.
	admitLeast  = 0.3
	refusedMost = 0.25
	// urgentShare and urgentLeast are the same for a route that is more urgent than another one to
	// the same service: at 0.5 one in twelve of its requests was refused, at 0.65 one in forty.
	urgentShare = 0.75
	urgentLeast = 0.65
	// admitBase keeps requests whose work alone takes most of the objective from being refused
	// for it, and upstreams from standing idle: three in five more than without a queue, which is
	// how much longer some kinds of requests take than others.
	admitBase = 1.6
	// baseGrowth lets the base follow work that becomes longer: by half in 800 requests.
	baseGrowth = 1.0005
	// groupWeight is how many answers of an upstream its group's mean counts for: one of nine
	// entries sees ten answers of an upstream in answerAge, and goes by them.
	//
	// The failure without it: an entry has nothing in progress at most upstreams at most moments.
	// While that alone was taken for an empty queue, lower bounds changed nothing.
	groupWeight = 2
	// refuseLeast is how many answers of late it takes to refuse anyone. One alone says little: a
	// packet that was lost and came again 0.2 s later looks like a queue.
	refuseLeast = 2
	// leastScale bounds by how much an upstream with less in progress from here than usual is
	// expected to answer sooner: most of its queue is other entries'. More in progress counts in
	// full: the mean lags by a queue's length, and what this entry has sent since is known.
	//
	// The failure without it: all entries admit until the mean is over the bound, by then the
	// queue is twice as long, and all refuse until it is empty.
	leastScale = 0.9
)

// expectedAnswer is how long an answer of the upstream takes now, as far as this entry can
// tell; 0: it cannot, and flows have to find out, as after a start.
//
// The failure without these conditions: a data centre has one upstream of a service left, and one
// request of it took 0.2 s since a packet was lost. For a second all new flows were refused there,
// with nothing in progress.
func expectedAnswer(now time.Time, h *health) time.Duration {
	own, others := h.recent.weightAt(now), h.group.answers.weightAt(now)
	if others < refuseLeast || h.group.inProgress == 0 {
		return 0
	}
	others = min(groupWeight, others)
	mean := (own*float64(h.recent.mean) + others*float64(h.group.answers.mean)) / (own + others)
	if h.beside == 0 {
		// This entry had no answer of it yet: it is as full as its like.
		return time.Duration(mean)
	}
	return time.Duration(mean * max(leastScale, float64(h.busy+h.opening)/h.beside))
}

// admits tells whether the upstream may get one more flow of the route.
func admits(now time.Time, h *health, r *stoatroute.Route) bool {
	return r.Objective == 0 || expectedAnswer(now, h) <= admitBound(h, r)
}

// admitBound is what an answer may take for one more flow of the route to be admitted.
func admitBound(h *health, r *stoatroute.Route) time.Duration {
	most, least := admitShare, admitLeast
	if r.HasPrecedence {
		most, least = urgentShare, urgentLeast
	}
	share := most - (most-least)*min(1, h.group.refused/refusedMost)
	return max(time.Duration(share*float64(r.Objective)), time.Duration(admitBase*float64(leastBase(h))))
}

// leastBase is how long an answer takes without a queue. An upstream's own may have been learned in
// the overload: where an entry sees few of its answers, the first ones were late already.
func leastBase(h *health) time.Duration {
	own, group := h.usual.least, h.group.usual.least
	if own == 0 || float64(own) > admitBase*float64(group) {
		return group
	}
	return own
}
