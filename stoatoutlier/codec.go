package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// WireReport is the wire form of a Report, a msgpack array. Times are sent as ages because the clocks of
// two entries may differ.
type WireReport struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Key             uint32
	Answered        int
	Failed          int
	WaitingEntries  int   // entries that wait for an overdue answer
	FirstWaitAgeMS  int64 // age of the earliest wait; -1: no entry waits
	SecondWaitAgeMS int64 // age of the second wait; -1: at most one entry waits
	LastHeardAgeMS  int64 // age of the last sign of life; -1: none recently
}

// MaxReportBytes is an upper bound for the encoded size of a full list of reports.
const MaxReportBytes = 48 * maxReports

// Encode converts reports to their wire form at the time now.
func Encode(now time.Time, list []Report) []WireReport {
	out := make([]WireReport, 0, len(list))
	for i := range list {
		r := &list[i]
		out = append(out, WireReport{
			Key: uint32(r.Key), Answered: r.Answered, Failed: r.Failed, WaitingEntries: r.WaitingEntries,
			FirstWaitAgeMS: ageOf(now, r.FirstWaitSince), SecondWaitAgeMS: ageOf(now, r.SecondWaitSince), LastHeardAgeMS: ageOf(now, r.LastHeard),
		})
	}
	return out
}

// Decode converts reports that were received at the time now. It leaves out reports with a negative count,
// which no entry can have observed, and everything beyond maxReports.
func Decode(now time.Time, list []WireReport) []Report {
	out := make([]Report, 0, min(len(list), maxReports))
	for _, w := range list[:min(len(list), maxReports)] {
		if w.Answered < 0 || w.Failed < 0 || w.WaitingEntries < 0 {
			continue
		}
		out = append(out, Report{
			Key: stoatpaddle.UpstreamKey(w.Key), Counts: Counts{Answered: w.Answered, Failed: w.Failed},
			Silence: Silence{WaitingEntries: w.WaitingEntries, FirstWaitSince: timeOf(now, w.FirstWaitAgeMS), SecondWaitSince: timeOf(now, w.SecondWaitAgeMS), LastHeard: timeOf(now, w.LastHeardAgeMS)},
		})
	}
	return out
}

func ageOf(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t).Milliseconds())
}

// maxAge is longer ago than anything that still counts. Ages far beyond it would overflow a time.Duration.
const maxAge = time.Hour

func timeOf(now time.Time, ageMS int64) time.Time {
	if ageMS < 0 || ageMS > maxAge.Milliseconds() {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
