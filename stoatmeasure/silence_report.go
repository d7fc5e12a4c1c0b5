package stoatmeasure

import (
	"context"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"
)

// silenceFleets are the sizes that ReportSilence measures when none is given.
var silenceFleets = []SilenceConfig{
	{Entries: 3, Upstreams: 6}, {Entries: 9, Upstreams: 14}, {Entries: 30, Upstreams: 40}, {Entries: 90, Upstreams: 120}, {Entries: 300, Upstreams: 400},
}

const (
	silenceRate  = 6.5 // requests a second and upstream: a quiet hour of a large fleet
	silenceShare = 0.3
)

// wireSilence is a row in JSON.
type wireSilence struct {
	Trouble   string  `json:"trouble"`
	Way       string  `json:"way"`
	Entries   int     `json:"entries"`
	Upstreams int     `json:"upstreams"`
	Asked     int     `json:"asked"`
	Late      int     `json:"late"`
	Failed    int     `json:"failed"`
	Wrongly   int     `json:"wrongly"`
	Known     float64 `json:"known"` // ms
	Bytes     float64 `json:"bytes"`
}

// ReportSilence measures each way under each trouble at each size, and writes a table or JSON.
func ReportSilence(ctx context.Context, seed uint64, parallel int, asJSON bool, w io.Writer) error {
	var rows []wireSilence
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for _, fleet := range silenceFleets {
		for _, trouble := range []Fault{Silenced, Refusing, Lossy, EntryCutOff} {
			for _, way := range []Sharing{Isolated, Aggregated, Instant} {
				rows = append(rows, wireSilence{Trouble: string(trouble), Way: string(way), Entries: fleet.Entries, Upstreams: fleet.Upstreams})
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
			r.Entries, r.Upstreams, r.Trouble, r.Way, r.Asked, r.Late, r.Failed, r.Wrongly, r.Known, r.Bytes)
	}
	return nil
}

func (r *wireSilence) measure(ctx context.Context, seed uint64) error {
	cfg := SilenceConfig{Entries: r.Entries, Upstreams: r.Upstreams, RequestRate: silenceRate, FailingShare: silenceShare, Seed: seed}
	s, err := RunSilence(ctx, cfg, Sharing(r.Way), Fault(r.Trouble))
	if err != nil {
		return err
	}
	r.Asked, r.Late, r.Failed, r.Wrongly, r.Bytes = s.Requests, s.Late, s.Failed, s.WrongEjections, s.ByteRate
	r.Known = float64(s.DetectionTime.Microseconds()) / 1000
	return nil
}
