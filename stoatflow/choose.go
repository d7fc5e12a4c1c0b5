package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const tcp = stoatpaddle.ProtocolTCP

const (
	// slowStart is how long a new upstream takes to get its full share of new flows, and
	// coldLeast what it gets at first.
	slowStart = 30 * time.Second
	coldLeast = 0.1
	// maxDeflect caps the part of new flows that balance moves away from their first
	// choice. After a change of the set the loads differ for as long as flows live, and
	// without a cap a great part of all new flows would be tracked for hours.
	maxDeflect = 0.15
)

// choice is the loads of one service at the moment a flow opens.
type choice struct {
	p     *place
	set   *stoatview.UpstreamSet
	slots []*slot // of the set's upstreams, in its order
	mean  float64 // load per unit of weight, over the warm ones
}

// choose returns the upstream for a new flow; ok is false when none has room.
//
// The first choice stands unless its load is over the mean: then another is taken with a
// probability proportional to the excess, and each other one in proportion to what it
// lacks. A hard bound would make all owners, whose reports of each other's load are old,
// move at once and herd; in proportion, each corrects its part.
func (e *Engine) choose(p *place, first *stoatview.Upstream) (*slot, slotIndex, bool) {
	r := e.reg.Load()
	a, ai := r.find(first.Key)
	c := choice{p: p, set: p.in.Service.Set, slots: r.sets[p.in.Service.Set]}
	if a == nil || len(c.slots) == 0 {
		return a, ai, a != nil
	}
	c.weigh()
	if c.usable(a, first) && p.sh.rnd.Float64() >= c.deflect(a, first, e.gain(p.in.Service.Lean)) {
		return a, ai, true
	}
	if b := c.lacking(a); b != nil {
		return b, r.byKey[b.key], true
	}
	if c.usable(a, first) {
		return a, ai, true
	}
	b := c.least()
	if b == nil {
		return nil, 0, false
	}
	return b, r.byKey[b.key], true
}

// weigh computes the mean. A cold upstream is left out: it would make all others look
// overloaded for as long as their flows live.
func (c *choice) weigh() {
	var load, weight float64
	for i, u := range c.set.Upstreams {
		if s := c.slots[i]; s.ramp(c.p.now) == 1 {
			load += s.load()
			weight += float64(u.Weight)
		}
	}
	if weight > 0 {
		c.mean = load / weight
	}
}

// deflect returns the probability that the first choice is passed over.
func (c *choice) deflect(a *slot, u *stoatview.Upstream, gain float64) float64 {
	if ramp := a.ramp(c.p.now); ramp < 1 {
		return 1 - ramp
	}
	if c.mean <= 0 {
		return 0
	}
	return min(maxDeflect, gain*(a.load()/float64(u.Weight)-c.mean)/c.mean)
}

// lacking returns a warm upstream below the mean, each with a probability in proportion
// to what it lacks, or nil if there is none but a.
func (c *choice) lacking(a *slot) *slot {
	sum := 0.0
	for i, u := range c.set.Upstreams {
		sum += c.lack(i, u, a)
	}
	if sum <= 0 {
		return nil
	}
	at := c.p.sh.rnd.Float64() * sum
	for i, u := range c.set.Upstreams {
		if at -= c.lack(i, u, a); at < 0 {
			return c.slots[i]
		}
	}
	return nil
}

// lack returns the flows that the upstream is below its share.
func (c *choice) lack(i int, u *stoatview.Upstream, a *slot) float64 {
	s := c.slots[i]
	if s == a || s.ramp(c.p.now) < 1 || !c.usable(s, u) {
		return 0
	}
	return max(0, c.mean*float64(u.Weight)-s.load())
}

// least returns the usable upstream with the least load for its weight, or nil.
func (c *choice) least() *slot {
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

// ramp returns the part of its share that a cold upstream takes, up to 1.
func (s *slot) ramp(now time.Time) float64 {
	age := now.Sub(s.since)
	if s.warm || age >= slowStart {
		return 1
	}
	return coldLeast + (1-coldLeast)*float64(age)/float64(slowStart)
}

// usable tells whether the upstream may take a new flow.
func (c *choice) usable(s *slot, u *stoatview.Upstream) bool {
	if s.isEjected(c.p.tick) || u.Connections > 0 && s.load() >= float64(u.Connections) {
		return false
	}
	return u.Opens == 0 || s.opens.ready(c.p.now, c.p.part(u.Opens))
}

// part is this entry's equal part of a limit per second.
func (p *place) part(limit int) float64 {
	return float64(limit) / float64(max(1, len(p.view.Entries.Members)))
}
