package stoatdemo

import (
	"fmt"
	"io"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

type trouble = stoatfake.Faults

const (
	// leavingWithin is the promise about an upstream that leaves.
	leavingWithin = 3 * time.Second
	// fabricLag is how long the fabric goes on sending to an entry that leaves.
	fabricLag = time.Second
)

// reading is what was counted up to one moment.
type reading struct {
	at      time.Time
	flows   stoatfake.FlowCounts
	calls   callCounts
	control int64
	entries int
	worst   float64 // max/mean load, the worse of the two services
}

// imbalance returns the greatest load over the mean of a service's upstreams, leaving ones apart.
func (w *world) imbalance(c stoatpaddle.Contract, skip stoatpaddle.UpstreamID) float64 {
	most, sum, n := 0, 0, 0
	for _, u := range c.Services[0].Upstreams {
		if u.ID == skip {
			continue
		}
		open := w.upstreams[u.ID].OpenFlows()
		most = max(most, open)
		sum += open
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// table prints a row a phase.
type table struct{ out io.Writer }

func (t *table) head() {
	_, _ = fmt.Fprintf(t.out, "%-28s %6s %6s %8s %8s %8s %7s %5s %8s  %s\n",
		"phase", "flows", "broken", "max/mean", "answered", "refused", "unknown", "cut", "ctl B/s", "note")
}

func (t *table) row(name string, a, b reading, note string) {
	seconds := b.at.Sub(a.at).Seconds()
	control := float64(b.control-a.control) / seconds / float64(max(1, b.entries))
	_, _ = fmt.Fprintf(t.out, "%-28s %6d %6d %8.3f %8d %8d %7d %5d %8.0f  %s\n",
		name, b.flows.Open, b.flows.Broken-a.flows.Broken, b.worst, b.calls.answered-a.calls.answered,
		b.calls.refused-a.calls.refused, b.calls.unknown-a.calls.unknown, b.calls.cut-a.calls.cut, control, note)
}

func (t *table) end(calls int64, entries int) {
	_, _ = fmt.Fprintf(t.out, "the platform was called %d times by %d entries and the operators\n", calls, entries)
	_, _ = fmt.Fprintln(t.out, "every promise that the demo checks was kept")
}

// judge returns the promises that a phase broke.
func judge(p phase, a, b reading) []string {
	var out []string
	allowed := int(p.allowed * float64(b.flows.Open))
	if broken := b.flows.Broken - a.flows.Broken; broken > allowed {
		out = append(out, fmt.Sprintf("%s: %d flows broken, %d allowed", p.name, broken, allowed))
	}
	if cut := b.calls.cut - a.calls.cut; cut > 0 && p.allowed == 0 {
		out = append(out, fmt.Sprintf("%s: %d answers cut", p.name, cut))
	}
	return out
}
