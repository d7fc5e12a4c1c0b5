package stoatcall

import (
	"math"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// Reason is why a call was admitted or refused by the limiter.
type Reason uint8

// The reasons.
const (
	Admitted       Reason = iota
	RefusedByLevel        // more urgent calls need the room
)

// Opening is a call that asks for admission.
type Opening struct{ Priority int }

// Decision is the limiter's answer to an Opening.
type Decision struct {
	Admitted bool
	Reason   Reason
	Share    float64 // of this level's calls that are admitted
}

// LevelState is what the limiter knows of one priority level, for operators.
type LevelState struct {
	Priority int
	Arrived  float64 // calls a second
	Share    float64 // of them that is admitted
	Refused  int64   // calls so far
}

// State is what the limiter knows of its group, for operators.
type State struct {
	Shedding bool
	Since    time.Time // when shedding began
	Budget   float64   // calls a second that the group may start; 0 without shedding
	Answered float64   // calls a second
	Rejected float64   // attempts a second that upstreams rejected, or for which there was no slot
	Levels   []LevelState
}

const (
	evidenceDecay = 250 * time.Millisecond // of answers and rejections
	arrivalDecay  = 500 * time.Millisecond
	// levelMemory is how long a level counts after its last call.
	levelMemory = 2 * time.Second
	// targetRejected is the share of rejected attempts that is kept, so that the queues of upstreams stay filled and no
	// slot idles. Two tries of three attempts each fail with a probability of 0.3^6, below the 0.5% of calls that may be
	// lost, and the caller's third try is left for failures of another kind.
	targetRejected = 0.3
	// budgetGain is the part of the excess that is taken from the budget each second. A higher gain oscillates,
	// because the evidence lags behind by evidenceDecay.
	budgetGain = 2
	// growthTime is the time in which the budget grows by e while no call is rejected, so that a level that was
	// refused completely is admitted again well within a second.
	growthTime = 100 * time.Millisecond
	// calmTime is how long all calls have to be admitted before shedding ends, so that it does not end and begin again
	// with each variation of the demand.
	calmTime = 500 * time.Millisecond
	// Earlier rejections do not count any more after quietTime without one, if quietRejections of them were due in that
	// time: the chance to see none is then below one in ten thousand.
	quietTime       = 50 * time.Millisecond
	quietRejections = 10
	// minEvidence is the number of rejections a second below which no level gives way: one rejection within evidenceDecay
	// counts as four a second, so that single ones have no effect.
	minEvidence = 8
	// minShare is admitted of each level, so that no level starves while a more urgent one takes all room.
	minShare = 0.02
)

// limiter decides which calls of a group of services may use the upstreams that the services share. The least urgent
// levels give way first, in proportion to the excess. It is not safe for concurrent use.
type limiter struct {
	levels   []*level // ascending by priority
	answered stoatload.Rate
	rejected stoatload.Rate
	// rejectedAt is when an attempt was last rejected.
	rejectedAt time.Time
	budget     float64 // calls a second
	shedding   bool
	since      time.Time
	calmSince  time.Time // since when the budget has been above the demand
	updatedAt  time.Time
}

type level struct {
	priority int
	arrived  stoatload.Rate
	last     time.Time // when a call last arrived
	credit   float64   // a call is admitted for each whole unit
	refused  int64
}

// Answered records that an upstream ran a call.
func (l *limiter) Answered(now time.Time) {
	l.answered.Add(now, evidenceDecay)
	l.update(now)
}

// Rejected records that an upstream rejected an attempt.
func (l *limiter) Rejected(now time.Time) {
	l.rejected.Add(now, evidenceDecay)
	l.rejectedAt = now
	l.update(now)
}

// NoRoom records that an admitted call found no upstream with room, after the given number of attempts. The attempts
// that were not made for lack of a free slot count as rejected. A call of the most urgent level counts once more, so
// that the others give way sooner where upstreams have no queue and a moderate share of rejections already loses calls.
func (l *limiter) NoRoom(now time.Time, o Opening, attempts int) {
	n := max(0, maxAttempts-attempts)
	if o.Priority == l.mostUrgent(now) {
		n += maxAttempts
	}
	for range n {
		l.rejected.Add(now, evidenceDecay)
	}
	l.rejectedAt = now
	l.update(now)
}

// Decide decides on a call that has arrived.
func (l *limiter) Decide(now time.Time, o Opening) Decision {
	v := l.level(o.Priority)
	v.arrived.Add(now, arrivalDecay)
	v.last = now
	l.update(now)
	share := l.share(now, v)
	if v.credit += share; v.credit >= 1 {
		v.credit--
		return Decision{Admitted: true, Share: share}
	}
	v.refused++
	return Decision{Reason: RefusedByLevel, Share: share}
}

// State returns what the limiter knows as of now.
func (l *limiter) State(now time.Time) State {
	s := State{Shedding: l.shedding, Answered: l.answered.PerSecond(now, evidenceDecay), Rejected: l.rejected.PerSecond(now, evidenceDecay)}
	if l.shedding {
		s.Since, s.Budget = l.since, l.budget
	}
	for _, v := range l.levels {
		s.Levels = append(s.Levels, LevelState{
			Priority: v.priority, Arrived: v.arrived.PerSecond(now, arrivalDecay), Share: l.share(now, v), Refused: v.refused,
		})
	}
	return s
}

// level returns the level with the priority, which it adds if it is new.
func (l *limiter) level(priority int) *level {
	i, found := slices.BinarySearchFunc(l.levels, priority, func(v *level, p int) int { return v.priority - p })
	if !found {
		l.levels = slices.Insert(l.levels, i, &level{priority: priority})
	}
	return l.levels[i]
}

func (v *level) recent(now time.Time) bool { return now.Sub(v.last) < levelMemory }

// share returns the share of the level's calls that is admitted: all of the most urgent level that has recent traffic,
// and of each other one what the more urgent ones leave of the budget.
func (l *limiter) share(now time.Time, v *level) float64 {
	if !l.shedding {
		return 1
	}
	left, first := l.budget, true
	for _, o := range l.levels {
		if o.priority >= v.priority {
			break
		}
		if o.recent(now) {
			first = false
			left -= o.arrived.PerSecond(now, arrivalDecay)
		}
	}
	arrived := v.arrived.PerSecond(now, arrivalDecay)
	if first || left >= arrived {
		return 1
	}
	return max(minShare, left/arrived)
}

// update adjusts the budget to the evidence.
func (l *limiter) update(now time.Time) {
	dt := min(max(0, now.Sub(l.updatedAt)), evidenceDecay)
	l.updatedAt = now
	l.forgetRejections(now)
	answered, rejected := l.answered.PerSecond(now, evidenceDecay), l.rejected.PerSecond(now, evidenceDecay)
	excess := rejected - targetRejected*(answered+rejected)
	demand, levels := l.demand(now)
	switch {
	case !l.shedding && excess > 0 && rejected > minEvidence && levels > 1:
		l.shedding, l.since, l.calmSince, l.budget = true, now, now, demand
	case !l.shedding:
		return
	case excess > 0:
		l.budget -= budgetGain * excess * dt.Seconds()
	default:
		l.budget *= math.Exp(l.idle(answered, rejected) * float64(dt) / float64(growthTime))
	}
	// What upstreams answer fits, so that the budget is never below it. A budget far above the demand would delay the
	// reaction to the next burst.
	l.budget = max(min(l.budget, 2*demand), answered, 1)
	if excess > 0 || l.budget < demand {
		l.calmSince = now
	}
	if levels < 2 || now.Sub(l.calmSince) >= calmTime {
		l.shedding, l.budget = false, 0
	}
}

// forgetRejections resets the rate of rejections when they have ended. After a burst, the decay alone would take a
// second, because callers are rejected many times as often as answered.
func (l *limiter) forgetRejections(now time.Time) {
	quiet := now.Sub(l.rejectedAt)
	if quiet >= quietTime && quiet.Seconds()*l.rejected.PerSecond(l.rejectedAt, evidenceDecay) >= quietRejections {
		l.rejected = stoatload.Rate{}
	}
}

// idle returns how far the share of rejections is below the target, from 0 at the target to 1 without rejections.
func (l *limiter) idle(answered, rejected float64) float64 {
	if answered+rejected == 0 {
		return 1
	}
	return max(0, 1-rejected/(answered+rejected)/targetRejected)
}

// mostUrgent returns the priority of the most urgent level with recent traffic, or -1.
func (l *limiter) mostUrgent(now time.Time) int {
	for _, v := range l.levels {
		if v.recent(now) {
			return v.priority
		}
	}
	return -1
}

// demand returns the rate of all calls, and the number of levels with recent traffic.
func (l *limiter) demand(now time.Time) (perSecond float64, levels int) {
	for _, v := range l.levels {
		perSecond += v.arrived.PerSecond(now, arrivalDecay)
		if v.recent(now) {
			levels++
		}
	}
	return perSecond, levels
}
