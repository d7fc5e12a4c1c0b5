package stoatcommand

import (
	"fmt"
	"io"

	"github.com/stoatpaddle/stoatpaddle"
)

type centreArgs struct {
	Evacuate *centreEvacuateArgs `arg:"subcommand:evacuate" help:"stop new work for the upstreams of a data centre"`
	Restore  *centreRestoreArgs  `arg:"subcommand:restore" help:"withdraw the evacuation of a data centre"`
	List     *centreListArgs     `arg:"subcommand:list" help:"list the evacuated data centres that an entry knows"`
}

type centreNameArgs struct {
	entryArgs
	Centre string `arg:"positional,required" help:"name of the data centre"`
}

type centreEvacuateArgs struct{ centreNameArgs }

func (a *centreEvacuateArgs) run(c *env) error {
	answer, err := a.client().Evacuate(c.ctx, stoatpaddle.DataCentreID(a.Centre))
	return a.printOutcome(c, answer, err)
}

type centreRestoreArgs struct{ centreNameArgs }

func (a *centreRestoreArgs) run(c *env) error {
	answer, err := a.client().EndEvacuation(c.ctx, stoatpaddle.DataCentreID(a.Centre))
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
