package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Update is a message with reports: all of them, or those that changed.
type Update struct {
	Full    bool // Reports replaces all earlier ones
	Reports []Report
}

// applyTo returns the reports that result from applying the update to the list, sorted by key. An empty
// report removes the earlier one.
func (u Update) applyTo(list []Report) []Report {
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
	return sortedByKey(byUpstream)
}

// DeltaTracker records what a receiver was sent, so that the next update contains only what changed.
//
// When a hundred upstreams stop answering, the full list, sent at each change, would go through each link
// of the tree fifty times a second with two kilobytes each time.
type DeltaTracker struct {
	sent     map[stoatpaddle.UpstreamKey]reportSummary
	fullAt   time.Time // when everything was last sent; zero: never
	countsAt time.Time // when counts were last sent
}

// reportSummary is the part of a report that other entries act upon within milliseconds, and the failure count.
type reportSummary struct {
	reported bool // the upstream was sent
	waiting  int  // waiting entries, at most two: more make no difference
	alive    bool // a sign of life came after the first entry of the data centre began to wait
	failed   int
}

// Next returns the update to send for a list, and whether there is anything to send. first returns since
// when an entry of the data centre has been waiting for an upstream, as far as the receiver knows. A
// changed summary is due at once, failure counts after countInterval, and everything after fullInterval.
func (t *DeltaTracker) Next(now time.Time, reports []Report, first func(*Report) time.Time) (Update, bool) {
	if t.sent == nil {
		t.sent = map[stoatpaddle.UpstreamKey]reportSummary{}
	}
	countsDue := now.Sub(t.countsAt) >= countInterval
	u := Update{Full: len(reports) > 0 && now.Sub(t.fullAt) >= fullInterval}
	listed := make(map[stoatpaddle.UpstreamKey]bool, len(reports))
	for i := range reports {
		r := &reports[i]
		listed[r.Key] = true
		c, old := summaryOf(r, first(r)), t.sent[r.Key]
		if u.Full || c.differs(old, countsDue) {
			u.Reports = append(u.Reports, *r)
			t.sent[r.Key] = c
		}
	}
	for key := range t.sent {
		if listed[key] {
			continue
		}
		delete(t.sent, key)
		if !u.Full {
			u.Reports = append(u.Reports, Report{Key: key})
		}
	}
	if u.Full {
		t.fullAt = now
	}
	if countsDue {
		t.countsAt = now
	}
	return u, len(u.Reports) > 0
}

func summaryOf(r *Report, first time.Time) reportSummary {
	return reportSummary{
		reported: true, waiting: min(2, r.WaitingEntries), failed: r.Failed,
		alive: !first.IsZero() && r.LastHeard.After(first),
	}
}

// differs reports whether the summary has to be sent. Once two entries wait for an upstream, its failure
// count makes no difference any more.
func (s reportSummary) differs(old reportSummary, countsDue bool) bool {
	if s.reported != old.reported {
		// Failures without a wait are collected until counts are due.
		return countsDue || s.waiting > 0 || s.alive
	}
	return s.waiting != old.waiting || s.alive != old.alive || countsDue && s.waiting < 2 && s.failed != old.failed
}
