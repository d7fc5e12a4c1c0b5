package stoatview

import (
	"net/netip"
	"sort"

	"github.com/stoatpaddle/stoatpaddle"
)

// Upstream is the routing data of one upstream.
type Upstream struct {
	Key         stoatpaddle.UpstreamKey
	Ref         stoatpaddle.ServiceRef
	ID          stoatpaddle.UpstreamID
	DataCentre  stoatpaddle.DataCentreID
	Addr        netip.AddrPort
	Weight      stoatpaddle.Weight
	Slots       int // requests that may run at once
	MaxFlows    int // maximum number of open flows; 0 means no limit
	MaxOpenRate int // maximum number of new flows a second; 0 means no limit
	seed        uint64
}

// UpstreamSet holds the upstreams that take new flows of one service, in ascending order of key. It is
// immutable.
type UpstreamSet struct {
	Upstreams    []*Upstream
	equalWeights bool // the upstreams all have the same weight
}

// NewUpstreamSet returns a set of those of the upstreams whose weight is positive.
func NewUpstreamSet(upstreams []*Upstream) *UpstreamSet {
	s := &UpstreamSet{equalWeights: true}
	for _, u := range upstreams {
		if u.Weight > 0 {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Key < s.Upstreams[j].Key })
	for _, u := range s.Upstreams {
		s.equalWeights = s.equalWeights && u.Weight == s.Upstreams[0].Weight
	}
	return s
}

// Preferred returns the upstream with the highest rendezvous score for the flow, or nil if the set is empty.
//
// OPT(rendezvous): the cost is linear in the size of the set; above a few hundred upstreams a skeleton (Yao
// and Ravishankar 2008) would make it logarithmic.
func (s *UpstreamSet) Preferred(k stoatpaddle.FlowHash) *Upstream {
	if !s.equalWeights {
		return s.preferredWeighted(k)
	}
	var best *Upstream
	var bestScore uint64
	for _, u := range s.Upstreams {
		if h := mix(uint64(k) ^ u.seed); best == nil || h > bestScore {
			best, bestScore = u, h
		}
	}
	return best
}

func (s *UpstreamSet) preferredWeighted(k stoatpaddle.FlowHash) *Upstream {
	var best *Upstream
	var bestScore float64
	for _, u := range s.Upstreams {
		if h := weightedScore(k, u.seed, u.Weight); best == nil || h > bestScore {
			best, bestScore = u, h
		}
	}
	return best
}

// Contains reports whether the set contains the upstream.
func (s *UpstreamSet) Contains(key stoatpaddle.UpstreamKey) bool {
	i := sort.Search(len(s.Upstreams), func(i int) bool { return s.Upstreams[i].Key >= key })
	return i < len(s.Upstreams) && s.Upstreams[i].Key == key
}

// sameUpstreams reports whether both sets place every flow alike and have the same limits on each upstream.
func (s *UpstreamSet) sameUpstreams(other *UpstreamSet) bool {
	if len(s.Upstreams) != len(other.Upstreams) {
		return false
	}
	for i, u := range s.Upstreams {
		v := other.Upstreams[i]
		if u.Key != v.Key || u.Weight != v.Weight || u.DataCentre != v.DataCentre || u.Addr != v.Addr ||
			u.MaxFlows != v.MaxFlows || u.MaxOpenRate != v.MaxOpenRate || u.Slots != v.Slots {
			return false
		}
	}
	return true
}
