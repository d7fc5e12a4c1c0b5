package stoatload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// GroupID identifies the upstreams of one service in one data centre, which share a load.
type GroupID struct {
	Service    stoatpaddle.ServiceID
	DataCentre stoatpaddle.DataCentreID
}

// Compare orders groups by service, then by data centre.
func (g GroupID) Compare(o GroupID) int {
	return cmp.Or(cmp.Compare(g.Service, o.Service), cmp.Compare(g.DataCentre, o.DataCentre))
}

// LevelLoad is the load of the routes of one priority to a group, in openings a second.
type LevelLoad struct {
	Priority int     // 0 is the most urgent
	Arrived  float64 // openings, those refused included
	Admitted float64
}

// GroupLoad is what one or several entries observed of a group.
type GroupLoad struct {
	Group      GroupID
	Entries    int           // entries that contributed
	Answered   float64       // answered requests a second, rejections not included
	Rejected   float64       // requests a second that upstreams rejected
	InProgress float64       // pending requests and openings
	AnswerTime time.Duration // mean answer time, weighted by Answered
	Unqueued   time.Duration // answer time without a queue, weighted by Answered; 0: not known
	Levels     []LevelLoad   // ascending by priority
}

// RejectedShare returns the share of the recent requests that upstreams rejected; 0 if there were none.
func (g *GroupLoad) RejectedShare() float64 {
	if g.Rejected <= 0 {
		return 0
	}
	return g.Rejected / (g.Answered + g.Rejected)
}

// Add returns the sum of two observations of the same group by different entries.
func (g GroupLoad) Add(o GroupLoad) GroupLoad {
	out := GroupLoad{
		Group: g.Group, Entries: g.Entries + o.Entries, Answered: g.Answered + o.Answered, Rejected: g.Rejected + o.Rejected,
		InProgress: g.InProgress + o.InProgress,
		AnswerTime: weightedMean(g.AnswerTime, g.Answered, o.AnswerTime, o.Answered),
		Unqueued:   weightedMean(g.Unqueued, g.Answered, o.Unqueued, o.Answered),
		Levels:     slices.Clone(g.Levels),
	}
	for _, l := range o.Levels {
		out.addLevel(l)
	}
	// The most urgent levels are kept, so that the result does not depend on the order of additions.
	out.Levels = out.Levels[:min(len(out.Levels), MaxLevels)]
	return out
}

// Idle reports whether the group has no traffic and no pending requests.
func (g *GroupLoad) Idle() bool {
	return g.Answered < trafficFloor && g.Rejected < trafficFloor && g.InProgress <= 0 && g.activeLevels() == 0
}

// UnderPressure reports whether upstreams reject requests of the group, or entries refuse openings.
func (g *GroupLoad) UnderPressure() bool {
	if g.Rejected >= trafficFloor && g.RejectedShare() > maxRejectedShare {
		return true
	}
	return slices.ContainsFunc(g.Levels, func(l LevelLoad) bool {
		return l.Arrived >= trafficFloor && l.Arrived-l.Admitted > maxRejectedShare*l.Arrived
	})
}

// Contended reports whether decisions on the group can depend on what other entries observe: several levels have
// traffic, or upstreams reject requests.
func (g *GroupLoad) Contended() bool { return g.Rejected >= trafficFloor || g.activeLevels() > 1 }

// activeLevels returns the number of levels with traffic.
func (g *GroupLoad) activeLevels() int {
	n := 0
	for _, l := range g.Levels {
		if l.Arrived >= trafficFloor {
			n++
		}
	}
	return n
}

// addLevel adds the load of a level.
func (g *GroupLoad) addLevel(l LevelLoad) {
	i, found := slices.BinarySearchFunc(g.Levels, l.Priority, func(x LevelLoad, p int) int { return cmp.Compare(x.Priority, p) })
	if !found {
		g.Levels = slices.Insert(g.Levels, i, l)
		return
	}
	g.Levels[i].Arrived += l.Arrived
	g.Levels[i].Admitted += l.Admitted
}

// weightedMean returns the mean of two durations, where 0 means that the duration is not known.
func weightedMean(a time.Duration, weightA float64, b time.Duration, weightB float64) time.Duration {
	switch {
	case a == 0 || weightA <= 0:
		return b
	case b == 0 || weightB <= 0:
		return a
	}
	return time.Duration(math.Round((float64(a)*weightA + float64(b)*weightB) / (weightA + weightB)))
}

// CentreLoad is the load of the services in one data centre as of a time.
type CentreLoad struct {
	DataCentre stoatpaddle.DataCentreID
	At         time.Time
	Groups     []GroupLoad // ascending by group
}

// Find returns the load of the service's group, or nil.
func (c *CentreLoad) Find(s stoatpaddle.ServiceID) *GroupLoad {
	for i := range c.Groups {
		if c.Groups[i].Group.Service == s {
			return &c.Groups[i]
		}
	}
	return nil
}
