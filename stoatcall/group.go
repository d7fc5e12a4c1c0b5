package stoatcall

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// groupRetention is how long a group without calls is kept, so that groups of contracts that are gone do not add up.
const groupRetention = time.Minute

// rejectedAttempts is how many attempts of a call have to be rejected for the call to count as rejected. With one, the
// limiter refuses more than the excess when a burst begins, although calls find room at their next attempts, and slots
// idle. With maxAttempts, the rejections that the limiter tolerates are urgent calls without an answer.
const rejectedAttempts = 2

// group is what the handler knows of the services that share upstreams.
type group struct {
	limiter *stoatadmission.Limiter
	usedAt  time.Time      // when a call last arrived or ended
	turns   map[int]*turns // of calls that gave way, by priority
}

// newGroup returns a group without evidence. A refused caller returns after a second or later, so that its tries are
// independent and need no order by caller.
func newGroup(seed uint64) *group {
	return &group{
		limiter: stoatadmission.New(stoatadmission.Config{Source: stoatadmission.OwnEvidence, Order: stoatadmission.AtRandom, Seed: seed}),
		turns:   map[int]*turns{},
	}
}

// decide decides whether a call of the priority may use the shared upstreams.
func (g *group) decide(now time.Time, priority int) stoatadmission.Decision {
	return g.limiter.Decide(now, stoatadmission.Opening{Priority: priority})
}

// recordAnswer records that an upstream ran a call. Times of answers depend on the calls and show no queue.
func (g *group) recordAnswer(now time.Time) {
	g.limiter.Answered(now, 0, 0)
	g.limiter.KeepAnswered(now)
}

// takeTurn returns the Retry-After of a call that gave way: when the refused calls of its level that are due before
// it have been admitted, at the rate at which the level is admitted now.
func (g *group) takeTurn(now time.Time, priority int, share float64) int {
	t := g.turns[priority]
	if t == nil {
		t = &turns{}
		g.turns[priority] = t
	}
	return t.take(now, 0, share*g.limiter.Arrived(now, priority))
}

// attempts is the state of one call while it tries upstreams.
type attempts struct {
	service  *stoatview.Service
	tried    map[stoatpaddle.UpstreamKey]bool
	givesWay bool    // the call may not use upstreams that other services share
	share    float64 // of the level's calls that is admitted
	rejected int     // number of attempts that shared upstreams rejected
	counted  bool    // the call is recorded as rejected
}

// mustSpare reports whether the call leaves the upstream to more urgent calls.
func (t *attempts) mustSpare(u *stoatview.Upstream) bool {
	return t.givesWay && t.service.SharedAddrs[u.Addr]
}

// group returns the group of a service that shares upstreams. h.mu must be held.
func (h *Handler) group(now time.Time, svc *stoatview.Service) *group {
	g := h.groups[svc.Group]
	if g == nil {
		maps.DeleteFunc(h.groups, func(_ stoatpaddle.ServiceRef, old *group) bool { return now.Sub(old.usedAt) > groupRetention })
		g = newGroup(h.cfg.Seed)
		h.groups[svc.Group] = g
	}
	g.usedAt = now
	return g
}

// begin returns the state of a new call. A call of a service that shares no upstream never gives way.
func (h *Handler) begin(svc *stoatview.Service) *attempts {
	t := &attempts{service: svc, tried: map[stoatpaddle.UpstreamKey]bool{}}
	if svc.SharedAddrs == nil {
		return t
	}
	h.withGroup(svc, func(now time.Time, g *group) {
		d := g.decide(now, svc.Priority)
		t.givesWay, t.share = !d.Admitted, d.Share
	})
	return t
}

// recordAttempt records whether the upstream ran the call or rejected it. An upstream that could not be reached says
// nothing about room.
func (h *Handler) recordAttempt(t *attempts, u *stoatview.Upstream, res *http.Response, err error) {
	if err != nil {
		return
	}
	rejected := refusedByUpstream(res)
	if !rejected {
		h.mu.Lock()
		h.usageOf(t.service).answered.Add(h.cfg.Clock(), returnDecay)
		h.mu.Unlock()
	}
	if !t.service.SharedAddrs[u.Addr] {
		return
	}
	if !rejected {
		h.withGroup(t.service, func(now time.Time, g *group) { g.recordAnswer(now) })
		return
	}
	if t.rejected++; t.rejected >= rejectedAttempts {
		h.recordRejection(t)
	}
}

// recordRejection records, once for each call, that the shared upstreams have no room for it.
func (h *Handler) recordRejection(t *attempts) {
	if t.counted {
		return
	}
	t.counted = true
	h.withGroup(t.service, func(now time.Time, g *group) { g.limiter.Rejected(now) })
}

// recordNoRoom records that a call that did not give way found no upstream with room.
func (h *Handler) recordNoRoom(t *attempts) {
	if !t.givesWay && (t.rejected > 0 || t.metFull()) {
		h.recordRejection(t)
	}
}

// metFull reports whether a call for which there is no further upstream has left out a shared one, which then has no
// free slot.
func (t *attempts) metFull() bool {
	return len(t.tried) < maxAttempts && slices.ContainsFunc(t.service.Set.Upstreams, func(u *stoatview.Upstream) bool {
		return t.service.SharedAddrs[u.Addr] && !t.tried[u.Key]
	})
}

// withGroup calls f with the service's group, and logs the levels that began or ended to give way.
func (h *Handler) withGroup(svc *stoatview.Service, f func(now time.Time, g *group)) {
	now := h.cfg.Clock()
	h.mu.Lock()
	g := h.group(now, svc)
	f(now, g)
	g.limiter.Advance(now)
	changes := g.limiter.TakeChanges()
	h.mu.Unlock()
	for _, c := range changes {
		h.logChange(svc.Group, c)
	}
}

func (h *Handler) logChange(ref stoatpaddle.ServiceRef, c stoatadmission.Change) {
	fields := []stoatevent.Field{stoatevent.F("group", ref.String()), stoatevent.F("priority", strconv.Itoa(c.Priority))}
	if c.Limited {
		h.cfg.Events.Emit(EventSheddingBegan, append(fields,
			stoatevent.F("share", formatShare(c.Share)), stoatevent.F("rejected", formatShare(c.RejectedShare)))...)
		return
	}
	h.cfg.Events.Emit(EventSheddingEnded, append(fields,
		stoatevent.F("refused", strconv.FormatInt(c.Refused, 10)), stoatevent.F("lasted", c.Lasted.Round(time.Millisecond).String()))...)
}

// WriteMetrics writes the state of each group and level in the Prometheus text format.
func (h *Handler) WriteMetrics(w io.Writer) {
	states, refs := h.states()
	for i, s := range states {
		for _, v := range s.Levels {
			labels := fmt.Sprintf("{group=%q,priority=\"%d\"}", refs[i], v.Priority)
			_, _ = fmt.Fprintf(w, "stoatpaddle_call_level_arrived%s %g\n", labels, v.Arrived)
			_, _ = fmt.Fprintf(w, "stoatpaddle_call_level_share%s %g\n", labels, v.Share)
			_, _ = fmt.Fprintf(w, "stoatpaddle_call_level_refused_total%s %d\n", labels, v.Counts[stoatadmission.RefusedByLevel])
		}
		_, _ = fmt.Fprintf(w, "stoatpaddle_call_group_answered{group=%q} %g\n", refs[i], s.answered)
		_, _ = fmt.Fprintf(w, "stoatpaddle_call_group_rejected{group=%q} %g\n", refs[i], s.rejected)
		_, _ = fmt.Fprintf(w, "stoatpaddle_call_group_budget{group=%q} %g\n", refs[i], s.Budget)
	}
}

// groupState is the state of a group, for operators.
type groupState struct {
	stoatadmission.State
	answered, rejected float64 // calls a second
}

// states returns the states of the groups, in ascending order of their names, and the names.
func (h *Handler) states() ([]groupState, []string) {
	now := h.cfg.Clock()
	h.mu.Lock()
	defer h.mu.Unlock()
	byName := map[string]groupState{}
	for ref, g := range h.groups {
		load := g.limiter.Load(now)
		byName[ref.String()] = groupState{State: g.limiter.State(now), answered: load.Answered, rejected: load.Rejected}
	}
	names := slices.Sorted(maps.Keys(byName))
	out := make([]groupState, 0, len(names))
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out, names
}
