package stoatroute

import (
	"cmp"
	"slices"

	"github.com/stoatpaddle/stoatpaddle"
)

// candidates holds the upstreams of a service that accept new flows. It is immutable.
type candidates struct {
	all    []*Upstream      // ascending by key
	groups []CandidateGroup // one for each data centre, ascending by its name
}

// CandidateGroup holds the upstreams of a service in one data centre that accept new flows, ascending by key.
type CandidateGroup struct {
	DataCentre stoatpaddle.DataCentreID
	Upstreams  []*Upstream
}

// withChanges returns the candidates after the upstreams with the given keys have changed. current returns
// the upstream that accepts new flows under a key, or nil. Unchanged parts of the lists are copied as they
// are: with 89 of 8,000 upstreams replaced each second, the whole list would otherwise be sorted several
// times a second.
func (c candidates) withChanges(keys []stoatpaddle.UpstreamKey, current func(k stoatpaddle.UpstreamKey) *Upstream) candidates {
	slices.Sort(keys)
	keys = slices.Compact(keys)
	var out candidates
	out.all = patchList(c.all, keys, current)
	centres := map[stoatpaddle.DataCentreID]bool{}
	for _, k := range keys {
		if i, found := findKey(c.all, k); found {
			centres[c.all[i].DataCentre] = true
		}
		if u := current(k); u != nil {
			centres[u.DataCentre] = true
		}
	}
	for _, g := range c.groups {
		if !centres[g.DataCentre] {
			out.groups = append(out.groups, g)
		}
	}
	for centre := range centres {
		list := patchList(c.group(centre), keys, func(k stoatpaddle.UpstreamKey) *Upstream {
			if u := current(k); u != nil && u.DataCentre == centre {
				return u
			}
			return nil
		})
		if len(list) > 0 {
			out.groups = append(out.groups, CandidateGroup{DataCentre: centre, Upstreams: list})
		}
	}
	slices.SortFunc(out.groups, func(x, y CandidateGroup) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	return out
}

// group returns the candidates in one data centre.
func (c candidates) group(centre stoatpaddle.DataCentreID) []*Upstream {
	for _, g := range c.groups {
		if g.DataCentre == centre {
			return g.Upstreams
		}
	}
	return nil
}

// patchList returns a copy of list, which is ascending by key, in which the given keys have their current
// upstreams, or none. The keys must be ascending too.
func patchList(list []*Upstream, keys []stoatpaddle.UpstreamKey, current func(k stoatpaddle.UpstreamKey) *Upstream) []*Upstream {
	out := make([]*Upstream, 0, len(list)+len(keys))
	for _, k := range keys {
		i, found := findKey(list, k)
		out = append(out, list[:i]...)
		if list = list[i:]; found {
			list = list[1:]
		}
		if u := current(k); u != nil {
			out = append(out, u)
		}
	}
	return slices.Clip(append(out, list...))
}

// findKey returns the index of a key in a list that is ascending by key, and whether the list contains it.
func findKey(list []*Upstream, k stoatpaddle.UpstreamKey) (int, bool) {
	return slices.BinarySearchFunc(list, k, func(u *Upstream, k stoatpaddle.UpstreamKey) int { return cmp.Compare(u.Key, k) })
}
