package stoatview

import (
	"net/netip"
	"sort"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// PastSet is a set that was in force until a time.
type PastSet struct {
	Set   *Set
	Until time.Time
}

// PastRing is a ring that was in force until a time.
type PastRing struct {
	Full  *Ring // as it was
	Ring  *Ring // less the members that are dead now
	Until time.Time
}

// Service is one service as traffic sees it.
type Service struct {
	Ref         stoatpaddle.ServiceRef
	Kind        stoatpaddle.Kind
	Lean        stoatpaddle.Lean
	Limits      stoatpaddle.Limits
	Protocol    stoatpaddle.Protocol
	Host        string
	Set         *Set
	Whole       *Set      // Set and the upstreams in data centres that are cut off
	Past        []PastSet // newest first
	Active      []*Upstream
	byKey       map[stoatpaddle.UpstreamKey]*Upstream
	partitioned []*Upstream
}

// Upstream returns the upstream by key, also one that takes no new flows, or nil.
func (s *Service) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return s.byKey[key] }

// SetAt returns the set that was in force at t, as far back as is known.
func (s *Service) SetAt(t time.Time) *Set {
	set := s.Set
	for _, p := range s.Past {
		if !t.Before(p.Until) {
			break
		}
		set = p.Set
	}
	return set
}

// destination is the address of a flow service.
type destination struct {
	dst   netip.AddrPort
	proto stoatpaddle.Protocol
}

// View is the routing snapshot; it never changes after Next returned it.
type View struct {
	Number        uint64
	Self          stoatpaddle.InstanceID
	Seed          stoatpacket.Seed
	Ring          *Ring
	Past          []PastRing                        // newest first
	Services      []*Service                        // ascending by reference
	Changed       time.Time                         // when Ring or any Set last changed
	Cut           map[stoatpaddle.DataCentreID]bool // data centres whose entries are all dead
	CutAt         time.Time                         // when Cut last became longer
	partitionSeen time.Time                         // when Cut was last seen not empty
	flowServices  map[destination]*Service
	callServices  map[string]*Service
	byRef         map[stoatpaddle.ServiceRef]*Service
	byKey         map[stoatpaddle.UpstreamKey]*Upstream
	relayAnswers  map[netip.AddrPort]bool // of all entries; true for those that answer
}

// Flow returns the flow service that owns the destination, or nil.
func (v *View) Flow(dst netip.AddrPort, proto stoatpaddle.Protocol) *Service {
	return v.flowServices[destination{dst: dst, proto: proto}]
}

// Host returns the call service with that authority, or nil.
func (v *View) Host(host string) *Service { return v.callServices[host] }

// Service returns the service by reference, or nil.
func (v *View) Service(ref stoatpaddle.ServiceRef) *Service { return v.byRef[ref] }

// Upstream returns the upstream by key over all services, or nil.
func (v *View) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return v.byKey[key] }

// Alive tells whether the address may belong to an entry that answers: one that is not
// known yet has joined a moment ago.
func (v *View) Alive(addr netip.AddrPort) bool {
	answers, known := v.relayAnswers[addr]
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
	if v.Ring.Find(id) != nil {
		return true
	}
	for _, p := range v.Past {
		if p.Ring.Find(id) != nil {
			return true
		}
	}
	return false
}
