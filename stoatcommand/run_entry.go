package stoatcommand

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatdemo"
	"github.com/stoatpaddle/stoatpaddle/stoatentry"
	"github.com/stoatpaddle/stoatpaddle/stoatmeasure"
	"github.com/stoatpaddle/stoatpaddle/stoatprocess"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

type runArgs struct {
	Config string `arg:"-c,--config,required" placeholder:"FILE.ini" help:"settings; check FILE.ini explains its faults"`
}

// run serves until a signal asks for a planned stop and that is complete.
func (a *runArgs) run(c *env) error {
	data, err := os.ReadFile(a.Config)
	if err != nil {
		return err
	}
	set, err := stoatsetting.Parse(a.Config, data)
	if err != nil {
		return &SettingsError{Cause: err}
	}
	if set.Fabric == stoatsetting.FabricEcho {
		return stoatprocess.Run(c.ctx, stoatprocess.Config{File: a.Config, Text: data, Settings: set, Log: c.out})
	}
	e, err := stoatentry.Start(context.WithoutCancel(c.ctx), stoatentry.Config{Settings: set, Log: c.err})
	if err != nil {
		return err
	}
	stopped := context.AfterFunc(c.ctx, e.Stop)
	defer stopped()
	e.Wait()
	return nil
}

type measureArgs struct {
	Entries   int     `default:"9" help:"entry instances, over three data centres"`
	Upstreams int     `default:"14" help:"upstreams of the service"`
	Flows     int     `default:"67200" help:"flows open in the steady state"`
	Opens     float64 `default:"3000" help:"flows opened a second, over all entries"`
	Lean      string  `default:"balance" help:"flows or balance"`
	Gain      float64 `help:"weight of load differences; 0 for the engine's own"`
	Seed      uint64  `default:"1" help:"of the random choices"`
	Only      string  `help:"the experiments whose names begin so, such as 3 or 3a"`
	Curve     bool    `help:"measure imbalance against the tracked share instead"`
	Spread    bool    `help:"measure ways of choosing upstreams on an echo fabric instead"`
	Silence   bool    `help:"measure how soon a data centre notices upstreams that answer nobody instead"`
	Overload  bool    `help:"measure what becomes of new flows when callers ask more than upstreams can do instead"`
	Parallel  int     `default:"4" help:"experiments run at once"`
	JSON      bool    `arg:"--json" help:"print JSON"`
}

// Of the experiment with Spread: an upstream's slots and a request's work as on the larger
// deployments, and long enough for the hundredth part to be some hundreds of requests.
const (
	spreadSlots = 2
	spreadWork  = 45 * time.Millisecond
	spreadLast  = 30 * time.Second
)

func (a *measureArgs) run(c *env) error {
	lean := stoatpaddle.Preference(a.Lean)
	if a.Entries < 5 || a.Upstreams < 4 || a.Flows < 1 || a.Opens <= 0 || lean != stoatpaddle.PreferFewTracked && lean != stoatpaddle.PreferBalance {
		return &UsageError{Problem: "measure needs at least 5 entries, 4 upstreams, 1 flow, a positive rate, and lean = flows or balance"}
	}
	if a.Spread {
		return stoatmeasure.ReportSpread(c.ctx, stoatmeasure.SpreadConfig{
			Entries: a.Entries, Upstreams: a.Upstreams, Slots: spreadSlots, Work: spreadWork, Last: spreadLast, Seed: a.Seed,
		}, a.JSON, c.out)
	}
	if a.Silence {
		return stoatmeasure.ReportSilence(c.ctx, a.Seed, a.Parallel, a.JSON, c.out)
	}
	if a.Overload {
		return stoatmeasure.ReportOverload(c.ctx, a.Seed, a.Parallel, a.JSON, c.out)
	}
	plan := stoatmeasure.Plan{Only: a.Only, Parallel: a.Parallel, Config: stoatmeasure.Config{
		Entries: a.Entries, Upstreams: a.Upstreams, Flows: a.Flows, Opens: a.Opens, Lean: lean, Gain: a.Gain, Seed: a.Seed,
	}}
	if a.Curve {
		return stoatmeasure.RunCurve(c.ctx, plan, a.JSON, c.out)
	}
	return stoatmeasure.RunAll(c.ctx, plan, a.JSON, c.out)
}

type demoArgs struct {
	Flows   int    `default:"3000" help:"flows held open"`
	Entries int    `default:"9" help:"entry instances, over three data centres"`
	Seed    uint64 `default:"1" help:"of the random choices"`
	Events  bool   `help:"print the entries' events to standard error"`
}

func (a *demoArgs) run(c *env) error {
	if a.Entries < 4 || a.Flows < 1 {
		return &UsageError{Problem: "demo needs at least 4 entries and 1 flow"}
	}
	events := io.Discard
	if a.Events {
		events = c.err
	}
	return stoatdemo.Run(c.ctx, stoatdemo.Config{
		Flows: a.Flows, Entries: a.Entries, Seed: a.Seed, Out: c.out, Log: events,
	})
}
