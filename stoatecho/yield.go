package stoatecho

import "github.com/stoatpaddle/stoatpaddle/stoatroute"

// Priorities between routes: where upstreams reject requests, openings of less urgent routes are refused in
// favour of more urgent ones. Requests on open flows cannot be refused, so the upstreams stay as busy. Without
// the priorities, which requests are served would depend on which of them find a queue full. A refused opening
// has not run, and its caller may come back.
const (
	// yieldFrom is the share of rejections above which some openings of a less urgent route are refused, and
	// yieldAll the share at which all are. Below yieldFrom, a caller with three tries fails once in three
	// hundred; at yieldAll, one in sixteen of the urgent callers does.
	yieldFrom, yieldAll = 0.15, 0.40
	// rejectedWeight is the weight of the newest answer in the share of rejections: an entry that sees fifty
	// answers a second of a service follows the load within half a second.
	rejectedWeight = 1.0 / 24
)

// noteAnswer records whether an answer was a rejection.
func (g *group) noteAnswer(rejected bool) {
	sample := 0.0
	if rejected {
		sample = 1
	}
	g.rejectedShare += rejectedWeight * (sample - g.rejectedShare)
}

// yields reports whether an opening of the route is refused in favour of more urgent routes.
func (e *Engine) yields(r *stoatroute.Route, g *group) bool {
	if !r.Yields {
		return false
	}
	share := g.yieldShare()
	return share > 0 && e.rnd.Float64() < share
}

// yieldShare returns the share of a less urgent route's openings that are refused.
func (g *group) yieldShare() float64 {
	return min(1, max(0, (g.rejectedShare-yieldFrom)/(yieldAll-yieldFrom)))
}
