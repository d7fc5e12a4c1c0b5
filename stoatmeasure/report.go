package stoatmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
)

// Plan selects and configures the experiments on the flow engine.
type Plan struct {
	Config
	NamePrefix string // of the names of the experiments to run; empty for all
	Parallel   int    // experiments run at once
}

// curveDelays are the additional delays of load reports with which ReportCurve measures.
var curveDelays = []time.Duration{150 * time.Millisecond, time.Second, 5 * time.Second}

// curveGains are the gains with which ReportCurve measures.
var curveGains = []float64{1, 3, 6, 12, 24}

// wireResult is a row of the JSON output.
type wireResult struct {
	Name              string  `json:"name"`
	Upstreams         int     `json:"upstreams"`
	Preference        string  `json:"lean"`
	Seed              uint64  `json:"seed"`
	Flows             int     `json:"flows"`
	Opened            int     `json:"opened"`
	Broken            int     `json:"broken"`
	BrokenByPartition int     `json:"parted"`
	BrokenByRoaming   int     `json:"roamed"`
	NaiveBroken       int     `json:"naive"`
	TrackedShare      float64 `json:"tracked"`
	MaxImbalance      float64 `json:"worst"`
	MeanImbalance     float64 `json:"mean"`
	ControlRate       float64 `json:"control"` // bytes per second and entry
	LateOpenDelay     float64 `json:"late"`    // s
}

// row is a result with its configuration.
type row struct {
	cfg    Config
	result Result
}

// runRows runs at most the given number of jobs at a time, and returns their rows in the order of the jobs.
func runRows(ctx context.Context, parallel int, jobs []func() row) ([]row, error) {
	rows := make([]row, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for i, job := range jobs {
		group.Go(func() error {
			if ctx.Err() == nil {
				rows[i] = job()
			}
			return ctx.Err()
		})
	}
	return rows, group.Wait()
}

// report runs experiments and writes a table or JSON.
func report(ctx context.Context, parallel int, jobs []func() row, asJSON bool, w io.Writer) error {
	rows, err := runRows(ctx, parallel, jobs)
	if err != nil {
		return err
	}
	if asJSON {
		return writeJSON(w, rows)
	}
	writeTable(w, rows)
	return nil
}

// selected reports whether the experiment is to run.
func (p Plan) selected(name string) bool {
	return len(name) >= len(p.NamePrefix) && name[:len(p.NamePrefix)] == p.NamePrefix
}

// ReportExperiments runs the experiments and writes a table or JSON.
func ReportExperiments(ctx context.Context, p Plan, asJSON bool, w io.Writer) error {
	var jobs []func() row
	for _, x := range Experiments() {
		if !p.selected(x.Name) {
			continue
		}
		jobs = append(jobs, func() row { return row{p.Config, Run(x, p.Config)} })
	}
	return report(ctx, p.Parallel, jobs, asJSON, w)
}

// ReportCurve measures how the imbalance and the share of tracked flows depend on each other, for several gains
// and delays of load reports, with lost load reports, and with each value of Config.Preference. It writes a table
// or JSON.
func ReportCurve(ctx context.Context, p Plan, asJSON bool, w io.Writer) error {
	var jobs []func() row
	steady := Experiments()[0]
	add := func(cfg Config, name string) {
		jobs = append(jobs, func() row {
			r := Run(steady, cfg)
			r.Name = name
			return row{cfg, r}
		})
	}
	for _, delay := range curveDelays {
		for _, gain := range curveGains {
			cfg := p.Config
			cfg.Gain, cfg.LoadReportDelay = gain, delay
			add(cfg, fmt.Sprintf("gain %g, loads %s late", gain, delay))
		}
	}
	lossy := p.Config
	lossy.LoadReportLoss = 0.3
	add(lossy, "30% of the load reports lost")
	for _, preference := range []stoatpaddle.Preference{stoatpaddle.PreferFewTracked, stoatpaddle.PreferBalance} {
		cfg := p.Config
		cfg.Preference = preference
		add(cfg, "lean = "+string(preference))
	}
	return report(ctx, p.Parallel, jobs, asJSON, w)
}

func writeTable(w io.Writer, rows []row) {
	_, _ = fmt.Fprintf(w, "%-30s %9s %7s %8s %7s %9s %6s %6s %8s %9s %9s %8s %7s\n",
		"experiment", "upstreams", "flows", "opened", "broken", "share", "roamed", "naive", "tracked", "worst", "mean", "ctl B/s", "late s")
	for _, r := range rows {
		x := r.result
		_, _ = fmt.Fprintf(w, "%-30s %9d %7d %8d %7d %8.4f%% %6d %6d %7.2f%% %9.4f %9.4f %8.0f %7.2f\n",
			x.Name, r.cfg.Upstreams, x.Flows, x.Opened, x.Broken, x.brokenPercent(), x.BrokenByRoaming, x.NaiveBroken, 100*x.TrackedShare,
			x.MaxImbalance, x.MeanImbalance, x.ControlRate, x.LateOpenDelay.Seconds())
	}
}

// brokenPercent returns the broken flows as a percentage of those that were open when counting began.
func (r Result) brokenPercent() float64 { return 100 * float64(r.Broken) / float64(max(1, r.Flows)) }

func writeJSON(w io.Writer, rows []row) error {
	out := []wireResult{}
	for _, r := range rows {
		x := r.result
		out = append(out, wireResult{
			Name: x.Name, Upstreams: r.cfg.Upstreams, Preference: string(r.cfg.Preference), Seed: x.Seed, Flows: x.Flows, Opened: x.Opened,
			Broken: x.Broken, BrokenByPartition: x.BrokenByPartition, BrokenByRoaming: x.BrokenByRoaming, NaiveBroken: x.NaiveBroken,
			TrackedShare: x.TrackedShare, MaxImbalance: x.MaxImbalance, MeanImbalance: x.MeanImbalance,
			ControlRate: x.ControlRate, LateOpenDelay: x.LateOpenDelay.Seconds(),
		})
	}
	return encodeJSON(w, out)
}

// encodeJSON writes a value as indented JSON.
func encodeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
