package stoatoutlier

import "github.com/stoatpaddle/stoatpaddle"

// WireReport is a Report as entries send it, as a msgpack array.
type WireReport struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      uint32
	Answered int
	Failed   int
}

// MaxReportBytes is more than the longest list of reports takes.
const MaxReportBytes = 16 * maxReports

// Encode maps reports for sending.
func Encode(list []Report) []WireReport {
	out := make([]WireReport, 0, len(list))
	for _, r := range list {
		out = append(out, WireReport{Key: uint32(r.Key), Answered: r.Answered, Failed: r.Failed})
	}
	return out
}

// Decode maps what was sent, and leaves out counts that nobody can have seen.
func Decode(list []WireReport) []Report {
	out := make([]Report, 0, min(len(list), maxReports))
	for _, w := range list[:min(len(list), maxReports)] {
		if w.Answered >= 0 && w.Failed >= 0 {
			out = append(out, Report{Key: stoatpaddle.UpstreamKey(w.Key), Counts: Counts{Answered: w.Answered, Failed: w.Failed}})
		}
	}
	return out
}
