package stoatload

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// AggregatorConfig configures an Aggregator.
type AggregatorConfig struct {
	Self       netip.AddrPort // address of this entry
	DataCentre stoatpaddle.DataCentreID
}

// Aggregator adds up the loads of this entry and of the entries below it, and keeps the loads that the parent and
// other data centres publish. Its methods may be called by several goroutines.
type Aggregator struct {
	cfg AggregatorConfig
	mu  sync.Mutex
	own received
	// contendedAt is when each group was last seen to be contended, here or in another data centre.
	contendedAt map[stoatpaddle.ServiceID]time.Time
	// requestedAt is when the parent, which is in another data centre, last asked for the load of this one.
	requestedAt time.Time
	children    map[netip.AddrPort]received
	parent      netip.AddrPort // parent in this data centre; invalid: none
	sum         *CentreLoad    // of this data centre, as the parent sent it; nil: none
	topmost     bool           // no entry of this data centre is above this one
	parts       map[partKey]storedPart
}

// received holds loads and the time at which they were received.
type received struct {
	at     time.Time
	groups []GroupLoad
}

// partKey identifies a part; an invalid origin stands for a whole data centre.
type partKey struct {
	dataCentre stoatpaddle.DataCentreID
	origin     netip.AddrPort
}

// storedPart is a part as of Load.At.
type storedPart struct {
	Part
	below bool // it came from an entry below this one
}

func fresh(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < LoadTTL }

// NewAggregator returns an Aggregator without loads.
func NewAggregator(cfg AggregatorConfig) *Aggregator {
	return &Aggregator{cfg: cfg, children: map[netip.AddrPort]received{}, parts: map[partKey]storedPart{}, contendedAt: map[stoatpaddle.ServiceID]time.Time{}}
}

// SetOwn replaces the load that this entry measures. Groups of other data centres don't count.
func (agg *Aggregator) SetOwn(now time.Time, groups []GroupLoad) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	agg.own = received{at: now, groups: agg.usable(groups)}
	agg.noteContended(now, agg.own.groups)
}

// noteContended records which of the groups are contended. Their loads are exchanged for LoadTTL from now, so that
// the exchange does not end with each pause in the traffic of a level.
func (agg *Aggregator) noteContended(now time.Time, groups []GroupLoad) {
	for i := range groups {
		if groups[i].Contended() {
			agg.contendedAt[groups[i].Group.Service] = now
		}
	}
	if len(agg.contendedAt) > MaxContended {
		maps.DeleteFunc(agg.contendedAt, func(_ stoatpaddle.ServiceID, at time.Time) bool { return !fresh(now, at) })
	}
	for s := range agg.contendedAt {
		if len(agg.contendedAt) <= MaxContended {
			break
		}
		delete(agg.contendedAt, s)
	}
}

// usable returns the groups of this data centre that have traffic.
func (agg *Aggregator) usable(groups []GroupLoad) []GroupLoad {
	var out []GroupLoad
	for i := range groups {
		if groups[i].Group.DataCentre == agg.cfg.DataCentre && !groups[i].Idle() {
			out = append(out, groups[i])
		}
	}
	return sumGroups(out)
}

// HandleChild replaces what a child reported; false: there are too many children.
func (agg *Aggregator) HandleChild(now time.Time, from netip.AddrPort, r Report) bool {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	for a, c := range agg.children {
		if !fresh(now, c.at) {
			delete(agg.children, a)
		}
	}
	if _, known := agg.children[from]; !known && len(agg.children) >= MaxChildren {
		return false
	}
	agg.children[from] = received{at: now, groups: agg.usable(r.Groups)}
	agg.noteContended(now, agg.children[from].groups)
	for i := range r.Parts {
		agg.keepPart(now, r.Parts[i], true)
	}
	return true
}

// RemoveChild drops the report of an entry that is no longer a child.
func (agg *Aggregator) RemoveChild(from netip.AddrPort) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	delete(agg.children, from)
}

// HandleParent records the parent in this data centre, invalid for none, and the data centre's sum that it sent; nil
// if it sent none.
func (agg *Aggregator) HandleParent(now time.Time, parent netip.AddrPort, sum *CentreLoad) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	agg.parent, agg.sum = parent, nil
	if parent.IsValid() && sum != nil && sum.DataCentre == agg.cfg.DataCentre && fresh(now, sum.At) {
		agg.sum = &CentreLoad{DataCentre: sum.DataCentre, At: sum.At, Groups: agg.usable(sum.Groups)}
	}
}

// HandleRequest records that a parent in another data centre asks for the load of this one.
func (agg *Aggregator) HandleRequest(now time.Time) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	agg.requestedAt = now
}

// Parent returns the parent in this data centre; invalid: none.
func (agg *Aggregator) Parent() netip.AddrPort {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return agg.parent
}

// SetTopmost sets whether no entry of this data centre is above this one. An entry that has neither a parent nor this
// role is cut off.
func (agg *Aggregator) SetTopmost(topmost bool) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	agg.topmost = topmost
}

// HandleCentres records the loads of other data centres that the parent sent. The youngest load of each counts.
func (agg *Aggregator) HandleCentres(now time.Time, centres []CentreLoad) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	for i := range centres {
		agg.keepPart(now, Part{Load: centres[i]}, false)
	}
}

// HandleExchange records the loads of its data centre and others that an entry published. Below says that the entry is below this
// one in the relay tree.
func (agg *Aggregator) HandleExchange(now time.Time, x Exchange, below bool) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	for i := range x.Parts {
		agg.keepPart(now, x.Parts[i], below)
	}
}

// keepPart stores a part, unless a younger one of the same origin is known.
func (agg *Aggregator) keepPart(now time.Time, p Part, below bool) {
	own := p.Load.DataCentre == agg.cfg.DataCentre
	if own && (p.Origin == agg.cfg.Self || !p.Origin.IsValid()) || !fresh(now, p.Load.At) {
		return
	}
	key := partKey{dataCentre: p.Load.DataCentre, origin: p.Origin}
	old, known := agg.parts[key]
	if known && !p.Load.At.After(old.Load.At) {
		return
	}
	if !known && !agg.hasRoom(now, key.dataCentre) {
		return
	}
	p.Load.Groups = sumGroups(p.Load.Groups)
	agg.parts[key] = storedPart{Part: p, below: below}
	agg.noteContended(now, p.Load.Groups)
}

// hasRoom removes expired parts, and reports whether a further part of the data centre can be kept.
func (agg *Aggregator) hasRoom(now time.Time, dc stoatpaddle.DataCentreID) bool {
	centres := map[stoatpaddle.DataCentreID]bool{dc: true}
	for k, p := range agg.parts {
		if !fresh(now, p.Load.At) {
			delete(agg.parts, k)
			continue
		}
		centres[k.dataCentre] = true
	}
	return len(agg.parts) < MaxParts && len(centres) <= MaxCentres
}

// Subtree returns the sum of the loads of this entry and of the entries below it.
func (agg *Aggregator) Subtree(now time.Time) []GroupLoad {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return agg.subtree(now)
}

func (agg *Aggregator) subtree(now time.Time) []GroupLoad {
	var all []GroupLoad
	if fresh(now, agg.own.at) {
		all = append(all, agg.own.groups...)
	}
	for _, a := range slices.SortedFunc(maps.Keys(agg.children), netip.AddrPort.Compare) {
		if c := agg.children[a]; fresh(now, c.at) {
			all = append(all, c.groups...)
		}
	}
	return sumGroups(all)
}

// needed returns the groups whose loads have to be exchanged: those that are contended anywhere, as far as this entry
// knows, or that the parent sent.
func (agg *Aggregator) needed(now time.Time, groups []GroupLoad) []GroupLoad {
	return slices.DeleteFunc(groups, func(g GroupLoad) bool {
		if fresh(now, agg.contendedAt[g.Group.Service]) {
			return false
		}
		return !agg.freshSum(now, LoadTTL) || agg.sum.Find(g.Group.Service) == nil
	})
}

// Report returns the loads to send to the parent.
func (agg *Aggregator) Report(now time.Time) Report {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return Report{Groups: agg.needed(now, agg.subtree(now)), Parts: agg.freshParts(now, func(p storedPart) bool { return p.below })}
}

// Exchange returns the loads of this data centre and others to send to another entry. An entry below this one gets all of
// them, others get those that no other entry sends them.
func (agg *Aggregator) Exchange(now time.Time, to netip.AddrPort, below bool) Exchange {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	x := Exchange{DataCentre: agg.cfg.DataCentre}
	switch {
	case agg.topmost:
		x.Parts = append(x.Parts, Part{
			Origin: agg.cfg.Self, Load: CentreLoad{DataCentre: agg.cfg.DataCentre, At: now, Groups: agg.needed(now, agg.subtree(now))},
		})
	case below && agg.freshSum(now, LoadTTL):
		x.Parts = append(x.Parts, Part{Load: *agg.sum})
	}
	x.Parts = append(x.Parts, agg.freshParts(now, func(p storedPart) bool {
		return p.Origin != to && (below || p.below)
	})...)
	return x
}

// freshParts returns the parts that have not expired and fulfil the condition, in ascending order.
func (agg *Aggregator) freshParts(now time.Time, include func(storedPart) bool) []Part {
	var out []Part
	for _, p := range agg.parts {
		if fresh(now, p.Load.At) && include(p) {
			out = append(out, p.Part)
		}
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Load.DataCentre, b.Load.DataCentre), a.Origin.Compare(b.Origin))
	})
	return out
}

// freshSum reports whether the parent's sum is younger than the age.
func (agg *Aggregator) freshSum(now time.Time, age time.Duration) bool {
	return agg.parent.IsValid() && agg.sum != nil && now.Sub(agg.sum.At) < age
}

// Sum returns the load of this data centre; false: none is known that is recent enough for decisions, or entries
// report nothing since none is needed.
func (agg *Aggregator) Sum(now time.Time) (CentreLoad, bool) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return agg.centreSum(now, MaxSumAge)
}

// SumForChildren returns the load of this data centre that children have to be sent; false: none is needed, or none
// is known.
func (agg *Aggregator) SumForChildren(now time.Time) (CentreLoad, bool) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	return agg.centreSum(now, LoadTTL)
}

func (agg *Aggregator) centreSum(now time.Time, age time.Duration) (CentreLoad, bool) {
	switch {
	case agg.parent.IsValid():
		if !agg.freshSum(now, age) {
			return CentreLoad{}, false
		}
		return *agg.sum, true
	case agg.topmost:
		sum := sumGroups(append(agg.subtree(now), agg.otherParts(now)...))
		agg.noteContended(now, sum)
		sum = agg.needed(now, sum)
		return CentreLoad{DataCentre: agg.cfg.DataCentre, At: now, Groups: sum}, len(sum) > 0
	}
	return CentreLoad{}, false
}

// otherParts returns the loads that other topmost entries of this data centre added up. An entry that is a child by
// now is in the subtree.
func (agg *Aggregator) otherParts(now time.Time) []GroupLoad {
	var out []GroupLoad
	for _, p := range agg.freshParts(now, func(p storedPart) bool { return p.Load.DataCentre == agg.cfg.DataCentre }) {
		if _, child := agg.children[p.Origin]; !child {
			out = append(out, p.Load.Groups...)
		}
	}
	return out
}

// Pace returns how often this entry has to report.
func (agg *Aggregator) Pace(now time.Time) Pace {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	pace := PaceOf(agg.subtree(now))
	if sum, ok := agg.centreSum(now, LoadTTL); ok {
		pace = max(pace, Steady, PaceOf(sum.Groups))
	}
	if pace == Silent && (fresh(now, agg.requestedAt) || agg.anyContended(now)) {
		pace = Steady
	}
	return pace
}

// anyContended reports whether a group was recently contended here or in another data centre.
func (agg *Aggregator) anyContended(now time.Time) bool {
	for _, at := range agg.contendedAt {
		if fresh(now, at) {
			return true
		}
	}
	return false
}

// Centres returns the recent loads of other data centres, ascending by name.
func (agg *Aggregator) Centres(now time.Time) []CentreLoad {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	var out []CentreLoad
	for _, p := range agg.freshParts(now, func(p storedPart) bool { return p.Load.DataCentre != agg.cfg.DataCentre }) {
		last := len(out) - 1
		switch {
		case last < 0 || out[last].DataCentre != p.Load.DataCentre:
			out = append(out, p.Load)
		case agg.hasWhole(now, p.Load.DataCentre):
			// The load of the whole data centre has the invalid origin, which sorts first.
		default:
			out[last] = addCentres(out[last], p.Load)
		}
	}
	return out
}

// hasWhole reports whether the load of a whole other data centre is known.
func (agg *Aggregator) hasWhole(now time.Time, dc stoatpaddle.DataCentreID) bool {
	p, known := agg.parts[partKey{dataCentre: dc}]
	return known && fresh(now, p.Load.At)
}

// addCentres returns the sum of two parts of one data centre, as of the older one.
func addCentres(a, b CentreLoad) CentreLoad {
	out := CentreLoad{DataCentre: a.DataCentre, At: a.At, Groups: sumGroups(append(slices.Clone(a.Groups), b.Groups...))}
	if b.At.Before(a.At) {
		out.At = b.At
	}
	return out
}

// sumGroups returns one load for each group, ascending, and at most MaxGroups.
func sumGroups(list []GroupLoad) []GroupLoad {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b GroupLoad) int { return a.Group.Compare(b.Group) })
	var out []GroupLoad
	for i := range sorted {
		if last := len(out) - 1; last >= 0 && out[last].Group == sorted[i].Group {
			out[last] = out[last].Add(sorted[i])
			continue
		}
		out = append(out, sorted[i])
	}
	// The first groups are kept, so that the result does not depend on the order of additions.
	return out[:min(len(out), MaxGroups)]
}
