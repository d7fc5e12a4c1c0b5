package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// spillGain is how much less of its slots the best upstream of another data centre must
// have taken than the best here before it gets a flow: bytes between data centres are
// dear, a flow there breaks when they lose each other, and without the gain flows would
// swing back and forth.
const spillGain = 2.0

// pick is the best upstream of a group and its cost.
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

// offers are the best upstreams for a new flow, by what speaks for or against them.
type offers struct {
	own       pick // in this data centre
	ownFull   pick // there, but one more flow would be answered late
	ownSpare  pick // there, and cold: it bears one more flow now
	other     pick // in another data centre
	otherFull pick
	last      pick // ejected, or the one that is left out
}

// Excluded counts upstreams that might not get a flow, by why.
type Excluded [stoatfilter.VerdictCount]int

// choose returns the upstream for a new flow and whether it may get one, or nil when there is
// none, and what was left out. except is left out as long as there is another one.
//
// Which upstreams may get it at all is decided before (stoatfilter); of these the best one is chosen.
// The own data centre goes first, and in it those that would answer in time: the one with the
// least load may be full for all entries while another one is not. Where none would, the flow is
// refused: sent to another data centre, it fills that one next when all have too much. Ejected
// upstreams are the last resort: if all are ejected the evidence speaks of this entry's network
// rather than of them.
// Again says that it is a copy of an opening which went unanswered.
func (e *Engine) choose(now time.Time, t *stoatroute.Table, r *stoatroute.Route, except stoatpaddle.UpstreamKey, again bool) (*stoatroute.Upstream, bool, Excluded) {
	var o offers
	var excluded Excluded
	patience := e.handshake.patience()
	c := candidate{now: now, route: r, patience: patience, except: except, again: again}
	service := e.backend(r)
	if all := t.Candidates(service); len(all) <= candidates {
		for _, u := range all {
			e.offer(t, &c, u, &o, &excluded)
		}
	} else {
		e.sampleGroups(t.CandidateGroups(service), len(all), func(u *stoatroute.Upstream) { e.offer(t, &c, u, &o, &excluded) })
	}
	up, admitted := o.best(now, patience)
	return up, admitted, excluded
}

// candidate is what is the same for all upstreams that a flow may go to.
type candidate struct {
	now      time.Time
	route    *stoatroute.Route
	patience time.Duration
	except   stoatpaddle.UpstreamKey
	again    bool
}

// offer weighs one upstream.
func (e *Engine) offer(t *stoatroute.Table, c *candidate, u *stoatroute.Upstream, o *offers, excluded *Excluded) {
	h := e.health[u.Key]
	if h == nil {
		h = &e.groupOf(u).unmet
	}
	if u.MaxFlows > 0 && h.flows >= u.MaxFlows {
		return
	}
	v := e.filter.CheckNewFlow(c.now, t, c.route, u, h.coldLoad(c.now, u))
	if v > stoatfilter.Spare {
		excluded[v]++
		return
	}
	// The order of equals must differ from entry to entry, or all would start with the same.
	cost := h.cost(c.now, u, c.patience) * (1 + jitter*e.rnd.Float64())
	if h.suspected() && (c.again || c.now.Before(h.group.nextTrial)) {
		cost *= slowPenalty
	}
	full := !admits(c.now, h, c.route)
	switch home := u.DataCentre == e.cfg.DataCentre; {
	case h.isEjected(c.now) || u.Key == c.except:
		o.last.offer(u, h, cost)
	case v == stoatfilter.Spare:
		o.ownSpare.offer(u, h, cost)
	case home && full:
		o.ownFull.offer(u, h, cost)
	case home:
		o.own.offer(u, h, cost)
	case full:
		o.otherFull.offer(u, h, cost)
	default:
		o.other.offer(u, h, cost)
	}
}

// candidates bounds how many upstreams a new flow is weighed for, of the own data centre and of all others
// together. An entry before 1,600 upstreams of a service meets each of them a few times an hour: what it knows
// of one more is nothing, and an opening would cost as much as the service is large.
const candidates = 128

// sampleGroups calls do with some upstreams of the own data centre and some of the others, of each of these as
// many as its part in the others.
func (e *Engine) sampleGroups(groups []stoatroute.CandidateGroup, all int, do func(u *stoatroute.Upstream)) {
	others := all
	for _, g := range groups {
		if g.DataCentre == e.cfg.DataCentre {
			others -= len(g.Upstreams)
		}
	}
	for _, g := range groups {
		most := candidates
		if g.DataCentre != e.cfg.DataCentre {
			most = max(1, candidates*len(g.Upstreams)/others)
		}
		e.sample(g.Upstreams, most, do)
	}
}

// sample calls do with as many of a list, spread over it at random, each with the same chance; with all of a
// list that is no longer.
func (e *Engine) sample(list []*stoatroute.Upstream, most int, do func(u *stoatroute.Upstream)) {
	if len(list) <= most {
		for _, u := range list {
			do(u)
		}
		return
	}
	for i := range most {
		from, to := i*len(list)/most, (i+1)*len(list)/most
		do(list[from+e.rnd.IntN(to-from)])
	}
}

// best returns the upstream to use, and whether it may get the flow.
func (o *offers) best(now time.Time, patience time.Duration) (*stoatroute.Upstream, bool) {
	switch {
	case o.own.up != nil && o.other.up != nil && spills(now, patience, &o.own, &o.other):
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
	return o.last.up, true
}

// spills tells whether a flow goes to another data centre although the own one could take
// it: when the best upstream here owes an answer and the best there does not, or when this
// entry alone has filled the best one here, and left much of the best one there.
func spills(now time.Time, patience time.Duration, own, other *pick) bool {
	if other.h.slowToAnswer(now, patience) {
		return false
	}
	if own.h.slowToAnswer(now, patience) {
		return true
	}
	here, there := own.h.load(own.up), other.h.load(other.up)
	return here >= 1 && there*spillGain <= here
}

// jitter spreads equal costs.
const jitter = 0.05

// backend returns the service for a new flow, by weight.
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
