package stoatedge

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// counters holds what the goroutines count outside the engine.
type counters struct {
	dropped       [stoatpacket.DropCount]atomic.Int64
	verifications atomic.Int64 // requests for a verification of the state
	set           *metrics.Set
	stats         atomic.Pointer[stoatecho.Stats] // as of the latest scrape
	answerTime    *metrics.Histogram              // from a request to its caller's acknowledgement of the answer
}

// countCall counts one call to the platform.
func (c *counters) countCall(x startCall, r stoatfeed.Result, took time.Duration) {
	kind := "watch"
	switch {
	case x.call.List:
		kind = "list"
	case x.call.AllowStale:
		kind = "replica"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("stoatpaddle_platform_calls_total{topic=%q,kind=%q,outcome=%q}", x.topic, kind, r.Outcome)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("stoatpaddle_platform_call_seconds{topic=%q,kind=%q}", x.topic, kind)).Update(took.Seconds())
	if r.Outcome != stoatfeed.Answered {
		return
	}
	c.set.GetOrCreateGauge(fmt.Sprintf("stoatpaddle_platform_revision{topic=%q}", x.topic), nil).Set(float64(r.AsOf.Revision))
	c.set.GetOrCreateGauge("stoatpaddle_platform_era", nil).Set(float64(r.AsOf.Era))
}

// initMetrics creates the metrics that are needed from the first packet on.
func (c *counters) initMetrics() {
	c.set = metrics.NewSet()
	c.answerTime = c.set.NewHistogram("stoatpaddle_request_answer_seconds")
}

// newMetrics registers the other metrics of /metrics.
func (e *Edge) newMetrics() *metrics.Set {
	set := e.counts.set
	e.counts.stats.Store(&stoatecho.Stats{})
	stat := func(name string, value func(s *stoatecho.Stats) int64) {
		set.NewGauge(name, func() float64 { return float64(value(e.counts.stats.Load())) })
	}
	stat("stoatpaddle_flow_opened_total", func(s *stoatecho.Stats) int64 { return s.Opened })
	stat("stoatpaddle_flow_moved_total", func(s *stoatecho.Stats) int64 { return s.Moved })
	stat("stoatpaddle_flow_spilled_total", func(s *stoatecho.Stats) int64 { return s.Spilled })
	stat("stoatpaddle_flow_refused_total", func(s *stoatecho.Stats) int64 { return s.Refused })
	stat("stoatpaddle_request_answered_total", func(s *stoatecho.Stats) int64 { return s.Answered })
	stat("stoatpaddle_request_late_total", func(s *stoatecho.Stats) int64 { return s.Late })
	stat("stoatpaddle_request_turned_away_total", func(s *stoatecho.Stats) int64 { return s.Rejected })
	stat("stoatpaddle_request_elsewhere_total", func(s *stoatecho.Stats) int64 { return s.AnsweredElsewhere })
	stat("stoatpaddle_flow_open", func(s *stoatecho.Stats) int64 { return int64(s.Flows) })
	stat("stoatpaddle_upstream_ejected_total", func(s *stoatecho.Stats) int64 { return s.Ejected })
	stat("stoatpaddle_upstream_silent_total", func(s *stoatecho.Stats) int64 { return s.EjectedJointly })
	stat("stoatpaddle_packet_forwarded_total", func(s *stoatecho.Stats) int64 { return s.Forwarded })
	for r := stoatpacket.DropShort; r < stoatpacket.DropCount; r++ {
		set.NewGauge(fmt.Sprintf("stoatpaddle_packet_dropped_total{reason=%q}", r), func() float64 {
			return float64(e.counts.stats.Load().Drops[r] + e.counts.dropped[r].Load())
		})
		stat(fmt.Sprintf("stoatpaddle_flow_reset_total{reason=%q}", r), func(s *stoatecho.Stats) int64 { return s.Resets[r] })
	}
	set.NewGauge("stoatpaddle_verification_total", func() float64 { return float64(e.counts.verifications.Load()) })
	set.NewGauge("stoatpaddle_verification_waiting", func() float64 {
		e.engineMu.Lock()
		defer e.engineMu.Unlock()
		return float64(e.verifier.Len())
	})
	set.NewGauge("stoatpaddle_config_version", func() float64 { return float64(e.table.Load().Declaration.Version) })
	set.NewGauge("stoatpaddle_view_age_seconds", func() float64 {
		if age := e.ViewAge(clock()); age >= 0 {
			return age.Seconds()
		}
		return -1
	})
	set.NewGauge("stoatpaddle_tree_children", func() float64 {
		e.relay.mu.Lock()
		defer e.relay.mu.Unlock()
		return float64(e.relay.tree.ChildCount())
	})
	set.NewGauge("stoatpaddle_tree_depth", func() float64 { return float64(e.Depth()) })
	set.NewGauge(`stoatpaddle_tree_bytes_total{direction="sent"}`, func() float64 { return float64(e.relay.sent.Load()) })
	set.NewGauge(`stoatpaddle_tree_bytes_total{direction="received"}`, func() float64 { return float64(e.relay.received.Load()) })
	set.NewGauge("stoatpaddle_log_lost_total", func() float64 { return float64(e.log.writer.Dropped()) })
	return set
}

// writeMetrics reads the engine's counters once, since each read takes the lock that traffic needs.
func (e *Edge) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	stats := e.Stats()
	e.counts.stats.Store(&stats)
	for _, omitted := range e.log.sampler.TotalOmitted() {
		e.metrics.GetOrCreateCounter(fmt.Sprintf("stoatpaddle_log_left_out_total{event=%q}", omitted.Number)).Set(uint64(omitted.Count))
	}
	e.metrics.WritePrometheus(w)
	e.writeInProgress(w)
	e.writeLevels(w)
	e.writeSpill(w)
	metrics.WriteProcessMetrics(w)
}

// writeInProgress writes what is in progress at each upstream. Upstreams come and go, so the lines are made
// at each scrape instead of being kept in a set.
func (e *Edge) writeInProgress(w io.Writer) {
	t := e.table.Load()
	e.engineMu.Lock()
	list := e.engine.UpstreamStates(clock())
	e.engineMu.Unlock()
	flows := map[stoatpaddle.DataCentreID]int{}
	for _, x := range list {
		u := t.Upstream(x.Upstream)
		if u == nil {
			continue
		}
		flows[u.DataCentre] += x.Flows
		label := fmt.Sprintf("{upstream=%q,service=%q}", u.ID, u.Service)
		// A client that has closed the connection needs no answer.
		_, _ = fmt.Fprintf(w, "stoatpaddle_upstream_flows%s %d\nstoatpaddle_upstream_requests%s %d\n"+
			"stoatpaddle_upstream_answer_mean_seconds%s %g\nstoatpaddle_upstream_ejected%s %d\nstoatpaddle_upstream_failing%s %d\n",
			label, x.Flows, label, x.PendingRequests, label, x.MeanAnswer.Seconds(), label, oneIf(x.Ejected), label, oneIf(x.Failing))
	}
	for _, d := range slices.Sorted(maps.Keys(flows)) {
		_, _ = fmt.Fprintf(w, "stoatpaddle_centre_flows{centre=%q} %d\nstoatpaddle_centre_evacuated{centre=%q} %d\n", d, flows[d], d, oneIf(t.Evacuated(d)))
	}
}

// oneIf returns the value of a gauge for a state.
func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}
