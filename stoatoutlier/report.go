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
}
