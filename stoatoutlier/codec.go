package stoatoutlier

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// WireReport is a Report as entries send it, as a msgpack array. Times are ages, since the clocks
// of two entries may differ.
type WireReport struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Key             uint32
	Answered        int
	Failed          int
	WaitingEntries  int   // entries that wait in vain
	FirstWaitAgeMS  int64 // since when the first of them waits; -1: none does
	SecondWaitAgeMS int64
	LastHeardAgeMS  int64 // -1: no sign of late
}

// MaxReportBytes is more than the longest list of reports takes.
const MaxReportBytes = 48 * maxReports

// Encode maps reports for sending at that time.
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

// Decode maps what came at that time, and leaves out what nobody can have seen.
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

// maxAge is older than anything that still counts; a greater one would not fit a duration.
const maxAge = time.Hour

func timeOf(now time.Time, ageMS int64) time.Time {
	if ageMS < 0 || ageMS > maxAge.Milliseconds() {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
