package stoatoutlier

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

const (
	// reportSoon and reportLater are the pauses between two reports: the first while the
	// upstreams that fail are others than before, the second while they stay the same.
	reportSoon  = 500 * time.Millisecond
	reportLater = 2 * time.Second
	// reportKept is how long a report counts: two that are lost in a row are missed.
	reportKept = 3 * reportLater
	// maxReports bounds a report. More upstreams than that do not fail while others serve.
	maxReports = 256
)

// Pool adds up reports. Its methods may be called by several goroutines.
type Pool struct {
	mu       sync.Mutex
	children map[netip.AddrPort]timed
	parent   netip.AddrPort // in this data centre; invalid: none
	sum      timed          // over the data centre, as the parent sent it
	sent     time.Time
	last     []stoatpaddle.UpstreamKey // named in the last report
	claims   []claim                   // of the last report
}

// timed is a list of reports and when it came.
type timed struct {
	at   time.Time
	list []Report
}

func (r *timed) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportKept }

// Take takes in what a child and those below it saw.
func (p *Pool) Take(now time.Time, from netip.AddrPort, list []Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.children == nil {
		p.children = map[netip.AddrPort]timed{}
	}
	for a, r := range p.children {
		if !r.fresh(now) {
			delete(p.children, a)
		}
	}
	p.children[from] = timed{at: now, list: list}
}

// Differ tells whether two sums differ in what is acted upon within milliseconds.
func Differ(a, b []Report) bool {
	first := func(list []Report) func(stoatpaddle.UpstreamKey) time.Time {
		return func(k stoatpaddle.UpstreamKey) time.Time {
			for i := range list {
				if list[i].Key == k {
					return list[i].First
				}
			}
			return time.Time{}
		}
	}
	return !slices.Equal(claimsOf(a, first(a)), claimsOf(b, first(b)))
}

// Forget drops what a child saw: it reports to another one now, and would count twice.
func (p *Pool) Forget(child netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.children, child)
}

// Follow notes the relay parent in this data centre, invalid for none, and the sum that it sent.
func (p *Pool) Follow(now time.Time, parent netip.AddrPort, sum []Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(sum, byKey)
	p.parent, p.sum = parent, timed{at: now, list: sum}
	if !parent.IsValid() {
		p.sum = timed{}
	}
}

// Suspects returns the upstreams that somebody saw failing, as far as this entry knows.
func (p *Pool) Suspects(now time.Time) []stoatpaddle.UpstreamKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []stoatpaddle.UpstreamKey
	if p.sum.fresh(now) {
		keys = Keys(p.sum.list)
	}
	for _, r := range p.children {
		if r.fresh(now) {
			keys = append(keys, Keys(r.list)...)
		}
	}
	return keys
}

// Keys returns the upstreams that reports name.
func Keys(list []Report) []stoatpaddle.UpstreamKey {
	keys := make([]stoatpaddle.UpstreamKey, 0, len(list))
	for _, s := range list {
		keys = append(keys, s.Key)
	}
	return keys
}

// add returns what this entry and those below it saw, ascending by key.
func (p *Pool) add(now time.Time, own []Report) []Report {
	sums := map[stoatpaddle.UpstreamKey]Report{}
	take := func(list []Report) {
		for i := range list {
			r := &list[i]
			sum, known := sums[r.Key]
			if !known {
				sum.Key = r.Key
			}
			sums[r.Key] = sum.add(r)
		}
	}
	take(own)
	for _, r := range p.children {
		if r.fresh(now) {
			take(r.list)
		}
	}
	out := make([]Report, 0, len(sums))
	for _, r := range sums {
		out = append(out, r)
	}
	slices.SortFunc(out, byKey)
	return out
}

func byKey(a, b Report) int { return cmp.Compare(a.Key, b.Key) }

// outliers returns the reports that speak against their upstreams.
func outliers(list []Report) []Report {
	var out []Report
	for i := range list {
		if list[i].outlier() {
			out = append(out, list[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// due returns what to report: what speaks against an upstream, and what was seen of those that
// others speak against. Left out, the answers of thirty entries that saw no failure would be
// missing from the sum, and the failures of two would be all there is.
func (p *Pool) due(below []Report) []Report {
	var out []Report
	for i := range below {
		_, named := slices.BinarySearchFunc(p.sum.list, below[i].Key, func(r Report, k stoatpaddle.UpstreamKey) int { return cmp.Compare(r.Key, k) })
		if named || below[i].outlier() {
			out = append(out, below[i])
		}
	}
	return out[:min(len(out), maxReports)]
}

// claim is the part of a report that others act upon within milliseconds.
type claim struct {
	key     stoatpaddle.UpstreamKey
	waiting int  // up to two: more change nothing
	alive   bool // a sign came since the first of the data centre began to wait
}

// claimsOf returns the claims of reports; first says since when an entry waits for an upstream.
func claimsOf(list []Report, first func(stoatpaddle.UpstreamKey) time.Time) []claim {
	var out []claim
	for i := range list {
		r := &list[i]
		since := first(r.Key)
		c := claim{key: r.Key, waiting: min(2, r.Entries), alive: !since.IsZero() && r.Heard.After(since)}
		if c.waiting > 0 || c.alive {
			out = append(out, c)
		}
	}
	return out
}

// firstIn tells since when an entry waits for an upstream, as the parent sent it.
func (p *Pool) firstIn(k stoatpaddle.UpstreamKey) time.Time {
	i, named := slices.BinarySearchFunc(p.sum.list, k, func(r Report, k stoatpaddle.UpstreamKey) int { return cmp.Compare(r.Key, k) })
	if !named {
		return time.Time{}
	}
	return p.sum.list[i].First
}

// Turn returns what all entries here saw, as far as it is known, and what to report to whom;
// an invalid address means nothing is due. A claim that changed is reported at once, the counts of
// requests after a pause.
func (p *Pool) Turn(now time.Time, own []Report) (sum, report []Report, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	below := p.add(now, own)
	if !p.parent.IsValid() {
		return outliers(below), nil, netip.AddrPort{}
	}
	sum = p.sum.list
	if !p.sum.fresh(now) {
		sum = outliers(below)
	}
	report = p.due(below)
	keys, claims := Keys(report), claimsOf(report, p.firstIn)
	pause := reportSoon
	if slices.Equal(keys, p.last) {
		pause = reportLater
	}
	quiet := len(keys) == 0 && len(p.last) == 0
	if slices.Equal(claims, p.claims) && (quiet || now.Sub(p.sent) < pause) {
		return sum, nil, netip.AddrPort{}
	}
	p.sent, p.last, p.claims = now, keys, claims
	return sum, report, p.parent
}
