package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// spillFactor is how many times more loaded the best upstream here must be than the best one of another data
// centre before a flow goes there. Traffic between data centres is expensive, a flow there breaks when the two
// lose their connection, and without the factor flows would oscillate between them.
const spillFactor = 2.0

// pick is the cheapest upstream of those offered.
type pick struct {
	up   *stoatroute.Upstream
	h    *health
	cost float64
}

func (p *pick) offer(u *stoatroute.Upstream, h *health, cost float64) {
	if p.up == nil || cost < p.cost {
		p.up, p.h, p.cost = u, h, cost
	}
}

// bestPicks are the best upstreams for a new flow, by category.
type bestPicks struct {
	own        pick // in this data centre
	ownFull    pick // in this data centre, but one more flow would be answered late
	ownSpare   pick // in this data centre and cold, with capacity for one more flow now
	other      pick // in another data centre
	otherFull  pick // in another data centre, but one more flow would be answered late
	lastResort pick // ejected, or passed to choose as except
}

// Excluded counts the upstreams that are not eligible for a flow, by reason.
type Excluded [stoatfilter.VerdictCount]int

// choose returns the upstream for a new flow, or nil if there is none; whether the flow is admitted; and how many
// upstreams were not eligible. The upstream except is used only as a last resort; retried says that the opening is
// a retransmission of one that was not answered.
//
// Package stoatfilter decides which upstreams are eligible at all; choose takes the best of them. The own data
// centre is preferred, and in it the upstreams that would answer in time: the one with the least load may be full
// while another one is not. If none would answer in time, the flow is refused, since sending it to another data
// centre would fill that one next in a general overload. Ejected upstreams are the last resort: if all are
// ejected, the cause is more likely this entry's network than the upstreams.
func (e *Engine) choose(now time.Time, t *stoatroute.Table, r *stoatroute.Route, except stoatpaddle.UpstreamKey, retried bool) (*stoatroute.Upstream, bool, Excluded) {
	var o bestPicks
	var excluded Excluded
	patience := e.handshake.patience()
	c := placement{now: now, route: r, patience: patience, except: except, retried: retried}
	service := e.backend(r)
	if all := t.Candidates(service); len(all) <= maxCandidates {
		for _, u := range all {
			e.consider(t, &c, u, &o, &excluded)
		}
	} else {
		e.sampleGroups(t.CandidateGroups(service), len(all), func(u *stoatroute.Upstream) { e.consider(t, &c, u, &o, &excluded) })
	}
	up, admitted := o.best(now, patience)
	return up, admitted, excluded
}

// placement is what all candidate upstreams of a new flow have in common.
type placement struct {
	now      time.Time
	route    *stoatroute.Route
	patience time.Duration
	except   stoatpaddle.UpstreamKey
	retried  bool
}

// consider evaluates one upstream.
func (e *Engine) consider(t *stoatroute.Table, c *placement, u *stoatroute.Upstream, o *bestPicks, excluded *Excluded) {
	h := e.health[u.Key]
	if h == nil {
		h = &e.groupOf(u).unseen
	}
	if u.MaxFlows > 0 && h.flows >= u.MaxFlows {
		return
	}
	v := e.filter.CheckNewFlow(c.now, t, c.route, u, h.coldLoad(c.now, u))
	if v > stoatfilter.ColdEligible {
		excluded[v]++
		return
	}
	// Equal costs must be ordered differently at each entry, or all entries would start with the same upstream.
	cost := h.cost(c.now, u, c.patience) * (1 + jitter*e.rnd.Float64())
	if h.suspected() && (c.retried || c.now.Before(h.group.nextTrial)) {
		cost *= slowPenalty
	}
	full := !admits(c.now, h, c.route)
	switch own := u.DataCentre == e.cfg.DataCentre; {
	case h.isEjected(c.now) || u.Key == c.except:
		o.lastResort.offer(u, h, cost)
	case v == stoatfilter.ColdEligible:
		o.ownSpare.offer(u, h, cost)
	case own && full:
		o.ownFull.offer(u, h, cost)
	case own:
		o.own.offer(u, h, cost)
	case full:
		o.otherFull.offer(u, h, cost)
	default:
		o.other.offer(u, h, cost)
	}
}

// maxCandidates bounds how many upstreams are evaluated for a new flow, in the local data centre and in all
// others together. An entry in front of 1,600 upstreams of a service sends each of them a few flows an hour,
// and so knows nothing about most of them. Without the bound, an opening would cost time in proportion to the
// size of the service.
const maxCandidates = 128

// sampleGroups calls do with a sample of the upstreams of the local data centre and a sample of the others, in
// which each data centre has a share in proportion to its size.
func (e *Engine) sampleGroups(groups []stoatroute.CandidateGroup, total int, do func(u *stoatroute.Upstream)) {
	others := total
	for _, g := range groups {
		if g.DataCentre == e.cfg.DataCentre {
			others -= len(g.Upstreams)
		}
	}
	for _, g := range groups {
		size := maxCandidates
		if g.DataCentre != e.cfg.DataCentre {
			size = max(1, maxCandidates*len(g.Upstreams)/others)
		}
		e.sample(g.Upstreams, size, do)
	}
}

// sample calls do with a random stratified sample of at most the given size, in which each element of the list has
// the same chance; with all elements if the list is no longer than that.
func (e *Engine) sample(list []*stoatroute.Upstream, size int, do func(u *stoatroute.Upstream)) {
	if len(list) <= size {
		for _, u := range list {
			do(u)
		}
		return
	}
	for i := range size {
		from, to := i*len(list)/size, (i+1)*len(list)/size
		do(list[from+e.rnd.IntN(to-from)])
	}
}

// best returns the upstream to use, and whether the flow is admitted.
func (o *bestPicks) best(now time.Time, patience time.Duration) (*stoatroute.Upstream, bool) {
	switch {
	case o.own.up != nil && o.other.up != nil && spillsOver(now, patience, &o.own, &o.other):
		return o.other.up, true
	case o.own.up != nil:
		return o.own.up, true
	case o.ownSpare.up != nil:
		return o.ownSpare.up, true
	case o.ownFull.up != nil:
		return o.ownFull.up, false
	case o.other.up != nil:
		return o.other.up, true
	case o.otherFull.up != nil:
		return o.otherFull.up, false
	}
	return o.lastResort.up, true
}

// spillsOver reports whether a flow goes to another data centre although the local one could take it: if the best
// upstream here is slow to answer and the best one there is not, or if this entry alone has filled the slots of
// the best one here and taken far fewer of the best one there.
func spillsOver(now time.Time, patience time.Duration, own, other *pick) bool {
	if other.h.slowToAnswer(now, patience) {
		return false
	}
	if own.h.slowToAnswer(now, patience) {
		return true
	}
	here, there := own.h.load(own.up), other.h.load(other.up)
	return here >= 1 && there*spillFactor <= here
}

// jitter is the greatest relative change to a cost, which randomizes the order of equal costs.
const jitter = 0.05

// backend picks the service for a new flow, at random by weight.
func (e *Engine) backend(r *stoatroute.Route) stoatpaddle.ServiceID {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	sum := 0
	for _, b := range r.Backends {
		sum += int(b.Weight)
	}
	if sum <= 0 {
		return ""
	}
	at := e.rnd.IntN(sum)
	for _, b := range r.Backends {
		if at -= int(b.Weight); at < 0 {
			return b.Service
		}
	}
	return ""
}
