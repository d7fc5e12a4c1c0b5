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
	Config string `arg:"-c,--config,required" placeholder:"FILE.ini" help:"settings file; stoatpaddle check FILE.ini explains its faults"`
}

// run serves until a signal starts a planned stop and the stop is complete.
func (a *runArgs) run(c *env) error {
	data, err := os.ReadFile(a.Config)
	if err != nil {
		return err
	}
	settings, err := stoatsetting.Parse(a.Config, data)
	if err != nil {
		return &SettingsError{Cause: err}
	}
	if settings.Fabric == stoatsetting.FabricEcho {
		return stoatprocess.Run(c.ctx, stoatprocess.Config{File: a.Config, Text: data, Settings: settings, Log: c.out})
	}
	e, err := stoatentry.Start(context.WithoutCancel(c.ctx), stoatentry.Config{Settings: settings, Log: c.err})
	if err != nil {
		return err
	}
	cancelStop := context.AfterFunc(c.ctx, e.Stop)
	defer cancelStop()
	e.Wait()
	return nil
}

type measureArgs struct {
	Entries   int           `default:"9" help:"number of entry instances, in three data centres"`
	Upstreams int           `default:"14" help:"number of upstreams of the service"`
	Flows     int           `default:"67200" help:"number of open flows in the steady state"`
	Opens     float64       `default:"3000" help:"new flows a second, over all entries"`
	Lean      string        `default:"balance" help:"what the customer prefers: flows or balance"`
	Gain      float64       `help:"weight of load differences; 0 for the engine's default"`
	Seed      uint64        `default:"1" help:"seed of the random choices"`
	Only      string        `help:"run only the experiments whose names begin with this, such as 3 or 3a; with --uneven or --overload, the loads"`
	Curve     bool          `help:"instead, measure the load imbalance for different shares of tracked flows"`
	Spread    bool          `help:"instead, compare methods of choosing upstreams on an echo fabric"`
	Silence   bool          `help:"instead, measure how soon a data centre detects upstreams that do not answer"`
	Overload  bool          `help:"instead, measure what happens to new flows when upstreams are overloaded"`
	Large     bool          `help:"with --overload: larger deployments, which takes several minutes"`
	Uneven    bool          `help:"instead, measure what happens while most callers are in one data centre"`
	Sizes     []int         `help:"with --uneven, the numbers of entries; without, 9 and 85"`
	Publish   time.Duration `default:"1s" help:"with --uneven, how often a data centre's load is published"`
	Plot      string        `help:"with --uneven, write plots to PNG and SVG files whose names begin with this"`
	Parallel  int           `default:"4" help:"number of experiments that run at once"`
	JSON      bool          `arg:"--json" help:"print JSON"`
}

// The parameters of the experiment that --spread selects. Slots and request time are those of the larger
// deployments. The duration is long enough for the slowest one percent to be several hundred requests.
const (
	spreadSlots       = 2
	spreadRequestTime = 45 * time.Millisecond
	spreadDuration    = 30 * time.Second
)

func (a *measureArgs) run(c *env) error {
	preference := stoatpaddle.Preference(a.Lean)
	if a.Entries < 5 || a.Upstreams < 4 || a.Flows < 1 || a.Opens <= 0 || preference != stoatpaddle.PreferFewTracked && preference != stoatpaddle.PreferBalance {
		return &UsageError{Problem: "measure needs at least 5 entries, 4 upstreams, 1 flow, a positive rate, and lean = flows or balance"}
	}
	if a.Spread {
		return stoatmeasure.ReportSpread(c.ctx, stoatmeasure.SpreadConfig{
			Entries: a.Entries, Upstreams: a.Upstreams, Slots: spreadSlots, ServiceTime: spreadRequestTime, Duration: spreadDuration, Seed: a.Seed,
		}, a.JSON, c.out)
	}
	if a.Silence {
		return stoatmeasure.ReportSilence(c.ctx, a.Seed, a.Parallel, a.JSON, c.out)
	}
	if a.Overload {
		return stoatmeasure.ReportOverload(c.ctx, stoatmeasure.OverloadPlan{Seed: a.Seed, Parallel: a.Parallel, NamePrefix: a.Only, Large: a.Large}, a.JSON, c.out)
	}
	if a.Uneven {
		return stoatmeasure.ReportUneven(c.ctx, stoatmeasure.UnevenReport{Sizes: a.Sizes, Days: a.Only, Seed: a.Seed, Parallel: a.Parallel, JSON: a.JSON, Publish: a.Publish, Plot: a.Plot}, c.out)
	}
	plan := stoatmeasure.Plan{NamePrefix: a.Only, Parallel: a.Parallel, Config: stoatmeasure.Config{
		Entries: a.Entries, Upstreams: a.Upstreams, Flows: a.Flows, OpenRate: a.Opens, Preference: preference, Gain: a.Gain, Seed: a.Seed,
	}}
	if a.Curve {
		return stoatmeasure.ReportCurve(c.ctx, plan, a.JSON, c.out)
	}
	return stoatmeasure.ReportExperiments(c.ctx, plan, a.JSON, c.out)
}

type demoArgs struct {
	Flows   int    `default:"3000" help:"number of flows that are kept open"`
	Entries int    `default:"9" help:"number of entry instances, in three data centres"`
	Seed    uint64 `default:"1" help:"seed of the random choices"`
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
