package stoatcommand

import (
	"fmt"
	"io"

	"github.com/stoatpaddle/stoatpaddle"
)

type centreArgs struct {
	Evacuate *evacuateArgs `arg:"subcommand:evacuate" help:"have the upstreams of a data centre get no new work"`
	Restore  *takeBackArgs `arg:"subcommand:restore" help:"take an evacuated data centre back"`
	List     *listCentres  `arg:"subcommand:list" help:"list the data centres that are evacuated, as an entry sees them"`
}

type centreNameArgs struct {
	entryArgs
	Centre string `arg:"positional,required" help:"a data centre"`
}

type evacuateArgs struct{ centreNameArgs }

func (a *evacuateArgs) run(c *env) error {
	answer, err := a.client().Evacuate(c.ctx, stoatpaddle.DataCentreID(a.Centre))
	return a.report(c, answer, err)
}

type takeBackArgs struct{ centreNameArgs }

func (a *takeBackArgs) run(c *env) error {
	answer, err := a.client().EndEvacuation(c.ctx, stoatpaddle.DataCentreID(a.Centre))
	return a.report(c, answer, err)
}

type listCentres struct{ entryArgs }

func (a *listCentres) run(c *env) error {
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
