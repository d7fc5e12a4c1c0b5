package stoatoutlier

import "github.com/stoatpaddle/stoatpaddle"

// Counts are requests of one upstream of late: those answered and those that owe an answer
// for too long.
type Counts struct{ Answered, Failed int }

// Share returns the part of the requests that failed.
func (c Counts) Share() float64 {
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
func (r *Report) outlier() bool { return r.Failed > 0 || r.Entries > 0 }

// add returns what both say of the upstream.
func (r *Report) add(o *Report) Report {
	return Report{Key: r.Key, Counts: r.Counts.Add(o.Counts), Silence: r.Silence.Add(o.Silence)}
}
