package stoatoutlier

import (
	"cmp"
	"maps"
	"slices"

	"github.com/stoatpaddle/stoatpaddle"
)

// Counts are requests of one upstream of late: those answered and those that owe an answer
// for too long.
type Counts struct{ Answered, Failed int }

// FailureRatio returns the part of the requests that failed.
func (c Counts) FailureRatio() float64 {
	if c.Failed == 0 {
		return 0
	}
	return float64(c.Failed) / float64(c.Answered+c.Failed)
}

// Add returns the sum of two.
func (c Counts) Add(o Counts) Counts {
	return Counts{Answered: c.Answered + o.Answered, Failed: c.Failed + o.Failed}
}

// Report is what one or several entries saw of one upstream.
type Report struct {
	Key stoatpaddle.UpstreamKey
	Counts
	Silence
}

// outlier tells whether the report speaks against its upstream.
func (r *Report) outlier() bool { return r.Failed > 0 || r.WaitingEntries > 0 }

// empty tells whether the report says nothing.
func (r *Report) empty() bool { return r.Counts == Counts{} && r.Silence == Silence{} }

// add returns what both say of the upstream.
func (r *Report) add(o *Report) Report {
	return Report{Key: r.Key, Counts: r.Counts.Add(o.Counts), Silence: r.Silence.Add(o.Silence)}
}

// sorted returns reports ascending by key.
func sorted(byUpstream map[stoatpaddle.UpstreamKey]Report) []Report {
	return slices.SortedFunc(maps.Values(byUpstream), func(a, b Report) int { return cmp.Compare(a.Key, b.Key) })
}

// find returns the report on an upstream in a list that ascends by key, or nil.
func find(list []Report, k stoatpaddle.UpstreamKey) *Report {
	i, found := slices.BinarySearchFunc(list, k, func(r Report, k stoatpaddle.UpstreamKey) int { return cmp.Compare(r.Key, k) })
	if !found {
		return nil
	}
	return &list[i]
}
