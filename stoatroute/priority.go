package stoatroute

import (
	"slices"

	"github.com/stoatpaddle/stoatpaddle"
)

// priorities holds the most and the least urgent priority of the routes to each service; 0 is the most urgent.
type priorities map[stoatpaddle.ServiceID]struct{ most, least int }

// prioritiesOf returns the range of priorities for each service of the routes.
func prioritiesOf(routes []stoatpaddle.Route) priorities {
	out := priorities{}
	for _, r := range routes {
		for _, b := range r.Backends {
			p, known := out[b.Service]
			if !known {
				p.most, p.least = r.Priority, r.Priority
			}
			p.most, p.least = min(p.most, r.Priority), max(p.least, r.Priority)
			out[b.Service] = p
		}
	}
	return out
}

// hasPrecedence reports whether a less urgent route shares a service with r.
func (p priorities) hasPrecedence(r *stoatpaddle.Route) bool {
	return slices.ContainsFunc(r.Backends, func(b stoatpaddle.Backend) bool { return r.Priority < p[b.Service].least })
}

// yields reports whether a more urgent route shares a service with r.
func (p priorities) yields(r *stoatpaddle.Route) bool {
	return slices.ContainsFunc(r.Backends, func(b stoatpaddle.Backend) bool { return r.Priority > p[b.Service].most })
}
