package stoatecho

import (
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
	// fourteen of its requests was refused, at 0.65 one in forty.
	urgentShare = 0.65
	// admitBase keeps requests whose work alone takes most of the objective from being refused
	// for it, and upstreams from standing idle: two in five more than without a queue.
	admitBase = 1.4
	// baseGrowth lets the base follow work that becomes longer: by half in 800 requests.
	baseGrowth = 1.0005
	// admitFresh is how long an answer tells of an upstream's queue, which takes a quarter of a
	// second to empty. After it, its like are taken for it.
	//
	// The failure without it: an entry is one of nine, or of ninety, and has nothing in progress
	// at most upstreams at most moments. While that alone was taken for an empty queue, two in
	// three new flows were admitted whatever the bounds said.
	admitFresh = 200 * time.Millisecond
	// leastScale bounds by how much an upstream with less in progress from here than usual is
	// expected to answer sooner: most of its queue is other entries'. More in progress counts in
	// full: the mean lags by a queue's length, and what this entry has sent since is known.
	//
	// The failure without it: all entries admit until the mean is over the bound, by then the
	// queue is twice as long, and all refuse until it is empty.
	leastScale = 0.9
	// groupWeight is the share of the newest answer in the mean of a group.
	groupWeight = 0.1
)

// groupKey names the upstreams of one service in one data centre: they share a load.
type groupKey struct {
	service stoatpaddle.ServiceID
	centre  stoatpaddle.DataCentreID
}

func groupOf(u *stoatroute.Upstream) groupKey {
	return groupKey{service: u.Service, centre: u.DataCentre}
}

// group is how upstreams of one load answered this entry.
type group struct {
	mean time.Duration
	at   time.Time // of the latest answer
}

func (g *group) answered(now time.Time, took time.Duration) {
	g.at = now
	if g.mean == 0 {
		g.mean = took
		return
	}
	g.mean += time.Duration(groupWeight * float64(took-g.mean))
}

// expectedAnswer is how long an answer of the upstream takes now, as far as this entry can
// tell; 0: it cannot, and a flow has to find out.
func expectedAnswer(now time.Time, h *health, g group) time.Duration {
	waiting := h.busy + h.opening
	switch {
	case h.latency == 0:
		return 0
	case now.Sub(h.answer) <= admitFresh || waiting > 0:
		return time.Duration(float64(h.latency) * max(leastScale, float64(waiting)/h.beside))
	case now.Sub(g.at) <= admitFresh:
		return g.mean
	}
	// Nothing was asked of it or of its like for a while.
	return 0
}

// admits tells whether the upstream may get one more flow of the route.
func admits(now time.Time, h *health, g group, r *stoatroute.Route) bool {
	if r.Objective == 0 {
		return true
	}
	expected := expectedAnswer(now, h, g)
	if expected == 0 {
		// One flow at a time finds out.
		return h.busy+h.opening == 0
	}
	return expected <= admitBound(h, r)
}

// admitBound is what the upstream's mean answer may take for the route.
func admitBound(h *health, r *stoatroute.Route) time.Duration {
	share := admitShare
	if r.Urgent {
		share = urgentShare
	}
	return max(time.Duration(share*float64(r.Objective)), time.Duration(admitBase*float64(h.base)))
}
