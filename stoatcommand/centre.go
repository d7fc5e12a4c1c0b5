package stoatcommand

import (
	"fmt"
	"io"

	"github.com/stoatpaddle/stoatpaddle"
)

type centreArgs struct {
	Evacuate *centreEvacuateArgs `arg:"subcommand:evacuate" help:"have the upstreams of a data centre get no new work"`
	Restore  *centreRestoreArgs  `arg:"subcommand:restore" help:"take an evacuated data centre back"`
	List     *centreListArgs     `arg:"subcommand:list" help:"list the data centres that are evacuated, as an entry sees them"`
}

type centreNameArgs struct {
	entryArgs
	Centre string `arg:"positional,required" help:"a data centre"`
}

type centreEvacuateArgs struct{ centreNameArgs }

func (a *centreEvacuateArgs) run(c *env) error {
	answer, err := a.client().Evacuate(c.ctx, stoatpaddle.DataCentreID(a.Centre))
	return a.printOutcome(c, answer, err)
}

type centreRestoreArgs struct{ centreNameArgs }

func (a *centreRestoreArgs) run(c *env) error {
	answer, err := a.client().TakeBack(c.ctx, stoatpaddle.DataCentreID(a.Centre))
	return a.printOutcome(c, answer, err)
}

type centreListArgs struct{ entryArgs }

func (a *centreListArgs) run(c *env) error {
	st, err := a.client().Status(c.ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(c.out, st.Evacuated)
	}
	for _, dc := range st.Evacuated {
		if _, err := io.WriteString(c.out, fmt.Sprintln(dc)); err != nil {
			return err
		}
	}
	return nil
}
