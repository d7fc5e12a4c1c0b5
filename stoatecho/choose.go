package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const (
	// spillLoad is the load for its slots that the best upstream of the own data centre must
	// have, as this entry sees it, before another data centre is considered, and spillGain
	// how much less the best there must have: bytes between data centres are dear, and
	// without the gap flows would swing back and forth.
	spillLoad = 1.5
	spillGain = 3.0
)

// pick is the best upstream of a group and its cost.
type pick struct {
	up   *stoatroute.Upstream
	cost float64
}

func (p *pick) offer(u *stoatroute.Upstream, cost float64) {
	if p.up == nil || cost < p.cost {
		p.up, p.cost = u, cost
	}
}

// choose returns the upstream for a new flow, or nil when none may take it. except is left
// out as long as there is another one.
//
// The own data centre goes first. Ejected upstreams are the last resort: if all are
// ejected the evidence speaks of this entry's network rather than of them.
func (e *Engine) choose(now time.Time, t *stoatroute.Table, r *stoatroute.Route, except stoatpaddle.UpstreamKey) *stoatroute.Upstream {
	var own, other, last pick
	for _, u := range t.Service(e.backend(r)) {
		h := e.health.of(u.Key)
		if u.Cap > 0 && h.flows >= u.Cap {
			continue
		}
		// The order of equals must differ from entry to entry, or all would start with the same.
		cost := h.cost(now, u) * (1 + jitter*e.rnd.Float64())
		switch {
		case h.isEjected(now) || u.Key == except:
			last.offer(u, cost)
		case u.DataCentre == e.cfg.DataCentre:
			own.offer(u, cost)
		default:
			other.offer(u, cost)
		}
	}
	switch {
	case own.up == nil && other.up == nil:
		return last.up
	case own.up == nil:
		return other.up
	case other.up != nil && own.cost > spillLoad && other.cost*spillGain < own.cost:
		return other.up
	}
	return own.up
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
