package stoatmeasure

import (
	"context"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"
)

// silenceFleets are the sizes with which ReportSilence measures.
var silenceFleets = []SilenceConfig{
	{Entries: 3, Upstreams: 6}, {Entries: 9, Upstreams: 14}, {Entries: 30, Upstreams: 40}, {Entries: 90, Upstreams: 120}, {Entries: 300, Upstreams: 400},
}

const (
	silenceRate  = 6.5 // requests per second and upstream: a quiet hour of a large fleet
	silenceShare = 0.3 // share of the upstreams that fail during the fault
)

// wireSilence is a row of the JSON output.
type wireSilence struct {
	Fault          string  `json:"trouble"`
	Sharing        string  `json:"way"`
	Entries        int     `json:"entries"`
	Upstreams      int     `json:"upstreams"`
	Requests       int     `json:"asked"`
	Late           int     `json:"late"`
	Failed         int     `json:"failed"`
	WrongEjections int     `json:"wrongly"`
	DetectionTime  float64 `json:"known"` // ms
	ByteRate       float64 `json:"bytes"` // bytes per second and entry
}

// ReportSilence measures each kind of sharing under each fault at each size, and writes a table or JSON.
func ReportSilence(ctx context.Context, seed uint64, parallel int, asJSON bool, w io.Writer) error {
	var rows []wireSilence
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for _, fleet := range silenceFleets {
		for _, fault := range []Fault{Silenced, Refusing, Lossy, EntryCutOff} {
			for _, sharing := range []Sharing{Isolated, Aggregated, Instant} {
				rows = append(rows, wireSilence{Fault: string(fault), Sharing: string(sharing), Entries: fleet.Entries, Upstreams: fleet.Upstreams})
			}
		}
	}
	for i := range rows {
		group.Go(func() error { return rows[i].measure(ctx, seed) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if asJSON {
		return encodeJSON(w, rows)
	}
	_, _ = fmt.Fprintf(w, "%7s %9s  %-9s  %-30s %6s %5s %6s %7s %8s %10s\n", "entries", "upstreams", "trouble", "way", "asked", "late", "failed", "wrongly", "known ms", "B/s, entry")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%7d %9d  %-9s  %-30s %6d %5d %6d %7d %8.0f %10.0f\n",
			r.Entries, r.Upstreams, r.Fault, r.Sharing, r.Requests, r.Late, r.Failed, r.WrongEjections, r.DetectionTime, r.ByteRate)
	}
	return nil
}

// measure runs the experiment of a row and fills the row in.
func (r *wireSilence) measure(ctx context.Context, seed uint64) error {
	cfg := SilenceConfig{Entries: r.Entries, Upstreams: r.Upstreams, RequestRate: silenceRate, FailingShare: silenceShare, Seed: seed}
	s, err := RunSilence(ctx, cfg, Sharing(r.Sharing), Fault(r.Fault))
	if err != nil {
		return err
	}
	r.Requests, r.Late, r.Failed, r.WrongEjections, r.ByteRate = s.Requests, s.Late, s.Failed, s.WrongEjections, s.ByteRate
	r.DetectionTime = float64(s.DetectionTime.Microseconds()) / 1000
	return nil
}
