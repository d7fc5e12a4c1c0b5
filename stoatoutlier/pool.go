package stoatoutlier

import (
	"net/netip"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

const (
	// reportSoon and reportLater are the pauses between two reports: the first for counts of
	// failures that changed, the second for all that is known, changed or not.
	reportSoon  = 500 * time.Millisecond
	reportLater = 2 * time.Second
	// reportKept is how long a report counts: two that are lost in a row are missed.
	reportKept = 3 * reportLater
	// maxReports bounds a report. More upstreams than that do not fail while others serve.
	maxReports = 256
)

// Aggregator adds up reports. Its methods may be called by several goroutines.
type Aggregator struct {
	mu       sync.Mutex
	children map[netip.AddrPort]timed
	parent   netip.AddrPort // in this data centre; invalid: none
	sum      timed          // over the data centre, as the parent sent it
	up       DeltaTracker   // to the parent
	delay    delay
	changed  time.Time // when the parent last became another one
}

// timed is a list of reports, ascending by key, and when it came.
type timed struct {
	at   time.Time
	list []Report
}

func (r *timed) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportKept }

// HandleChildUpdate takes in what a child and those below it saw, and tells whether that was enough: a change of
// reports that are not known here says nothing.
func (p *Aggregator) HandleChildUpdate(now time.Time, from netip.AddrPort, u Update) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.children == nil {
		p.children = map[netip.AddrPort]timed{}
	}
	for a, r := range p.children {
		if !r.fresh(now) {
			delete(p.children, a)
		}
	}
	before, known := p.children[from]
	if !known && !u.Full {
		return false
	}
	p.children[from] = timed{at: now, list: u.onto(before.list)}
	return true
}

// RemoveChild drops what a child saw: it reports to another one now, and would count twice.
func (p *Aggregator) RemoveChild(child netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.children, child)
}

// HandleParentUpdate notes the relay parent in this data centre, invalid for none, and what it sent of the sum.
func (p *Aggregator) HandleParentUpdate(now time.Time, parent netip.AddrPort, u Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if parent != p.parent {
		p.parent, p.sum, p.up, p.changed = parent, timed{}, DeltaTracker{}, now
	}
	if parent.IsValid() {
		p.sum = timed{at: now, list: u.onto(p.sum.list)}
		p.delay.followed(now, p.sum.list)
	}
}

// steadyAfter is how long a place in the tree must last for the sum to have what all entries heard:
// an entry that has just come knows who is waited for, and not yet who answered.
const steadyAfter = 500 * time.Millisecond

// Stable tells whether this entry's place in the tree has lasted.
func (p *Aggregator) Stable(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.changed) >= steadyAfter
}

// ResetParentStream notes that the parent did not take a report: the next one has all.
func (p *Aggregator) ResetParentStream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = DeltaTracker{}
}

// Suspects returns the upstreams that somebody saw failing, as far as this entry knows.
func (p *Aggregator) Suspects(now time.Time) map[stoatpaddle.UpstreamKey]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := map[stoatpaddle.UpstreamKey]bool{}
	if p.sum.fresh(now) {
		name(keys, p.sum.list)
	}
	for _, r := range p.children {
		if r.fresh(now) {
			name(keys, r.list)
		}
	}
	return keys
}

func name(keys map[stoatpaddle.UpstreamKey]bool, list []Report) {
	for i := range list {
		keys[list[i].Key] = true
	}
}

// add returns what this entry and those below it saw, ascending by key.
func (p *Aggregator) add(now time.Time, own []Report) []Report {
	sums := map[stoatpaddle.UpstreamKey]Report{}
	take := func(list []Report) {
		for i := range list {
			r := &list[i]
			sum := sums[r.Key]
			sum.Key = r.Key
			sums[r.Key] = sum.add(r)
		}
	}
	take(own)
	for _, r := range p.children {
		if r.fresh(now) {
			take(r.list)
		}
	}
	return sorted(sums)
}

// outliers returns the reports that speak against their upstreams.
func outliers(list []Report) []Report {
	var out []Report
	for i := range list {
		if list[i].outlier() {
			out = append(out, list[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// due returns what to report: what speaks against an upstream, and what was seen of those that
// others speak against. Left out, the answers of thirty entries that saw no failure would be
// missing from the sum, and the failures of two would be all there is.
func (p *Aggregator) due(below []Report) []Report {
	var out []Report
	for i := range below {
		if below[i].outlier() || find(p.sum.list, below[i].Key) != nil {
			out = append(out, below[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// Aggregate returns what all entries here saw, as far as it is known, and what to report to whom;
// an invalid address means nothing is due. While the last report is under way, busy holds the next
// one back: a change counts as sent once it is returned here.
func (p *Aggregator) Aggregate(now time.Time, own []Report, busy bool) (sum []Report, u Update, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	below := p.add(now, own)
	if !p.parent.IsValid() {
		return outliers(below), Update{}, netip.AddrPort{}
	}
	sum = p.sum.list
	if !p.sum.fresh(now) {
		sum = outliers(below)
	}
	if busy {
		return sum, Update{}, netip.AddrPort{}
	}
	u, due := p.up.Next(now, p.due(below), func(r *Report) time.Time {
		if known := find(p.sum.list, r.Key); known != nil {
			return known.FirstWaitSince
		}
		return time.Time{}
	})
	if !due {
		return sum, Update{}, netip.AddrPort{}
	}
	p.delay.reported(now, own, u)
	return sum, u, p.parent
}

// FirstWait is the first argument of Next for a sum, which says itself since when entries wait.
func FirstWait(r *Report) time.Time { return r.FirstWaitSince }
