package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// delayEstimator measures how long this entry's report that it waits for an upstream takes to the root of the
// relay tree and back in the sum.
//
// A fixed delay is not enough: a data centre of three hundred entries has a deeper tree than one of thirty.
// Two entries lost a packet to the same upstream there, and the report that a third entry had heard from it
// was still on its way when the others ejected the upstream.
type delayEstimator struct {
	key       stoatpaddle.UpstreamKey // upstream of the report that is being timed
	sentAt    time.Time               // when that report was sent; zero: none is being timed
	roundTrip time.Duration           // time to the root and back; 0: not measured yet
}

const (
	// initialDelay is used until a report has been timed: three levels, up and down, twice.
	initialDelay = 150 * time.Millisecond
	minDelay     = 100 * time.Millisecond
	// maxDelay limits the effect of a single report that was lost and sent again.
	maxDelay = 500 * time.Millisecond
	// decreaseWeight is the weight of a sample that is shorter than the estimate. A longer sample replaces
	// the estimate.
	decreaseWeight = 0.125
)

// reportSent starts to time a wait of this entry's own that the update reports, unless one is being timed
// already. A report that has not come back within maxDelay is no longer timed.
func (d *delayEstimator) reportSent(now time.Time, own []Report, u Update) {
	if !d.sentAt.IsZero() && now.Sub(d.sentAt) < maxDelay {
		return
	}
	d.sentAt = time.Time{}
	for i := range u.Reports {
		k := u.Reports[i].Key
		if r := find(own, k); r != nil && r.WaitingEntries > 0 {
			d.key, d.sentAt = k, now
			return
		}
	}
}

// sumReceived ends the measurement if the sum contains the wait that is being timed.
func (d *delayEstimator) sumReceived(now time.Time, sum []Report) {
	if d.sentAt.IsZero() {
		return
	}
	r := find(sum, d.key)
	if r == nil || r.WaitingEntries == 0 {
		return
	}
	sample := now.Sub(d.sentAt)
	d.sentAt = time.Time{}
	if sample > d.roundTrip {
		d.roundTrip = sample
		return
	}
	d.roundTrip -= time.Duration(decreaseWeight * float64(d.roundTrip-sample))
}

// PropagationDelay returns how long a sign of life may take from the entry that observed it to this one.
// That is two round trips: the other entries have to learn first that this entry waits for the upstream,
// and then this entry has to learn of their answer.
func (agg *Aggregator) PropagationDelay() time.Duration {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	if agg.delay.roundTrip == 0 {
		return initialDelay
	}
	return min(maxDelay, max(minDelay, 2*agg.delay.roundTrip))
}
