package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const tcp = stoatpaddle.ProtocolTCP

const (
	// slowStartPeriod is how long a new upstream takes to get its full share of new flows, and
	// slowStartMinShare is the part of that share that it gets at first.
	slowStartPeriod   = 30 * time.Second
	slowStartMinShare = 0.1
	// maxDivertShare limits the part of new flows that are diverted from their preferred upstream for
	// balance. After a change of the set the loads differ for as long as flows live, and without a limit a
	// large part of all new flows would be tracked for hours.
	maxDivertShare = 0.15
)

// balancer chooses the upstream of one new flow by the loads of its service.
type balancer struct {
	p     *packetDecision
	set   *stoatview.Set
	slots []*slot // of the set's upstreams, in their order
	mean  float64 // load per unit of weight over the warm upstreams
}

// choose returns the upstream for a new flow; ok is false if none has room.
//
// The flow goes to its preferred upstream unless that has more than the mean load. Then it is diverted with
// a probability proportional to the excess, to one of the upstreams below the mean, each with a probability
// proportional to its deficit. With a hard bound all owners, whose reports of each other's load are old,
// would divert flows at the same moment and overload the next upstream. With a proportional rule each owner
// corrects its part.
func (e *Engine) choose(p *packetDecision, first *stoatview.Upstream) (*slot, slotIndex, bool) {
	r := e.reg.Load()
	preferred, preferredIndex := r.find(first.Key)
	c := balancer{p: p, set: p.in.Service.Set, slots: r.slotsBySet[p.in.Service.Set]}
	if preferred == nil || len(c.slots) == 0 {
		return preferred, preferredIndex, preferred != nil
	}
	c.computeMean()
	if c.usable(preferred, first) && p.sh.rnd.Float64() >= c.divertProbability(preferred, first, e.gain(p.in.Service.Lean)) {
		return preferred, preferredIndex, true
	}
	if alternative := c.pickUnderloaded(preferred); alternative != nil {
		return alternative, r.byKey[alternative.key], true
	}
	if c.usable(preferred, first) {
		return preferred, preferredIndex, true
	}
	alternative := c.leastLoaded()
	if alternative == nil {
		return nil, 0, false
	}
	return alternative, r.byKey[alternative.key], true
}

// computeMean sets the mean load. Upstreams in slow start are left out: they would make all others look
// overloaded for as long as the flows of those live.
func (c *balancer) computeMean() {
	var load, weight float64
	for i, u := range c.set.Upstreams {
		if s := c.slots[i]; s.slowStartShare(c.p.now) == 1 {
			load += s.load()
			weight += float64(u.Weight)
		}
	}
	if weight > 0 {
		c.mean = load / weight
	}
}

// divertProbability returns the probability that the flow does not go to its preferred upstream.
func (c *balancer) divertProbability(preferred *slot, u *stoatview.Upstream, gain float64) float64 {
	if share := preferred.slowStartShare(c.p.now); share < 1 {
		return 1 - share
	}
	if c.mean <= 0 {
		return 0
	}
	return min(maxDivertShare, gain*(preferred.load()/float64(u.Weight)-c.mean)/c.mean)
}

// pickUnderloaded returns a warm upstream below the mean other than the preferred one, with a probability
// proportional to its deficit, or nil if there is none.
func (c *balancer) pickUnderloaded(preferred *slot) *slot {
	sum := 0.0
	for i, u := range c.set.Upstreams {
		sum += c.deficit(i, u, preferred)
	}
	if sum <= 0 {
		return nil
	}
	target := c.p.sh.rnd.Float64() * sum
	for i, u := range c.set.Upstreams {
		if target -= c.deficit(i, u, preferred); target < 0 {
			return c.slots[i]
		}
	}
	return nil
}

// deficit returns by how many flows the upstream is below its share.
func (c *balancer) deficit(i int, u *stoatview.Upstream, preferred *slot) float64 {
	s := c.slots[i]
	if s == preferred || s.slowStartShare(c.p.now) < 1 || !c.usable(s, u) {
		return 0
	}
	return max(0, c.mean*float64(u.Weight)-s.load())
}

// leastLoaded returns the usable upstream with the lowest load per unit of weight, or nil.
func (c *balancer) leastLoaded() *slot {
	var best *slot
	lowest := 0.0
	for i, u := range c.set.Upstreams {
		s := c.slots[i]
		l := s.load() / float64(u.Weight)
		if c.usable(s, u) && (best == nil || l < lowest) {
			best, lowest = s, l
		}
	}
	return best
}

// slowStartShare returns the part of its share of new flows that the upstream takes; it is 1 after slow
// start.
func (s *slot) slowStartShare(now time.Time) float64 {
	age := now.Sub(s.firstSeen)
	if s.warm || age >= slowStartPeriod {
		return 1
	}
	return slowStartMinShare + (1-slowStartMinShare)*float64(age)/float64(slowStartPeriod)
}

// usable reports whether the upstream may take a new flow.
func (c *balancer) usable(s *slot, u *stoatview.Upstream) bool {
	if s.isEjected(c.p.tick) || u.Connections > 0 && s.load() >= float64(u.Connections) {
		return false
	}
	return u.Opens == 0 || s.openRate.ready(c.p.now, c.p.entryShare(u.Opens))
}

// entryShare returns this entry's equal part of a limit per second.
func (p *packetDecision) entryShare(limit int) float64 {
	return float64(limit) / float64(max(1, len(p.view.Ring.Members)))
}
