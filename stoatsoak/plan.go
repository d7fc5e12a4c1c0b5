package stoatsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is a kind of step: planned work or a fault.
type StepKind string

// The kinds of steps. The first group is planned work, during which all guarantees hold, except that
// SlowUpstreams and CrowdCentre suspend AdmitsFlows and Recovers. The other groups are faults, which suspend several guarantees.
const (
	TerminateEntry StepKind = "terminate" // An entry gets SIGTERM and is started again.
	RollingRestart StepKind = "rolling"   // All entries get SIGTERM, one after the other, and are started again.
	DrainUpstream  StepKind = "drain"     // One upstream joins and another one of its service leaves.
	RollingRelease StepKind = "release"   // Several upstreams are replaced, the oldest first, one after the other.
	ChangeRoute    StepKind = "routes"    // A route is added, or removed if it exists.
	ConfigStorm    StepKind = "storm"     // The configuration changes ten times within a second.
	ChangeSettings StepKind = "settings"  // An entry's settings file changes, with or without SIGHUP.
	ForeignWrite   StepKind = "foreign"   // Another writer overwrites an upstream's registration and adds one, both invalid.
	EvacuateCentre StepKind = "evacuate"  // A data centre is evacuated, and the evacuation is withdrawn later.
	SlowUpstreams  StepKind = "queue"     // All upstreams answer slowly, as with a full queue.
	CrowdCentre    StepKind = "crowd"     // Additional callers send to one data centre more than its upstreams can serve.

	KillEntry          StepKind = "kill"    // An entry gets SIGKILL.
	KillAllEntries     StepKind = "killall" // All entries get SIGKILL at once.
	FreezeEntry        StepKind = "freeze"  // An entry gets SIGSTOP, and SIGCONT later.
	CrashUpstream      StepKind = "crash"   // An upstream dies, and an upstream of the other service gets its address.
	RestartUpstream    StepKind = "restart" // An upstream dies and restarts under its ID, soon or late, on the same or another port.
	StoreDown          StepKind = "down"    // The store answers no request, and half of the registrations expire.
	StoreSlow          StepKind = "slow"    // Each answer of the store takes 200 ms.
	StoreLag           StepKind = "lag"     // The store's replicas don't follow its writes.
	StoreSilentWatch   StepKind = "mute"    // The store's watches report no changes.
	StoreCompact       StepKind = "forget"  // The store drops its history of changes.
	RefuseConnections  StepKind = "refuse"  // One entry's connections to the store are refused.
	SilenceConnections StepKind = "silence" // One entry's open connections to the store and seeds carry no data; new ones do.
	OneWayLoss         StepKind = "oneway"  // One entry receives no data from the store and seeds.
	PacketLoss         StepKind = "lossy"   // Datagrams are lost or duplicated, and the duplicates come late.
	CutCentres         StepKind = "cut"     // Data centres receive neither messages nor packets from each other.
	KillRoot           StepKind = "root"    // A data centre's entry that reads the store, a root of the relay tree, gets SIGKILL.

	StoreRestore StepKind = "restore" // The store is down, then restored from a snapshot some seconds old.
)

var (
	plannedKinds     = []StepKind{TerminateEntry, RollingRestart, DrainUpstream, RollingRelease, ChangeRoute, ConfigStorm, ChangeSettings, ForeignWrite}
	overlappingKinds = []StepKind{EvacuateCentre, SlowUpstreams}     // planned work that runs concurrently with the other steps
	crowdKinds       = []StepKind{CrowdCentre, CutCentres, KillRoot} // used by crowd plans only, so that the other plans of a seed stay the same
	faultKinds       = []StepKind{KillEntry, KillAllEntries, FreezeEntry, CrashUpstream, RestartUpstream, StoreDown, StoreSlow, StoreLag, StoreSilentWatch, StoreCompact, RefuseConnections, SilenceConnections, OneWayLoss, PacketLoss}
)

// Planned reports whether the kind is planned work and not a fault.
func (k StepKind) Planned() bool {
	return slices.Contains(plannedKinds, k) || slices.Contains(overlappingKinds, k) || k == CrowdCentre
}

// Step is a step of a plan.
type Step struct {
	At     time.Duration // since the start of the run
	For    time.Duration // how long the step lasts
	Kind   StepKind
	Target int // selects the entry, upstream, route or data centre, modulo the number of them
}

// String returns the step in the format that ReadPlan reads.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s %s %d for %s", s.At.Seconds(), s.Kind, s.Target, s.For)
}

const (
	// warmUp is the time before the first step. All entries serve and have their configuration by then.
	warmUp = 3 * time.Second
	// coolDown is the time after the last step. The system must have recovered from it by the end of the run.
	coolDown = 8 * time.Second
	// stepGap is the mean time from one step to the next. Steps overlap half of the time.
	stepGap         = 3 * time.Second
	maxStepDuration = 4 * time.Second
	// maxOverlappingDuration limits the steps of the overlapping kinds. They last longer because some guarantees
	// apply only some seconds after such a step began.
	maxOverlappingDuration = 2 * maxStepDuration
)

// NewPlan returns the steps of a run, which the seed and the length determine.
func NewPlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	for at := warmUp; at < length-coolDown; at += stepGap/2 + time.Duration(rnd.Int64N(int64(stepGap))) {
		kinds := plannedKinds
		if rnd.IntN(2) == 0 {
			kinds = faultKinds
		}
		s := Step{At: at, Kind: kinds[rnd.IntN(len(kinds))], Target: rnd.IntN(1000)}
		s.For = time.Second + time.Duration(rnd.Int64N(int64(maxStepDuration-time.Second))).Truncate(time.Millisecond)
		steps = append(steps, s)
	}
	return addOverlapping(steps, seed, length)
}

// restoreGap is the mean time from one restore to the next. Operators and upstreams write their objects again
// after a restore, and the checker must see the effect before the next one.
const restoreGap = 16 * time.Second

// NewRestorePlan returns the steps of a run in which the store is restored from a snapshot now and then. The
// plan has no other faults, as they would hide what a restore breaks.
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
		steps = append(steps, Step{At: at, Kind: StoreRestore, Target: rnd.IntN(1000), For: duration()})
	}
	return addOverlapping(steps, seed, length)
}

// overlappingGap is the mean time from one step of an overlapping kind to the next.
const overlappingGap = 7 * time.Second

// addOverlapping adds steps of the overlapping kinds. It has a random generator of its own, so that the other
// steps of a seed stay the same.
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

const (
	// crowdStart leaves time for the startup to cease to count as a disturbance soon after the first crowd begins.
	crowdStart = warmUp + time.Second
	// crowdGap is the time from one crowd to the next. It exceeds the longest crowd and the recovery time
	// together, so that requests of the time between must be served.
	crowdGap         = 24 * time.Second
	minCrowdDuration = 6 * time.Second
	crowdCoolDown    = 20 * time.Second // from the start of the last crowd until the end of the run
	// crowdFaultDelay is the time from the start of a crowd to its fault, which suspends guarantees.
	crowdFaultDelay = 4 * time.Second
)

// NewCrowdPlan returns the steps of a run in which a data centre gets more load than its upstreams can serve, while
// those of the other one have room. Meanwhile, entries are stopped and replaced. Later in the crowd, the data
// centres are cut off from each other if the seed is even. If it is odd, a root of the relay tree is killed.
func NewCrowdPlan(seed uint64, length time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 19))
	within := func(d time.Duration) time.Duration {
		return time.Duration(rnd.Int64N(int64(d))).Truncate(time.Millisecond)
	}
	fault := []StepKind{CutCentres, KillRoot}[seed%2]
	var steps []Step
	for at := crowdStart; at+crowdCoolDown <= length; at += crowdGap {
		centre := rnd.IntN(dataCentres)
		steps = append(steps, Step{At: at, Kind: CrowdCentre, Target: centre, For: minCrowdDuration + within(2*time.Second)})
		for _, kind := range []StepKind{TerminateEntry, TerminateEntry, DrainUpstream, ChangeRoute} {
			steps = append(steps, Step{At: at + within(crowdFaultDelay), Kind: kind, Target: rnd.IntN(1000), For: time.Second})
		}
		steps = append(steps, Step{At: at + crowdFaultDelay, Kind: fault, Target: centre, For: time.Second + within(maxStepDuration/2)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
