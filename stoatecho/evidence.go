package stoatecho

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Upstreams that open flows and fail requests.
//
// The load: an upstream whose health is good lets a part of its requests hang. It answers
// openings and other requests, so that nothing here looks dead; each of thirty entries of a
// data centre sees two of its requests in four seconds and cannot tell. Callers' requests of
// that part fail, for hours at night.
//
// So each entry counts, for each upstream, the requests that had an answer and those that
// owe one for too long, and entries of a data centre add their counts up. An upstream that
// fails clearly more than its like gets no new flows for a while. Flows that are open there
// go on: whether a request of them would fail is not known, and a reset would end them for sure.
const (
	// failureTimeout is how long a request may owe its answer until it counts as failed: ten times
	// a usual answer, and half of what a caller with a retry left can wait.
	failureTimeout = 500 * time.Millisecond
	// failureWindow is how far back counts go, in evidenceParts buckets: at 15 requests a
	// second of an upstream over a data centre it holds sixty.
	failureWindow  = 4 * time.Second
	failureBuckets = 8
	// minFailures and failShare are what marks an upstream: so many failures, which are such a
	// part of its requests.
	minFailures     = 5
	minFailureShare = 0.15
	// peerFailureFactor is how many times the failures of its like come on top: in an overload all
	// are late, and nothing is gained elsewhere. And when entries restart in turn, half of the
	// flows go to others in the middle of requests, which looks like two failures at each
	// upstream in four seconds; one of forty has eight by chance every few days.
	peerFailureFactor = 4
	// ejectableDivisor is the part of a service's upstreams in a data centre that may be marked: the
	// others would not bear the load of more.
	ejectableDivisor = 3
	// minFailureBackoff and holdMost bound how long a mark stays; each that follows soon doubles it.
	// Then the upstream is tried again: failures of a few flows mark it anew.
	minFailureBackoff = 4 * time.Second
	maxFailureBackoff = 32 * time.Second
	// sumDelay is how long the counts of all entries take: up and down four levels.
	sumDelay = 700 * time.Millisecond
)

// JudgeEvery is how often Judge has something new to say.
const JudgeEvery = 250 * time.Millisecond

// window counts over evidenceSpan.
type window struct {
	buckets [failureBuckets]stoatoutlier.Counts
	newest  int64 // number of the newest part, in parts since the epoch
}

const bucketLength = failureWindow / failureBuckets

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// advance empties the parts that are too old.
func (w *window) advance(now time.Time) {
	at := bucketOf(now)
	for n := min(at-w.newest, failureBuckets); n > 0; n-- {
		w.buckets[(at-n+1)%failureBuckets] = stoatoutlier.Counts{}
	}
	w.newest = max(w.newest, at)
}

func (w *window) add(now time.Time, c stoatoutlier.Counts) {
	w.advance(now)
	p := &w.buckets[w.newest%failureBuckets]
	*p = p.Add(c)
}

func (w *window) sum(now time.Time) stoatoutlier.Counts {
	w.advance(now)
	var c stoatoutlier.Counts
	for _, p := range w.buckets {
		c = c.Add(p)
	}
	return c
}

// failureBackoff is the judgement on one upstream.
type failureBackoff struct {
	until time.Time
	last  time.Duration // the last one
}

// Observed returns what this entry saw of upstreams that failed requests of late, here or, as
// suspects names them, elsewhere: those that saw no failure count too. Ascending by key.
func (e *Engine) Observed(now time.Time, suspects map[stoatpaddle.UpstreamKey]bool) []stoatoutlier.Report {
	var out []stoatoutlier.Report
	for k, h := range e.health {
		named := suspects[k]
		r := stoatoutlier.Report{Key: k, Counts: h.window.sum(now), Silence: h.silenceReport(now, named)}
		if r.Failed > 0 || r.Entries > 0 || named && (r.Answered > 0 || !r.Heard.IsZero()) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b stoatoutlier.Report) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// dataCentreSum is what the entries of a data centre saw together of one upstream.
type dataCentreSum struct {
	stoatoutlier.Counts
	stoatoutlier.Silence
	failingSince time.Time // it has been named for its failures
}

// TakeSum replaces what the entries of this data centre saw together.
func (e *Engine) TakeSum(now time.Time, list []stoatoutlier.Report) {
	if len(list) == 0 && len(e.dataCentreSums) == 0 {
		return
	}
	next := make(map[stoatpaddle.UpstreamKey]dataCentreSum, len(list))
	for _, s := range list {
		x := dataCentreSum{Counts: s.Counts, Silence: s.Silence, failingSince: now}
		if old, known := e.dataCentreSums[s.Key]; known && old.Failed > 0 {
			x.failingSince = old.failingSince
		}
		next[s.Key] = x
	}
	e.dataCentreSums = next
}

// Marked is an upstream that gets no new flows for a while, since it fails requests.
type Marked struct {
	Upstream *stoatroute.Upstream
	stoatoutlier.Counts
	Hold time.Duration
}

// Judge looks for upstreams that fail requests, and returns those that are marked now. Upstreams of this data
// centre are judged: others are seen too rarely.
func (e *Engine) Judge(now time.Time, t *stoatroute.Table) []Marked {
	named := map[stoatpaddle.ServiceID][]Marked{}
	for k, s := range e.dataCentreSums {
		if u := t.Upstream(k); s.Failed > 0 && u != nil && u.Opens() && u.DataCentre == e.cfg.DataCentre {
			named[u.Service] = append(named[u.Service], Marked{Upstream: u, Counts: s.Counts})
		}
	}
	var out []Marked
	for _, service := range slices.Sorted(maps.Keys(named)) {
		out = append(out, e.ejectFailingInService(now, t, named[service])...)
	}
	return out
}

// eachSeen calls do with what is known of each upstream of a group that may take new flows.
func (e *Engine) eachSeen(t *stoatroute.Table, g *group, do func(h *health)) {
	for k, h := range e.health {
		if h.group != g {
			continue
		}
		if u := t.Upstream(k); u != nil && u.Opens() {
			do(h)
		}
	}
}

// ejectFailingInService looks at those of one service that failed requests.
func (e *Engine) ejectFailingInService(now time.Time, t *stoatroute.Table, failing []Marked) []Marked {
	all := len(t.Group(failing[0].Upstream.Service, e.cfg.DataCentre))
	if all < ejectableDivisor {
		return nil
	}
	ejected := 0
	e.eachSeen(t, e.groupOf(failing[0].Upstream), func(h *health) {
		if now.Before(h.failing.until) {
			ejected++
		}
	})
	slices.SortFunc(failing, func(a, b Marked) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Upstream.Key, b.Upstream.Key))
	})
	bound := minFailures + peerFailureFactor*peerFailures(failing, all)
	var out []Marked
	for _, m := range failing {
		if ejected >= all/ejectableDivisor || float64(m.Failed) < bound {
			break
		}
		h := e.healthOf(m.Upstream)
		// One that has just started is slow, and says so: its requests owe their answers for a
		// while, in each release at a third of a service.
		if m.Upstream.Started && now.Before(m.Upstream.Warm.Add(failureWindow)) {
			continue
		}
		// What entries saw of the life before is in the counts for so long.
		if since := m.Upstream.Renewed; !since.IsZero() && now.Sub(since) < failureWindow+sumDelay {
			continue
		}
		// Once an upstream is named, those entries that saw no failure need a moment to say so;
		// until then it would seem to fail most requests.
		if m.Share() < minFailureShare || now.Sub(e.dataCentreSums[m.Upstream.Key].failingSince) < sumDelay {
			continue
		}
		if now.Before(h.failing.until) {
			continue
		}
		m.Hold = h.failing.begin(now)
		ejected++
		out = append(out, m)
	}
	return out
}

// peerFailures is the mean of failures at the upstreams that cannot be marked, since they are not among the
// worst of all; list has those that failed any, in descending order.
func peerFailures(list []Marked, all int) float64 {
	worst := all / ejectableDivisor
	sum := 0
	for _, m := range list[min(worst, len(list)):] {
		sum += m.Failed
	}
	return float64(sum) / float64(all-worst)
}

// begin marks for longer if the last mark ended a short while ago.
func (m *failureBackoff) begin(now time.Time) time.Duration {
	if !m.until.IsZero() && now.Sub(m.until) < 2*failureWindow {
		m.last = min(maxFailureBackoff, 2*m.last)
	} else {
		m.last = minFailureBackoff
	}
	m.until = now.Add(m.last)
	return m.last
}
