package stoatadmission

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// level is the state of the openings of one priority.
type level struct {
	priority        int
	arrivals        stoatload.Rate
	admissions      stoatload.Rate
	lastArrival     time.Time
	sharedRate      float64 // arrivals a second in the data centre, by the evidence in use
	activeElsewhere bool    // it has traffic by the evidence of the data centre
	share           float64 // of its openings that are admitted
	routes          []route
	limitedSince    time.Time // zero: it is not limited
	fullSince       time.Time // since when all are admitted, while limitedSince is set
	counts          [ReasonCount]int64
}

// route is the state of the openings of one route within a level.
type route struct {
	listen      netip.AddrPort
	arrivals    stoatload.Rate
	lastArrival time.Time
	share       float64
}

// levelOf returns the level of a priority and creates it if it is new. The number of levels is bounded: if all are in
// use, the openings count to the most similar one.
func (l *Limiter) levelOf(now time.Time, priority int) *level {
	i, found := slices.BinarySearchFunc(l.levels, priority, func(v level, p int) int { return cmp.Compare(v.priority, p) })
	if found {
		return &l.levels[i]
	}
	if len(l.levels) >= maxLevels {
		l.forgetIdle(now)
		if len(l.levels) >= maxLevels {
			return &l.levels[min(i, len(l.levels)-1)]
		}
		return l.levelOf(now, priority)
	}
	l.levels = slices.Insert(l.levels, i, level{priority: priority, share: 1})
	return &l.levels[i]
}

// forgetIdle forgets the levels without recent traffic here.
func (l *Limiter) forgetIdle(now time.Time) {
	l.levels = slices.DeleteFunc(l.levels, func(v level) bool { return now.Sub(v.lastArrival) > levelIdle && v.limitedSince.IsZero() })
}

// active reports whether the level has recent traffic.
func (l *Limiter) active(now time.Time, v *level) bool {
	return now.Sub(v.lastArrival) <= levelIdle || v.activeElsewhere
}

// countActive finds the levels with recent traffic.
func (l *Limiter) countActive(now time.Time) {
	l.activeLevels = 0
	for i := range l.levels {
		if v := &l.levels[i]; l.active(now, v) {
			l.activeLevels++
			l.leastUrgent = v.priority
		}
	}
}

// arrive counts an opening and returns its route, or nil if there are too many routes.
func (v *level) arrive(now time.Time, listen netip.AddrPort) *route {
	v.arrivals.Add(now, arrivalDecay)
	v.lastArrival = now
	r := v.route(now, listen)
	if r != nil {
		r.arrivals.Add(now, arrivalDecay)
		r.lastArrival = now
	}
	return r
}

func (v *level) route(now time.Time, listen netip.AddrPort) *route {
	for i := range v.routes {
		if v.routes[i].listen == listen {
			return &v.routes[i]
		}
	}
	if len(v.routes) >= maxRoutes {
		v.routes = slices.DeleteFunc(v.routes, func(r route) bool { return now.Sub(r.lastArrival) > levelIdle })
		if len(v.routes) >= maxRoutes {
			return nil
		}
	}
	v.routes = append(v.routes, route{listen: listen, share: v.share})
	return &v.routes[len(v.routes)-1]
}

// count counts the decision about an opening.
func (v *level) count(now time.Time, r Reason) {
	v.counts[r]++
	if r == Admitted {
		v.admissions.Add(now, arrivalDecay)
	}
}

// setShare sets the admitted share of the level, and divides it among its routes.
func (v *level) setShare(now time.Time, share float64) {
	v.share = share
	if share >= 1 || len(v.routes) == 1 {
		for i := range v.routes {
			v.routes[i].share = share
		}
		return
	}
	v.shareEvenly(now)
}

// shareEvenly divides the admitted openings among the routes: a route that asks for less than an even part gets all
// of it, and the others get the rest evenly (max-min fairness).
func (v *level) shareEvenly(now time.Time) {
	rates := make([]float64, 0, len(v.routes))
	sum := 0.0
	for i := range v.routes {
		rate := v.routes[i].arrivals.PerSecond(now, arrivalDecay)
		rates = append(rates, rate)
		sum += rate
	}
	slices.Sort(rates)
	most := evenPart(rates, v.share*sum)
	for i := range v.routes {
		v.routes[i].share = 1
		if rate := v.routes[i].arrivals.PerSecond(now, arrivalDecay); rate > most {
			v.routes[i].share = most / rate
		}
	}
}

// evenPart returns the most that one route gets of the total, for rates in ascending order.
func evenPart(rates []float64, total float64) float64 {
	part := 0.0
	for i, rate := range rates {
		part = total / float64(len(rates)-i)
		if rate >= part {
			return part
		}
		total -= rate
	}
	return part
}
