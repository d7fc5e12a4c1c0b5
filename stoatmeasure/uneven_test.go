package stoatmeasure

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// unevenRun runs a day of unevenDays.
func unevenRun(t *testing.T, day, entries int, way UnevenWay, seed uint64) UnevenResult {
	t.Helper()
	d := unevenDays[day]
	r, err := RunUneven(context.Background(), UnevenConfig{Way: way, Entries: entries, Upstreams: unevenUpstreams(entries), Phases: d.phases, SlowShare: d.slowShare, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	sum := r.Outcomes()
	t.Logf("%s, %d entries, way %s: worth %.3f, %d spilled, %d rejected, usual %+v, urgent %+v", d.name, entries, way, worth(sum), r.Spilled, r.Rejected, sum[0], sum[1])
	return r
}

// refusedShare returns the share of the requests of a period that were not served.
func refusedShare(r *UnevenResult, from, to time.Duration) float64 {
	asked, refused := 0, 0
	for _, step := range r.Steps[from/unevenStep : to/unevenStep] {
		for _, centre := range step {
			for _, o := range centre {
				asked += o.Asked
				refused += o.Refused
			}
		}
	}
	return float64(refused) / float64(max(1, asked))
}

// While nine of ten callers are in one data centre, the others have idle slots: once the spill has begun, callers must
// be served. Without any spill two in five are not.
func TestUnevenDay(t *testing.T) {
	const from, to = 7 * time.Second, 10 * time.Second
	none := unevenRun(t, 0, 85, WayNone, 1)
	if got := refusedShare(&none, from, to); got < 0.2 {
		t.Errorf("%.3f of the requests fail without a spill, so that the day shows nothing", got)
	}
	for _, way := range []UnevenWay{WayRoom, WayBoth} {
		r := unevenRun(t, 0, 85, way, 1)
		if got := refusedShare(&r, from, to); got > 0.03 {
			t.Errorf("%s: %.3f of the requests fail while others have room", way, got)
		}
		if worth(r.Outcomes()) < worth(none.Outcomes())+0.1 {
			t.Errorf("%s: worth %.3f, without a spill %.3f", way, worth(r.Outcomes()), worth(none.Outcomes()))
		}
	}
}

// Where all data centres are overloaded, a spill would only move rejections: with published room nothing may be
// spilled, and no request be lost by it.
func TestUnevenModelWithoutRoom(t *testing.T) {
	none, room := unevenRun(t, 2, 85, WayNone, 1), unevenRun(t, 2, 85, WayRoom, 1)
	if room.Spilled > 0 || worth(room.Outcomes()) < worth(none.Outcomes())-0.005 {
		t.Errorf("%d spilled, worth %.3f, without a spill %.3f", room.Spilled, worth(room.Outcomes()), worth(none.Outcomes()))
	}
}

// A run must depend on its seed alone, or a failing one could not be repeated.
func TestUnevenIsDeterministic(t *testing.T) {
	a, b, c := unevenRun(t, 0, 9, WayBoth, 1), unevenRun(t, 0, 9, WayBoth, 1), unevenRun(t, 0, 9, WayBoth, 2)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same seed differ")
	}
	if reflect.DeepEqual(a, c) {
		t.Error("two runs with different seeds are equal")
	}
}

// The report must contain a row for each day and way, and the plots must be files of their formats.
func TestReportUneven(t *testing.T) {
	prefix := filepath.Join(t.TempDir(), "worth")
	var out bytes.Buffer
	if err := ReportUneven(context.Background(), UnevenReport{Sizes: []int{9}, Seed: 1, Parallel: 2, Plot: prefix}, &out); err != nil {
		t.Fatal(err)
	}
	if got, want := bytes.Count(out.Bytes(), []byte("\n")), 1+len(unevenDays)*int(unevenWays); got != want {
		t.Errorf("%d lines, want %d", got, want)
	}
	for _, d := range unevenDays {
		for ending, begin := range map[string]string{".png": "\x89PNG", ".svg": "<?xml"} {
			data, err := os.ReadFile(prefix + "-" + d.name + "-9" + ending)
			if err != nil || !bytes.HasPrefix(data, []byte(begin)) {
				t.Errorf("%s%s: %v, %d bytes", d.name, ending, err, len(data))
			}
		}
	}
	if err := plotUneven([]unevenRow{{Day: "a", Way: "none"}}, filepath.Join(prefix, "none", "a")); err == nil {
		t.Error("no error for a directory that does not exist")
	}
}
