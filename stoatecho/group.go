package stoatecho

import (
	"cmp"
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

const (
	// answerDecay is the time in which an answer's weight in a recent mean fades to a third: about
	// what a queue takes to fill or to empty.
	answerDecay = 250 * time.Millisecond
	// groupLatencyWeight is the share of the newest answer in a group's mean: twenty answers, so that
	// a few short ones in a row are not taken for work without a queue.
	groupLatencyWeight = 0.05
	// refusedWeight is the weight of the newest opening in the share of those refused: an entry
	// that opens thirty flows a second follows the load within half a second.
	refusedWeight = 1.0 / 16
)

// groupKey names the upstreams of one service in one data centre: they share a load.
type groupKey struct {
	service stoatpaddle.ServiceID
	centre  stoatpaddle.DataCentreID
}

func (k groupKey) compare(o groupKey) int {
	return cmp.Or(cmp.Compare(k.service, o.service), cmp.Compare(k.centre, o.centre))
}

// group is what this entry saw of upstreams that share a load.
type group struct {
	recentAnswers   decayingMean
	answerTimes     meanWithFloor
	inProgress      int     // openings and requests from here
	refusedShare    float64 // share of openings of late that were refused for overload
	rejectedShare   float64 // share of answers of late that were refusals
	requestsPerFlow flowLoad
	silence         groupSilence
	nextTrial       time.Time // when a suspected upstream may get a flow next
	unseen          health    // of each upstream that this entry did not meet of late
}

// trialInterval is the mean pause between two flows of this entry that find out whether suspected upstreams
// of a group are back.
//
// The load: thirty of 150 upstreams are lost for good while the store is silent, so that their
// registrations stay for ten seconds. Each was ejected at all entries, and when that ends it has nothing
// in progress: it looks better than any that serves, at eighty entries at once. One flow in five went
// there, and the copies of its opening to two others of the kind.
const trialInterval = time.Second

// groupSilence notices that a whole group answers nothing.
//
// The load: the upstreams of a data centre are lost at once. Their machines refuse towards callers, past
// the entries, and callers with three tries are back within milliseconds, at another entry. An entry
// that learns of one upstream after the other sends some flows to each of forty, and hundreds of
// entries do so each for itself. But no group that lives is silent: of its other upstreams an entry
// hears many times a second. So two upstreams that leave openings unanswered while none of the group
// gave a sign send new flows to other data centres, if these answer. Open flows go on.
type groupSilence struct {
	lastAlive      time.Time // the last sign of any of the group
	lastUnanswered *health   // the upstream that left an opening unanswered last, without a sign of the group since
	avoidance      backoff   // new flows prefer other data centres
}

// minGroupBackoff and maxGroupBackoff bound how long flows prefer others until some of them find
// out whether the group is back; each time doubles it, a sign or a new upstream ends it.
const (
	minGroupBackoff = 400 * time.Millisecond
	maxGroupBackoff = 3200 * time.Millisecond
)

// unanswered notes that an opening to the upstream, sent at that time, waits for longer than usual.
func (s *groupSilence) unanswered(now time.Time, h *health, sent time.Time) {
	switch {
	case !sent.After(s.lastAlive):
	case s.lastUnanswered == nil:
		s.lastUnanswered = h
	case h != s.lastUnanswered && !s.avoidance.active(now):
		s.avoidance.begin(now, minGroupBackoff, maxGroupBackoff)
		s.lastUnanswered = nil
	}
}

// reset takes in a sign of life of one of the group, or that an upstream is new in it.
func (s *groupSilence) reset(now time.Time) { *s = groupSilence{lastAlive: now} }

// flowLoadDecay is the time in which what is known of flows fades to a third: some times as long as
// upstreams are cold after a start, since few flows open in a quiet time.
const flowLoadDecay = 10 * time.Second

// flowLoad follows how many requests come for each flow that opens.
type flowLoad struct {
	flows, requests float64
	at              time.Time
}

func (l *flowLoad) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(l.at)) / float64(flowLoadDecay))
	l.flows, l.requests, l.at = f*l.flows, f*l.requests, now
}

func (l *flowLoad) flowOpened(now time.Time) {
	l.decay(now)
	l.flows++
}

func (l *flowLoad) requestStarted(now time.Time) {
	l.decay(now)
	l.requests++
}

// perFlow is how many requests come for each flow that opens: long flows ask again and again.
func (l *flowLoad) perFlow(now time.Time) float64 {
	l.decay(now)
	return math.Max(1, l.requests/math.Max(1, l.flows))
}

// noteAdmission notes what became of an opening.
func (g *group) noteAdmission(admitted bool) {
	sample := 1.0
	if admitted {
		sample = 0
	}
	g.refusedShare += refusedWeight * (sample - g.refusedShare)
}

// answered takes in an answer of one of them.
func (g *group) answered(now time.Time, took time.Duration) {
	g.recentAnswers.add(now, took)
	g.answerTimes.add(took, groupLatencyWeight)
}

// meanWithFloor is a mean of answer times, and the least that it was of late, which rises slowly: about
// how long an answer takes without a queue.
type meanWithFloor struct{ mean, floor time.Duration }

func (l *meanWithFloor) add(took time.Duration, weight float64) {
	if l.mean == 0 {
		l.mean, l.floor = took, took
		return
	}
	l.mean += time.Duration(weight * float64(took-l.mean))
	l.floor = min(l.mean, time.Duration(floorGrowth*float64(l.floor)))
}

// decayingMean is a mean of answer times in which each one fades.
type decayingMean struct {
	mean   time.Duration
	weight float64 // in answers, at the latest one
	at     time.Time
}

func (r *decayingMean) weightAt(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(answerDecay))
}

func (r *decayingMean) add(now time.Time, took time.Duration) {
	before := r.weightAt(now)
	r.mean = time.Duration((float64(r.mean)*before + float64(took)) / (before + 1))
	r.weight, r.at = before+1, now
}
