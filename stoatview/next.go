package stoatview

import (
	"math"
	"net/netip"
	"sort"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// pastKept is how many earlier sets and rings a view remembers.
const (
	pastKept  = 8
	ringsKept = 16
)

// Input is what a view is built from.
type Input struct {
	Self        stoatpaddle.InstanceID
	Seed        stoatpacket.Seed
	Contracts   []stoatpaddle.Contract            // any order
	Instances   []stoatpaddle.Instance            // any order
	Dead        map[stoatpaddle.InstanceID]bool   // entries that do not answer
	Partitioned map[stoatpaddle.DataCentreID]bool // data centres whose entries are all dead
	Leaving     map[stoatpaddle.InstanceID]bool   // upstreams marked as leaving
}

// Next returns the view that follows prev (nil at the start) under the input.
func Next(prev *View, now time.Time, in Input) *View {
	v := &View{
		Number:  1,
		Self:    in.Self,
		Seed:    in.Seed,
		Entries: ringOf(in),
	}
	if prev != nil {
		v.Number = prev.Number + 1
		v.ChangedAt = prev.ChangedAt
		v.cut = prev.cut
		if prev.Entries.same(v.Entries) {
			v.Entries = prev.Entries
		}
	}
	v.noteCut(prev, now, in)
	v.PastEntries = pastRings(prev, v.Entries, now, in)
	v.index(in)
	v.indexGone()
	for _, c := range sortedContracts(in.Contracts) {
		for i := range c.Services {
			v.add(prev, now, in, c, &c.Services[i])
		}
	}
	if prev == nil || prev.Entries != v.Entries {
		v.ChangedAt = now
	}
	return v
}

// noteCut keeps which data centres are cut off, and since when.
func (v *View) noteCut(prev *View, now time.Time, in Input) {
	v.Partitioned = in.Partitioned
	if prev != nil {
		v.PartitionedAt = prev.PartitionedAt
	}
	if len(in.Partitioned) > 0 || prev != nil && len(prev.Partitioned) > 0 {
		v.cut = now
	}
	for dc := range in.Partitioned {
		if prev == nil || !prev.Partitioned[dc] {
			v.PartitionedAt = now
		}
	}
}

func ringOf(in Input) *EntrySet {
	var members []*Member
	for _, i := range in.Instances {
		if i.Role != stoatpaddle.RoleEntry || i.State != stoatpaddle.StateLive || in.Dead[i.ID] {
			continue
		}
		members = append(members, NewMember(i.ID, i.DataCentre, i.Relay))
	}
	return NewEntrySet(members)
}

// pastRings keeps the rings that flows may still be known under. A member that is dead or
// gone is taken out of them, so that the owner under an earlier ring is the entry that
// holds its copies; a packet sent to ask it would be lost.
func pastRings(prev *View, ring *EntrySet, now time.Time, in Input) []PastEntrySet {
	serves := map[stoatpaddle.InstanceID]bool{}
	for _, i := range in.Instances {
		serves[i.ID] = !in.Dead[i.ID]
	}
	dead := func(m *Member) bool { return !serves[m.ID] }
	if prev == nil {
		// A joining entry takes keys over from entries that it never saw own them:
		// without this ring it would decide by hash for flows that they know.
		before := ring.without(func(m *Member) bool { return m.ID == in.Self })
		return []PastEntrySet{{Original: before, Live: before, Until: now}}
	}
	past := prev.PastEntries
	if prev.Entries != ring {
		past = append([]PastEntrySet{{Original: prev.Entries, Until: now}}, past...)
	}
	past = dropBriefest(past)
	out := make([]PastEntrySet, 0, len(past))
	for _, p := range past {
		out = append(out, PastEntrySet{Original: p.Original, Live: p.Original.without(dead), Until: p.Until})
	}
	return out
}

// dropBriefest forgets the ring that was in force for the shortest time, if there are too
// many: a cut or its end brings a ring for each entry, and those in force for a moment
// must not push out the one before them.
func dropBriefest(past []PastEntrySet) []PastEntrySet {
	if len(past) <= ringsKept {
		return past
	}
	briefest, least := 0, time.Duration(math.MaxInt64)
	for i := 0; i+1 < len(past); i++ {
		if d := past[i].Until.Sub(past[i+1].Until); d < least {
			briefest, least = i, d
		}
	}
	return append(past[:briefest:briefest], past[briefest+1:]...)
}

func (v *View) index(in Input) {
	v.flows = map[lookupKey]*Service{}
	v.hosts = map[string]*Service{}
	v.byRef = map[stoatpaddle.ServiceRef]*Service{}
	v.byKey = map[stoatpaddle.UpstreamKey]*Upstream{}
	v.relays = map[netip.AddrPort]bool{}
	for _, i := range in.Instances {
		if i.Role == stoatpaddle.RoleEntry {
			v.relays[i.Relay] = !in.Dead[i.ID]
		}
	}
}

// indexGone marks the entries that left: a packet sent to one would be lost.
func (v *View) indexGone() {
	for _, p := range v.PastEntries {
		for _, m := range p.Original.Members {
			if _, known := v.relays[m.Relay]; !known {
				v.relays[m.Relay] = false
			}
		}
	}
}

func sortedContracts(in []stoatpaddle.Contract) []stoatpaddle.Contract {
	out := append([]stoatpaddle.Contract(nil), in...)
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

func (v *View) add(prev *View, now time.Time, in Input, c stoatpaddle.Contract, svc *stoatpaddle.Service) {
	ref := stoatpaddle.ServiceRef{Customer: c.Customer, Service: svc.ID}
	s := &Service{
		Ref: ref, Kind: svc.Kind, Lean: c.Lean, Limits: c.Limits, Host: svc.Host, Protocol: svc.Protocol,
		byKey: map[stoatpaddle.UpstreamKey]*Upstream{},
	}
	for i := range svc.Upstreams {
		s.declare(in, svc, &svc.Upstreams[i])
	}
	for i := range svc.Retired {
		up := s.known(svc, &svc.Retired[i].Upstream)
		s.byKey[up.Key] = up
	}
	s.Set = NewUpstreamSet(s.Active)
	s.FullSet = s.Set
	if len(s.cut) > 0 {
		s.FullSet = NewUpstreamSet(append(s.cut, s.Active...))
	}
	var old *Service
	if prev != nil {
		old = prev.Service(ref)
	}
	if s.inherit(old, now) {
		v.ChangedAt = now
	}
	v.Services = append(v.Services, s)
	v.byRef[ref] = s
	for key, u := range s.byKey {
		v.byKey[key] = u
	}
	if svc.Kind == stoatpaddle.KindCall {
		v.hosts[svc.Host] = s
		return
	}
	for _, port := range svc.Ports {
		v.flows[lookupKey{dst: netip.AddrPortFrom(svc.Addr, port), proto: svc.Protocol}] = s
	}
}

// known maps an upstream to what traffic needs of it.
func (s *Service) known(svc *stoatpaddle.Service, u *stoatpaddle.Upstream) *Upstream {
	return &Upstream{
		Key: UpstreamKeyOf(s.Ref, u.ID), Ref: s.Ref, ID: u.ID, DataCentre: u.DataCentre, Addr: u.Addr,
		Weight: effectiveWeight(svc, u), Slots: u.Slots, Connections: u.Connections, Opens: u.Opens,
		seed: seedOf("upstream", s.Ref.String()+"/"+string(u.ID)),
	}
}

func (s *Service) declare(in Input, svc *stoatpaddle.Service, u *stoatpaddle.Upstream) {
	up := s.known(svc, u)
	s.byKey[up.Key] = up
	id := stoatpaddle.InstanceID(u.ID)
	if in.Leaving[id] {
		return
	}
	if in.Partitioned[u.DataCentre] {
		s.cut = append(s.cut, up)
		return
	}
	s.Active = append(s.Active, up)
}

// effectiveWeight is the upstream's weight times its data centre's share.
func effectiveWeight(svc *stoatpaddle.Service, u *stoatpaddle.Upstream) stoatpaddle.Weight {
	if len(svc.Centres) == 0 {
		return u.Weight
	}
	for _, c := range svc.Centres {
		if c.DataCentre == u.DataCentre {
			return u.Weight * c.Weight
		}
	}
	return 0
}

// inherit takes over the earlier sets and tells whether the present one is new.
func (s *Service) inherit(old *Service, now time.Time) bool {
	if old == nil {
		return true
	}
	s.PastSets = old.PastSets
	changed := !old.Set.same(s.Set)
	if !changed {
		s.Set = old.Set
	} else {
		s.PastSets = append([]PastUpstreamSet{{Set: old.Set, Until: now}}, old.PastSets...)
		if len(s.PastSets) > pastKept {
			s.PastSets = s.PastSets[:pastKept]
		}
	}
	// An upstream that left the contract still has open flows: it stays known by key
	// as long as an earlier set has it, and no newcomer with its key can differ.
	for _, p := range s.PastSets {
		for _, u := range p.Set.Upstreams {
			if _, known := s.byKey[u.Key]; !known {
				s.byKey[u.Key] = u
			}
		}
	}
	return changed
}
