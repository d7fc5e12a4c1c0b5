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
	Seed     uint64        `default:"1" help:"of the first run; the faults follow from it"`
	Runs     int           `default:"1" help:"runs, with one seed after the other"`
	Length   time.Duration `default:"1m" help:"of a run"`
	Entries  int           `default:"6" help:"entry processes"`
	Plan     string        `placeholder:"FILE" help:"steps as a run prints them, in place of those by the seed"`
	Restores bool          `help:"the store comes back from an older copy now and then, and nothing else fails"`
	Dir      string        `placeholder:"DIR" help:"where settings and logs are kept; a new one under the system's temporary files by default"`
	JSON     bool          `arg:"--json" help:"print JSON, a line a run"`
}

// BreachError reports promises that were broken.
type BreachError struct {
	Breaches int
	Logs     string
}

// Error tells how many, and where the logs are.
func (e *BreachError) Error() string {
	return fmt.Sprintf("%d promises were broken; logs are in %s", e.Breaches, e.Logs)
}

// The bounds of a soak.
const (
	soakApplyDelay  = 3 * time.Second  // as on the smaller deployments
	soakStableDelay = 4 * time.Second  // the same
	soakSlack       = time.Second      // for a busy machine
	soakRecovery    = 12 * time.Second // until requests are served again
	soakMinLength   = 15 * time.Second // a shorter run has no room for a step
)

// readPlan reads the steps that a file has, or returns nil: those by the seed are played.
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
		return &UsageError{Problem: "soak needs 2 to 100 entries, a run at least, and a length of 15s at least"}
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
			Program: program, Dir: dir, Seed: seed, Length: a.Length, Entries: a.Entries, Plan: plan, Restores: a.Restores, Out: progress,
			Bounds: stoatsoak.Bounds{Apply: soakApplyDelay, Stable: soakStableDelay, Slack: soakSlack, Back: soakRecovery},
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
		return &BreachError{Breaches: breaches, Logs: a.Dir}
	}
	return nil
}
