package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// delayEstimator measures how long a claim of this entry takes to the root of the relay tree and back in
// the sum.
//
// A fixed delay is not enough: a data centre of three hundred entries has a deeper tree than one of thirty.
// Two entries lost a packet to the same upstream there, and the report that a third entry had heard from it
// was still on its way when the others ejected the upstream.
type delay struct {
	key  stoatpaddle.UpstreamKey // upstream of the claim that is being timed
	sent time.Time               // when that claim was sent; zero: no claim is being timed
	took time.Duration           // time to the root and back; 0: not measured yet
}

const (
	// initialDelay is used until a claim has been timed: three levels, up and down, twice.
	delayFirst = 150 * time.Millisecond
	delayLeast = 100 * time.Millisecond
	// maxDelay limits the effect of a single report that was lost and sent again.
	delayMost = 500 * time.Millisecond
	// decreaseWeight is the weight of a sample that is shorter than the estimate. A longer sample replaces
	// the estimate.
	delayWeight = 0.125
)

// reportSent starts to time a claim of this entry's own that the update carries, unless one is being timed.
func (d *delay) reported(now time.Time, own []Report, u Update) {
	if !d.sent.IsZero() && now.Sub(d.sent) < delayMost {
		return
	}
	d.sent = time.Time{}
	for i := range u.Reports {
		k := u.Reports[i].Key
		if r := find(own, k); r != nil && r.Entries > 0 {
			d.key, d.sent = k, now
			return
		}
	}
}

// sumReceived ends the measurement if the sum contains the claim that is being timed.
func (d *delay) followed(now time.Time, sum []Report) {
	if d.sent.IsZero() {
		return
	}
	r := find(sum, d.key)
	if r == nil || r.Entries == 0 {
		return
	}
	took := now.Sub(d.sent)
	d.sent = time.Time{}
	if took > d.took {
		d.took = took
		return
	}
	d.took -= time.Duration(delayWeight * float64(d.took-took))
}

// PropagationDelay returns how long a sign of life may take from the entry that observed it to this one.
// That is two round trips: the other entries have to learn first that this entry waits for the upstream,
// and then this entry has to learn of their answer.
func (p *Pool) Delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay.took == 0 {
		return delayFirst
	}
	return min(delayMost, max(delayLeast, 2*p.delay.took))
}
