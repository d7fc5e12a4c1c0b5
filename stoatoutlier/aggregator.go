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
	countInterval = 500 * time.Millisecond
	fullInterval  = 2 * time.Second
	// reportTTL is how long a received report counts: it outlives the loss of the next report, but not of the
	// next two.
	reportTTL = 3 * fullInterval
	// maxReports limits the reports in one message. More upstreams than that do not fail while others
	// serve.
	maxReports = 256
)

// Aggregator adds up the reports of this entry and its children, and keeps the sum over the data centre
// that its parent sends. Its methods may be called by several goroutines.
type Aggregator struct {
	mu          sync.Mutex
	children    map[netip.AddrPort]receivedReports
	parent      netip.AddrPort  // relay parent in this data centre; invalid: none
	sum         receivedReports // over the data centre, as the parent sent it
	toParent    DeltaTracker    // what the parent was sent
	delay       delayEstimator
	parentSince time.Time // when the parent last changed
}

// receivedReports is a list of reports, sorted by key, and the time at which it was received.
type receivedReports struct {
	receivedAt time.Time
	reports    []Report
}

func (r *receivedReports) fresh(now time.Time) bool {
	return !r.receivedAt.IsZero() && now.Sub(r.receivedAt) < reportTTL
}

// HandleChildUpdate applies an update from a child, which covers the child and the entries below it. It
// returns false if the update only names changes to reports that are not known here; the child then has to
// send everything.
func (agg *Aggregator) HandleChildUpdate(now time.Time, from netip.AddrPort, u Update) bool {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	if agg.children == nil {
		agg.children = map[netip.AddrPort]receivedReports{}
	}
	for a, r := range agg.children {
		if !r.fresh(now) {
			delete(agg.children, a)
		}
	}
	before, known := agg.children[from]
	if !known && !u.Full {
		return false
	}
	agg.children[from] = receivedReports{receivedAt: now, reports: u.applyTo(before.reports)}
	return true
}

// RemoveChild drops the reports of a child that now reports to another parent, so that they don't count
// twice.
func (agg *Aggregator) RemoveChild(child netip.AddrPort) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	delete(agg.children, child)
}

// HandleParentUpdate records the relay parent in this data centre, invalid for none, and applies its update
// of the sum.
func (agg *Aggregator) HandleParentUpdate(now time.Time, parent netip.AddrPort, u Update) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	if parent != agg.parent {
		agg.parent, agg.sum, agg.toParent, agg.parentSince = parent, receivedReports{}, DeltaTracker{}, now
	}
	if parent.IsValid() {
		agg.sum = receivedReports{receivedAt: now, reports: u.applyTo(agg.sum.reports)}
		agg.delay.sumReceived(now, agg.sum.reports)
	}
}

// stableAfter is how long an entry must have had its parent before the sum covers what all entries heard.
// An entry that has just joined knows which upstreams are being waited for, but not yet which of them
// answered.
const stableAfter = 500 * time.Millisecond

// Stable reports whether this entry has had its parent for long enough to rely on the sum.
func (agg *Aggregator) Stable(now time.Time) bool {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return now.Sub(agg.parentSince) >= stableAfter
}

// ForceFullUpdate makes the next report contain everything, after the parent did not accept one.
func (agg *Aggregator) ForceFullUpdate() {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	agg.toParent = DeltaTracker{}
}

// Suspects returns the upstreams that any entry saw failing, as far as this entry knows.
func (agg *Aggregator) Suspects(now time.Time) map[stoatpaddle.UpstreamKey]bool {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	keys := map[stoatpaddle.UpstreamKey]bool{}
	if agg.sum.fresh(now) {
		addKeys(keys, agg.sum.reports)
	}
	for _, r := range agg.children {
		if r.fresh(now) {
			addKeys(keys, r.reports)
		}
	}
	return keys
}

func addKeys(keys map[stoatpaddle.UpstreamKey]bool, list []Report) {
	for i := range list {
		keys[list[i].Key] = true
	}
}

// subtreeSum returns the sum of what this entry and those below it observed, sorted by key.
func (agg *Aggregator) subtreeSum(now time.Time, own []Report) []Report {
	sums := map[stoatpaddle.UpstreamKey]Report{}
	addAll := func(list []Report) {
		for i := range list {
			r := &list[i]
			sum := sums[r.Key]
			sum.Key = r.Key
			sums[r.Key] = sum.add(r)
		}
	}
	addAll(own)
	for _, r := range agg.children {
		if r.fresh(now) {
			addAll(r.reports)
		}
	}
	return sortedByKey(sums)
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
func (agg *Aggregator) reportable(subtree []Report) []Report {
	var out []Report
	for i := range subtree {
		if subtree[i].outlier() || find(agg.sum.reports, subtree[i].Key) != nil {
			out = append(out, subtree[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// Aggregate returns the sum over all entries of this data centre, as far as it is known, and the update to
// send and its recipient. An invalid address means that nothing is due. busy says that the previous report
// is still being sent; the next one is held back then, because a change counts as sent once it is returned
// here.
func (agg *Aggregator) Aggregate(now time.Time, own []Report, busy bool) (sum []Report, u Update, to netip.AddrPort) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	subtree := agg.subtreeSum(now, own)
	if !agg.parent.IsValid() {
		return outliers(subtree), Update{}, netip.AddrPort{}
	}
	sum = agg.sum.reports
	if !agg.sum.fresh(now) {
		sum = outliers(subtree)
	}
	if busy {
		return sum, Update{}, netip.AddrPort{}
	}
	u, due := agg.toParent.Next(now, agg.reportable(subtree), func(r *Report) time.Time {
		if known := find(agg.sum.reports, r.Key); known != nil {
			return known.FirstWaitSince
		}
		return time.Time{}
	})
	if !due {
		return sum, Update{}, netip.AddrPort{}
	}
	agg.delay.reportSent(now, own, u)
	return sum, u, agg.parent
}

// FirstWait is the function to pass to DeltaTracker.Next for a sum over the data centre, whose reports
// contain the time of the first wait themselves.
func FirstWait(r *Report) time.Time { return r.FirstWaitSince }
