package stoatmeasure

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/stoatpaddle/stoatpaddle"
)

// Level is a route of the overload model.
type Level struct {
	Priority   int     // 0 is the most urgent
	Share      float64 // of the requests; 0: the route is configured and has no traffic
	Weight     float64 // of an answer in time
	Idempotent bool    // its requests may run twice
}

// A quarter of the requests are urgent, and an answer in time to one of them counts twice. For the other
// requests a late answer costs the caller little.
const (
	urgentShare  = 0.25
	urgentWeight = 2.0
)

// The places of the usual and of the urgent level in twoLevels.
const usualLevel, urgentLevel = 0, 1

var (
	twoLevels = []Level{
		{Priority: 2, Share: 1 - urgentShare, Weight: 1, Idempotent: true},
		{Priority: 1, Share: urgentShare, Weight: urgentWeight},
	}
	fiveLevels = []Level{
		{Priority: 5, Share: 0.3, Weight: 1, Idempotent: true},
		{Priority: 4, Share: 0.25, Weight: 1, Idempotent: true},
		{Priority: 3, Share: 0.2, Weight: 1, Idempotent: true},
		{Priority: 2, Share: 0.15, Weight: 1},
		{Priority: 1, Share: 0.1, Weight: urgentWeight},
	}
	oneLevel = []Level{{Priority: 1, Share: 1, Weight: 1, Idempotent: true}}
	// unusedLevel has two levels with traffic and a more urgent one without any.
	unusedLevel = append(slices.Clone(twoLevels), Level{Priority: 0, Weight: urgentWeight})
)

// levelListen returns the address of the service at which a level listens.
func levelListen(level int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(8080+level))
}

// routes returns the routes of the levels.
func (c OverloadConfig) routes() []stoatpaddle.Route {
	var out []stoatpaddle.Route
	for i, l := range c.Levels {
		r := stoatpaddle.Route{
			Listen: levelListen(i), Backends: []stoatpaddle.Backend{{Service: "app", Weight: 1}},
			Idempotent: l.Idempotent, TargetLatency: c.Objective, Priority: l.Priority,
		}
		if c.Way != "" && !c.Way.hasLevels() {
			r.Priority = 1
		}
		out = append(out, r)
	}
	return out
}

// mostUrgent returns the place of the most urgent level that has traffic.
func (c OverloadConfig) mostUrgent() int {
	best := -1
	for i, l := range c.Levels {
		if l.Share > 0 && (best < 0 || l.Priority < c.Levels[best].Priority) {
			best = i
		}
	}
	return best
}

// byWeight returns the places of the levels, those whose answers count most first.
func (c OverloadConfig) byWeight() []int {
	out := make([]int, len(c.Levels))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(c.Levels[b].Weight, c.Levels[a].Weight) })
	return out
}

// pickLevel returns the place of the level for a number in [0, 1).
func (c OverloadConfig) pickLevel(x float64) int {
	for i, l := range c.Levels {
		if x < l.Share {
			return i
		}
		x -= l.Share
	}
	return c.mostUrgent()
}
