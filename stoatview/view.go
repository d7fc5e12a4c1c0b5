package stoatview

import (
	"net/netip"
	"sort"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// PastUpstreamSet is an upstream set that was in force until a time.
type PastUpstreamSet struct {
	Set   *UpstreamSet
	Until time.Time
}

// PastEntrySet is an entry set that was in force until a time.
type PastEntrySet struct {
	Original *EntrySet // as it was in force
	Live     *EntrySet // without the members that are dead or gone now
	Until    time.Time
}

// Service is the routing data of one service.
type Service struct {
	Ref         stoatpaddle.ServiceRef
	Kind        stoatpaddle.ServiceKind
	Preference  stoatpaddle.Preference
	Limits      stoatpaddle.Limits
	Protocol    stoatpaddle.Protocol
	Host        string
	Priority    int // call services: 0 is the most urgent
	hasPriority bool
	// Group names the services of the customer that share upstream addresses with this one, directly or through
	// others; it is the zero value if none does.
	Group       stoatpaddle.ServiceRef
	SharedAddrs map[netip.AddrPort]bool // the upstream addresses that another service of the customer has too
	Set         *UpstreamSet            // the upstreams that take new flows
	FullSet     *UpstreamSet            // Set and the upstreams in partitioned data centres
	PastSets    []PastUpstreamSet       // newest first
	Active      []*Upstream             // declared, not leaving and not partitioned; also those of weight 0
	byKey       map[stoatpaddle.UpstreamKey]*Upstream
	partitioned []*Upstream // declared and not leaving, but in a partitioned data centre
}

// Upstream returns the upstream with the key, including those that take no new flows, or nil.
func (s *Service) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return s.byKey[key] }

// SetAt returns the set that was in force at t, or the oldest recorded one if t is earlier.
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

// destination is an address and protocol that a flow service listens on.
type destination struct {
	dst   netip.AddrPort
	proto stoatpaddle.Protocol
}

// View is a routing snapshot. It is not modified after Next has returned it.
type View struct {
	Number        uint64
	Self          stoatpaddle.InstanceID
	Seed          stoatpacket.Seed
	Entries       *EntrySet
	PastEntries   []PastEntrySet                    // newest first
	Services      []*Service                        // ascending by reference
	ChangedAt     time.Time                         // when the entry set or any upstream set last changed
	Partitioned   map[stoatpaddle.DataCentreID]bool // data centres whose entries are all dead
	PartitionedAt time.Time                         // when a data centre was last added to Partitioned
	partitionSeen time.Time                         // when Partitioned was last not empty
	flowServices  map[destination]*Service
	callServices  map[string]*Service
	byRef         map[stoatpaddle.ServiceRef]*Service
	byKey         map[stoatpaddle.UpstreamKey]*Upstream
	relayAnswers  map[netip.AddrPort]bool // of all known entries; true for those that answer
}

// FlowService returns the flow service that listens on the destination, or nil.
func (v *View) FlowService(dst netip.AddrPort, proto stoatpaddle.Protocol) *Service {
	return v.flowServices[destination{dst: dst, proto: proto}]
}

// CallService returns the call service with that authority, or nil.
func (v *View) CallService(host string) *Service { return v.callServices[host] }

// Service returns the service with the reference, or nil.
func (v *View) Service(ref stoatpaddle.ServiceRef) *Service { return v.byRef[ref] }

// Upstream returns the upstream with the key among those of all services, or nil.
func (v *View) Upstream(key stoatpaddle.UpstreamKey) *Upstream { return v.byKey[key] }

// Alive reports whether the relay address may belong to an entry that answers. An unknown address counts as
// alive, since its entry may have joined a moment ago.
func (v *View) Alive(addr netip.AddrPort) bool {
	answers, known := v.relayAnswers[addr]
	return answers || !known
}

// Upstreams returns every upstream that the service has by key, in ascending order of key.
func (s *Service) Upstreams() []*Upstream {
	out := make([]*Upstream, 0, len(s.byKey))
	for _, u := range s.byKey {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Reachable reports whether records may be sent to the entry: it is a member of the current entry set, or
// it left a short while ago and still serves.
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
