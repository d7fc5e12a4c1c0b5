package stoatcall

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// groupRetention is how long a group without calls is kept, so that groups of contracts that are gone do not add up.
const groupRetention = time.Minute

// group is what the handler knows of the services that share upstreams.
type group struct {
	limiter limiter
	turns   map[int]*turns // of calls that gave way, by priority
}

// attempts is the state of one call while it tries upstreams.
type attempts struct {
	service  *stoatview.Service
	tried    map[stoatpaddle.UpstreamKey]bool
	givesWay bool    // the call may not use upstreams that other services share
	share    float64 // of the level's calls that is admitted
}

// mustSpare reports whether the call leaves the upstream to more urgent calls.
func (t *attempts) mustSpare(u *stoatview.Upstream) bool {
	return t.givesWay && t.service.SharedAddrs[u.Addr]
}

// group returns the group of a service that shares upstreams. h.mu must be held.
func (h *Handler) group(now time.Time, svc *stoatview.Service) *group {
	g := h.groups[svc.Group]
	if g == nil {
		for ref, old := range h.groups {
			if now.Sub(old.limiter.updatedAt) > groupRetention {
				delete(h.groups, ref)
			}
		}
		g = &group{turns: map[int]*turns{}}
		h.groups[svc.Group] = g
	}
	return g
}

// takeTurn returns the Retry-After of a call that gave way: when the refused calls of its level that are due before
// it have been admitted, at the rate at which the level is admitted now.
func (g *group) takeTurn(now time.Time, priority int, share float64) int {
	t := g.turns[priority]
	if t == nil {
		t = &turns{}
		g.turns[priority] = t
	}
	return t.take(now, 0, share*g.limiter.level(priority).arrived.PerSecond(now, arrivalDecay))
}

// begin returns the state of a new call. A call of a service that shares no upstream never gives way.
func (h *Handler) begin(svc *stoatview.Service) *attempts {
	t := &attempts{service: svc, tried: map[stoatpaddle.UpstreamKey]bool{}}
	if svc.SharedAddrs == nil {
		return t
	}
	h.withLimiter(svc, func(now time.Time, l *limiter) {
		d := l.Decide(now, Opening{Priority: svc.Priority})
		t.givesWay, t.share = !d.Admitted, d.Share
	})
	return t
}

// recordAttempt records whether the upstream ran the call or rejected it. An upstream that could not be reached says
// nothing about room.
func (h *Handler) recordAttempt(svc *stoatview.Service, u *stoatview.Upstream, res *http.Response, err error) {
	if err != nil {
		return
	}
	rejected := refusedByUpstream(res)
	if !rejected {
		h.mu.Lock()
		h.service(svc).answered.Add(h.cfg.Clock(), returnDecay)
		h.mu.Unlock()
	}
	if !svc.SharedAddrs[u.Addr] {
		return
	}
	h.withLimiter(svc, func(now time.Time, l *limiter) {
		if rejected {
			l.Rejected(now)
		} else {
			l.Answered(now)
		}
	})
}

// recordNoRoom records that a call that did not give way found no upstream with room.
func (h *Handler) recordNoRoom(t *attempts) {
	if t.service.SharedAddrs != nil && !t.givesWay {
		h.withLimiter(t.service, func(now time.Time, l *limiter) {
			l.NoRoom(now, Opening{Priority: t.service.Priority}, len(t.tried))
		})
	}
}

// withLimiter calls f with the limiter of the service's group, and logs whether shedding began or ended.
func (h *Handler) withLimiter(svc *stoatview.Service, f func(now time.Time, l *limiter)) {
	now := h.cfg.Clock()
	h.mu.Lock()
	l := &h.group(now, svc).limiter
	before := l.shedding
	f(now, l)
	after, since := l.shedding, l.since
	var s State
	if after != before {
		s = l.State(now)
	}
	h.mu.Unlock()
	group := stoatevent.F("group", svc.Group.String())
	switch {
	case after && !before:
		h.cfg.Events.Emit(EventSheddingBegan, group,
			stoatevent.F("answered", strconv.Itoa(int(s.Answered))), stoatevent.F("rejected", strconv.Itoa(int(s.Rejected))))
	case before && !after:
		h.cfg.Events.Emit(EventSheddingEnded, group, stoatevent.F("lasted", now.Sub(since).Round(time.Millisecond).String()))
	}
}

// WriteMetrics writes the state of each group and level in the Prometheus text format.
func (h *Handler) WriteMetrics(w io.Writer) {
	states, refs := h.states()
	for i, s := range states {
		for _, v := range s.Levels {
			labels := fmt.Sprintf("{group=%q,priority=\"%d\"}", refs[i], v.Priority)
			_, _ = fmt.Fprintf(w, "stoatpaddle_call_level_arrived%s %g\n", labels, v.Arrived)
			_, _ = fmt.Fprintf(w, "stoatpaddle_call_level_share%s %g\n", labels, v.Share)
			_, _ = fmt.Fprintf(w, "stoatpaddle_call_level_refused_total%s %d\n", labels, v.Refused)
		}
		_, _ = fmt.Fprintf(w, "stoatpaddle_call_group_answered{group=%q} %g\n", refs[i], s.Answered)
		_, _ = fmt.Fprintf(w, "stoatpaddle_call_group_rejected{group=%q} %g\n", refs[i], s.Rejected)
		_, _ = fmt.Fprintf(w, "stoatpaddle_call_group_budget{group=%q} %g\n", refs[i], s.Budget)
	}
}

// states returns the states of the groups, in ascending order of their names, and the names.
func (h *Handler) states() ([]State, []string) {
	now := h.cfg.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	byName := map[string]State{}
	for ref, g := range h.groups {
		names = append(names, ref.String())
		byName[ref.String()] = g.limiter.State(now)
	}
	slices.Sort(names)
	out := make([]State, 0, len(names))
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out, names
}
