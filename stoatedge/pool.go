package stoatedge

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
)

// Evidence against upstreams, added up over a data centre.
//
// Each entry sends what it and its children saw to its parent, and is told the sum over all.
// The tree that tells what the platform says carries both, so that no entry needs to know
// others. Only upstreams that somebody saw failing are named: in a quiet time nothing is sent.
const (
	// reportSoon and reportLater are the pauses between two reports: the first while the
	// upstreams that fail are others than before, the second while they stay the same.
	reportSoon  = 500 * time.Millisecond
	reportLater = 2 * time.Second
	// reportKept is how long a report counts: two that are lost in a row are missed.
	reportKept = 3 * reportLater
	// maxSeen bounds a report. More upstreams than that do not fail while others serve.
	maxSeen = 256
)

// pool gathers evidence. Its methods may be called by several goroutines.
type pool struct {
	mu       sync.Mutex
	children map[netip.AddrPort]seenReport
	parent   netip.AddrPort // in this data centre; invalid: none
	told     seenReport     // the sum, as the parent told it
	sent     time.Time
	last     []stoatpaddle.UpstreamKey // named in the last report
}

type seenReport struct {
	at   time.Time
	list []stoatecho.Seen
}

func (r *seenReport) fresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportKept }

// report takes in what a child and those below it saw.
func (p *pool) report(now time.Time, from netip.AddrPort, list []stoatecho.Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.children == nil {
		p.children = map[netip.AddrPort]seenReport{}
	}
	for a, r := range p.children {
		if !r.fresh(now) {
			delete(p.children, a)
		}
	}
	p.children[from] = seenReport{at: now, list: list}
}

// follow notes the parent in this data centre, invalid for none, and the sum that it told.
func (p *pool) follow(now time.Time, parent netip.AddrPort, sum []stoatecho.Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parent, p.told = parent, seenReport{at: now, list: sum}
	if !parent.IsValid() {
		p.told = seenReport{}
	}
}

// suspects returns the upstreams that somebody saw failing, as far as this entry was told.
func (p *pool) suspects(now time.Time) []stoatpaddle.UpstreamKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []stoatpaddle.UpstreamKey
	if p.told.fresh(now) {
		keys = keysOf(p.told.list)
	}
	for _, r := range p.children {
		if r.fresh(now) {
			keys = append(keys, keysOf(r.list)...)
		}
	}
	return keys
}

func keysOf(list []stoatecho.Seen) []stoatpaddle.UpstreamKey {
	keys := make([]stoatpaddle.UpstreamKey, 0, len(list))
	for _, s := range list {
		keys = append(keys, s.Key)
	}
	return keys
}

// add returns what this entry and those below it saw, ascending by key.
func (p *pool) add(now time.Time, own []stoatecho.Seen) []stoatecho.Seen {
	sums := map[stoatpaddle.UpstreamKey]stoatecho.Counts{}
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
	out := make([]stoatecho.Seen, 0, len(sums))
	for k, c := range sums {
		if c.Failed > 0 {
			out = append(out, stoatecho.Seen{Key: k, Counts: c})
		}
	}
	slices.SortFunc(out, func(a, b stoatecho.Seen) int { return cmp.Compare(a.Key, b.Key) })
	return out[:min(len(out), maxSeen)]
}

// turn returns what all entries here saw, as far as it is known, and what to report to whom;
// an invalid address means nothing is due.
func (p *pool) turn(now time.Time, own []stoatecho.Seen) (sum, report []stoatecho.Seen, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	below := p.add(now, own)
	if !p.parent.IsValid() {
		return below, nil, netip.AddrPort{}
	}
	sum = p.told.list
	if !p.told.fresh(now) {
		sum = below
	}
	keys := keysOf(below)
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
