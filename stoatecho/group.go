package stoatecho

import (
	"cmp"
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

const (
	// answerAge is the time in which an answer's weight in a recent mean fades to a third: about
	// what a queue takes to fill or to empty.
	answerAge = 250 * time.Millisecond
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
	answers    recent
	usual      leastMean
	inProgress int     // openings and requests from here
	refused    float64 // share of openings of late that were refused for overload
	turnedAway float64 // share of answers of late that were refusals
	load       flowLoad
	silence    groupSilence
	nextTrial  time.Time // when a suspected upstream may get a flow next
	unmet      health    // of each upstream that this entry did not meet of late
}

// trialEvery is the mean pause between two flows of this entry that find out whether suspected upstreams
// of a group are back.
//
// The load: thirty of 150 upstreams are lost for good while the store is silent, so that their
// registrations stay for ten seconds. Each was ejected at all entries, and when that ends it has nothing
// in progress: it looks better than any that serves, at eighty entries at once. One flow in five went
// there, and the copies of its opening to two others of the kind.
const trialEvery = time.Second

// groupSilence notices that a whole group answers nothing.
//
// The load: the upstreams of a data centre are lost at once. Their machines refuse towards callers, past
// the entries, and callers with three tries are back within milliseconds, at another entry. An entry
// that learns of one upstream after the other sends some flows to each of forty, and hundreds of
// entries do so each for itself. But no group that lives is silent: of its other upstreams an entry
// hears many times a second. So two upstreams that leave openings unanswered while none of the group
// gave a sign send new flows to other data centres, if these answer. Open flows go on.
type groupSilence struct {
	heard     time.Time // the last sign of any of the group
	last      *health   // the upstream that left an opening unanswered last, without a sign of the group since
	avoidance backoff   // new flows prefer other data centres
}

// groupBackoffLeast and groupBackoffMost bound how long flows prefer others until some of them find
// out whether the group is back; each time doubles it, a sign or a new upstream ends it.
const (
	groupBackoffLeast = 400 * time.Millisecond
	groupBackoffMost  = 3200 * time.Millisecond
)

// unanswered notes that an opening to the upstream, sent at that time, waits for longer than usual.
func (s *groupSilence) unanswered(now time.Time, h *health, sent time.Time) {
	switch {
	case !sent.After(s.heard):
	case s.last == nil:
		s.last = h
	case h != s.last && !s.avoidance.active(now):
		s.avoidance.begin(now, groupBackoffLeast, groupBackoffMost)
		s.last = nil
	}
}

// ended takes in a sign of life of one of the group, or that an upstream is new in it.
func (s *groupSilence) ended(now time.Time) { *s = groupSilence{heard: now} }

// flowLoadAge is the time in which what is known of flows fades to a third: some times as long as
// upstreams are cold after a start, since few flows open in a quiet time.
const flowLoadAge = 10 * time.Second

// flowLoad follows how many requests come for each flow that opens.
type flowLoad struct {
	flows, requests float64
	at              time.Time
}

func (l *flowLoad) fade(now time.Time) {
	f := math.Exp(-float64(now.Sub(l.at)) / float64(flowLoadAge))
	l.flows, l.requests, l.at = f*l.flows, f*l.requests, now
}

func (l *flowLoad) opened(now time.Time) {
	l.fade(now)
	l.flows++
}

func (l *flowLoad) asked(now time.Time) {
	l.fade(now)
	l.requests++
}

// perFlow is how many requests come for each flow that opens: long flows ask again and again.
func (l *flowLoad) perFlow(now time.Time) float64 {
	l.fade(now)
	return math.Max(1, l.requests/math.Max(1, l.flows))
}

// decided notes what became of an opening.
func (g *group) decided(admitted bool) {
	x := 1.0
	if admitted {
		x = 0
	}
	g.refused += refusedWeight * (x - g.refused)
}

// answered takes in an answer of one of them.
func (g *group) answered(now time.Time, took time.Duration) {
	g.answers.add(now, took)
	g.usual.add(took, groupLatencyWeight)
}

// leastMean is a mean of answer times, and the least that it was of late, which rises slowly: about
// how long an answer takes without a queue.
type leastMean struct{ mean, least time.Duration }

func (l *leastMean) add(took time.Duration, weight float64) {
	if l.mean == 0 {
		l.mean, l.least = took, took
		return
	}
	l.mean += time.Duration(weight * float64(took-l.mean))
	l.least = min(l.mean, time.Duration(baseGrowth*float64(l.least)))
}

// recent is a mean of answer times in which each one fades.
type recent struct {
	mean   time.Duration
	weight float64 // in answers, at the latest one
	at     time.Time
}

func (r *recent) weightAt(now time.Time) float64 {
	return r.weight * math.Exp(-float64(now.Sub(r.at))/float64(answerAge))
}

func (r *recent) add(now time.Time, took time.Duration) {
	before := r.weightAt(now)
	r.mean = time.Duration((float64(r.mean)*before + float64(took)) / (before + 1))
	r.weight, r.at = before+1, now
}
