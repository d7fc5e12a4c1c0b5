package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const tcp = stoatpaddle.ProtocolTCP

const (
	// slowStartPeriod is how long a new upstream takes to get its full share of new flows, and
	// coldLeast what it gets at first.
	slowStartPeriod   = 30 * time.Second
	slowStartMinShare = 0.1
	// maxDivertShare caps the part of new flows that balance moves away from their first
	// choice. After a change of the set the loads differ for as long as flows live, and
	// without a cap a great part of all new flows would be tracked for hours.
	maxDivertShare = 0.15
)

// balancer is the loads of one service at the moment a flow opens.
type balancer struct {
	p     *packetDecision
	set   *stoatview.Set
	slots []*slot // of the set's upstreams, in its order
	mean  float64 // load per unit of weight, over the warm ones
}

// choose returns the upstream for a new flow; ok is false when none has room.
//
// The first choice stands unless its load is over the mean: then another is taken with a
// probability proportional to the excess, and each other one in proportion to what it
// lacks. A hard bound would make all owners, whose reports of each other's load are old,
// move at once and herd; in proportion, each corrects its part.
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

// computeMean computes the mean. A cold upstream is left out: it would make all others look
// overloaded for as long as their flows live.
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

// divertProbability returns the probability that the first choice is passed over.
func (c *balancer) divertProbability(preferred *slot, u *stoatview.Upstream, gain float64) float64 {
	if ramp := preferred.slowStartShare(c.p.now); ramp < 1 {
		return 1 - ramp
	}
	if c.mean <= 0 {
		return 0
	}
	return min(maxDivertShare, gain*(preferred.load()/float64(u.Weight)-c.mean)/c.mean)
}

// pickUnderloaded returns a warm upstream below the mean, each with a probability in proportion
// to what it lacks, or nil if there is none but a.
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

// deficit returns the flows that the upstream is below its share.
func (c *balancer) deficit(i int, u *stoatview.Upstream, preferred *slot) float64 {
	s := c.slots[i]
	if s == preferred || s.slowStartShare(c.p.now) < 1 || !c.usable(s, u) {
		return 0
	}
	return max(0, c.mean*float64(u.Weight)-s.load())
}

// leastLoaded returns the usable upstream with the leastLoaded load for its weight, or nil.
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

// slowStartShare returns the part of its share that a cold upstream takes, up to 1.
func (s *slot) slowStartShare(now time.Time) float64 {
	age := now.Sub(s.firstSeen)
	if s.warm || age >= slowStartPeriod {
		return 1
	}
	return slowStartMinShare + (1-slowStartMinShare)*float64(age)/float64(slowStartPeriod)
}

// usable tells whether the upstream may take a new flow.
func (c *balancer) usable(s *slot, u *stoatview.Upstream) bool {
	if s.isEjected(c.p.tick) || u.Connections > 0 && s.load() >= float64(u.Connections) {
		return false
	}
	return u.Opens == 0 || s.openRate.ready(c.p.now, c.p.entryShare(u.Opens))
}

// entryShare is this entry's equal entryShare of a limit per second.
func (p *packetDecision) entryShare(limit int) float64 {
	return float64(limit) / float64(max(1, len(p.view.Ring.Members)))
}
