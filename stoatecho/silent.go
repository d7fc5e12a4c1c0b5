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
	// unansweredTimeout is how long a wait counts that nothing confirms: without new flows there, no packet
	// may come that shows the upstream alive.
	unansweredTimeout = 2 * time.Second
	// openingCheckInterval bounds how often unanswered packets are looked through: an entry with a tenth of
	// a core in a burst has hundreds.
	openingCheckInterval = 10 * time.Millisecond
	// adoptionInterval bounds how often flows that moved are taken in: thousands do within a second.
	adoptionInterval = 20 * time.Millisecond
	// deprioritizeTimeout is how long new flows prefer others on the word of one entry, unless it is said
	// again: several times what the word takes through the relay tree.
	deprioritizeTimeout = 400 * time.Millisecond
	// aliveReportWindow is how long a sign of life is reported of an upstream that others wait for.
	aliveReportWindow = 4 * time.Second
)

// noteUnanswered notes that a packet, sent at that time, is unanswered though an answer usually takes less.
// It tells whether that is settled; if not, it is looked at again. A network of this entry's own
// that fails, or an entry behind its own socket, hears nothing from any upstream: then it says
// nothing of this one.
func (e *Engine) noteUnanswered(now time.Time, h *health, sent time.Time) (settled bool) {
	if h.lastAlive.After(sent) || e.lastAdoption.After(sent) {
		return true
	}
	if e.behind(now) || !e.lastAlive.After(sent) {
		return false
	}
	if h.unansweredSince.IsZero() {
		h.unansweredSince, e.reportChanged = sent, true
	}
	h.unansweredSeen = now
	return true
}

// noteAdoption notes that a packet came of a flow which another entry placed.
//
// The failure: an entry joins or leaves, and the fabric hands nearly all flows to other entries than
// before. Whatever was under way is answered there: forty entries wait in vain for all upstreams at
// once, two of them for the same one, and eject upstreams that live. What was sent before
// flows moved is therefore no evidence, and an entry that said so takes it back.
func (e *Engine) noteAdoption(now time.Time) {
	if now.Sub(e.lastAdoption) < adoptionInterval {
		return
	}
	e.lastAdoption = now
	for _, h := range e.health {
		if !h.unansweredSince.IsZero() {
			h.unansweredSince, e.reportChanged = time.Time{}, true
		}
	}
}

// checkOpenings looks for openings that are unanswered for longer than usual. A request counts once
// its caller repeats it: one on a flow that its upstream has ended is refused towards the caller,
// past this entry, and looks unanswered here though the upstream is well.
func (e *Engine) checkOpenings(now time.Time) {
	if now.Sub(e.openingsChecked) < openingCheckInterval {
		return
	}
	e.openingsChecked = now
	var again []timeoutEntry
	for {
		x, due := e.patienceTimeouts.due(now, e.handshake.patience())
		if !due {
			break
		}
		f := e.flows[x.tuple]
		if f == nil || !f.opening || !f.lastSeen.Equal(x.since) {
			continue
		}
		h := e.health[f.key]
		if !e.behind(now) && !h.lastAlive.After(x.since) && !e.lastAdoption.After(x.since) {
			h.group.silence.unanswered(now, h, x.since)
		}
		if !e.noteUnanswered(now, h, x.since) {
			again = append(again, x)
		}
	}
	for _, x := range again {
		e.patienceTimeouts.add(x.tuple, x.since)
	}
}

// reportsSilence tells whether this entry still says that it waits for the upstream.
func (h *health) reportsSilence(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSeen) < unansweredTimeout
}

// silenceReport is what this entry says of the upstream.
func (h *health) silenceReport(now time.Time, named bool) stoatoutlier.Silence {
	var s stoatoutlier.Silence
	if h.reportsSilence(now) {
		s.Entries, s.First = 1, h.unansweredSince
	}
	if (named || s.Entries > 0) && now.Sub(h.lastAlive) < aliveReportWindow {
		s.Heard = h.lastAlive
	}
	return s
}

// TakeObserved tells whether what this entry says of upstreams changed since the last call.
func (e *Engine) TakeObserved() bool {
	changed := e.reportChanged
	e.reportChanged = false
	return changed
}

// Silent is an upstream that gets no flows for a while, since nobody in the data centre hears of it.
type Silent struct {
	Upstream *stoatroute.Upstream
	Entries  int // that wait for it
	Silence  time.Duration
	Waiting  int // requests from here that wait there
}

// JudgeSilence looks for upstreams that answer nobody, by what the entries of this data centre saw
// together, and returns those that are ejected now. What is not heard of within the delay did not
// happen. Upstreams of other data centres are judged too: while the own one is evacuated, all of its
// flows go there.
func (e *Engine) JudgeSilence(now time.Time, t *stoatroute.Table, delay time.Duration) []Silent {
	if len(e.dataCentreSums) == 0 {
		return nil
	}
	named := map[groupKey][]*stoatroute.Upstream{}
	for k, s := range e.dataCentreSums {
		if u := t.Upstream(k); s.Entries > 0 && u != nil && u.Opens() {
			key := groupKey{service: u.Service, centre: u.DataCentre}
			named[key] = append(named[key], u)
		}
	}
	var out []Silent
	for _, k := range slices.SortedFunc(maps.Keys(named), groupKey.compare) {
		out = append(out, e.ejectSilentInGroup(now, t, named[k], delay)...)
	}
	return out
}

// ejectSilentInGroup judges upstreams of one service in one data centre for which entries wait, those first for which
// most do.
func (e *Engine) ejectSilentInGroup(now time.Time, t *stoatroute.Table, named []*stoatroute.Upstream, delay time.Duration) []Silent {
	var out []Silent
	slices.SortFunc(named, func(a, b *stoatroute.Upstream) int {
		return cmp.Or(cmp.Compare(e.dataCentreSums[b.Key].Entries, e.dataCentreSums[a.Key].Entries), cmp.Compare(a.Key, b.Key))
	})
	quota := silentQuota{upstreams: len(t.Group(named[0].Service, named[0].DataCentre))}
	e.eachSeen(t, e.groupOf(named[0]), func(h *health) { quota.count(now, h) })
	for _, u := range named {
		h, s := e.healthOf(u), e.dataCentreSums[u.Key].Silence
		if s.Ended() {
			h.aliveElsewhere(s.Heard)
			continue
		}
		// What others waited for was the life before, or this entry knows better.
		if u.Renewed.After(s.First) || h.lastAlive.After(s.First) {
			continue
		}
		quota.deprioritize(now, h)
		if !h.isEjected(now) && s.Together(now) >= e.allowedSilence(now, u)+delay && quota.eject() {
			out = append(out, e.ejectJointly(now, u, h, s))
		}
	}
	return out
}

// silentQuota bounds how many upstreams of a group are avoided on the word of other entries: for
// each way a third, since the others would not bear the load of more, and one entry that is
// confused must not empty a service.
type silentQuota struct{ upstreams, deprioritized, ejected int }

func (q *silentQuota) count(now time.Time, h *health) {
	if now.Before(h.deprioritizedUntil) {
		q.deprioritized++
	}
	if h.jointlyEjected && h.isEjected(now) {
		q.ejected++
	}
}

// deprioritize has new flows deprioritize others, if there is room.
func (q *silentQuota) deprioritize(now time.Time, h *health) {
	if !now.Before(h.deprioritizedUntil) {
		if q.deprioritized >= q.upstreams/ejectableDivisor {
			return
		}
		q.deprioritized++
	}
	h.deprioritizedUntil = now.Add(deprioritizeTimeout)
}

// eject tells whether there is room for one more ejection, and takes it.
func (q *silentQuota) eject() bool {
	if q.ejected >= q.upstreams/ejectableDivisor {
		return false
	}
	q.ejected++
	return true
}

// ejectJointly keeps new flows from the upstream on what the data centre saw.
func (e *Engine) ejectJointly(now time.Time, u *stoatroute.Upstream, h *health, s stoatoutlier.Silence) Silent {
	h.eject(now)
	h.jointlyEjected = true
	e.stats.Ejected++
	e.stats.Together++
	return Silent{Upstream: u, Entries: s.Entries, Silence: s.Together(now), Waiting: h.pendingRequests}
}

// aliveElsewhere takes in that another entry had a sign of the upstream at that time. What this entry saw
// itself stays: the path from here may be the one that fails.
func (h *health) aliveElsewhere(heard time.Time) {
	if heard.After(h.unansweredSince) {
		h.unansweredSince = time.Time{}
	}
	h.deprioritizedUntil = time.Time{}
	if h.jointlyEjected {
		h.ejection, h.jointlyEjected = backoff{}, false
	}
}
