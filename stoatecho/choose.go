package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
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

// choose returns the upstream for a new flow, or nil when none may take it. except is left
// out as long as there is another one.
//
// The own data centre goes first. Ejected upstreams are the last resort: if all are
// ejected the evidence speaks of this entry's network rather than of them.
func (e *Engine) choose(now time.Time, t *stoatroute.Table, r *stoatroute.Route, except stoatpaddle.UpstreamKey) *stoatroute.Upstream {
	var own, other, last pick
	patience := e.handshake.patience()
	for _, u := range t.Service(e.backend(r)) {
		h := e.health.of(u)
		if u.Cap > 0 && h.flows >= u.Cap {
			continue
		}
		// The order of equals must differ from entry to entry, or all would start with the same.
		cost := h.cost(now, u, patience) * (1 + jitter*e.rnd.Float64())
		switch {
		case h.isEjected(now) || u.Key == except:
			last.offer(u, h, cost)
		case u.DataCentre == e.cfg.DataCentre:
			own.offer(u, h, cost)
		default:
			other.offer(u, h, cost)
		}
	}
	switch {
	case own.up == nil && other.up == nil:
		return last.up
	case own.up == nil:
		return other.up
	case other.up != nil && spills(now, patience, &own, &other):
		return other.up
	}
	return own.up
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
