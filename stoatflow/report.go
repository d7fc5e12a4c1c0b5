package stoatflow

import (
	"hash/fnv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	// farReportInterval is the minimum time between load reports to entries of other data centres. Those of
	// the same data centre own nearly all flows on the same upstreams, so they may get a report with each
	// flush.
	farReportInterval = 400 * time.Millisecond
	// maxReportInterval is the maximum time between load reports, so that a lost report is replaced.
	maxReportInterval = 5 * time.Second
	// minReportedChange is the change, as a fraction of the total load, that is reported before
	// maxReportInterval. Reports of an unchanged load would cost as much as those of a changed one.
	minReportedChange = 0.003
)

// sentReport is the last report on one set.
type sentReport struct {
	open []uint32
	at   time.Time
}

// reportScope identifies a set and whether the receivers are in this data centre or in others.
type reportScope struct {
	set SetDigest
	far bool
}

// reportLoads queues reports of the load on each upstream for the other entries.
func (e *Engine) reportLoads(now time.Time, v *stoatview.View) {
	self := v.Entries.Find(v.Self)
	if self == nil {
		return
	}
	for _, s := range v.Services {
		if s.Kind != stoatpaddle.KindFlow || len(s.Set.Upstreams) < 2 {
			continue
		}
		report := e.loadsOf(s.Set)
		for _, far := range []bool{false, true} {
			if e.reportDue(now, report, far) {
				e.enqueueReport(v, self, report, far)
			}
		}
	}
}

// loadsOf returns this entry's load on each upstream of a set.
func (e *Engine) loadsOf(set *stoatview.UpstreamSet) LoadReport {
	report := LoadReport{Set: digest(set)}
	for _, sl := range e.reg.Load().slotsBySet[set] {
		report.Open = append(report.Open, uint32(max(0, sl.open.Load())))
	}
	return report
}

// reportDue reports whether the load changed enough, or the last report is old enough, to send one. If so
// it records the loads as reported.
func (e *Engine) reportDue(now time.Time, l LoadReport, far bool) bool {
	key := reportScope{set: l.Set, far: far}
	last := e.sentReports[key]
	if far && now.Sub(last.at) < farReportInterval {
		return false
	}
	if now.Sub(last.at) < maxReportInterval && !loadsChanged(last.open, l.Open) {
		return false
	}
	e.sentReports[key] = sentReport{open: l.Open, at: now}
	return true
}

// enqueueReport queues the report for the other entries, either those of this data centre or those of
// others.
func (e *Engine) enqueueReport(v *stoatview.View, self *stoatview.Member, l LoadReport, far bool) {
	for _, m := range v.Entries.Members {
		if m != self && far == (m.DataCentre != self.DataCentre) {
			e.outbox.enqueueLoads(m.ID, l)
		}
	}
}

// loadsChanged reports whether the loads changed by more than minReportedChange of their sum.
func loadsChanged(before, now []uint32) bool {
	if len(before) != len(now) {
		return true
	}
	var change, sum int64
	for i := range now {
		d := int64(now[i]) - int64(before[i])
		change += max(d, -d)
		sum += int64(now[i])
	}
	return float64(change) > minReportedChange*float64(sum)
}

// digest returns a hash of the keys of the set's upstreams.
func digest(set *stoatview.UpstreamSet) SetDigest {
	h := fnv.New32a()
	for _, u := range set.Upstreams {
		k := u.Key
		_, _ = h.Write([]byte{byte(k >> 24), byte(k >> 16), byte(k >> 8), byte(k)})
	}
	return SetDigest(h.Sum32())
}
