package stoatroute

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// State is what is known about an upstream's registration.
type State uint8

// The standings of an upstream.
const (
	Serving State = iota
	Leaving       // takes no new flows; its open ones go on
	Missing       // its registration may have lapsed while the platform was away; goes on as before
	Gone          // proven to have ended; its flows cannot live
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"serving", "leaving", "missing", "gone"}[s] }

// Upstream is one life of a server. It never changes after the table that has it was made.
type Upstream struct {
	stoatpaddle.Registration
	Revision    stoatpaddle.Version // of its registration
	Key         stoatpaddle.UpstreamKey
	State       State
	MaxFlows    int       // flows it may hold; 0: not limited
	ColdRate    float64   // requests a second that it bears while it is cold; 0: not limited
	WarmAt      time.Time // when its slow start ends
	StartedCold bool      // it was cold when it was first heard of
	ChangeSeq   uint64    // the book's count of changes at its last one
	EndedAt     time.Time // Gone: since when
	RestartedAt time.Time // when it was heard of that it started again under its id; zero: it did not
}

// AcceptsFlows tells whether the upstream may take new flows.
func (u *Upstream) AcceptsFlows() bool {
	return u.State == Serving || u.State == Missing && !u.Leaving
}

// Route is where flows to one address go.
type Route struct {
	stoatpaddle.Route
	HasPrecedence bool                           // a less urgent route shares its service
	Yields        bool                           // a more urgent route shares its service
	ChangeSeq     uint64                         // the book's count of changes at its last one
	had           map[stoatpaddle.ServiceID]bool // services that it ever had here
}

// EverUsed tells whether the route has or had the service: flows that opened there go on.
func (r *Route) EverUsed(s stoatpaddle.ServiceID) bool { return r.had[s] }

// recall returns the route with the services that another version of it has or had: itself if it knew them.
func (r *Route) recall(other *stoatpaddle.Route) *Route {
	out := r
	add := func(s stoatpaddle.ServiceID) {
		if out.had[s] {
			return
		}
		if out == r {
			n := *r
			n.had = maps.Clone(r.had)
			out = &n
		}
		out.had[s] = true
	}
	for _, b := range other.Backends {
		add(b.Service)
	}
	for _, s := range other.Earlier {
		add(s)
	}
	return out
}

// FormerServices returns the services that the route had and has not any more, in order.
func (r *Route) FormerServices() []stoatpaddle.ServiceID {
	var out []stoatpaddle.ServiceID
	for s := range r.had {
		if !slices.ContainsFunc(r.Backends, func(b stoatpaddle.Backend) bool { return b.Service == s }) {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// Table is a snapshot that traffic reads; it never changes.
type Table struct {
	Declaration stoatpaddle.Declaration
	Revision    stoatpaddle.Version // of the declaration; 0: of an earlier era
	Era         stoatpaddle.Era     // of all revisions here; 0: not said
	// CompleteAsOf is when the question was sent whose answer last proved the upstreams up to
	// date: whatever is not in the table did not exist then.
	CompleteAsOf time.Time
	// ChangeSeq is the book's count of changes; DeclarationSeq is what it was when the declaration
	// was adopted. Both count within one life of the process.
	ChangeSeq, DeclarationSeq uint64

	Declared bool // there is a declaration
	Listed   bool // the upstreams were listed at least once

	evacuations
	routes  map[netip.AddrPort]*Route
	dropped map[netip.AddrPort]uint64 // routes taken out of the declaration, and the change that did
	forgot  uint64                    // the last change whose dropped routes are forgotten
	*shards
}

// Route returns the route for an address, or nil.
func (t *Table) Route(listen netip.AddrPort) *Route { return t.routes[listen] }

// Upstream returns the upstream that a cookie names, also one that is gone, or nil.
func (t *Table) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return t.upstream(key) }

// Candidates returns the upstreams that may take new flows of the service, ascending by key.
func (t *Table) Candidates(id stoatpaddle.ServiceID) []*Upstream {
	return t.services[shardOfService(id)][id].all
}

// CandidateGroups returns the same by data centre, in the order of their names.
func (t *Table) CandidateGroups(id stoatpaddle.ServiceID) []CandidateGroup {
	return t.services[shardOfService(id)][id].groups
}

// CandidatesIn returns those of one data centre.
func (t *Table) CandidatesIn(id stoatpaddle.ServiceID, centre stoatpaddle.DataCentreID) []*Upstream {
	return t.services[shardOfService(id)][id].group(centre)
}

// Services returns the services that have upstreams which may take new flows, in any order.
func (t *Table) Services() []stoatpaddle.ServiceID {
	var out []stoatpaddle.ServiceID
	for _, part := range t.services {
		for id := range part {
			out = append(out, id)
		}
	}
	return out
}

// Ready tells whether the table is enough to place flows.
func (t *Table) Ready() bool { return t.Declared && t.Listed && t.evacuationsKnown }

// UpstreamsSince returns the upstreams that changed after the book's count was that, also those that
// are gone, in any order.
func (t *Table) UpstreamsSince(change uint64) []*Upstream {
	var out []*Upstream
	for _, part := range t.upstreams {
		if part == nil || part.change <= change {
			continue
		}
		for _, u := range part.held {
			if u.ChangeSeq > change {
				out = append(out, u)
			}
		}
	}
	return out
}

// RoutesSince returns the routes that changed after the book's count was that, and the
// addresses that have none any more; known is unset if that was too long ago to tell.
func (t *Table) RoutesSince(change uint64) (changed []stoatpaddle.Route, removed []netip.AddrPort, known bool) {
	if change < t.forgot {
		return nil, nil, false
	}
	for _, r := range t.routes {
		if r.ChangeSeq > change {
			changed = append(changed, r.Route)
		}
	}
	for listen, at := range t.dropped {
		if at > change {
			removed = append(removed, listen)
		}
	}
	slices.SortFunc(changed, func(a, b stoatpaddle.Route) int { return a.Listen.Compare(b.Listen) })
	slices.SortFunc(removed, netip.AddrPort.Compare)
	return changed, removed, true
}

// Upstreams returns the upstreams that have not ended, ascending by key.
func (t *Table) Upstreams() []*Upstream {
	var out []*Upstream
	t.each(func(u *Upstream) {
		if u.State != Gone {
			out = append(out, u)
		}
	})
	slices.SortFunc(out, func(x, y *Upstream) int { return cmp.Compare(x.Key, y.Key) })
	return out
}

// Counts returns the number of routes and of upstreams by standing.
func (t *Table) Counts() (routes int, upstreams [4]int) {
	t.each(func(u *Upstream) { upstreams[u.State]++ })
	return len(t.routes), upstreams
}
