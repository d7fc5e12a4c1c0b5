package stoatmeasure

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// unevenSizes are the numbers of entries with which ReportUneven measures unless others are given.
var unevenSizes = []int{9, 85}

// unevenDay is a named load.
type unevenDay struct {
	name      string
	phases    []UnevenPhase
	slowShare float64
}

// The load of a usual day is that of 165 of 240 slots.
const usualUse = 165.0 / 240

var (
	evenShares  = [unevenCentres]float64{1. / 3, 1. / 3, 1. / 3}
	firstShares = [unevenCentres]float64{0.9, 0.05, 0.05}
	lastShares  = [unevenCentres]float64{0.05, 0.05, 0.9}
)

var unevenDays = []unevenDay{
	{"uneven", []UnevenPhase{{usualUse, evenShares, 4 * time.Second}, {usualUse, firstShares, 6 * time.Second}, {usualUse, lastShares, 6 * time.Second}, {usualUse, evenShares, 2 * time.Second}}, 0.1},
	{"slow", []UnevenPhase{{0.55, evenShares, 4 * time.Second}, {0.55, firstShares, 6 * time.Second}, {0.55, lastShares, 6 * time.Second}, {0.55, evenShares, 2 * time.Second}}, 0.25},
	{"full", []UnevenPhase{{usualUse, evenShares, 4 * time.Second}, {1.4, evenShares, 4 * time.Second}, {usualUse, evenShares, 2 * time.Second}}, 0.1},
}

// UnevenReport configures ReportUneven.
type UnevenReport struct {
	Sizes    []int  // numbers of entries; empty: the usual ones
	Days     string // only the days whose names begin with this
	Seed     uint64
	Parallel int
	JSON     bool
	Publish  time.Duration // how often the sum of a data centre goes to the others; 0: the default of UnevenConfig
	Plot     string        // the files of the plots begin with this; empty: no plots
}

// unevenRow is a row of the table and of the JSON output.
type unevenRow struct {
	Day       string   `json:"load"`
	Way       string   `json:"way"`
	Entries   int      `json:"entries"`
	Upstreams int      `json:"upstreams"`
	Worth     float64  `json:"worth"` // goodput as a share of what was asked
	Failed    float64  `json:"failed"`
	Openings  float64  `json:"openings"` // per request
	Resets    int      `json:"resets"`
	Rejected  int      `json:"rejected"`
	Spilled   int      `json:"spilled"`
	Usual     Outcomes `json:"usual"`
	Urgent    Outcomes `json:"urgent"`

	steps []UnevenStep
}

// unevenUpstreams returns the number of upstreams for a number of entries, as in the larger deployments.
func unevenUpstreams(entries int) int {
	return max(2*unevenCentres*unevenCentres, entries*7/5/unevenCentres*unevenCentres)
}

// ReportUneven simulates each day with each way at each size, and writes a table or JSON, and plots if these are
// wanted.
func ReportUneven(ctx context.Context, cfg UnevenReport, w io.Writer) error {
	rows, err := measureUneven(ctx, cfg)
	if err != nil {
		return err
	}
	if cfg.Plot != "" {
		if err := plotUneven(rows, cfg.Plot); err != nil {
			return err
		}
	}
	if cfg.JSON {
		return encodeJSON(w, rows)
	}
	writeUneven(w, rows)
	return nil
}

// measureUneven runs all runs.
func measureUneven(ctx context.Context, cfg UnevenReport) ([]unevenRow, error) {
	if len(cfg.Sizes) == 0 {
		cfg.Sizes = unevenSizes
	}
	var rows []unevenRow
	var runs []UnevenConfig
	for _, entries := range cfg.Sizes {
		for _, d := range unevenDays {
			if !strings.HasPrefix(d.name, cfg.Days) {
				continue
			}
			for way := range unevenWays {
				run := UnevenConfig{Way: way, Entries: entries, Upstreams: unevenUpstreams(entries), Phases: d.phases, SlowShare: d.slowShare, PublishInterval: cfg.Publish, Seed: cfg.Seed}
				runs = append(runs, run)
				rows = append(rows, unevenRow{Day: d.name, Way: way.String(), Entries: entries, Upstreams: run.Upstreams})
			}
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, cfg.Parallel))
	for i := range rows {
		group.Go(func() error {
			r, err := RunUneven(ctx, runs[i])
			rows[i].fill(&r)
			return err
		})
	}
	return rows, group.Wait()
}

// fill sets the results of a run.
func (r *unevenRow) fill(x *UnevenResult) {
	sum := x.Outcomes()
	r.Usual, r.Urgent = sum[0], sum[1]
	r.Worth = worth(sum)
	asked := float64(max(1, sum[0].Asked+sum[1].Asked))
	r.Failed, r.Openings = float64(sum[0].Refused+sum[1].Refused)/asked, float64(x.Openings)/asked
	r.Resets, r.Rejected, r.Spilled, r.steps = x.Resets, x.Rejected, x.Spilled, x.Steps
}

// worth returns the goodput as a share of what was asked.
func worth(o [2]Outcomes) float64 {
	asked := float64(o[0].Asked) + urgentWeight*float64(o[1].Asked)
	if asked <= 0 {
		return 1
	}
	return (float64(o[0].InTime) + urgentWeight*float64(o[1].InTime)) / asked
}

func writeUneven(w io.Writer, rows []unevenRow) {
	_, _ = fmt.Fprintf(w, "%7s %9s  %-7s %-7s %6s %7s %8s %7s %8s %7s  %28s  %28s\n", "entries", "upstreams", "load", "way", "worth", "failed", "openings", "resets", "rejected", "spilled",
		"usual: asked in time late ref", "urgent: asked in time late ref")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%7d %9d  %-7s %-7s %6.3f %6.2f%% %8.2f %7d %8d %7d  %8d %7d %6d %5d  %8d %7d %6d %5d\n", r.Entries, r.Upstreams, r.Day, r.Way, r.Worth, 100*r.Failed, r.Openings, r.Resets, r.Rejected, r.Spilled,
			r.Usual.Asked, r.Usual.InTime, r.Usual.Late, r.Usual.Refused, r.Urgent.Asked, r.Urgent.InTime, r.Urgent.Late, r.Urgent.Refused)
	}
}
