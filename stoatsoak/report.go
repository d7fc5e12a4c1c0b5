package stoatsoak

import (
	"encoding/json"
	"fmt"
	"io"
)

// jsonResult is the JSON form of a Result.
type jsonResult struct {
	Seed         uint64           `json:"seed"`
	Steps        int              `json:"steps"`
	Faults       map[StepKind]int `json:"faults"`
	Requests     int              `json:"asked"`
	ServedInTime int              `json:"served"`
	ServedLate   int              `json:"late"`
	Failed       int              `json:"failed"`
	FlowsOpened  int              `json:"flows"`
	FlowsReset   int              `json:"resets"`
	Stalls       int              `json:"stalls"`
	Breaches     []string         `json:"breaches"`
}

// Report writes the result of a run: a summary line, then each breach with the last steps before it. With
// asJSON it writes one line of JSON instead.
func Report(w io.Writer, r Result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(toJSON(r))
	}
	c := r.Counts
	_, err := fmt.Fprintf(w, "seed %d: %d steps, %d requests: %d in time, %d late, %d failed; %d refused, %d rejected; %d flows opened, %d reset; %d stalls of the run itself; %d breaches\n",
		r.Seed, len(r.Steps), c.Requests, c.ServedInTime, c.ServedLate, c.Failed, c.Refused, c.Rejected, c.FlowsOpened, c.FlowsReset, c.Stalls, len(r.Breaches))
	for _, b := range r.Breaches {
		_, _ = fmt.Fprintln(w, "BREACH", b)
		for _, s := range stepsBefore(r.Steps, b) {
			_, _ = fmt.Fprintln(w, "   after", s)
		}
	}
	return err
}

// precedingSteps is the number of steps that a report shows before a breach.
const precedingSteps = 4

// stepsBefore returns the last steps that began before a breach.
func stepsBefore(steps []Step, b Breach) []Step {
	n := 0
	for n < len(steps) && steps[n].At <= b.At {
		n++
	}
	return steps[max(0, n-precedingSteps):n]
}

func toJSON(r Result) jsonResult {
	out := jsonResult{
		Seed: r.Seed, Steps: len(r.Steps), Faults: map[StepKind]int{}, Requests: r.Counts.Requests, ServedInTime: r.Counts.ServedInTime, ServedLate: r.Counts.ServedLate,
		Failed: r.Counts.Failed, FlowsOpened: r.Counts.FlowsOpened, FlowsReset: r.Counts.FlowsReset, Stalls: r.Counts.Stalls, Breaches: []string{},
	}
	for _, s := range r.Steps {
		out.Faults[s.Kind]++
	}
	for _, b := range r.Breaches {
		out.Breaches = append(out.Breaches, b.String())
	}
	return out
}
