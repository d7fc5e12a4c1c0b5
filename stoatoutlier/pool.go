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

// Follow notes the relay parent in this data centre, invalid for none, and the sum that it sent.
func (p *Pool) Follow(now time.Time, parent netip.AddrPort, sum []Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
	sums := map[stoatpaddle.UpstreamKey]Counts{}
	for _, s := range own {
		sums[s.Key] = sums[s.Key].Add(s.Counts)
	}
	for _, r := range p.children {
		if !r.fresh(now) {
			continue
		}
		for _, s := range r.list {
			sums[s.Key] = sums[s.Key].Add(s.Counts)
		}
	}
	out := make([]Report, 0, len(sums))
	for k, c := range sums {
		if c.Failed > 0 {
			out = append(out, Report{Key: k, Counts: c})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Key, b.Key) })
	return out[:min(len(out), maxReports)]
}

// Turn returns what all entries here saw, as far as it is known, and what to report to whom;
// an invalid address means nothing is due.
func (p *Pool) Turn(now time.Time, own []Report) (sum, report []Report, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	below := p.add(now, own)
	if !p.parent.IsValid() {
		return below, nil, netip.AddrPort{}
	}
	sum = p.sum.list
	if !p.sum.fresh(now) {
		sum = below
	}
	keys := Keys(below)
	pause := reportSoon
	if slices.Equal(keys, p.last) {
		pause = reportLater
	}
	if len(keys) == 0 && len(p.last) == 0 || now.Sub(p.sent) < pause {
		return sum, nil, netip.AddrPort{}
	}
	p.sent, p.last = now, keys
	return sum, below, p.parent
}
