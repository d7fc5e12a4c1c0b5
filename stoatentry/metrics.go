package stoatentry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatpaddle/stoatpaddle/stoatcall"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// newMetrics registers the entry's own metrics, which GET /metrics exposes.
func (e *Entry) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, value func() int64) {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
	st := e.engine.Stats()
	gauge("stoatpaddle_flow_opened_total", st.Opened.Load)
	gauge("stoatpaddle_flow_adopted_total", st.Adopted.Load)
	gauge("stoatpaddle_flow_tracked_total", st.Tracked.Load)
	gauge("stoatpaddle_flow_relayed_total", st.Relayed.Load)
	gauge("stoatpaddle_flow_asked_total", st.Lookups.Load)
	gauge("stoatpaddle_flow_refused_total", st.Refused.Load)
	gauge("stoatpaddle_flow_silent_total", st.Silent.Load)
	gauge("stoatpaddle_flow_flooded_total", st.Flooded.Load)
	gauge("stoatpaddle_flow_promoted_total", st.Promoted.Load)
	gauge("stoatpaddle_packet_forwarded_total", e.forwarded.Load)
	for r := stoatpacket.DropShort; r < stoatpacket.DropCount; r++ {
		gauge(fmt.Sprintf("stoatpaddle_packet_dropped_total{reason=%q}", r), e.drops[r].Load)
	}
	calls := e.calls.Stats()
	gauge("stoatpaddle_call_answered_total", calls.Answered.Load)
	gauge("stoatpaddle_call_refused_total", calls.Refused.Load)
	for r := range stoatcall.RuleCount {
		gauge(fmt.Sprintf("stoatpaddle_call_refused_by_total{rule=%q}", r), calls.RefusedBy[r].Load)
	}
	gauge("stoatpaddle_call_unknown_total", calls.UnknownOutcome.Load)
	gauge("stoatpaddle_call_cut_total", calls.Truncated.Load)
	gauge("stoatpaddle_call_attempts_total", calls.Attempts.Load)
	gauge("stoatpaddle_call_open", func() int64 { return int64(e.calls.OpenCalls()) })
	gauge("stoatpaddle_control_sent_bytes_total", func() int64 {
		if e.transport == nil {
			return 0
		}
		return e.ControlBytesSent()
	})
	return set
}

// report returns the counts of flows and calls by their outcome.
func (e *Entry) report() stoatstatus.Report {
	flows, calls := e.engine.Stats(), e.calls.Stats()
	return stoatstatus.Report{
		Instance:    string(e.self.ID),
		FlowsOpened: flows.Opened.Load(), FlowsReset: flows.Silent.Load(), FlowsLimited: flows.Refused.Load(),
		CallsAnswered: calls.Answered.Load(), CallsRefused: calls.Refused.Load(), CallsUnknown: calls.UnknownOutcome.Load(), CallsTruncated: calls.Truncated.Load(),
	}
}

func (e *Entry) writeMetrics(w io.Writer) {
	e.metrics.WritePrometheus(w)
	e.calls.WriteMetrics(w)
	metrics.WriteProcessMetrics(w)
}
