package stoatroute

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// State is the state of an upstream's registration as far as it is known.
type State uint8

// The states of an upstream.
const (
	Serving State = iota
	Leaving       // it accepts no new flows; open flows continue
	Missing       // its registration may have lapsed in an outage of the platform; it is used as before
	Gone          // it is known to have ended, so its flows cannot continue
)

// String returns the label used in logs.
func (s State) String() string { return [...]string{"serving", "leaving", "missing", "gone"}[s] }

// Upstream is one incarnation of a server. It does not change once a table refers to it.
type Upstream struct {
	stoatpaddle.Registration
	Revision    stoatpaddle.Version // of the registration
	Key         stoatpaddle.UpstreamKey
	State       State
	MaxFlows    int       // maximum number of flows; 0: no limit
	ColdRate    float64   // requests a second that it can handle while it is cold; 0: no limit
	WarmAt      time.Time // when its slow start ends
	WasCold     bool      // it was cold when this entry first learned of it, or has become cold since
	ChangeSeq   uint64    // the builder's change sequence number at its last change
	EndedAt     time.Time // Gone: when it ended
	RestartedAt time.Time // when this entry learned that it restarted under its id; zero: it did not
}

// AcceptsFlows reports whether the upstream accepts new flows.
func (u *Upstream) AcceptsFlows() bool {
	return u.State == Serving || u.State == Missing && !u.Leaving
}

// Route says where flows to one address go.
type Route struct {
	stoatpaddle.Route
	ChangeSeq uint64                         // the builder's change sequence number at its last change
	everUsed  map[stoatpaddle.ServiceID]bool // its services, also former ones
}

// EverUsed reports whether the route uses the service or used it before. Flows that were opened there continue.
func (r *Route) EverUsed(s stoatpaddle.ServiceID) bool { return r.everUsed[s] }

// withServices returns the route with the services that another version of it uses or used. It returns the
// route itself if all of them are known already.
func (r *Route) withServices(other *stoatpaddle.Route) *Route {
	out := r
	add := func(s stoatpaddle.ServiceID) {
		if out.everUsed[s] {
			return
		}
		if out == r {
			n := *r
			n.everUsed = maps.Clone(r.everUsed)
			out = &n
		}
		out.everUsed[s] = true
	}
	for _, b := range other.Backends {
		add(b.Service)
	}
	for _, s := range other.FormerServices {
		add(s)
	}
	return out
}

// FormerServices returns the services that the route no longer uses, in ascending order.
func (r *Route) FormerServices() []stoatpaddle.ServiceID {
	var out []stoatpaddle.ServiceID
	for s := range r.everUsed {
		if !slices.ContainsFunc(r.Backends, func(b stoatpaddle.Backend) bool { return b.Service == s }) {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// Table is an immutable snapshot for the code that forwards traffic.
type Table struct {
	Declaration stoatpaddle.Declaration
	Revision    stoatpaddle.Version // of the declaration; 0: it belongs to an earlier era
	Era         stoatpaddle.Era     // of all revisions in the table; 0: unknown
	// ChangeSeq is the builder's change sequence number, and DeclarationSeq is its value when the declaration
	// was adopted or last extended by former services. Both start again with each start of the process.
	ChangeSeq, DeclarationSeq uint64

	Declared bool // there is a declaration
	Listed   bool // the upstreams were listed at least once

	evacuations
	partsAsOf        partTimes
	routes           map[netip.AddrPort]*Route
	removed          map[netip.AddrPort]uint64 // removed routes, and the change sequence number of the removal
	removedForgotten uint64                    // removals up to this change sequence number are forgotten
	*shards
}

// Route returns the route for an address, or nil.
func (t *Table) Route(listen netip.AddrPort) *Route { return t.routes[listen] }

// Upstream returns the upstream with the given key, which may also be gone, or nil.
func (t *Table) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return t.upstream(key) }

// Candidates returns the upstreams that accept new flows of the service, ascending by key.
func (t *Table) Candidates(id stoatpaddle.ServiceID) []*Upstream {
	return t.services[shardOfService(id)][id].all
}

// CandidateGroups returns the upstreams that accept new flows of the service, grouped by data centre and
// ascending by its name.
func (t *Table) CandidateGroups(id stoatpaddle.ServiceID) []CandidateGroup {
	return t.services[shardOfService(id)][id].groups
}

// CandidatesIn returns the upstreams in one data centre that accept new flows of the service.
func (t *Table) CandidatesIn(id stoatpaddle.ServiceID, centre stoatpaddle.DataCentreID) []*Upstream {
	return t.services[shardOfService(id)][id].group(centre)
}

// Services returns the services that have upstreams which accept new flows, in any order.
func (t *Table) Services() []stoatpaddle.ServiceID {
	var out []stoatpaddle.ServiceID
	for _, part := range t.services {
		for id := range part {
			out = append(out, id)
		}
	}
	return out
}

// Ready reports whether enough is known to place flows.
func (t *Table) Ready() bool { return t.Declared && t.Listed && t.evacuationsKnown }

// UpstreamsSince returns the upstreams that changed after the given change sequence number, also those that
// are gone, in any order.
func (t *Table) UpstreamsSince(seq uint64) []*Upstream {
	var out []*Upstream
	for _, part := range t.upstreams {
		if part == nil || part.maxChangeSeq <= seq {
			continue
		}
		for _, u := range part.all {
			if u.ChangeSeq > seq {
				out = append(out, u)
			}
		}
	}
	return out
}

// RoutesSince returns the routes that changed after the given change sequence number, and the addresses whose
// routes were removed. known is false if the removals since then are no longer recorded.
func (t *Table) RoutesSince(seq uint64) (changed []stoatpaddle.Route, removed []netip.AddrPort, known bool) {
	if seq < t.removedForgotten {
		return nil, nil, false
	}
	for _, r := range t.routes {
		if r.ChangeSeq > seq {
			changed = append(changed, r.Route)
		}
	}
	for listen, at := range t.removed {
		if at > seq {
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
	t.forEach(func(u *Upstream) {
		if u.State != Gone {
			out = append(out, u)
		}
	})
	slices.SortFunc(out, func(x, y *Upstream) int { return cmp.Compare(x.Key, y.Key) })
	return out
}

// Counts returns the number of routes, and the number of upstreams in each state.
func (t *Table) Counts() (routes int, upstreams [4]int) {
	t.forEach(func(u *Upstream) { upstreams[u.State]++ })
	return len(t.routes), upstreams
}
