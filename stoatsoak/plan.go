package stoatsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is one kind of fault or change.
type StepKind string

// The kinds. The first ones are planned work, under which every promise holds; the others
// are disturbances.
const (
	TerminateEntry StepKind = "terminate" // SIGTERM to an entry, which starts again
	RollingRestart StepKind = "rolling"   // the same for all, in turn
	DrainUpstream  StepKind = "drain"     // an upstream leaves, and another one joins
	RollingRelease StepKind = "release"   // all upstreams of a service are replaced in turn
	ChangeRoute    StepKind = "routes"    // a route is added, the one added before is removed
	ConfigStorm    StepKind = "storm"     // ten configurations within a second
	ChangeSettings StepKind = "settings"  // the settings file changes, with or without a signal
	ForeignWrite   StepKind = "foreign"   // another writer writes over an upstream's entry, and adds one
	EvacuateCentre StepKind = "evacuate"  // a data centre is evacuated, and taken back
	SlowUpstreams  StepKind = "queue"     // upstreams answer late, as through a full queue

	KillEntry          StepKind = "kill"    // SIGKILL to an entry
	KillAllEntries     StepKind = "killall" // SIGKILL to all entries at once
	FreezeEntry        StepKind = "freeze"  // SIGSTOP for a while
	CrashUpstream      StepKind = "crash"   // an upstream dies; its address goes to the other service
	RestartUpstream    StepKind = "restart" // an upstream dies and starts again under its id, soon or late, there or elsewhere
	StoreDown          StepKind = "down"    // the store answers nothing; registrations lapse meanwhile
	StoreSlow          StepKind = "slow"    // its answers take 200 ms
	StoreLag           StepKind = "lag"     // its replicas stand still
	StoreSilentWatch   StepKind = "mute"    // its watches tell nothing
	StoreCompact       StepKind = "forget"  // its history is gone
	RefuseConnections  StepKind = "refuse"  // the store refuses one entry
	SilenceConnections StepKind = "silence" // one entry's connections to store and seeds go silent; new ones work
	OneWayLoss         StepKind = "oneway"  // nothing comes back to one entry from store and seeds
	PacketLoss         StepKind = "lossy"   // datagrams are lost, doubled and late

	StoreRestore StepKind = "restore" // the store answers nothing, and comes back from a copy some seconds old
)

var (
	planned      = []StepKind{TerminateEntry, RollingRestart, DrainUpstream, RollingRelease, ChangeRoute, ConfigStorm, ChangeSettings, ForeignWrite}
	beside       = []StepKind{EvacuateCentre, SlowUpstreams} // come beside the others
	disturbances = []StepKind{KillEntry, KillAllEntries, FreezeEntry, CrashUpstream, RestartUpstream, StoreDown, StoreSlow, StoreLag, StoreSilentWatch, StoreCompact, RefuseConnections, SilenceConnections, OneWayLoss, PacketLoss}
)

// Planned tells whether every promise holds while it goes on.
func (k StepKind) Planned() bool { return slices.Contains(planned, k) || slices.Contains(beside, k) }

// Step is one fault or change of a plan.
type Step struct {
	At     time.Duration
	For    time.Duration
	Kind   StepKind
	Target int // which entry, upstream or service, modulo their number
}

// String says what happens when.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s %s %d for %s", s.At.Seconds(), s.Kind, s.Target, s.For)
}

const (
	// warmUp passes before the first step: all entries serve and are told by then.
	warmUp = 3 * time.Second
	// coolDown passes after the last one: what it broke must be whole by the end.
	coolDown = 8 * time.Second
	// stepGap is the mean pause between two steps: they overlap half of the time.
	stepGap = 3 * time.Second
	longest = 4 * time.Second
	// besideLongest is the same for steps that come beside the others: what has to hold some seconds
	// after they began is seen.
	besideLongest = 2 * longest
)

// NewPlan returns the steps of a run, the same for the same seed and length.
func NewPlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	for at := warmUp; at < length-coolDown; at += stepGap/2 + time.Duration(rnd.Int64N(int64(stepGap))) {
		kinds := planned
		if rnd.IntN(2) == 0 {
			kinds = disturbances
		}
		s := Step{At: at, Kind: kinds[rnd.IntN(len(kinds))], Target: rnd.IntN(1000)}
		s.For = time.Second + time.Duration(rnd.Int64N(int64(longest-time.Second))).Truncate(time.Millisecond)
		steps = append(steps, s)
	}
	return mix(steps, seed, length)
}

// restoreGap is the mean pause between two restores: operators and upstreams write again, and what that
// breaks has to be seen before the next.
const restoreGap = 16 * time.Second

// NewRestorePlan returns the steps of a run in which the store comes back from a copy now and then. There
// are no other disturbances: beside them, what a restore breaks would not be seen.
func NewRestorePlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 17))
	duration := func() time.Duration {
		return 100*time.Millisecond + time.Duration(rnd.Int64N(int64(longest))).Truncate(time.Millisecond)
	}
	var steps []Step
	for at := warmUp; at < length-coolDown; at += stepGap/2 + time.Duration(rnd.Int64N(int64(stepGap))) {
		steps = append(steps, Step{At: at, Kind: planned[rnd.IntN(len(planned))], Target: rnd.IntN(1000), For: duration()})
	}
	for at := 2 * warmUp; at < length-coolDown; at += restoreGap/2 + time.Duration(rnd.Int64N(int64(restoreGap))) {
		steps = append(steps, Step{At: at, Kind: StoreRestore, Target: rnd.IntN(1000), For: duration()})
	}
	return mix(steps, seed, length)
}

// besideGap is the mean pause between two steps that come beside the others.
const besideGap = 7 * time.Second

// mix adds steps beside those of a plan, which stay what they are for the seed.
func mix(steps []Step, seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 13))
	for at := warmUp + time.Duration(rnd.Int64N(int64(besideGap))); at < length-coolDown; at += besideGap/2 + time.Duration(rnd.Int64N(int64(besideGap))) {
		s := Step{At: at, Kind: beside[rnd.IntN(len(beside))], Target: rnd.IntN(1000)}
		s.For = longest + time.Duration(rnd.Int64N(int64(besideLongest-longest))).Truncate(time.Millisecond)
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
