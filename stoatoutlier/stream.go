package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Update is a message with reports: all of them, or those that changed.
type Update struct {
	Whole   bool // Reports replaces all earlier ones
	Reports []Report
}

// applyTo returns the reports that result from applying the update to the list, sorted by key. An empty
// report removes the earlier one.
func (u Update) onto(list []Report) []Report {
	byUpstream := map[stoatpaddle.UpstreamKey]Report{}
	if !u.Whole {
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

// DeltaTracker records what a receiver was sent, so that the next update contains only what changed.
//
// When a hundred upstreams stop answering, the full list, sent at each change, would go through each link
// of the tree fifty times a second with two kilobytes each time.
type Stream struct {
	sent   map[stoatpaddle.UpstreamKey]claim
	whole  time.Time // when everything was last sent; zero: never
	counts time.Time // when counts were last sent
}

// claim is the part of a report that other entries act upon within milliseconds, and the failure count.
type claim struct {
	named   bool // the upstream was sent
	waiting int  // waiting entries, at most two: more make no difference
	alive   bool // a sign of life came after the first entry of the data centre began to wait
	failed  int
}

// Next returns the update to send for a list, and whether there is anything to send. first returns since
// when an entry of the data centre has been waiting for an upstream, as far as the receiver knows. A
// changed claim is due at once, failure counts after countInterval, and everything after fullInterval.
func (s *Stream) Next(now time.Time, list []Report, first func(*Report) time.Time) (Update, bool) {
	if s.sent == nil {
		s.sent = map[stoatpaddle.UpstreamKey]claim{}
	}
	counts := now.Sub(s.counts) >= reportSoon
	u := Update{Whole: len(list) > 0 && now.Sub(s.whole) >= reportLater}
	listed := make(map[stoatpaddle.UpstreamKey]bool, len(list))
	for i := range list {
		r := &list[i]
		listed[r.Key] = true
		c, old := claimOf(r, first(r)), s.sent[r.Key]
		if u.Whole || c.differs(old, counts) {
			u.Reports = append(u.Reports, *r)
			s.sent[r.Key] = c
		}
	}
	for k := range s.sent {
		if listed[k] {
			continue
		}
		delete(s.sent, k)
		if !u.Whole {
			u.Reports = append(u.Reports, Report{Key: k})
		}
	}
	if u.Whole {
		s.whole = now
	}
	if counts {
		s.counts = now
	}
	return u, len(u.Reports) > 0
}

func claimOf(r *Report, first time.Time) claim {
	return claim{
		named: true, waiting: min(2, r.Entries), failed: r.Failed,
		alive: !first.IsZero() && r.Heard.After(first),
	}
}

// differs reports whether the claim has to be sent. Once two entries wait for an upstream, its failure
// count makes no difference any more.
func (c claim) differs(old claim, counts bool) bool {
	if c.named != old.named {
		// Failures without a wait are collected until counts are due.
		return counts || c.waiting > 0 || c.alive
	}
	return c.waiting != old.waiting || c.alive != old.alive || counts && c.waiting < 2 && c.failed != old.failed
}
