package stoatecho

import (
	"cmp"
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
)

const (
	// answerDecay is the time in which the weight of an answer in a decaying mean falls to 1/e: about as long as a
	// queue takes to fill or to empty.
	answerDecay = 250 * time.Millisecond
	// groupLatencyWeight is the weight of the newest answer in the mean of a group. It averages over twenty
	// answers, so that a few short ones in a row are not taken for the time without a queue.
	groupLatencyWeight = 0.05
	// refusedWeight is the weight of the newest opening in the share of refused openings: an entry that opens
	// thirty flows a second follows the load within half a second.
	refusedWeight = 1.0 / 16
)

// groupKey identifies the upstreams of one service in one data centre, which share a load.
type groupKey struct {
	service stoatpaddle.ServiceID
	centre  stoatpaddle.DataCentreID
}

func (k groupKey) compare(o groupKey) int {
	return cmp.Or(cmp.Compare(k.service, o.service), cmp.Compare(k.centre, o.centre))
}

// group is what this entry has seen of the upstreams that share a load.
type group struct {
	key             groupKey
	recentAnswers   decayingMean
	answerTimes     meanWithFloor
	inProgress      int     // pending openings and requests of this entry
	refusedShare    float64 // share of recent openings that were refused for overload
	limiter         *stoatadmission.Limiter
	requestsPerFlow flowLoad
	silence         groupSilence
	nextTrial       time.Time // when a suspected upstream may get the next flow
	unseen          health    // stands in for each upstream that this entry has not seen recently
}

// trialInterval is the mean interval between two flows of this entry that probe whether a suspected upstream of a
// group is alive again.
//
// Without it, an upstream whose ejection ends looks better than any other, as it has nothing in progress. When
// thirty of 150 upstreams were lost for good while the platform did not respond, so that their registrations
// stayed for ten seconds, eighty entries sent one flow in five to a lost upstream, and the retransmissions of its
// opening to two more of them.
const trialInterval = time.Second

// groupSilence detects that no upstream of a group answers.
//
// When all upstreams of a data centre are lost at once, their machines refuse connections directly towards the
// callers, and callers with three tries come back within milliseconds, at another entry. Hundreds of entries that
// each learn of forty lost upstreams one by one would send several flows to each of them. A live group is never
// silent, though: an entry hears from its other upstreams many times a second. So when two upstreams leave
// openings unanswered and no upstream of the group has given a sign of life in between, new flows prefer other
// data centres, if these answer. Open flows are not affected.
type groupSilence struct {
	lastAlive      time.Time // latest sign of life of any upstream of the group
	lastUnanswered *health   // the upstream that last left an opening unanswered, with no sign of life of the group since
	avoidance      backoff   // new flows prefer other data centres
}

// minGroupBackoff and maxGroupBackoff bound how long new flows prefer other data centres until some flows probe
// the group again. Each backoff is twice as long as the previous one; a sign of life or a new upstream ends it.
const (
	minGroupBackoff = 400 * time.Millisecond
	maxGroupBackoff = 3200 * time.Millisecond
)

// unanswered records that an opening sent to the upstream at the given time has been pending for longer than
// usual.
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

// reset records a sign of life of an upstream of the group, or a new upstream in it.
func (s *groupSilence) reset(now time.Time) { *s = groupSilence{lastAlive: now} }

// flowLoadDecay is the time in which the weight of an observation falls to 1/e. It is several times as long as
// upstreams are cold after a start, since few flows open in a quiet period.
const flowLoadDecay = 10 * time.Second

// flowLoad tracks how many requests are sent for each flow that opens.
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

// perFlow returns the number of requests per opened flow; long flows carry many.
func (l *flowLoad) perFlow(now time.Time) float64 {
	l.decay(now)
	return math.Max(1, l.requests/math.Max(1, l.flows))
}

// noteAdmission records whether an opening was admitted.
func (g *group) noteAdmission(admitted bool) {
	sample := 1.0
	if admitted {
		sample = 0
	}
	g.refusedShare += refusedWeight * (sample - g.refusedShare)
}

// answered records an answer of an upstream of the group.
func (g *group) answered(now time.Time, took time.Duration) {
	g.recentAnswers.add(now, took)
	g.answerTimes.add(took, groupLatencyWeight)
}

// meanWithFloor is a mean of answer times and its recent minimum, which rises slowly: about how long an answer
// takes without a queue.
type meanWithFloor struct{ mean, floor time.Duration }

func (m *meanWithFloor) add(took time.Duration, weight float64) {
	if m.mean == 0 {
		m.mean, m.floor = took, took
		return
	}
	m.mean += time.Duration(weight * float64(took-m.mean))
	m.floor = min(m.mean, time.Duration(floorGrowth*float64(m.floor)))
}

// decayingMean is a mean of answer times whose weights decay with age.
type decayingMean struct {
	mean   time.Duration
	weight float64 // in answers, at the time of the latest one
	at     time.Time
}

func (m *decayingMean) weightAt(now time.Time) float64 {
	return m.weight * math.Exp(-float64(now.Sub(m.at))/float64(answerDecay))
}

func (m *decayingMean) add(now time.Time, took time.Duration) {
	before := m.weightAt(now)
	m.mean = time.Duration((float64(m.mean)*before + float64(took)) / (before + 1))
	m.weight, m.at = before+1, now
}
