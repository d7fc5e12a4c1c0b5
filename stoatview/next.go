package stoatview

import (
	"math"
	"net/netip"
	"sort"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// Each view keeps a limited number of earlier upstream sets of a service and of earlier entry sets.
const (
	maxPastSets      = 8
	maxPastEntrySets = 16
)

// Input holds the data from which a view is built.
type Input struct {
	Self        stoatpaddle.InstanceID
	Seed        stoatpacket.Seed
	Contracts   []stoatpaddle.Contract            // in any order
	Instances   []stoatpaddle.Instance            // in any order
	Dead        map[stoatpaddle.InstanceID]bool   // entries that do not answer
	Partitioned map[stoatpaddle.DataCentreID]bool // data centres whose entries are all dead
	Leaving     map[stoatpaddle.InstanceID]bool   // upstreams marked as leaving
}

// Next returns the view that follows prev under the input; prev is nil for the first view.
func Next(prev *View, now time.Time, in Input) *View {
	v := &View{
		Number:  1,
		Self:    in.Self,
		Seed:    in.Seed,
		Entries: liveEntries(in),
	}
	if prev != nil {
		v.Number = prev.Number + 1
		v.ChangedAt = prev.ChangedAt
		v.partitionSeen = prev.partitionSeen
		if prev.Entries.equal(v.Entries) {
			v.Entries = prev.Entries
		}
	}
	v.updatePartitions(prev, now, in)
	v.PastEntries = pastEntrySets(prev, v.Entries, now, in)
	v.initIndexes(in)
	v.markDeparted()
	for _, c := range sortedContracts(in.Contracts) {
		for i := range c.Services {
			v.addService(prev, now, in, c, &c.Services[i])
		}
	}
	groupServices(v.Services)
	if prev == nil || prev.Entries != v.Entries {
		v.ChangedAt = now
	}
	return v
}

// updatePartitions records which data centres are partitioned from this entry, and since when.
func (v *View) updatePartitions(prev *View, now time.Time, in Input) {
	v.Partitioned = in.Partitioned
	if prev != nil {
		v.PartitionedAt = prev.PartitionedAt
	}
	if len(in.Partitioned) > 0 || prev != nil && len(prev.Partitioned) > 0 {
		v.partitionSeen = now
	}
	for dc := range in.Partitioned {
		if prev == nil || !prev.Partitioned[dc] {
			v.PartitionedAt = now
		}
	}
}

// liveEntries returns the set of the entries that are live and answer.
func liveEntries(in Input) *EntrySet {
	var members []*Member
	for _, i := range in.Instances {
		if i.Role != stoatpaddle.RoleEntry || i.State != stoatpaddle.StateLive || in.Dead[i.ID] {
			continue
		}
		members = append(members, NewMember(i.ID, i.DataCentre, i.Relay))
	}
	return NewEntrySet(members)
}

// pastEntrySets returns the earlier entry sets under which another entry may still know a flow. Members
// that are dead or gone are removed from them, so that the owner under an earlier set is the entry that
// holds the copies of the dead owner's flows. A packet relayed to a dead entry for a lookup would be lost.
func pastEntrySets(prev *View, entries *EntrySet, now time.Time, in Input) []PastEntrySet {
	answering := map[stoatpaddle.InstanceID]bool{}
	for _, i := range in.Instances {
		answering[i.ID] = !in.Dead[i.ID]
	}
	unreachable := func(m *Member) bool { return !answering[m.ID] }
	if prev == nil {
		// A joining entry takes over flows from entries that it never saw as owners. Without this set it
		// would place flows by hash that those entries know.
		before := entries.without(func(m *Member) bool { return m.ID == in.Self })
		return []PastEntrySet{{Original: before, Live: before, Until: now}}
	}
	past := prev.PastEntries
	if prev.Entries != entries {
		past = append([]PastEntrySet{{Original: prev.Entries, Until: now}}, past...)
	}
	past = dropShortestLived(past)
	out := make([]PastEntrySet, 0, len(past))
	for _, p := range past {
		out = append(out, PastEntrySet{Original: p.Original, Live: p.Original.without(unreachable), Until: p.Until})
	}
	return out
}

// dropShortestLived removes the entry set that was in force for the shortest time if there are too many.
// The start or the end of a partition creates one set per entry that fails or recovers, and these
// short-lived sets must not displace the one before them.
func dropShortestLived(past []PastEntrySet) []PastEntrySet {
	if len(past) <= maxPastEntrySets {
		return past
	}
	shortest, minDuration := 0, time.Duration(math.MaxInt64)
	for i := 0; i+1 < len(past); i++ {
		if d := past[i].Until.Sub(past[i+1].Until); d < minDuration {
			shortest, minDuration = i, d
		}
	}
	return append(past[:shortest:shortest], past[shortest+1:]...)
}

func (v *View) initIndexes(in Input) {
	v.flowServices = map[destination]*Service{}
	v.callServices = map[string]*Service{}
	v.byRef = map[stoatpaddle.ServiceRef]*Service{}
	v.byKey = map[stoatpaddle.UpstreamKey]*Upstream{}
	v.relayAnswers = map[netip.AddrPort]bool{}
	for _, i := range in.Instances {
		if i.Role == stoatpaddle.RoleEntry {
			v.relayAnswers[i.Relay] = !in.Dead[i.ID]
		}
	}
}

// markDeparted records that entries which left do not answer: a packet sent to one would be lost.
func (v *View) markDeparted() {
	for _, p := range v.PastEntries {
		for _, m := range p.Original.Members {
			if _, known := v.relayAnswers[m.Relay]; !known {
				v.relayAnswers[m.Relay] = false
			}
		}
	}
}

func sortedContracts(in []stoatpaddle.Contract) []stoatpaddle.Contract {
	out := append([]stoatpaddle.Contract(nil), in...)
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// addService adds a service of a contract and its upstreams.
func (v *View) addService(prev *View, now time.Time, in Input, c stoatpaddle.Contract, svc *stoatpaddle.Service) {
	ref := stoatpaddle.ServiceRef{Customer: c.Customer, Service: svc.ID}
	s := &Service{
		Ref: ref, Kind: svc.Kind, Preference: c.Preference, Limits: c.Limits, Host: svc.Host, Protocol: svc.Protocol,
		Priority: svc.Priority, hasPriority: svc.HasPriority,
		byKey: map[stoatpaddle.UpstreamKey]*Upstream{},
	}
	for i := range svc.Upstreams {
		s.addUpstream(in, svc, &svc.Upstreams[i])
	}
	for i := range svc.Retired {
		retired := s.newUpstream(svc, &svc.Retired[i].Upstream)
		s.byKey[retired.Key] = retired
	}
	s.Set = NewUpstreamSet(s.Active)
	s.FullSet = s.Set
	if len(s.partitioned) > 0 {
		s.FullSet = NewUpstreamSet(append(s.partitioned, s.Active...))
	}
	var old *Service
	if prev != nil {
		old = prev.Service(ref)
	}
	if s.inheritSets(old, now) {
		v.ChangedAt = now
	}
	v.Services = append(v.Services, s)
	v.byRef[ref] = s
	for key, u := range s.byKey {
		v.byKey[key] = u
	}
	if svc.Kind == stoatpaddle.KindCall {
		v.callServices[svc.Host] = s
		return
	}
	for _, port := range svc.Ports {
		v.flowServices[destination{dst: netip.AddrPortFrom(svc.Addr, port), proto: svc.Protocol}] = s
	}
}

// newUpstream builds the data that the routing needs about an upstream.
func (s *Service) newUpstream(svc *stoatpaddle.Service, u *stoatpaddle.Upstream) *Upstream {
	return &Upstream{
		Key: UpstreamKeyOf(s.Ref, u.ID), Ref: s.Ref, ID: u.ID, DataCentre: u.DataCentre, Addr: u.Addr,
		Weight: effectiveWeight(svc, u), Slots: u.Slots, MaxFlows: u.MaxFlows, MaxOpenRate: u.MaxOpenRate,
		seed: seedOf("upstream", s.Ref.String()+"/"+string(u.ID)),
	}
}

// addUpstream adds a declared upstream, which takes new flows unless it is leaving or partitioned.
func (s *Service) addUpstream(in Input, svc *stoatpaddle.Service, u *stoatpaddle.Upstream) {
	up := s.newUpstream(svc, u)
	s.byKey[up.Key] = up
	id := stoatpaddle.InstanceID(u.ID)
	if in.Leaving[id] {
		return
	}
	if in.Partitioned[u.DataCentre] {
		s.partitioned = append(s.partitioned, up)
		return
	}
	s.Active = append(s.Active, up)
}

// effectiveWeight returns the upstream's weight times the weight of its data centre. If the service declares
// weights of data centres, a data centre without one has weight 0.
func effectiveWeight(svc *stoatpaddle.Service, u *stoatpaddle.Upstream) stoatpaddle.Weight {
	if len(svc.CentreWeights) == 0 {
		return u.Weight
	}
	for _, c := range svc.CentreWeights {
		if c.DataCentre == u.DataCentre {
			return u.Weight * c.Weight
		}
	}
	return 0
}

// inheritSets takes over the earlier upstream sets and reports whether the current one differs from the
// last.
func (s *Service) inheritSets(old *Service, now time.Time) bool {
	if old == nil {
		return true
	}
	s.PastSets = old.PastSets
	changed := !old.Set.sameUpstreams(s.Set)
	if !changed {
		s.Set = old.Set
	} else {
		s.PastSets = append([]PastUpstreamSet{{Set: old.Set, Until: now}}, old.PastSets...)
		if len(s.PastSets) > maxPastSets {
			s.PastSets = s.PastSets[:maxPastSets]
		}
	}
	// An upstream that was removed from the contract still has open flows, so it can be found by key as
	// long as an earlier set contains it. One that is declared again under its key is the same upstream.
	for _, p := range s.PastSets {
		for _, u := range p.Set.Upstreams {
			if _, known := s.byKey[u.Key]; !known {
				s.byKey[u.Key] = u
			}
		}
	}
	return changed
}
