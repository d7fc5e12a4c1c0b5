package stoatcommand

import (
	"fmt"
	"io"

	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// objective is the part of flows and calls that has to go well.
//
// TODO(objectives): take it from the contract, per customer and over several windows, and
// keep the counts on the platform, so that they outlive the instances.
const objective = 0.999

type reportArgs struct{ entryArgs }

// burn is one objective and what was used of its error budget.
type burn struct {
	What string  `json:"what"`
	Good int64   `json:"good"`
	Bad  int64   `json:"bad"`
	Used float64 `json:"used"` // of the error budget; over 1, the objective is missed
}

type burnReport struct {
	Total  stoatstatus.Report   `json:"total"`
	Burns  []burn               `json:"burns"`
	Each   []stoatstatus.Report `json:"each"`
	Silent []string             `json:"silent"`
}

func (a *reportArgs) run(c *env) error {
	st, err := a.client().Status(c.ctx)
	if err != nil {
		return err
	}
	var out burnReport
	out.Silent = eachEntry(st, func(client *stoatadmin.Client) error {
		r, err := client.Report(c.ctx)
		if err == nil {
			out.Each = append(out.Each, r)
			out.Total = out.Total.Add(r)
		}
		return err
	})
	t := out.Total
	out.Burns = []burn{
		newBurn("flows not reset", t.FlowsOpened-t.FlowsReset, t.FlowsReset),
		newBurn("calls with a whole answer or a true refusal", t.CallsAnswered+t.CallsRefused, t.CallsUnknown+t.CallsTruncated),
		newBurn("calls answered", t.CallsAnswered, t.CallsRefused+t.CallsUnknown+t.CallsTruncated),
	}
	if a.JSON {
		return printJSON(c.out, out)
	}
	out.print(c.out)
	return nil
}

func newBurn(what string, good, bad int64) burn {
	b := burn{What: what, Good: max(0, good), Bad: bad}
	if total := b.Good + b.Bad; total > 0 {
		b.Used = float64(b.Bad) / float64(total) / (1 - objective)
	}
	return b
}

func (r *burnReport) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "since each entry started, %d entries, objective %.1f%%\n", len(r.Each), 100*objective)
	for _, b := range r.Burns {
		_, _ = fmt.Fprintf(w, "%-46s good %9d  bad %7d  error budget used %7.1f%%\n", b.What, b.Good, b.Bad, 100*b.Used)
	}
	for _, name := range r.Silent {
		_, _ = fmt.Fprintf(w, "%s does not answer; its counts are missing\n", name)
	}
}
