package stoatfilter

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Verdict says whether an upstream may receive a new flow and, if not, why.
type Verdict uint8

// The verdicts.
const (
	Eligible       Verdict = iota
	ColdEligible           // the upstream is cold and can take one more flow now; warm upstreams are preferred
	Evacuated              // the upstream's data centre is evacuated
	OutsideRegions         // the upstream is in none of the regions that the route allows
	Cold                   // the upstream is cold and can take no more flows now
	VerdictCount
)

// String returns the label used in logs.
func (v Verdict) String() string {
	return [...]string{"eligible", "spare", "evacuated", "outside", "cold"}[v]
}

// Regions maps data centres to their regions. A data centre that is not in the map belongs to no region,
// so a route that names regions does not use it.
type Regions map[stoatpaddle.DataCentreID]stoatpaddle.RegionID

// Filter decides which upstreams an entry may send new flows to.
type Filter struct {
	DataCentre stoatpaddle.DataCentreID // of the entry
	Regions    Regions
	EntryRank  EntryRank // the entry's rank among those that share the capacity of a cold upstream
}

// CheckNewFlow decides whether the upstream may receive a new flow of the route.
func (f *Filter) CheckNewFlow(now time.Time, t *stoatroute.Table, r *stoatroute.Route, u *stoatroute.Upstream, load ColdLoad) Verdict {
	if v := f.CheckPolicy(t, r, u); v != Eligible {
		return v
	}
	if u.ColdRate == 0 || !now.Before(u.WarmAt) {
		return Eligible
	}
	if u.DataCentre != f.DataCentre || !f.EntryRank.hasTurn(now, u, load) {
		return Cold
	}
	return ColdEligible
}

// CheckPolicy decides by the operators' settings alone: evacuations and the regions of the route. It also
// decides whether a repeated opening packet may follow the first one to its upstream.
func (f *Filter) CheckPolicy(t *stoatroute.Table, r *stoatroute.Route, u *stoatroute.Upstream) Verdict {
	switch {
	case t.Evacuated(u.DataCentre):
		return Evacuated
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, f.Regions[u.DataCentre]):
		return OutsideRegions
	}
	return Eligible
}
