package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// delay follows how long what one entry says takes to all others.
//
// The failure without it: a data centre of three hundred entries has a deeper tree than one of
// thirty. Two entries lost a packet to the same upstream, and the news that a third one heard from
// it was still under way when the others ejected it.
type delay struct {
	key  stoatpaddle.UpstreamKey // of a claim that is under way
	sent time.Time               // zero: none is
	took time.Duration           // up to the root and back; 0: not known
}

const (
	// delayFirst is assumed until there was a claim to follow: three levels, up and down, twice.
	delayFirst = 150 * time.Millisecond
	delayLeast = 100 * time.Millisecond
	// delayMost bounds what one report that was lost and sent again makes of it.
	delayMost = 500 * time.Millisecond
	// delayWeight is the share of a sample that is shorter than the mean; a longer one counts in full.
	delayWeight = 0.125
)

// reported notes that a claim of this entry's own leaves.
func (d *delay) reported(now time.Time, own []Report, u Update) {
	if !d.sent.IsZero() && now.Sub(d.sent) < delayMost {
		return
	}
	d.sent = time.Time{}
	for i := range u.Reports {
		k := u.Reports[i].Key
		if r := find(own, k); r != nil && r.WaitingEntries > 0 {
			d.key, d.sent = k, now
			return
		}
	}
}

// followed notes a sum that came back.
func (d *delay) followed(now time.Time, sum []Report) {
	if d.sent.IsZero() {
		return
	}
	r := find(sum, d.key)
	if r == nil || r.WaitingEntries == 0 {
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

// PropagationDelay is how long a sign of life may take from the entry that had it to this one: the others have
// to hear first that it is waited for, and then this one of their answer.
func (p *Aggregator) PropagationDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay.took == 0 {
		return delayFirst
	}
	return min(delayMost, max(delayLeast, 2*p.delay.took))
}
