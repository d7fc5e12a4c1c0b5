package stoatecho

import "github.com/stoatpaddle/stoatpaddle/stoatroute"

// Where upstreams turn requests away, openings of less urgent routes give way to the others. Requests on open
// flows cannot be refused, so that the upstreams stay as busy; without it, who finds a queue full decides who is
// served. An opening that is refused has not run, and its caller may come back.
const (
	// yieldFrom and yieldAll are the shares of answers that are refusals from which some and at which all openings
	// of a less urgent route give way. Below the first, a caller with three tries fails once in three hundred; at
	// the second, one in sixteen of the urgent ones does.
	yieldFrom, yieldAll = 0.15, 0.40
	// turnedAwayWeight is the weight of the newest answer in the share of refusals: an entry that hears fifty
	// answers a second of a service follows the load within half a second.
	turnedAwayWeight = 1.0 / 24
)

// replied takes in whether an answer was a refusal.
func (g *group) replied(refused bool) {
	x := 0.0
	if refused {
		x = 1
	}
	g.turnedAway += turnedAwayWeight * (x - g.turnedAway)
}

// yields tells whether an opening of the route gives way.
func (e *Engine) yields(r *stoatroute.Route, g *group) bool {
	if !r.Yields {
		return false
	}
	part := g.yield()
	return part > 0 && e.rnd.Float64() < part
}

// yield is the part of a less urgent route's openings that give way.
func (g *group) yield() float64 {
	return min(1, max(0, (g.turnedAway-yieldFrom)/(yieldAll-yieldFrom)))
}
