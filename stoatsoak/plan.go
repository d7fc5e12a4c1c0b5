package stoatsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is one kind of fault or change.
type Kind string

// The kinds. The first ones are planned work, under which every promise holds; the others
// are disturbances.
const (
	Terminate Kind = "terminate" // SIGTERM to an entry, which starts again
	Rolling   Kind = "rolling"   // the same for all, in turn
	Drain     Kind = "drain"     // an upstream leaves, and another one joins
	Release   Kind = "release"   // all upstreams of a service are replaced in turn
	Routes    Kind = "routes"    // a route is added, the one added before is removed
	Storm     Kind = "storm"     // ten configurations within a second
	Settings  Kind = "settings"  // the settings file changes, with or without a signal
	Foreign   Kind = "foreign"   // another writer writes over an upstream's entry, and adds one
	Evacuate  Kind = "evacuate"  // a data centre is evacuated, and taken back
	Queue     Kind = "queue"     // upstreams answer late, as through a full queue

	Kill      Kind = "kill"    // SIGKILL to an entry
	KillAll   Kind = "killall" // SIGKILL to all entries at once
	Freeze    Kind = "freeze"  // SIGSTOP for a while
	Crash     Kind = "crash"   // an upstream dies; its address goes to the other service
	Restart   Kind = "restart" // an upstream dies and starts again under its id, soon or late, there or elsewhere
	StoreDown Kind = "down"    // the store answers nothing; registrations lapse meanwhile
	StoreSlow Kind = "slow"    // its answers take 200 ms
	StoreLag  Kind = "lag"     // its replicas stand still
	StoreMute Kind = "mute"    // its watches tell nothing
	Forget    Kind = "forget"  // its history is gone
	Refuse    Kind = "refuse"  // the store refuses one entry
	Silence   Kind = "silence" // one entry's connections to store and seeds go silent; new ones work
	OneWay    Kind = "oneway"  // nothing comes back to one entry from store and seeds
	Lossy     Kind = "lossy"   // datagrams are lost, doubled and late

	Restore Kind = "restore" // the store answers nothing, and comes back from a copy some seconds old
)

var (
	plannedKinds     = []Kind{Terminate, Rolling, Drain, Release, Routes, Storm, Settings, Foreign}
	overlappingKinds = []Kind{Evacuate, Queue} // come beside the others
	disturbanceKinds = []Kind{Kill, KillAll, Freeze, Crash, Restart, StoreDown, StoreSlow, StoreLag, StoreMute, Forget, Refuse, Silence, OneWay, Lossy}
)

// Planned tells whether every promise holds while it goes on.
func (k Kind) Planned() bool {
	return slices.Contains(plannedKinds, k) || slices.Contains(overlappingKinds, k)
}

// Step is one fault or change of a plan.
type Step struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
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
	stepGap         = 3 * time.Second
	maxStepDuration = 4 * time.Second
	// maxOverlappingDuration is the same for steps that come beside the others: what has to hold some seconds
	// after they began is seen.
	maxOverlappingDuration = 2 * maxStepDuration
)

// NewPlan returns the steps of a run, the same for the same seed and length.
func NewPlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	for at := warmUp; at < length-coolDown; at += stepGap/2 + time.Duration(rnd.Int64N(int64(stepGap))) {
		kinds := plannedKinds
		if rnd.IntN(2) == 0 {
			kinds = disturbanceKinds
		}
		s := Step{At: at, Kind: kinds[rnd.IntN(len(kinds))], Target: rnd.IntN(1000)}
		s.For = time.Second + time.Duration(rnd.Int64N(int64(maxStepDuration-time.Second))).Truncate(time.Millisecond)
		steps = append(steps, s)
	}
	return addOverlapping(steps, seed, length)
}

// restoreGap is the mean pause between two restores: operators and upstreams write again, and what that
// breaks has to be seen before the next.
const restoreGap = 16 * time.Second

// NewRestorePlan returns the steps of a run in which the store comes back from a copy now and then. There
// are no other disturbances: beside them, what a restore breaks would not be seen.
func NewRestorePlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 17))
	duration := func() time.Duration {
		return 100*time.Millisecond + time.Duration(rnd.Int64N(int64(maxStepDuration))).Truncate(time.Millisecond)
	}
	var steps []Step
	for at := warmUp; at < length-coolDown; at += stepGap/2 + time.Duration(rnd.Int64N(int64(stepGap))) {
		steps = append(steps, Step{At: at, Kind: plannedKinds[rnd.IntN(len(plannedKinds))], Target: rnd.IntN(1000), For: duration()})
	}
	for at := 2 * warmUp; at < length-coolDown; at += restoreGap/2 + time.Duration(rnd.Int64N(int64(restoreGap))) {
		steps = append(steps, Step{At: at, Kind: Restore, Target: rnd.IntN(1000), For: duration()})
	}
	return addOverlapping(steps, seed, length)
}

// overlappingGap is the mean pause between two steps that come beside the others.
const overlappingGap = 7 * time.Second

// addOverlapping adds steps beside those of a plan, which stay what they are for the seed.
func addOverlapping(steps []Step, seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 13))
	for at := warmUp + time.Duration(rnd.Int64N(int64(overlappingGap))); at < length-coolDown; at += overlappingGap/2 + time.Duration(rnd.Int64N(int64(overlappingGap))) {
		s := Step{At: at, Kind: overlappingKinds[rnd.IntN(len(overlappingKinds))], Target: rnd.IntN(1000)}
		s.For = maxStepDuration + time.Duration(rnd.Int64N(int64(maxOverlappingDuration-maxStepDuration))).Truncate(time.Millisecond)
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
