package stoatsoak_test

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatcommand"
	"github.com/stoatpaddle/stoatpaddle/stoatsoak"
)

// TestMain makes the test binary run as the program when a run starts it as an entry.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "run" {
		os.Exit(stoatcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func run(t *testing.T, cfg stoatsoak.Config) stoatsoak.Result {
	t.Helper()
	t.Parallel()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Program, cfg.Dir, cfg.Progress, cfg.Entries = program, t.TempDir(), io.Discard, 3
	cfg.Limits = stoatsoak.TimeLimits{ApplyDelay: 3 * time.Second, StableDelay: 4 * time.Second, Slack: time.Second, RecoveryTime: 12 * time.Second, SkipTimed: cfg.InjectBreach == ""}
	r, err := stoatsoak.Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A run of planned work and faults violates none of the guarantees that do not depend on the machine's speed.
func TestRun(t *testing.T) {
	at := func(s int, k stoatsoak.StepKind, target int) stoatsoak.Step {
		return stoatsoak.Step{At: time.Duration(s) * time.Second, For: time.Second, Kind: k, Target: target}
	}
	r := run(t, stoatsoak.Config{Seed: 1, Length: 16 * time.Second, Plan: []stoatsoak.Step{
		at(3, stoatsoak.ChangeRoute, 1), at(3, stoatsoak.DrainUpstream, 0), at(4, stoatsoak.TerminateEntry, 0), at(5, stoatsoak.ConfigStorm, 2), at(6, stoatsoak.CrashUpstream, 1),
		at(4, stoatsoak.ForeignWrite, 3), at(6, stoatsoak.ForeignWrite, 0), at(7, stoatsoak.RestartUpstream, 3), at(5, stoatsoak.EvacuateCentre, 1), at(11, stoatsoak.SlowUpstreams, 0), at(9, stoatsoak.RestartUpstream, 2),
		at(7, stoatsoak.StoreDown, 0), at(8, stoatsoak.KillEntry, 1), at(10, stoatsoak.FreezeEntry, 2), at(11, stoatsoak.PacketLoss, 0), at(12, stoatsoak.KillAllEntries, 0),
		at(9, stoatsoak.StoreRestore, 0), at(13, stoatsoak.StoreRestore, 0),
	}})
	for _, b := range r.Breaches {
		t.Error(b)
	}
	if r.Counts.ServedInTime+r.Counts.ServedLate == 0 || r.Counts.FlowsOpened == 0 {
		t.Errorf("nothing was served: %+v", r.Counts)
	}
}

// A run in which a data centre gets too much load, and is cut off while entries are replaced, violates none of the
// guarantees that do not depend on the machine's speed. Upstreams did reject requests in it, so that the check of
// rejections is not vacuous.
func TestRunWithCrowd(t *testing.T) {
	plan := []stoatsoak.Step{
		{At: 3 * time.Second, For: 7 * time.Second, Kind: stoatsoak.CrowdCentre, Target: 1},
		{At: 4 * time.Second, Kind: stoatsoak.TerminateEntry, Target: 0},
		{At: 5 * time.Second, For: 2 * time.Second, Kind: stoatsoak.CutCentres},
		{At: 8 * time.Second, Kind: stoatsoak.KillRoot, Target: 0},
	}
	r := run(t, stoatsoak.Config{Seed: 2, Length: 13 * time.Second, Plan: plan})
	for _, b := range r.Breaches {
		t.Error(b)
	}
	if r.Counts.Rejected == 0 || r.Counts.ServedInTime+r.Counts.ServedLate == 0 {
		t.Errorf("nothing was rejected or nothing was served: %+v", r.Counts)
	}
}

// The soak detects an entry that violates a guarantee. How soon depends on the machine, as the entries are real
// processes. So each run lasts until the breach is detected, and the steps that a breach needs repeat, after the
// start has ceased to count as a disturbance.
func TestInjectedBreachIsDetected(t *testing.T) {
	for i, g := range []stoatsoak.Guarantee{stoatsoak.CorrectService, stoatsoak.CorrectAnswer, stoatsoak.AtMostOnce, stoatsoak.FlowSurvives, stoatsoak.NoFlowToLeaving, stoatsoak.ConfigApplied, stoatsoak.Recovers, stoatsoak.EntryRuns, stoatsoak.NoFlowToEvacuated, stoatsoak.ColdLimit, stoatsoak.AdmitsFlows, stoatsoak.NotRun, stoatsoak.PromptRefusal} {
		t.Run(string(g), func(t *testing.T) {
			plan := []stoatsoak.Step{}
			if g == stoatsoak.NoFlowToLeaving {
				for at := 12 * time.Second; at < detectTimeout; at += 8 * time.Second {
					plan = append(plan, stoatsoak.Step{At: at, Kind: stoatsoak.DrainUpstream, Target: 0})
				}
			}
			if g == stoatsoak.AdmitsFlows {
				plan = append(plan, stoatsoak.Step{At: 12 * time.Second, Kind: stoatsoak.ChangeRoute, Target: 1})
			}
			if g == stoatsoak.NoFlowToEvacuated || g == stoatsoak.ColdLimit {
				kind := map[stoatsoak.Guarantee]stoatsoak.StepKind{stoatsoak.NoFlowToEvacuated: stoatsoak.EvacuateCentre, stoatsoak.ColdLimit: stoatsoak.DrainUpstream}[g]
				for at := 12 * time.Second; at < detectTimeout; at += 10 * time.Second {
					plan = append(plan, stoatsoak.Step{At: at, For: 8 * time.Second, Kind: kind, Target: 0})
				}
			}
			r := run(t, stoatsoak.Config{Seed: uint64(20 + i), Length: detectTimeout, Plan: plan, InjectBreach: g})
			for _, b := range r.Breaches {
				if b.Guarantee == g {
					return
				}
			}
			t.Errorf("not detected among %d breaches", len(r.Breaches))
		})
	}
}

// detectTimeout limits a run that must detect a breach. On an idle machine, such a run takes 20 s at most.
const detectTimeout = 90 * time.Second
