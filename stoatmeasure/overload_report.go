package stoatmeasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// overloadFleets are the sizes with which ReportOverload measures.
var overloadFleets = []OverloadConfig{{Entries: 3, Upstreams: 4}, {Entries: 9, Upstreams: 14}, {Entries: 30, Upstreams: 40}, {Entries: 90, Upstreams: 120}}

// loadPattern is a named load.
type loadPattern struct {
	name   string
	stages []Stage
}

var loadPatterns = []loadPattern{
	{"usual", []Stage{{0.6, 4 * time.Second}}},
	{"nearly full", []Stage{{0.9, 4 * time.Second}}},
	{"x 1.3", []Stage{{0.6, time.Second}, {1.3, 4 * time.Second}, {0.6, 2 * time.Second}}},
	{"x 2", []Stage{{0.6, time.Second}, {2, 4 * time.Second}, {0.6, 2 * time.Second}}},
	{"x 4", []Stage{{0.6, time.Second}, {4, 3 * time.Second}, {0.6, 2 * time.Second}}},
	{"x 9", []Stage{{0.6, time.Second}, {9, 2 * time.Second}, {0.6, 2 * time.Second}}},
	{"steps", []Stage{{0.6, time.Second}, {1.3, 2 * time.Second}, {4, 2 * time.Second}, {0.6, time.Second}, {2, 2 * time.Second}, {0.6, 2 * time.Second}}},
}

// overloadRow is a row of the table and of the JSON output.
type overloadRow struct {
	Load       string   `json:"load"`
	Admission  bool     `json:"admission"`
	Entries    int      `json:"entries"`
	Upstreams  int      `json:"upstreams"`
	BoundShare float64  `json:"share"` // Goodput in relation to Bound
	Goodput    float64  `json:"worth"`
	Bound      float64  `json:"bound"`
	Usual      Outcomes `json:"usual"`
	Urgent     Outcomes `json:"urgent"`
}

// ReportOverload simulates each load at each size, with entries that refuse new flows and with entries that
// admit all, and writes a table or JSON.
func ReportOverload(ctx context.Context, seed uint64, parallel int, asJSON bool, w io.Writer) error {
	var rows []overloadRow
	var runs []OverloadConfig
	for _, fleet := range overloadFleets {
		for _, p := range loadPatterns {
			for _, admission := range []bool{false, true} {
				cfg := OverloadConfig{Entries: fleet.Entries, Upstreams: fleet.Upstreams, Stages: p.stages, Seed: seed}
				if admission {
					cfg.Objective = overloadObjective
				}
				rows = append(rows, overloadRow{Load: p.name, Admission: admission, Entries: fleet.Entries, Upstreams: fleet.Upstreams})
				runs = append(runs, cfg)
			}
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for i := range rows {
		group.Go(func() error {
			o, err := RunOverload(ctx, runs[i])
			rows[i].Goodput, rows[i].Bound, rows[i].Usual, rows[i].Urgent = o.Goodput(), o.Bound, o.Usual, o.Urgent
			if o.Bound > 0 {
				rows[i].BoundShare = o.Goodput() / o.Bound
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if asJSON {
		return encodeJSON(w, rows)
	}
	_, _ = fmt.Fprintf(w, "%7s %9s  %-11s %-9s %5s  %28s  %28s\n", "entries", "upstreams", "load", "admission", "share",
		"usual: asked in time late ref", "urgent: asked in time late ref")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%7d %9d  %-11s %-9t %5.2f  %8d %7d %6d %5d  %8d %7d %6d %5d\n", r.Entries, r.Upstreams, r.Load, r.Admission, r.BoundShare,
			r.Usual.Asked, r.Usual.InTime, r.Usual.Late, r.Usual.Refused, r.Urgent.Asked, r.Urgent.InTime, r.Urgent.Late, r.Urgent.Refused)
	}
	return nil
}
