package stoatecho

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatspill"
)

// SpillConfig configures which openings may go to other data centres.
type SpillConfig struct {
	Rule     stoatspill.Rule
	Excluded []stoatpaddle.DataCentreID // never get openings from here
}

// spillover is what this entry decides about openings that go to other data centres.
type spillover struct {
	cfg      SpillConfig
	deciders map[stoatpaddle.ServiceID]*stoatspill.Decider // of services that were overloaded
	own      stoatload.CentreLoad                          // of the data centre; empty: no fresh sum is known
	others   []stoatload.CentreLoad
	slots    map[groupKey]slotCount
	table    *stoatroute.Table // that slots belong to
}

// slotCount counts the slots of a group's upstreams that may get openings.
type slotCount struct {
	n     int
	until time.Time // when the next cold upstream counts; zero: there is none
}

// SpillChange reports that openings of a service began or ceased to go to other data centres.
type SpillChange struct {
	Service stoatpaddle.ServiceID
	Started bool
	State   stoatspill.State
}

// SetSpill replaces the configuration of the spillover.
func (e *Engine) SetSpill(cfg SpillConfig) {
	if cfg.Rule != e.spillover.cfg.Rule {
		e.spillover.deciders = nil
	}
	e.spillover.cfg = cfg
}

// UpdateSpill brings the decisions about openings that go to other data centres up to date, and returns the changes,
// ascending by service.
func (e *Engine) UpdateSpill(now time.Time, t *stoatroute.Table) []SpillChange {
	if e.spillover.cfg.Rule == stoatspill.RuleNone || !t.Ready() {
		return nil
	}
	var out []SpillChange
	for k, g := range e.groups {
		if k.centre != e.cfg.DataCentre {
			continue
		}
		d := e.deciderOf(now, k.service, g)
		if d == nil {
			continue
		}
		if c := d.Update(now, e.spillEvidence(now, t, k.service, g)); c != stoatspill.Unchanged {
			out = append(out, SpillChange{Service: k.service, Started: c == stoatspill.Started, State: d.State(now)})
		}
	}
	slices.SortFunc(out, func(a, b SpillChange) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// deciderOf returns the decider of a service; nil if its upstreams here have not been overloaded.
func (e *Engine) deciderOf(now time.Time, s stoatpaddle.ServiceID, g *group) *stoatspill.Decider {
	if d := e.spillover.deciders[s]; d != nil {
		return d
	}
	own := e.loadOf(now, g)
	if shared := e.spillover.own.Find(s); !own.UnderPressure() && (shared == nil || !shared.UnderPressure()) {
		return nil
	}
	if e.spillover.deciders == nil {
		e.spillover.deciders = map[stoatpaddle.ServiceID]*stoatspill.Decider{}
	}
	d := stoatspill.New(stoatspill.Config{Rule: e.spillover.cfg.Rule})
	e.spillover.deciders[s] = d
	return d
}

// spillEvidence collects what decides about a service.
func (e *Engine) spillEvidence(now time.Time, t *stoatroute.Table, s stoatpaddle.ServiceID, g *group) stoatspill.Evidence {
	capacity := func(dc stoatpaddle.DataCentreID) stoatspill.Capacity {
		// Where no opening may go, room would start a spill that helps nobody.
		if dc != e.cfg.DataCentre && e.isForbidden(t, dc) {
			return stoatspill.Capacity{}
		}
		return stoatspill.Capacity{Slots: e.slotsOf(now, t, groupKey{service: s, centre: dc}), RoundTrip: e.handshake.mean}
	}
	x := stoatspill.Evidence{
		Entry: e.loadOf(now, g), Entries: e.filter.EntryRank.Entries, Home: capacity(e.cfg.DataCentre),
		Rooms: stoatspill.RoomsOf(e.cfg.DataCentre, s, e.spillover.others, capacity),
	}
	x.Own = x.Entry
	if shared := e.spillover.own.Find(s); shared != nil {
		x.Own = *shared
	}
	for k, other := range e.groups {
		if k.service == s && other != g && !e.isForbidden(t, k.centre) {
			x.Seen = append(x.Seen, e.loadOf(now, other))
		}
	}
	return x
}

// isForbidden reports whether no opening may go to a data centre, whatever the route.
func (e *Engine) isForbidden(t *stoatroute.Table, dc stoatpaddle.DataCentreID) bool {
	return slices.Contains(e.spillover.cfg.Excluded, dc) || t.Evacuated(dc)
}

// dropDeciders drops the deciders of services without known upstreams here.
func (e *Engine) dropDeciders() {
	for s := range e.spillover.deciders {
		if e.groups[groupKey{service: s, centre: e.cfg.DataCentre}] == nil {
			delete(e.spillover.deciders, s)
		}
	}
}

// slotsOf returns the slots of a group's upstreams that may get openings.
func (e *Engine) slotsOf(now time.Time, t *stoatroute.Table, k groupKey) int {
	if e.spillover.table != t {
		e.spillover.slots, e.spillover.table = map[groupKey]slotCount{}, t
	}
	c, known := e.spillover.slots[k]
	if !known || !c.until.IsZero() && !now.Before(c.until) {
		c = e.countSlots(now, t, k)
		e.spillover.slots[k] = c
	}
	return c.n
}

// countSlots counts the slots of a group's upstreams that may get openings: those of other data centres do not while
// they are cold.
func (e *Engine) countSlots(now time.Time, t *stoatroute.Table, k groupKey) slotCount {
	var c slotCount
	for _, u := range t.CandidatesIn(k.service, k.centre) {
		if k.centre == e.cfg.DataCentre || u.ColdRate == 0 || !now.Before(u.WarmAt) {
			c.n += u.Slots
		} else if c.until.IsZero() || u.WarmAt.Before(c.until) {
			c.until = u.WarmAt
		}
	}
	return c
}

// spill returns the upstream in another data centre that an opening goes to, or nil if the decision at home stands.
// home is the upstream chosen here; the upstream except did not answer the opening before.
func (e *Engine) spill(now time.Time, t *stoatroute.Table, r *stoatroute.Route, home *stoatroute.Upstream, p *stoatpacket.Packet, except stoatpaddle.UpstreamKey, refused bool) *stoatroute.Upstream {
	d := e.spillover.deciders[home.Service]
	if d == nil || home.DataCentre != e.cfg.DataCentre {
		return nil
	}
	dc, spills := d.Decide(now, stoatspill.Opening{
		Refused: refused, X: e.rnd.Float64(), Allowed: func(dc stoatpaddle.DataCentreID) bool { return e.maySpill(t, r, dc) },
	})
	if !spills {
		return nil
	}
	c := placement{now: now, route: r, patience: e.handshake.patience(), except: except, retried: p.Retransmits > 0}
	u := e.chooseIn(t, &c, home.Service, dc)
	// Where the other data centre limits levels itself, as this entry sees it, its own callers need the room.
	away := stoatadmission.Opening{Priority: r.Priority, Route: r.Listen, Caller: p.Tuple.Src.Addr(), Away: true}
	if u == nil || !e.groupOf(u).limiter.Decide(now, away).Admitted {
		d.Withdraw(dc)
		return nil
	}
	e.groupOf(home).spilled.Add(now, spilledDecay)
	e.stats.Spilled++
	return u
}

// spilledDecay is the time in which the weight of a spilled opening falls to 1/e, as for arrivals.
const spilledDecay = 500 * time.Millisecond

// maySpill reports whether openings of the route may go to a data centre.
func (e *Engine) maySpill(t *stoatroute.Table, r *stoatroute.Route, dc stoatpaddle.DataCentreID) bool {
	var u stoatroute.Upstream
	u.DataCentre = dc
	return !slices.Contains(e.spillover.cfg.Excluded, dc) && e.filter.CheckPolicy(t, r, &u) == stoatfilter.Eligible
}

// chooseIn returns the best upstream of the service in another data centre that would answer in time, or nil.
func (e *Engine) chooseIn(t *stoatroute.Table, c *placement, s stoatpaddle.ServiceID, dc stoatpaddle.DataCentreID) *stoatroute.Upstream {
	var o bestPicks
	var excluded Excluded
	e.sample(t.CandidatesIn(s, dc), maxCandidates, func(u *stoatroute.Upstream) { e.consider(t, c, u, &o, &excluded) })
	return o.other.up
}

// SpillState is the state of the spillover of a service.
type SpillState struct {
	Service stoatpaddle.ServiceID
	stoatspill.State
}

// SpillStates returns the state of each service whose upstreams here were overloaded, ascending by service.
func (e *Engine) SpillStates(now time.Time) []SpillState {
	var out []SpillState
	for s, d := range e.spillover.deciders {
		out = append(out, SpillState{Service: s, State: d.State(now)})
	}
	slices.SortFunc(out, func(a, b SpillState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
