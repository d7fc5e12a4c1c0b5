package stoatsoak

import (
	"encoding/json"
	"fmt"
	"io"
)

// wireResult is a run in JSON.
type wireResult struct {
	Seed     uint64           `json:"seed"`
	Steps    int              `json:"steps"`
	Faults   map[StepKind]int `json:"faults"`
	Asked    int              `json:"asked"`
	Served   int              `json:"served"`
	Late     int              `json:"late"`
	Failed   int              `json:"failed"`
	Flows    int              `json:"flows"`
	Resets   int              `json:"resets"`
	Stalls   int              `json:"stalls"`
	Breaches []string         `json:"breaches"`
}

// Report writes what a run showed: a line, and with breaches what led to them.
func Report(w io.Writer, r Result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(toWire(r))
	}
	c := r.Counts
	_, err := fmt.Fprintf(w, "seed %d: %d steps, %d requests: %d in time, %d late, %d failed; %d flows opened, %d reset; %d stalls of the run itself; %d breaches\n",
		r.Seed, len(r.Steps), c.Requests, c.ServedInTime, c.ServedLate, c.Failed, c.FlowsOpened, c.FlowsReset, c.Stalls, len(r.Breaches))
	for _, b := range r.Breaches {
		_, _ = fmt.Fprintln(w, "BREACH", b)
		for _, s := range led(r.Steps, b) {
			_, _ = fmt.Fprintln(w, "   after", s)
		}
	}
	return err
}

// ledSteps is how many steps before a breach are shown.
const ledSteps = 4

// led returns the last steps before a breach.
func led(steps []Step, b Breach) []Step {
	n := 0
	for n < len(steps) && steps[n].At <= b.At {
		n++
	}
	return steps[max(0, n-ledSteps):n]
}

func toWire(r Result) wireResult {
	out := wireResult{
		Seed: r.Seed, Steps: len(r.Steps), Faults: map[StepKind]int{}, Asked: r.Counts.Requests, Served: r.Counts.ServedInTime, Late: r.Counts.ServedLate,
		Failed: r.Counts.Failed, Flows: r.Counts.FlowsOpened, Resets: r.Counts.FlowsReset, Stalls: r.Counts.Stalls, Breaches: []string{},
	}
	for _, s := range r.Steps {
		out.Faults[s.Kind]++
	}
	for _, b := range r.Breaches {
		out.Breaches = append(out.Breaches, b.String())
	}
	return out
}
