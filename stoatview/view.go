package stoatview

import (
	"net/netip"
	"sort"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// PastUpstreamSet is a set that was in force until a time.
type PastUpstreamSet struct {
	Set   *UpstreamSet
	Until time.Time
}

// PastEntrySet is a ring that was in force until a time.
type PastEntrySet struct {
	Original *EntrySet // as it was
	Live     *EntrySet // less the members that are dead now
	Until    time.Time
}

// Service is one service as traffic sees it.
type Service struct {
	Ref      stoatpaddle.ServiceRef
	Kind     stoatpaddle.Kind
	Lean     stoatpaddle.Lean
	Limits   stoatpaddle.Limits
	Protocol stoatpaddle.Protocol
	Host     string
	Set      *UpstreamSet
	FullSet  *UpstreamSet      // Set and the upstreams in data centres that are cut off
	PastSets []PastUpstreamSet // newest first
	Active   []*Upstream
	byKey    map[stoatpaddle.UpstreamKey]*Upstream
	cut      []*Upstream
}

// Upstream returns the upstream by key, also one that takes no new flows, or nil.
func (s *Service) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return s.byKey[key] }

// SetAt returns the set that was in force at t, as far back as is known.
func (s *Service) SetAt(t time.Time) *UpstreamSet {
	set := s.Set
	for _, p := range s.PastSets {
		if !t.Before(p.Until) {
			break
		}
		set = p.Set
	}
	return set
}

// lookupKey is the address of a flow service.
type lookupKey struct {
	dst   netip.AddrPort
	proto stoatpaddle.Protocol
}

// View is the routing snapshot; it never changes after Next returned it.
type View struct {
	Number        uint64
	Self          stoatpaddle.InstanceID
	Seed          stoatpacket.Seed
	Entries       *EntrySet
	PastEntries   []PastEntrySet                    // newest first
	Services      []*Service                        // ascending by reference
	ChangedAt     time.Time                         // when Ring or any Set last changed
	Partitioned   map[stoatpaddle.DataCentreID]bool // data centres whose entries are all dead
	PartitionedAt time.Time                         // when Cut last became longer
	cut           time.Time                         // when Cut was last seen not empty
	flows         map[lookupKey]*Service
	hosts         map[string]*Service
	byRef         map[stoatpaddle.ServiceRef]*Service
	byKey         map[stoatpaddle.UpstreamKey]*Upstream
	relays        map[netip.AddrPort]bool // of all entries; true for those that answer
}

// FlowService returns the flow service that owns the destination, or nil.
func (v *View) FlowService(dst netip.AddrPort, proto stoatpaddle.Protocol) *Service {
	return v.flows[lookupKey{dst: dst, proto: proto}]
}

// CallService returns the call service with that authority, or nil.
func (v *View) CallService(host string) *Service { return v.hosts[host] }

// Service returns the service by reference, or nil.
func (v *View) Service(ref stoatpaddle.ServiceRef) *Service { return v.byRef[ref] }

// Upstream returns the upstream by key over all services, or nil.
func (v *View) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return v.byKey[key] }

// Alive tells whether the address may belong to an entry that answers: one that is not
// known yet has joined a moment ago.
func (v *View) Alive(addr netip.AddrPort) bool {
	answers, known := v.relays[addr]
	return answers || !known
}

// Upstreams returns every upstream that the service knows by key, ascending by key.
func (s *Service) Upstreams() []*Upstream {
	out := make([]*Upstream, 0, len(s.byKey))
	for _, u := range s.byKey {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Reachable tells whether records may be sent to the entry: it is in the ring, or it
// left a short while ago and still serves.
func (v *View) Reachable(id stoatpaddle.InstanceID) bool {
	if v.Entries.Find(id) != nil {
		return true
	}
	for _, p := range v.PastEntries {
		if p.Live.Find(id) != nil {
			return true
		}
	}
	return false
}
