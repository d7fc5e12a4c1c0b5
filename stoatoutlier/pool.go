package stoatoutlier

import (
	"net/netip"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

const (
	// countInterval and fullInterval are the intervals between two reports: the first for failure counts
	// that changed, the second for everything that is known, changed or not.
	reportSoon  = 500 * time.Millisecond
	reportLater = 2 * time.Second
	// reportTTL is how long a received report counts. It survives the loss of one report, but not of two in
	// a row.
	reportKept = 3 * reportLater
	// maxReports limits the reports in one message. More upstreams than that do not fail while others
	// serve.
	maxReports = 256
)

// Aggregator adds up the reports of this entry and its children, and keeps the sum over the data centre
// that its parent sends. Its methods may be called by several goroutines.
type Pool struct {
	mu       sync.Mutex
	children map[netip.AddrPort]timed
	parent   netip.AddrPort // relay parent in this data centre; invalid: none
	sum      timed          // over the data centre, as the parent sent it
	up       Stream         // what the parent was sent
	delay    delay
	changed  time.Time // when the parent last changed
}

// receivedReports is a list of reports, sorted by key, and the time at which it was received.
type timed struct {
	at   time.Time
	list []Report
}

func (r *timed) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportKept }

// HandleChildUpdate applies an update from a child, which covers the child and the entries below it. It
// returns false if the update only names changes to reports that are not known here; the child then has to
// send everything.
func (p *Pool) Take(now time.Time, from netip.AddrPort, u Update) bool {
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
	if !known && !u.Whole {
		return false
	}
	p.children[from] = timed{at: now, list: u.onto(before.list)}
	return true
}

// RemoveChild drops the reports of a child that now reports to another parent, so that they don't count
// twice.
func (p *Pool) Forget(child netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.children, child)
}

// HandleParentUpdate records the relay parent in this data centre, invalid for none, and applies its update
// of the sum.
func (p *Pool) Follow(now time.Time, parent netip.AddrPort, u Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if parent != p.parent {
		p.parent, p.sum, p.up, p.changed = parent, timed{}, Stream{}, now
	}
	if parent.IsValid() {
		p.sum = timed{at: now, list: u.onto(p.sum.list)}
		p.delay.followed(now, p.sum.list)
	}
}

// stableAfter is how long an entry must have had its parent before the sum covers what all entries heard.
// An entry that has just joined knows which upstreams are being waited for, but not yet which of them
// answered.
const steadyAfter = 500 * time.Millisecond

// Stable reports whether this entry has had its parent for long enough to rely on the sum.
func (p *Pool) Steady(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.changed) >= steadyAfter
}

// ResetParentStream makes the next report contain everything, after the parent did not accept one.
func (p *Pool) Lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = Stream{}
}

// Suspects returns the upstreams that any entry saw failing, as far as this entry knows.
func (p *Pool) Suspects(now time.Time) map[stoatpaddle.UpstreamKey]bool {
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

// subtreeSum returns the sum of what this entry and those below it observed, sorted by key.
func (p *Pool) add(now time.Time, own []Report) []Report {
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

// outliers returns the reports that count against their upstreams.
func outliers(list []Report) []Report {
	var out []Report
	for i := range list {
		if list[i].outlier() {
			out = append(out, list[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// reportable returns the reports for the parent: those that count against an upstream, and those on
// upstreams that are in the sum because of other entries. Without the latter, the sum would consist of the
// failures that two entries saw and lack the answers of the thirty entries that saw no failure.
func (p *Pool) due(below []Report) []Report {
	var out []Report
	for i := range below {
		if below[i].outlier() || find(p.sum.list, below[i].Key) != nil {
			out = append(out, below[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// Aggregate returns the sum over all entries of this data centre, as far as it is known, and the update to
// send and its recipient. An invalid address means that nothing is due. busy says that the previous report
// is still being sent; the next one is held back then, because a change counts as sent once it is returned
// here.
func (p *Pool) Turn(now time.Time, own []Report, busy bool) (sum []Report, u Update, to netip.AddrPort) {
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
			return known.First
		}
		return time.Time{}
	})
	if !due {
		return sum, Update{}, netip.AddrPort{}
	}
	p.delay.reported(now, own, u)
	return sum, u, p.parent
}

// FirstWait is the function to pass to DeltaTracker.Next for a sum over the data centre, whose reports
// contain the time of the first wait themselves.
func SinceFirst(r *Report) time.Time { return r.First }
