package stoatecho

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Priority levels: where upstreams reject requests, openings of less urgent routes are refused in favour of more
// urgent ones (package stoatadmission). Requests on open flows cannot be refused, so the upstreams stay as busy.
// Without the levels, which requests are served would depend on which of them find a queue full. A refused opening
// has not run, and its caller may come back.

// refusals maps the reasons of decisions by level to reasons of resets.
var refusals = [stoatadmission.ReasonCount]stoatpacket.DropReason{
	stoatadmission.RefusedByLevel:     stoatpacket.DropLevel,
	stoatadmission.RefusedByFairShare: stoatpacket.DropFairness,
	stoatadmission.RefusedAway:        stoatpacket.DropAway,
	stoatadmission.RefusedLate:        stoatpacket.DropOverload,
}

// newLimiter returns the limiter of a group. Each group has random numbers of its own, so that those that place flows
// do not depend on whether there are levels.
func (e *Engine) newLimiter(k groupKey) *stoatadmission.Limiter {
	cfg := e.cfg.Admission
	cfg.Seed = e.cfg.Seed ^ xxhash.Sum64String(string(k.service)+"/"+string(k.centre))
	return stoatadmission.New(cfg)
}

// decideByLevel decides whether an opening is admitted to the group; inTime says that its answer would be in time.
func (e *Engine) decideByLevel(now time.Time, r *stoatroute.Route, g *group, p *stoatpacket.Packet, inTime bool) stoatadmission.Decision {
	d := g.limiter.Decide(now, stoatadmission.Opening{Priority: r.Priority, Route: r.Listen, Caller: p.Tuple.Src.Addr(), Late: !inTime})
	if d.Limiting {
		e.limited[g.key] = g
	}
	return d
}

// noteAnswer records an answer of an upstream; the times of those that are cold do not show how long the queue is.
func (g *group) noteAnswer(now time.Time, took time.Duration, cold bool) {
	if cold {
		took = 0
	}
	g.limiter.Answered(now, took, g.answerTimes.floor)
}

// LevelChange reports that a priority level of a group began or ended to be limited.
type LevelChange struct {
	Group stoatload.GroupID
	stoatadmission.Change
}

// TakeLevelChanges returns the changes since the last call, ascending by group.
func (e *Engine) TakeLevelChanges(now time.Time) []LevelChange {
	var out []LevelChange
	for k, g := range e.limited {
		g.limiter.Advance(now)
		for _, c := range g.limiter.TakeChanges() {
			out = append(out, LevelChange{Group: k.id(), Change: c})
		}
		if !g.limiter.Limiting() {
			delete(e.limited, k)
		}
	}
	slices.SortStableFunc(out, func(a, b LevelChange) int { return a.Group.Compare(b.Group) })
	return out
}

// LevelState is the state of the priority levels of a group.
type LevelState struct {
	Group stoatload.GroupID
	stoatadmission.State
}

// LevelStates returns the state of each group with openings of two or more priorities, ascending by group.
func (e *Engine) LevelStates(now time.Time) []LevelState {
	var out []LevelState
	for k, g := range e.groups {
		if s := g.limiter.State(now); len(s.Levels) > 1 {
			out = append(out, LevelState{Group: k.id(), State: s})
		}
	}
	slices.SortFunc(out, func(a, b LevelState) int { return a.Group.Compare(b.Group) })
	return out
}

// Loads returns what this entry observes of the groups with traffic in its own data centre, ascending by group.
func (e *Engine) Loads(now time.Time) []stoatload.GroupLoad {
	var out []stoatload.GroupLoad
	for k, g := range e.groups {
		if k.centre != e.cfg.DataCentre {
			continue
		}
		l := g.limiter.Load(now)
		l.Group, l.InProgress = k.id(), float64(g.inProgress)
		if l.InProgress > 0 || len(l.Levels) > 0 || l.Answered+l.Rejected >= minLoadRate {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b stoatload.GroupLoad) int { return cmp.Or(a.Group.Compare(b.Group)) })
	return out
}

// minLoadRate is the rate of requests a second below which a group without openings has no traffic.
const minLoadRate = 0.1

// SetSharedLoads replaces what is known of the load of the data centre (own; fresh: it is recent enough to decide)
// and of the others.
func (e *Engine) SetSharedLoads(_ time.Time, own stoatload.CentreLoad, fresh bool, others []stoatload.CentreLoad) {
	e.otherLoads = others
	for _, g := range e.sharedGroups {
		g.limiter.SetShared(stoatadmission.Evidence{})
	}
	e.sharedGroups = e.sharedGroups[:0]
	if !fresh {
		return
	}
	for i := range own.Groups {
		l := &own.Groups[i]
		g := e.groups[groupKey{service: l.Group.Service, centre: e.cfg.DataCentre}]
		if g == nil {
			continue
		}
		e.sharedGroups = append(e.sharedGroups, g)
		g.limiter.SetShared(stoatadmission.Evidence{
			At: own.At, Entries: l.Entries, Answered: l.Answered, Rejected: l.Rejected, AnswerTime: l.AnswerTime, Unqueued: l.Unqueued, Levels: l.Levels,
		})
	}
}

// OtherLoads returns what is known of the load of other data centres.
func (e *Engine) OtherLoads() []stoatload.CentreLoad { return e.otherLoads }

func (k groupKey) id() stoatload.GroupID {
	return stoatload.GroupID{Service: k.service, DataCentre: k.centre}
}
