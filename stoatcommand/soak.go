package stoatcommand

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatsoak"
)

type soakArgs struct {
	Seed     uint64        `default:"1" help:"seed of the first run, which determines its faults"`
	Runs     int           `default:"1" help:"number of runs; the seed increases by 1 with each run"`
	Length   time.Duration `default:"1m" help:"duration of a run"`
	Entries  int           `default:"6" help:"number of entry processes"`
	Plan     string        `placeholder:"FILE" help:"file with the steps to run, as a run prints them, instead of those that the seed determines"`
	Restores bool          `help:"restore the store from a backup now and then, and inject no other faults"`
	Crowds   bool          `help:"overload one data centre now and then while entries are replaced, cut it off or kill its root"`
	Dir      string        `placeholder:"DIR" help:"directory for settings and logs; by default a new one in the system's temporary directory"`
	JSON     bool          `arg:"--json" help:"print JSON, one line per run"`
}

// BreachError reports that guarantees of the system were violated during a soak test.
type BreachError struct {
	Breaches int
	LogDir   string
}

// Error gives the number of violations and the directory of the logs.
func (e *BreachError) Error() string {
	return fmt.Sprintf("%d guarantees were violated; logs are in %s", e.Breaches, e.LogDir)
}

// The time limits of a soak test.
const (
	soakApplyDelay  = 3 * time.Second  // until a change is in force, as on the smaller deployments
	soakStableDelay = 4 * time.Second  // from a fault until the guarantees hold again, as on the smaller deployments
	soakSlack       = time.Second      // allowance for a busy machine
	soakRecovery    = 12 * time.Second // from a fault until requests are served again
	soakMinLength   = 15 * time.Second // a shorter run has no time for a step
)

// readPlan returns the steps of the plan's file, or nil if no file is given. Then the seed determines the
// steps.
func (a *soakArgs) readPlan() ([]stoatsoak.Step, error) {
	if a.Plan == "" {
		return nil, nil
	}
	f, err := os.Open(a.Plan)
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	defer func() { _ = f.Close() }()
	steps, err := stoatsoak.ReadPlan(f)
	if err != nil {
		return nil, &UsageError{Problem: a.Plan + ": " + err.Error()}
	}
	return steps, nil
}

func (a *soakArgs) run(c *env) error {
	if a.Entries < 2 || a.Entries > 100 || a.Runs < 1 || a.Length < soakMinLength {
		return &UsageError{Problem: "soak needs 2 to 100 entries, at least 1 run and a length of at least 15s"}
	}
	plan, err := a.readPlan()
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if a.Dir == "" {
		if a.Dir, err = os.MkdirTemp("", "stoatpaddle-soak-"); err != nil {
			return err
		}
	}
	progress := c.err
	if a.JSON {
		progress = io.Discard
	}
	breaches := 0
	for n := range a.Runs {
		seed := a.Seed + uint64(n)
		dir := filepath.Join(a.Dir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		result, err := stoatsoak.Run(c.ctx, stoatsoak.Config{
			Program: program, Dir: dir, Seed: seed, Length: a.Length, Entries: a.Entries, Plan: plan, Restores: a.Restores, Crowds: a.Crowds, Progress: progress,
			Limits: stoatsoak.TimeLimits{ApplyDelay: soakApplyDelay, StableDelay: soakStableDelay, Slack: soakSlack, RecoveryTime: soakRecovery},
		})
		if err != nil {
			return err
		}
		if err := stoatsoak.Report(c.out, result, a.JSON); err != nil {
			return err
		}
		breaches += len(result.Breaches)
		if c.ctx.Err() != nil {
			break
		}
	}
	if breaches > 0 {
		return &BreachError{Breaches: breaches, LogDir: a.Dir}
	}
	return nil
}
