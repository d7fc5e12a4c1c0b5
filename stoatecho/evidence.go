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

// Detection of upstreams that accept flows and fail requests.
//
// An upstream that seems healthy may let a part of its requests hang. It answers openings and other requests,
// so that it does not look dead. Each of thirty entries of a data centre sees two of its requests in four
// seconds, too few to tell, and callers' requests fail for hours.
//
// So each entry counts, for each upstream, the requests that were answered and those that have been pending for
// too long, and the entries of a data centre add up their counts. An upstream that clearly fails more requests
// than the others of its service gets no new flows for a while. Its open flows go on: whether a request on them
// would fail is not known, and a reset would certainly end them.
const (
	// failureTimeout is how long a request may be pending before it counts as failed: ten times a usual answer
	// time, and half of what a caller with a retry left can wait.
	failureTimeout = 500 * time.Millisecond
	// failureWindow is how far back counts go, in failureBuckets buckets. With 15 requests a second to an upstream
	// from a data centre it covers sixty.
	failureWindow  = 4 * time.Second
	failureBuckets = 8
	// minFailures and minFailureShare are the least number of failures, and their least share of an upstream's
	// requests, for the upstream to be ejected.
	minFailures     = 5
	minFailureShare = 0.15
	// peerFailureFactor is the multiple of the other upstreams' mean failures that is needed in addition to
	// minFailures. In an overload all upstreams are late, and nothing is gained by sending flows elsewhere. And
	// when entries restart one after another, half of the flows move to other entries in the middle of
	// requests, which looks like two failures at each upstream in four seconds; by chance, one of forty
	// upstreams has eight every few days.
	peerFailureFactor = 4
	// ejectableDivisor limits ejections to a third of a service's upstreams in a data centre, since the others
	// could not bear the load of more.
	ejectableDivisor = 3
	// minFailureBackoff and maxFailureBackoff bound how long such an upstream gets no new flows; the time
	// doubles if it soon fails again. Afterwards it is tried again, and failures of a few flows eject it anew.
	minFailureBackoff = 4 * time.Second
	maxFailureBackoff = 32 * time.Second
	// sumDelay is how long it takes to add up the counts of all entries: up and down four levels of the relay
	// tree.
	sumDelay = 700 * time.Millisecond
)

// CheckInterval is how often EjectFailing and EjectSilent are to be called.
const CheckInterval = 250 * time.Millisecond

// window counts requests over failureWindow.
type window struct {
	buckets [failureBuckets]stoatoutlier.Counts
	newest  int64 // number of the newest bucket since the epoch
}

const bucketLength = failureWindow / failureBuckets

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// advance clears the buckets that are too old.
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

// failureBackoff keeps new flows from an upstream that fails requests.
type failureBackoff struct {
	until time.Time
	last  time.Duration // the latest duration
}

// Reports returns what this entry saw of the upstreams that recently failed requests or left packets
// unanswered. For the suspects, which other entries reported, it includes answers and signs of life even if
// this entry saw no failure. The list ascends by key.
func (e *Engine) Reports(now time.Time, suspects map[stoatpaddle.UpstreamKey]bool) []stoatoutlier.Report {
	var out []stoatoutlier.Report
	for k, h := range e.health {
		suspect := suspects[k]
		r := stoatoutlier.Report{Key: k, Counts: h.window.sum(now), Silence: h.silenceReport(now, suspect)}
		if r.Failed > 0 || r.WaitingEntries > 0 || suspect && (r.Answered > 0 || !r.LastHeard.IsZero()) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b stoatoutlier.Report) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// dataCentreSum is what the entries of a data centre together saw of one upstream.
type dataCentreSum struct {
	stoatoutlier.Counts
	stoatoutlier.Silence
	failingSince time.Time // since when it has been reported for failures
}

// SetDataCentreSums replaces what the entries of this data centre together saw.
func (e *Engine) SetDataCentreSums(now time.Time, list []stoatoutlier.Report) {
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

// FailingUpstream is an upstream that gets no new flows for a while, because it fails requests.
type FailingUpstream struct {
	Upstream *stoatroute.Upstream
	stoatoutlier.Counts
	Backoff time.Duration
}

// EjectFailing looks for upstreams that fail requests, ejects them, and returns those that it ejected. It
// considers the upstreams of this data centre only: too little is seen of the others.
func (e *Engine) EjectFailing(now time.Time, t *stoatroute.Table) []FailingUpstream {
	failing := map[stoatpaddle.ServiceID][]FailingUpstream{}
	for k, s := range e.dataCentreSums {
		if u := t.Upstream(k); s.Failed > 0 && u != nil && u.AcceptsFlows() && u.DataCentre == e.cfg.DataCentre {
			failing[u.Service] = append(failing[u.Service], FailingUpstream{Upstream: u, Counts: s.Counts})
		}
	}
	var out []FailingUpstream
	for _, service := range slices.Sorted(maps.Keys(failing)) {
		out = append(out, e.ejectFailingInService(now, t, failing[service])...)
	}
	return out
}

// eachSeen calls do with the health of each known upstream of a group that may take new flows.
func (e *Engine) eachSeen(t *stoatroute.Table, g *group, do func(h *health)) {
	for k, h := range e.health {
		if h.group != g {
			continue
		}
		if u := t.Upstream(k); u != nil && u.AcceptsFlows() {
			do(h)
		}
	}
}

// ejectFailingInService ejects upstreams of one service; failing has those with failures, and is not empty.
func (e *Engine) ejectFailingInService(now time.Time, t *stoatroute.Table, failing []FailingUpstream) []FailingUpstream {
	all := len(t.CandidatesIn(failing[0].Upstream.Service, e.cfg.DataCentre))
	if all < ejectableDivisor {
		return nil
	}
	ejected := 0
	e.eachSeen(t, e.groupOf(failing[0].Upstream), func(h *health) {
		if now.Before(h.failing.until) {
			ejected++
		}
	})
	slices.SortFunc(failing, func(a, b FailingUpstream) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Upstream.Key, b.Upstream.Key))
	})
	bound := minFailures + peerFailureFactor*peerFailures(failing, all)
	var out []FailingUpstream
	for _, f := range failing {
		if ejected >= all/ejectableDivisor || float64(f.Failed) < bound {
			break
		}
		h := e.healthOf(f.Upstream)
		// An upstream that has just started is slow, as its registration says: for a while its requests are
		// answered late, in each release at a third of a service's upstreams.
		if f.Upstream.WasCold && now.Before(f.Upstream.WarmAt.Add(failureWindow)) {
			continue
		}
		// The counts still include what entries saw before the upstream restarted.
		if since := f.Upstream.RestartedAt; !since.IsZero() && now.Sub(since) < failureWindow+sumDelay {
			continue
		}
		// Once an upstream is reported, the entries that saw no failure need a moment to report its answers. Until
		// then it would seem to fail most requests.
		if f.FailureRatio() < minFailureShare || now.Sub(e.dataCentreSums[f.Upstream.Key].failingSince) < sumDelay {
			continue
		}
		if now.Before(h.failing.until) {
			continue
		}
		f.Backoff = h.failing.begin(now)
		ejected++
		out = append(out, f)
	}
	return out
}

// peerFailures returns the mean of the failures at those upstreams that cannot be ejected, as they are not
// among the worst. The list has the upstreams with failures, in descending order of those.
func peerFailures(list []FailingUpstream, all int) float64 {
	worst := all / ejectableDivisor
	sum := 0
	for _, f := range list[min(worst, len(list)):] {
		sum += f.Failed
	}
	return float64(sum) / float64(all-worst)
}

// begin starts a period, twice as long as the previous one if that ended a short while ago.
func (b *failureBackoff) begin(now time.Time) time.Duration {
	if !b.until.IsZero() && now.Sub(b.until) < 2*failureWindow {
		b.last = min(maxFailureBackoff, 2*b.last)
	} else {
		b.last = minFailureBackoff
	}
	b.until = now.Add(b.last)
	return b.last
}
