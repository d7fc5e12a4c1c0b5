package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Update is what is sent of reports: those that changed, or all.
type Update struct {
	Full    bool // Reports are all there are
	Reports []Report
}

// onto returns the reports that the update makes of a list, ascending by key. A report that says
// nothing any more ends the one before it.
func (u Update) onto(list []Report) []Report {
	byUpstream := map[stoatpaddle.UpstreamKey]Report{}
	if !u.Full {
		for _, r := range list {
			byUpstream[r.Key] = r
		}
	}
	for _, r := range u.Reports {
		if r.empty() {
			delete(byUpstream, r.Key)
			continue
		}
		byUpstream[r.Key] = r
	}
	return sorted(byUpstream)
}

// DeltaTracker remembers what the other side was sent, so that an update names only what changed.
//
// The load: a hundred upstreams fall silent. Sent whole at each change, the list of them would go
// through each link of the tree fifty times a second, at two kilobytes each time.
type DeltaTracker struct {
	sent   map[stoatpaddle.UpstreamKey]claim
	whole  time.Time // when all was sent last; zero: never
	counts time.Time // when counts were sent last
}

// claim is what others act upon within milliseconds, and the count that matters besides.
type claim struct {
	named   bool // the upstream was sent
	waiting int  // up to two: more change nothing
	alive   bool // a sign came since the first of the data centre began to wait
	failed  int
}

// Next returns what to send of a list, and whether there is anything; first tells since when an
// entry of the data centre waits for an upstream, as the other side knows it. What changes a claim
// is due at once, counts of failures after reportSoon, and all after reportLater.
func (s *DeltaTracker) Next(now time.Time, list []Report, first func(*Report) time.Time) (Update, bool) {
	if s.sent == nil {
		s.sent = map[stoatpaddle.UpstreamKey]claim{}
	}
	counts := now.Sub(s.counts) >= reportSoon
	u := Update{Full: len(list) > 0 && now.Sub(s.whole) >= reportLater}
	listed := make(map[stoatpaddle.UpstreamKey]bool, len(list))
	for i := range list {
		r := &list[i]
		listed[r.Key] = true
		c, old := claimOf(r, first(r)), s.sent[r.Key]
		if u.Full || c.differs(old, counts) {
			u.Reports = append(u.Reports, *r)
			s.sent[r.Key] = c
		}
	}
	for k := range s.sent {
		if listed[k] {
			continue
		}
		delete(s.sent, k)
		if !u.Full {
			u.Reports = append(u.Reports, Report{Key: k})
		}
	}
	if u.Full {
		s.whole = now
	}
	if counts {
		s.counts = now
	}
	return u, len(u.Reports) > 0
}

func claimOf(r *Report, first time.Time) claim {
	return claim{
		named: true, waiting: min(2, r.WaitingEntries), failed: r.Failed,
		alive: !first.IsZero() && r.LastHeard.After(first),
	}
}

// differs tells whether a claim has to be sent. The failures of an upstream that two entries wait
// for change nothing any more.
func (c claim) differs(old claim, counts bool) bool {
	if c.named != old.named {
		// Failures alone are gathered for a while.
		return counts || c.waiting > 0 || c.alive
	}
	return c.waiting != old.waiting || c.alive != old.alive || counts && c.waiting < 2 && c.failed != old.failed
}
