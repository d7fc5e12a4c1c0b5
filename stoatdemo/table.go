package stoatdemo

import (
	"fmt"
	"io"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

type faults = stoatfake.Faults

const (
	// maxDrainDelay bounds the time until a leaving upstream gets no new flow any more.
	maxDrainDelay = 3 * time.Second
	// fabricLag is how long the fabric still sends to an entry that leaves.
	fabricLag = time.Second
)

// reading is the state of all counters at one moment.
type reading struct {
	at           time.Time
	flows        stoatfake.FlowCounts
	calls        callCounts
	controlBytes int64
	entries      int
	maxImbalance float64 // highest load over the mean load, the greater value of the two flow services
}

// imbalance returns the ratio of the highest to the mean load of a service's upstreams, without the one to skip.
func (env *environment) imbalance(c stoatpaddle.Contract, skip stoatpaddle.UpstreamID) float64 {
	most, sum, n := 0, 0, 0
	for _, u := range c.Services[0].Upstreams {
		if u.ID == skip {
			continue
		}
		open := env.upstreams[u.ID].OpenFlows()
		most = max(most, open)
		sum += open
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// table prints one row for each phase.
type table struct{ out io.Writer }

func (t *table) printHeader() {
	_, _ = fmt.Fprintf(t.out, "%-28s %6s %6s %8s %8s %8s %7s %5s %8s  %s\n",
		"phase", "flows", "broken", "max/mean", "answered", "refused", "unknown", "cut", "ctl B/s", "note")
}

func (t *table) printRow(name string, before, after reading, note string) {
	seconds := after.at.Sub(before.at).Seconds()
	control := float64(after.controlBytes-before.controlBytes) / seconds / float64(max(1, after.entries))
	_, _ = fmt.Fprintf(t.out, "%-28s %6d %6d %8.3f %8d %8d %7d %5d %8.0f  %s\n",
		name, after.flows.Open, after.flows.Broken-before.flows.Broken, after.maxImbalance, after.calls.answered-before.calls.answered,
		after.calls.refused-before.calls.refused, after.calls.unknown-before.calls.unknown, after.calls.cut-before.calls.cut, control, note)
}

func (t *table) printSummary(calls int64, entries int) {
	_, _ = fmt.Fprintf(t.out, "the platform was called %d times by %d entries and the operators\n", calls, entries)
	_, _ = fmt.Fprintln(t.out, "every guarantee that the demo checks was kept")
}

// violationsOf returns the guarantees that a phase violated.
func violationsOf(p phase, before, after reading) []string {
	var out []string
	allowed := int(p.maxBrokenShare * float64(after.flows.Open))
	if broken := after.flows.Broken - before.flows.Broken; broken > allowed {
		out = append(out, fmt.Sprintf("%s: %d flows broken, %d allowed", p.name, broken, allowed))
	}
	if cut := after.calls.cut - before.calls.cut; cut > 0 && p.maxBrokenShare == 0 {
		out = append(out, fmt.Sprintf("%s: %d answers cut", p.name, cut))
	}
	return out
}
