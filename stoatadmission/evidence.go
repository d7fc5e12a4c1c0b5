package stoatadmission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// answerRate is the rate of answers and the mean of their times.
type answerRate struct {
	weight   float64 // of the answers so far, at the time of the latest one
	at       time.Time
	mean     float64 // in nanoseconds
	unqueued time.Duration
}

func (a *answerRate) weightAt(now time.Time) float64 {
	if a.weight == 0 {
		return 0
	}
	return a.weight * math.Exp(-float64(now.Sub(a.at))/float64(evidenceDecay))
}

func (a *answerRate) add(now time.Time, took, unqueued time.Duration) {
	if took == 0 {
		took = time.Duration(a.mean)
	}
	before := a.weightAt(now)
	a.mean = (a.mean*before + float64(took)) / (before + 1)
	a.weight, a.at, a.unqueued = before+1, now, unqueued
}

func (a *answerRate) perSecond(now time.Time) float64 {
	return a.weightAt(now) / evidenceDecay.Seconds()
}

// observation is the evidence that an update is based on.
type observation struct {
	shared               bool
	answered, rejected   float64 // requests a second
	answerTime, unqueued time.Duration
	arrived, admitted    float64 // openings of all levels a second
}

// total returns the requests a second.
func (o *observation) total() float64 { return o.answered + o.rejected }

// count returns the answers and rejections that the rates consist of.
func (o *observation) count() float64 { return o.total() * evidenceDecay.Seconds() }

func (o *observation) rejectedShare() float64 {
	if o.rejected <= 0 {
		return 0
	}
	return o.rejected / o.total()
}

// useFirst bases the evidence on the first requests of flows if there are enough of them. Rejections of later requests,
// which go to the upstream of their flow, full or not, would have openings refused while other upstreams have room.
func (o *observation) useFirst(answered, rejected float64) {
	if (answered+rejected)*evidenceDecay.Seconds() >= beginEvidence {
		o.answered, o.rejected = answered, rejected
	}
}

// excess returns the rejections a second above the target.
func (o *observation) excess() float64 { return o.rejected - rejectedTarget*o.total() }

// idleShare returns 1 while answers take about as long as without a queue, so that slots may be idle, queuedGrowth while
// they take so long that no slot is, and a value between in between.
func (o *observation) idleShare() float64 {
	if o.unqueued == 0 {
		return 1
	}
	return min(1, max(queuedGrowth, (queuedAnswer-float64(o.answerTime)/float64(o.unqueued))/(queuedAnswer-promptAnswer)))
}

// unqueuedShare returns 1 while answers are known to take about as long as without a queue, so that rejections in the
// decaying rates are from before the queue emptied, 0 while slots have a queue, and a value between in between.
func (o *observation) unqueuedShare() float64 {
	if o.unqueued == 0 {
		return 0
	}
	return (o.idleShare() - queuedGrowth) / (1 - queuedGrowth)
}

// observe collects the evidence in use, and sets the arrivals of each level by it.
func (l *Limiter) observe(now time.Time) {
	here := observation{
		answered: l.answers.perSecond(now), rejected: l.rejected.PerSecond(now, evidenceDecay),
		answerTime: time.Duration(l.answers.mean), unqueued: l.answers.unqueued,
	}
	here.useFirst(l.first.answered.PerSecond(now, evidenceDecay), l.first.rejected.PerSecond(now, evidenceDecay))
	o := here
	if e := &l.shared; l.usesShared(now, &here) {
		o = e.observation()
		for _, x := range e.Levels {
			l.levelOf(now, x.Priority)
		}
	}
	l.observeLevels(now, &o)
	l.observed = o
	l.countActive(now)
}

// observation returns what the evidence says of requests.
func (e *Evidence) observation() observation {
	o := observation{shared: true, answered: e.Answered, rejected: e.Rejected, answerTime: e.AnswerTime, unqueued: e.Unqueued}
	o.useFirst(e.FirstAnswered, e.FirstRejected)
	return o
}

// observeLevels sets the arrivals of each level by the evidence in use, and adds them up.
func (l *Limiter) observeLevels(now time.Time, o *observation) {
	own := l.ownArrivals(now)
	changed := 1.0 // of the arrivals since the sum of the data centre, by those here
	if l.ownAtShared >= minArrivals {
		changed = min(1, own/l.ownAtShared)
	}
	for i := range l.levels {
		v := &l.levels[i]
		arrived, admitted := v.arrived(now), v.admissions.PerSecond(now, arrivalDecay)
		v.activeElsewhere = false
		if o.shared {
			x := l.sharedLevel(v.priority)
			v.activeElsewhere = x.Arrived > 0
			arrived, admitted = max(arrived, changed*x.Arrived), max(admitted, changed*x.Admitted)
		}
		v.sharedRate = arrived
		o.arrived += arrived
		o.admitted += admitted
	}
}

// minArrivals is the rate of openings a second here from which a fall of the arrivals can be told from chance.
const minArrivals = 10

// ownArrivals returns the openings a second of all levels here.
func (l *Limiter) ownArrivals(now time.Time) float64 {
	own := 0.0
	for i := range l.levels {
		own += l.levels[i].arrived(now)
	}
	return own
}

// usesShared reports whether the evidence of the data centre decides. What this entry sees itself decides where it
// suffices, since sums of the data centre are some tenths of a second old.
func (l *Limiter) usesShared(now time.Time, here *observation) bool {
	e := &l.shared
	return l.cfg.Source == SharedEvidence && here.count() < beginEvidence && !e.At.IsZero() && now.Sub(e.At) < maxSharedAge
}

// sharedLevel returns the load of a level in the data centre.
func (l *Limiter) sharedLevel(priority int) stoatload.LevelLoad {
	i, found := slices.BinarySearchFunc(l.shared.Levels, priority, func(x stoatload.LevelLoad, p int) int { return cmp.Compare(x.Priority, p) })
	if !found {
		return stoatload.LevelLoad{Priority: priority}
	}
	return l.shared.Levels[i]
}
