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
	// rejectedWeight is the weight of the newest answer in the share of refusals: an entry that hears fifty
	// answers a second of a service follows the load within half a second.
	rejectedWeight = 1.0 / 24
)

// noteAnswer takes in whether an answer was a refusal.
func (g *group) noteAnswer(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	g.rejectedShare += rejectedWeight * (sample - g.rejectedShare)
}

// yields tells whether an opening of the route gives way.
func (e *Engine) yields(r *stoatroute.Route, g *group) bool {
	if !r.Yields {
		return false
	}
	share := g.yieldShare()
	return share > 0 && e.rnd.Float64() < share
}

// yieldShare is the part of a less urgent route's openings that give way.
func (g *group) yieldShare() float64 {
	return min(1, max(0, (g.rejectedShare-yieldFrom)/(yieldAll-yieldFrom)))
}
