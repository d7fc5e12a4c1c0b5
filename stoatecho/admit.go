package stoatecho

import (
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
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
const (
	// admitShare is the part of a route's objective that an answer may take, as a mean, for one
	// more flow to be admitted.
	admitShare = 0.3
	// urgentShare is the same for a route that is more urgent than another one to the same
	// service. What is left of the objective covers the spread around the mean; at 0.5 one in
	// twelve of its requests was refused, at 0.65 one in forty.
	urgentShare = 0.65
	// admitBase keeps requests whose work alone takes most of the objective from being refused
	// for it, and upstreams from standing idle: three in five more than without a queue. At 1.4,
	// 18 openings of a quiet day were refused once, since some kinds of requests take longer than
	// others; at 1.6 four were.
	admitBase = 1.6
	// baseGrowth lets the base follow work that becomes longer: by half in 800 requests.
	baseGrowth = 1.0005
	// answerAge is the time in which an answer's weight in a recent mean fades to a third: about
	// what a queue takes to fill or to empty.
	answerAge = 250 * time.Millisecond
	// groupWeight is how many answers of an upstream its group's mean counts for: one of nine
	// entries sees ten answers of an upstream in answerAge, and goes by them.
	//
	// The failure without it: an entry has nothing in progress at most upstreams at most moments.
	// While that alone was taken for an empty queue, lower bounds changed nothing.
	groupWeight = 2
	// knownLeast is the weight below which nothing is known, as after a start.
	knownLeast = 0.5
	// leastScale bounds by how much an upstream with less in progress from here than usual is
	// expected to answer sooner: most of its queue is other entries'. More in progress counts in
	// full: the mean lags by a queue's length, and what this entry has sent since is known.
	//
	// The failure without it: all entries admit until the mean is over the bound, by then the
	// queue is twice as long, and all refuse until it is empty.
	leastScale = 0.9
)

// groupKey names the upstreams of one service in one data centre: they share a load.
type groupKey struct {
	service stoatpaddle.ServiceID
	centre  stoatpaddle.DataCentreID
}

// recent is a mean of answer times in which each one fades.
type recent struct {
	mean   time.Duration
	weight float64 // in answers, at the latest one
	at     time.Time
}

func (r *recent) weightAt(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(answerAge))
}

func (r *recent) add(now time.Time, took time.Duration) {
	before := r.weightAt(now)
	r.mean = time.Duration((float64(r.mean)*before + float64(took)) / (before + 1))
	r.weight, r.at = before+1, now
}

// expectedAnswer is how long an answer of the upstream takes now, as far as this entry can
// tell; 0: it cannot, and flows have to find out, as after a start.
func expectedAnswer(now time.Time, h *health) time.Duration {
	own, others := h.recent.weightAt(now), min(groupWeight, h.group.weightAt(now))
	if own+others < knownLeast || h.beside == 0 {
		return 0
	}
	mean := (own*float64(h.recent.mean) + others*float64(h.group.mean)) / (own + others)
	return time.Duration(mean * max(leastScale, float64(h.busy+h.opening)/h.beside))
}

// admits tells whether the upstream may get one more flow of the route.
func admits(now time.Time, h *health, r *stoatroute.Route) bool {
	return r.Objective == 0 || expectedAnswer(now, h) <= admitBound(h, r)
}

// admitBound is what an answer may take for one more flow of the route to be admitted.
func admitBound(h *health, r *stoatroute.Route) time.Duration {
	share := admitShare
	if r.Urgent {
		share = urgentShare
	}
	return max(time.Duration(share*float64(r.Objective)), time.Duration(admitBase*float64(h.base)))
}
