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
	// owedFor is how long a request may owe its answer until it counts as failed: ten times
	// a usual answer, and half of what a caller with a retry left can wait.
	owedFor = 500 * time.Millisecond
	// evidenceSpan is how far back counts go, in evidenceParts buckets: at 15 requests a
	// second of an upstream over a data centre it holds sixty.
	evidenceSpan  = 4 * time.Second
	evidenceParts = 8
	// failLeast and failShare are what marks an upstream: so many failures, which are such a
	// part of its requests.
	failLeast = 5
	failShare = 0.15
	// failRatio is how many times the failures of its like come on top: in an overload all
	// are late, and nothing is gained elsewhere. And when entries restart in turn, half of the
	// flows go to others in the middle of requests, which looks like two failures at each
	// upstream in four seconds; one of forty has eight by chance every few days.
	failRatio = 4
	// failCap is the part of a service's upstreams in a data centre that may be marked: the
	// others would not bear the load of more.
	failCap = 3
	// holdLeast and holdMost bound how long a mark stays; each that follows soon doubles it.
	// Then the upstream is tried again: failures of a few flows mark it anew.
	holdLeast = 4 * time.Second
	holdMost  = 32 * time.Second
	// shareDelay is how long the counts of all entries take: up and down four levels.
	shareDelay = 700 * time.Millisecond
)

// CheckInterval is how often Judge has something new to say.
const CheckInterval = 250 * time.Millisecond

// window counts over evidenceSpan.
type window struct {
	parts [evidenceParts]stoatoutlier.Counts
	at    int64 // number of the newest part, in parts since the epoch
}

const evidencePart = evidenceSpan / evidenceParts

func partOf(now time.Time) int64 { return now.UnixNano() / int64(evidencePart) }

// turn empties the parts that are too old.
func (w *window) turn(now time.Time) {
	at := partOf(now)
	for n := min(at-w.at, evidenceParts); n > 0; n-- {
		w.parts[(at-n+1)%evidenceParts] = stoatoutlier.Counts{}
	}
	w.at = max(w.at, at)
}

func (w *window) add(now time.Time, c stoatoutlier.Counts) {
	w.turn(now)
	p := &w.parts[w.at%evidenceParts]
	*p = p.Add(c)
}

func (w *window) sum(now time.Time) stoatoutlier.Counts {
	w.turn(now)
	var c stoatoutlier.Counts
	for _, p := range w.parts {
		c = c.Add(p)
	}
	return c
}

// mark is the judgement on one upstream.
type mark struct {
	until time.Time
	hold  time.Duration // the last one
}

// Reports returns what this entry saw of upstreams that failed requests of late, here or, as
// suspects names them, elsewhere: those that saw no failure count too. Ascending by key.
func (e *Engine) Reports(now time.Time, suspects map[stoatpaddle.UpstreamKey]bool) []stoatoutlier.Report {
	var out []stoatoutlier.Report
	for k, h := range e.health {
		named := suspects[k]
		r := stoatoutlier.Report{Key: k, Counts: h.window.sum(now), Silence: h.silenceSeen(now, named)}
		if r.Failed > 0 || r.WaitingEntries > 0 || named && (r.Answered > 0 || !r.LastHeard.IsZero()) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b stoatoutlier.Report) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// shared is what the entries of a data centre saw together of one upstream.
type shared struct {
	stoatoutlier.Counts
	stoatoutlier.Silence
	since time.Time // it has been named for its failures
}

// SetSums replaces what the entries of this data centre saw together.
func (e *Engine) SetSums(now time.Time, list []stoatoutlier.Report) {
	if len(list) == 0 && len(e.together) == 0 {
		return
	}
	next := make(map[stoatpaddle.UpstreamKey]shared, len(list))
	for _, s := range list {
		x := shared{Counts: s.Counts, Silence: s.Silence, since: now}
		if old, known := e.together[s.Key]; known && old.Failed > 0 {
			x.since = old.since
		}
		next[s.Key] = x
	}
	e.together = next
}

// FailingUpstream is an upstream that gets no new flows for a while, since it fails requests.
type FailingUpstream struct {
	Upstream *stoatroute.Upstream
	stoatoutlier.Counts
	Backoff time.Duration
}

// EjectFailing looks for upstreams that fail requests, and returns those that are marked now. Upstreams of this data
// centre are judged: others are seen too rarely.
func (e *Engine) EjectFailing(now time.Time, t *stoatroute.Table) []FailingUpstream {
	named := map[stoatpaddle.ServiceID][]FailingUpstream{}
	for k, s := range e.together {
		if u := t.Upstream(k); s.Failed > 0 && u != nil && u.AcceptsFlows() && u.DataCentre == e.cfg.DataCentre {
			named[u.Service] = append(named[u.Service], FailingUpstream{Upstream: u, Counts: s.Counts})
		}
	}
	var out []FailingUpstream
	for _, service := range slices.Sorted(maps.Keys(named)) {
		out = append(out, e.judge(now, t, named[service])...)
	}
	return out
}

// eachMet calls do with what is known of each upstream of a group that may take new flows.
func (e *Engine) eachMet(t *stoatroute.Table, g *group, do func(h *health)) {
	for k, h := range e.health {
		if h.group != g {
			continue
		}
		if u := t.Upstream(k); u != nil && u.AcceptsFlows() {
			do(h)
		}
	}
}

// judge looks at those of one service that failed requests.
func (e *Engine) judge(now time.Time, t *stoatroute.Table, own []FailingUpstream) []FailingUpstream {
	all := len(t.CandidatesIn(own[0].Upstream.Service, e.cfg.DataCentre))
	if all < failCap {
		return nil
	}
	marked := 0
	e.eachMet(t, e.groupOf(own[0].Upstream), func(h *health) {
		if now.Before(h.mark.until) {
			marked++
		}
	})
	slices.SortFunc(own, func(a, b FailingUpstream) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Upstream.Key, b.Upstream.Key))
	})
	bound := failLeast + failRatio*usualFailures(own, all)
	var out []FailingUpstream
	for _, m := range own {
		if marked >= all/failCap || float64(m.Failed) < bound {
			break
		}
		h := e.healthOf(m.Upstream)
		// One that has just started is slow, and says so: its requests owe their answers for a
		// while, in each release at a third of a service.
		if m.Upstream.StartedCold && now.Before(m.Upstream.WarmAt.Add(evidenceSpan)) {
			continue
		}
		// What entries saw of the life before is in the counts for so long.
		if since := m.Upstream.RestartedAt; !since.IsZero() && now.Sub(since) < evidenceSpan+shareDelay {
			continue
		}
		// Once an upstream is named, those entries that saw no failure need a moment to say so;
		// until then it would seem to fail most requests.
		if m.FailureRatio() < failShare || now.Sub(e.together[m.Upstream.Key].since) < shareDelay {
			continue
		}
		if now.Before(h.mark.until) {
			continue
		}
		m.Backoff = h.mark.set(now)
		marked++
		out = append(out, m)
	}
	return out
}

// usualFailures is the mean of failures at the upstreams that cannot be marked, since they are not among the
// worst of all; list has those that failed any, in descending order.
func usualFailures(list []FailingUpstream, all int) float64 {
	worst := all / failCap
	sum := 0
	for _, m := range list[min(worst, len(list)):] {
		sum += m.Failed
	}
	return float64(sum) / float64(all-worst)
}

// set marks for longer if the last mark ended a short while ago.
func (m *mark) set(now time.Time) time.Duration {
	if !m.until.IsZero() && now.Sub(m.until) < 2*evidenceSpan {
		m.hold = min(holdMost, 2*m.hold)
	} else {
		m.hold = holdLeast
	}
	m.until = now.Add(m.hold)
	return m.hold
}
