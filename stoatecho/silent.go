package stoatecho

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Upstreams that answer nobody, as the entries of a data centre notice it together.
//
// The load: a third of fifty upstreams fall silent. Forty entries each send two flows a second
// and fifteen requests over all of them, so that one entry meets a silent upstream every few
// seconds: each finds out by itself, at the cost of its own callers, until the registrations
// lapse seconds later. Together they meet it six times a second.
//
// So an entry that waits for an upstream in vain says so. One that waits is reason to prefer
// others for new flows, which costs nothing if it is wrong. Two that wait, with no sign of life at
// any entry since, are what ejects. Open flows go on either way (ended.go).
const (
	// waitKept is how long a wait counts that nothing confirms: without new flows there, no packet
	// may come that shows the upstream alive.
	waitKept = 2 * time.Second
	// noteEvery bounds how often unanswered packets are looked through: an entry with a tenth of
	// a core in a burst has hundreds.
	noteEvery = 10 * time.Millisecond
	// movedEvery bounds how often flows that moved are taken in: thousands do within a second.
	movedEvery = 20 * time.Millisecond
	// preferKept is how long new flows prefer others on the word of one entry, unless it is said
	// again: several times what the word takes through the relay tree.
	preferKept = 400 * time.Millisecond
	// heardKept is how long a sign of life is reported of an upstream that others wait for.
	heardKept = 4 * time.Second
)

// waits notes that a packet, sent at that time, is unanswered though an answer usually takes less.
// It tells whether that is settled; if not, it is looked at again. A network of this entry's own
// that fails, or an entry behind its own socket, hears nothing from any upstream: then it says
// nothing of this one.
func (e *Engine) waits(now time.Time, h *health, sent time.Time) (settled bool) {
	if h.sign.After(sent) || e.moved.After(sent) {
		return true
	}
	if e.behind(now) || !e.sign.After(sent) {
		return false
	}
	if h.waitFrom.IsZero() {
		h.waitFrom, e.observed = sent, true
	}
	h.waitSeen = now
	return true
}

// flowsMoved notes that a packet came of a flow which another entry placed.
//
// The failure: an entry joins or leaves, and the fabric hands nearly all flows to other entries than
// before. Whatever was under way is answered there: forty entries wait in vain for all upstreams at
// once, two of them for the same one, and eject upstreams that live. What was sent before
// flows moved is therefore no evidence, and an entry that said so takes it back.
func (e *Engine) flowsMoved(now time.Time) {
	if now.Sub(e.moved) < movedEvery {
		return
	}
	e.moved = now
	for _, h := range e.health {
		if !h.waitFrom.IsZero() {
			h.waitFrom, e.observed = time.Time{}, true
		}
	}
}

// noteWaits looks for openings that are unanswered for longer than usual. A request counts once
// its caller repeats it: one on a flow that its upstream has ended is refused towards the caller,
// past this entry, and looks unanswered here though the upstream is well.
func (e *Engine) noteWaits(now time.Time) {
	if now.Sub(e.noted) < noteEvery {
		return
	}
	e.noted = now
	var again []expected
	for {
		x, due := e.waitOpenings.due(now, e.handshake.patience())
		if !due {
			break
		}
		f := e.flows[x.tuple]
		if f == nil || !f.opening || !f.seen.Equal(x.since) {
			continue
		}
		h := e.health[f.key]
		if !e.behind(now) && !h.sign.After(x.since) && !e.moved.After(x.since) {
			h.group.silence.unanswered(now, h, x.since)
		}
		if !e.waits(now, h, x.since) {
			again = append(again, x)
		}
	}
	for _, x := range again {
		e.waitOpenings.add(x.tuple, x.since)
	}
}

// claims tells whether this entry still says that it waits for the upstream.
func (h *health) claims(now time.Time) bool {
	return !h.waitFrom.IsZero() && now.Sub(h.waitSeen) < waitKept
}

// silenceSeen is what this entry says of the upstream.
func (h *health) silenceSeen(now time.Time, named bool) stoatoutlier.Silence {
	var s stoatoutlier.Silence
	if h.claims(now) {
		s.WaitingEntries, s.FirstWaitSince = 1, h.waitFrom
	}
	if (named || s.WaitingEntries > 0) && now.Sub(h.sign) < heardKept {
		s.LastHeard = h.sign
	}
	return s
}

// TakeReportChange tells whether what this entry says of upstreams changed since the last call.
func (e *Engine) TakeReportChange() bool {
	changed := e.observed
	e.observed = false
	return changed
}

// SilentUpstream is an upstream that gets no flows for a while, since nobody in the data centre hears of it.
type SilentUpstream struct {
	Upstream        *stoatroute.Upstream
	WaitingEntries  int // that wait for it
	Silence         time.Duration
	PendingRequests int // requests from here that wait there
}

// EjectSilent looks for upstreams that answer nobody, by what the entries of this data centre saw
// together, and returns those that are ejected now. What is not heard of within the delay did not
// happen. Upstreams of other data centres are judged too: while the own one is evacuated, all of its
// flows go there.
func (e *Engine) EjectSilent(now time.Time, t *stoatroute.Table, delay time.Duration) []SilentUpstream {
	if len(e.together) == 0 {
		return nil
	}
	named := map[groupKey][]*stoatroute.Upstream{}
	for k, s := range e.together {
		if u := t.Upstream(k); s.WaitingEntries > 0 && u != nil && u.AcceptsFlows() {
			key := groupKey{service: u.Service, centre: u.DataCentre}
			named[key] = append(named[key], u)
		}
	}
	var out []SilentUpstream
	for _, k := range slices.SortedFunc(maps.Keys(named), groupKey.compare) {
		out = append(out, e.judgeSilence(now, t, named[k], delay)...)
	}
	return out
}

// judgeSilence judges upstreams of one service in one data centre for which entries wait, those first for which
// most do.
func (e *Engine) judgeSilence(now time.Time, t *stoatroute.Table, named []*stoatroute.Upstream, delay time.Duration) []SilentUpstream {
	var out []SilentUpstream
	slices.SortFunc(named, func(a, b *stoatroute.Upstream) int {
		return cmp.Or(cmp.Compare(e.together[b.Key].WaitingEntries, e.together[a.Key].WaitingEntries), cmp.Compare(a.Key, b.Key))
	})
	quota := silentQuota{upstreams: len(t.CandidatesIn(named[0].Service, named[0].DataCentre))}
	e.eachMet(t, e.groupOf(named[0]), func(h *health) { quota.count(now, h) })
	for _, u := range named {
		h, s := e.healthOf(u), e.together[u.Key].Silence
		if s.Ended() {
			h.ended(s.LastHeard)
			continue
		}
		// What others waited for was the life before, or this entry knows better.
		if u.RestartedAt.After(s.FirstWaitSince) || h.sign.After(s.FirstWaitSince) {
			continue
		}
		quota.prefer(now, h)
		if !h.isEjected(now) && s.SharedWait(now) >= e.silenceOf(now, u)+delay && quota.eject() {
			out = append(out, e.ejectTogether(now, u, h, s))
		}
	}
	return out
}

// silentQuota bounds how many upstreams of a group are avoided on the word of other entries: for
// each way a third, since the others would not bear the load of more, and one entry that is
// confused must not empty a service.
type silentQuota struct{ upstreams, preferred, ejected int }

func (q *silentQuota) count(now time.Time, h *health) {
	if now.Before(h.preferOthers) {
		q.preferred++
	}
	if h.together && h.isEjected(now) {
		q.ejected++
	}
}

// prefer has new flows prefer others, if there is room.
func (q *silentQuota) prefer(now time.Time, h *health) {
	if !now.Before(h.preferOthers) {
		if q.preferred >= q.upstreams/failCap {
			return
		}
		q.preferred++
	}
	h.preferOthers = now.Add(preferKept)
}

// eject tells whether there is room for one more ejection, and takes it.
func (q *silentQuota) eject() bool {
	if q.ejected >= q.upstreams/failCap {
		return false
	}
	q.ejected++
	return true
}

// ejectTogether keeps new flows from the upstream on what the data centre saw.
func (e *Engine) ejectTogether(now time.Time, u *stoatroute.Upstream, h *health, s stoatoutlier.Silence) SilentUpstream {
	h.eject(now)
	h.together = true
	e.stats.Ejected++
	e.stats.EjectedJointly++
	return SilentUpstream{Upstream: u, WaitingEntries: s.WaitingEntries, Silence: s.SharedWait(now), PendingRequests: h.busy}
}

// ended takes in that another entry had a sign of the upstream at that time. What this entry saw
// itself stays: the path from here may be the one that fails.
func (h *health) ended(heard time.Time) {
	if heard.After(h.waitFrom) {
		h.waitFrom = time.Time{}
	}
	h.preferOthers = time.Time{}
	if h.together {
		h.ejection, h.together = backoff{}, false
	}
}
