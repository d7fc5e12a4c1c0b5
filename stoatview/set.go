package stoatview

import (
	"net/netip"
	"sort"

	"github.com/stoatpaddle/stoatpaddle"
)

// Upstream is one server as traffic sees it.
type Upstream struct {
	Key         stoatpaddle.UpstreamKey
	Ref         stoatpaddle.ServiceRef
	ID          stoatpaddle.UpstreamID
	DataCentre  stoatpaddle.DataCentreID
	Addr        netip.AddrPort
	Weight      stoatpaddle.Weight
	Slots       int
	Connections int
	Opens       int
	seed        uint64
}

// UpstreamSet is the upstreams that take new flows of one service, ascending by key; it never changes.
type UpstreamSet struct {
	Upstreams []*Upstream
	equal     bool
}

// NewUpstreamSet returns a set of the upstreams whose weight is positive.
func NewUpstreamSet(ups []*Upstream) *UpstreamSet {
	s := &UpstreamSet{equal: true}
	for _, u := range ups {
		if u.Weight > 0 {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	sort.Slice(s.Upstreams, func(i, j int) bool { return s.Upstreams[i].Key < s.Upstreams[j].Key })
	for _, u := range s.Upstreams {
		s.equal = s.equal && u.Weight == s.Upstreams[0].Weight
	}
	return s
}

// Preferred returns the upstream that the flow's hash chooses, or nil from an empty set.
//
// OPT(rendezvous): the cost grows with the set; above a few hundred upstreams a
// skeleton (Yao and Ravishankar 2008) would bring it to a logarithm.
func (s *UpstreamSet) Preferred(k stoatpaddle.FlowHash) *Upstream {
	if !s.equal {
		return s.firstWeighted(k)
	}
	var best *Upstream
	var top uint64
	for _, u := range s.Upstreams {
		if h := mix(uint64(k) ^ u.seed); best == nil || h > top {
			best, top = u, h
		}
	}
	return best
}

func (s *UpstreamSet) firstWeighted(k stoatpaddle.FlowHash) *Upstream {
	var best *Upstream
	var top float64
	for _, u := range s.Upstreams {
		if h := score(k, u.seed, u.Weight); best == nil || h > top {
			best, top = u, h
		}
	}
	return best
}

// Contains tells whether the set holds the upstream.
func (s *UpstreamSet) Contains(key stoatpaddle.UpstreamKey) bool {
	i := sort.Search(len(s.Upstreams), func(i int) bool { return s.Upstreams[i].Key >= key })
	return i < len(s.Upstreams) && s.Upstreams[i].Key == key
}

// same tells whether both sets place every flow alike and bound their upstreams alike.
func (s *UpstreamSet) same(t *UpstreamSet) bool {
	if len(s.Upstreams) != len(t.Upstreams) {
		return false
	}
	for i, u := range s.Upstreams {
		v := t.Upstreams[i]
		if u.Key != v.Key || u.Weight != v.Weight || u.DataCentre != v.DataCentre || u.Addr != v.Addr ||
			u.Connections != v.Connections || u.Opens != v.Opens || u.Slots != v.Slots {
			return false
		}
	}
	return true
}
