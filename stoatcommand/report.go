package stoatcommand

import (
	"fmt"
	"io"

	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatstatus"
)

// objective is the fraction of flows and calls that has to be good.
//
// TODO(objectives): read it from the contract, per customer and for several time windows, and store the counts
// on the platform, so that they outlive the instances.
const objective = 0.999

type reportArgs struct{ entryArgs }

// budgetUse is one objective and how much of its error budget was used.
type budgetUse struct {
	What string  `json:"what"`
	Good int64   `json:"good"`
	Bad  int64   `json:"bad"`
	Used float64 `json:"used"` // fraction of the error budget; above 1 the objective is missed
}

type errorBudgetReport struct {
	Total  stoatstatus.Report   `json:"total"`
	Burns  []budgetUse          `json:"burns"`
	Each   []stoatstatus.Report `json:"each"`
	Silent []string             `json:"silent"`
}

func (a *reportArgs) run(c *env) error {
	st, err := a.client().Status(c.ctx)
	if err != nil {
		return err
	}
	var out errorBudgetReport
	out.Silent = queryEntries(st, func(client *stoatadmin.Client) error {
		r, err := client.Report(c.ctx)
		if err == nil {
			out.Each = append(out.Each, r)
			out.Total = out.Total.Add(r)
		}
		return err
	})
	t := out.Total
	out.Burns = []budgetUse{
		newBudgetUse("flows not reset", t.FlowsOpened-t.FlowsReset, t.FlowsReset),
		newBudgetUse("calls with a whole answer or a true refusal", t.CallsAnswered+t.CallsRefused, t.CallsUnknown+t.CallsTruncated),
		newBudgetUse("calls answered", t.CallsAnswered, t.CallsRefused+t.CallsUnknown+t.CallsTruncated),
	}
	if a.JSON {
		return printJSON(c.out, out)
	}
	out.print(c.out)
	return nil
}

func newBudgetUse(what string, good, bad int64) budgetUse {
	b := budgetUse{What: what, Good: max(0, good), Bad: bad}
	if total := b.Good + b.Bad; total > 0 {
		b.Used = float64(b.Bad) / float64(total) / (1 - objective)
	}
	return b
}

func (r *errorBudgetReport) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "since each entry started, %d entries, objective %.1f%%\n", len(r.Each), 100*objective)
	for _, b := range r.Burns {
		_, _ = fmt.Fprintf(w, "%-46s good %9d  bad %7d  error budget used %7.1f%%\n", b.What, b.Good, b.Bad, 100*b.Used)
	}
	for _, name := range r.Silent {
		_, _ = fmt.Fprintf(w, "%s does not answer; its counts are missing\n", name)
	}
}
