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
	set   *stoatview.UpstreamSet
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
func (e *Engine) choose(p *packetDecision, preferred *stoatview.Upstream) (*slot, slotIndex, bool) {
	r := e.reg.Load()
	preferredSlot, preferredIndex := r.find(preferred.Key)
	b := balancer{p: p, set: p.in.Service.Set, slots: r.slotsBySet[p.in.Service.Set]}
	if preferredSlot == nil || len(b.slots) == 0 {
		return preferredSlot, preferredIndex, preferredSlot != nil
	}
	b.computeMean()
	if b.usable(preferredSlot, preferred) && p.sh.rnd.Float64() >= b.divertProbability(preferredSlot, preferred, e.gain(p.in.Service.Preference)) {
		return preferredSlot, preferredIndex, true
	}
	if alternative := b.pickUnderloaded(preferredSlot); alternative != nil {
		return alternative, r.byKey[alternative.key], true
	}
	if b.usable(preferredSlot, preferred) {
		return preferredSlot, preferredIndex, true
	}
	alternative := b.leastLoaded()
	if alternative == nil {
		return nil, 0, false
	}
	return alternative, r.byKey[alternative.key], true
}

// computeMean sets the mean load. Upstreams in slow start are left out: they would make all others look
// overloaded for as long as the flows of those live.
func (b *balancer) computeMean() {
	var load, weight float64
	for i, u := range b.set.Upstreams {
		if s := b.slots[i]; s.slowStartShare(b.p.now) == 1 {
			load += s.load()
			weight += float64(u.Weight)
		}
	}
	if weight > 0 {
		b.mean = load / weight
	}
}

// divertProbability returns the probability that the flow does not go to its preferred upstream.
func (b *balancer) divertProbability(preferred *slot, u *stoatview.Upstream, gain float64) float64 {
	if share := preferred.slowStartShare(b.p.now); share < 1 {
		return 1 - share
	}
	if b.mean <= 0 {
		return 0
	}
	return min(maxDivertShare, gain*(preferred.load()/float64(u.Weight)-b.mean)/b.mean)
}

// pickUnderloaded returns a warm upstream below the mean other than the preferred one, with a probability
// proportional to its deficit, or nil if there is none.
func (b *balancer) pickUnderloaded(preferred *slot) *slot {
	sum := 0.0
	for i, u := range b.set.Upstreams {
		sum += b.deficit(i, u, preferred)
	}
	if sum <= 0 {
		return nil
	}
	target := b.p.sh.rnd.Float64() * sum
	for i, u := range b.set.Upstreams {
		if target -= b.deficit(i, u, preferred); target < 0 {
			return b.slots[i]
		}
	}
	return nil
}

// deficit returns by how many flows the upstream is below its share.
func (b *balancer) deficit(i int, u *stoatview.Upstream, preferred *slot) float64 {
	s := b.slots[i]
	if s == preferred || s.slowStartShare(b.p.now) < 1 || !b.usable(s, u) {
		return 0
	}
	return max(0, b.mean*float64(u.Weight)-s.load())
}

// leastLoaded returns the usable upstream with the lowest load per unit of weight, or nil.
func (b *balancer) leastLoaded() *slot {
	var best *slot
	lowest := 0.0
	for i, u := range b.set.Upstreams {
		s := b.slots[i]
		l := s.load() / float64(u.Weight)
		if b.usable(s, u) && (best == nil || l < lowest) {
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
func (b *balancer) usable(s *slot, u *stoatview.Upstream) bool {
	if s.isEjected(b.p.tick) || u.MaxFlows > 0 && s.load() >= float64(u.MaxFlows) {
		return false
	}
	return u.MaxOpenRate == 0 || s.openRate.ready(b.p.now, b.p.entryShare(u.MaxOpenRate))
}

// entryShare returns this entry's equal part of a limit per second.
func (p *packetDecision) entryShare(limit int) float64 {
	return float64(limit) / float64(max(1, len(p.view.Entries.Members)))
}
