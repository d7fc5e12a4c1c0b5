package stoatfilter

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Verdict says whether an upstream may get a new flow, and if not, why.
type Verdict uint8

// The verdicts.
const (
	Eligible  Verdict = iota
	Spare             // it is cold and bears one more flow now; warm ones go before it
	Evacuated         // its data centre is evacuated
	Outside           // it is in none of the regions that the route allows
	Cold              // it is cold and bears no more now
	VerdictCount
)

// String returns the word used in logs.
func (v Verdict) String() string {
	return [...]string{"eligible", "spare", "evacuated", "outside", "cold"}[v]
}

// Regions are the regions of data centres. One that is not named belongs to no region, so that no
// route which names regions uses it.
type Regions map[stoatpaddle.DataCentreID]stoatpaddle.RegionID

// Filter is what an entry decides by.
type Filter struct {
	DataCentre stoatpaddle.DataCentreID // of the entry
	Regions    Regions
	EntryRank  EntryRank // among the entries that share what a cold upstream bears
}

// CheckNewFlow decides about a new flow of the route.
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
	return Spare
}

// CheckPolicy decides by what operators wrote alone: also whether a copy of an opening may follow it.
func (f *Filter) CheckPolicy(t *stoatroute.Table, r *stoatroute.Route, u *stoatroute.Upstream) Verdict {
	switch {
	case t.Evacuated(u.DataCentre):
		return Evacuated
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, f.Regions[u.DataCentre]):
		return Outside
	}
	return Eligible
}
