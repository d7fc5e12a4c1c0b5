package stoatecho

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Detection of silent upstreams by all entries of a data centre together.
//
// When a third of fifty upstreams fall silent, and forty entries each spread two flows and fifteen requests a
// second over all of them, one entry meets a silent upstream every few seconds. Each entry would find out
// separately, at the cost of its own callers, until the registrations expire seconds later. Together, the
// entries meet a silent upstream six times a second.
//
// So an entry that waits for an upstream in vain reports it. One such entry is reason to prefer other upstreams
// for new flows, which does no harm if it is wrong. Two such entries, with no sign of life at any entry since,
// are reason to eject the upstream. Open flows go on in both cases (see ended.go).
const (
	// unansweredTimeout is how long an unanswered packet is reported without further evidence: without new
	// flows to the upstream, no packet may come that shows it to be alive.
	unansweredTimeout = 2 * time.Second
	// openingCheckInterval bounds how often unanswered openings are checked: in a burst, an entry with a tenth
	// of a core has hundreds.
	openingCheckInterval = 10 * time.Millisecond
	// adoptionInterval bounds how often adopted flows are processed: thousands of flows move within a second.
	adoptionInterval = 20 * time.Millisecond
	// deprioritizeTimeout is how long new flows prefer other upstreams after the report of one entry, unless it is
	// repeated: several times as long as a report takes through the relay tree.
	deprioritizeTimeout = 400 * time.Millisecond
	// aliveReportWindow is how long a sign of life is reported if other entries wait for the upstream.
	aliveReportWindow = 4 * time.Second
)

// noteUnanswered records that a packet, sent at the given time, is unanswered for longer than usual. It returns
// false if the packet has to be checked again: while this entry's own network fails or the entry lags behind, it
// hears nothing from any upstream, and so reports nothing about this one.
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

// noteAdoption records a packet of a flow that another entry placed.
//
// When an entry joins or leaves, the fabric hands nearly all flows to other entries than before. Pending
// packets are then answered elsewhere: forty entries wait in vain for all upstreams at once, two of them for
// the same one, and would eject live upstreams. So packets that were sent before flows moved are no evidence,
// and an entry withdraws what it reported about them.
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

// checkOpenings looks for openings that are unanswered for longer than usual. A request counts only when its
// caller retransmits it: if the upstream has ended the flow, it refuses the request directly towards the
// caller, past this entry, and the request looks unanswered here though the upstream is healthy.
func (e *Engine) checkOpenings(now time.Time) {
	if now.Sub(e.openingsChecked) < openingCheckInterval {
		return
	}
	e.openingsChecked = now
	var again []timeoutItem
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

// reportsSilence reports whether this entry currently reports that the upstream is silent.
func (h *health) reportsSilence(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSeen) < unansweredTimeout
}

// silenceReport returns what this entry reports about the upstream's silence; suspect says that other entries
// have reported the upstream.
func (h *health) silenceReport(now time.Time, suspect bool) stoatoutlier.Silence {
	var s stoatoutlier.Silence
	if h.reportsSilence(now) {
		s.WaitingEntries, s.FirstWaitSince = 1, h.unansweredSince
	}
	if (suspect || s.WaitingEntries > 0) && now.Sub(h.lastAlive) < aliveReportWindow {
		s.LastHeard = h.lastAlive
	}
	return s
}

// TakeReportChange reports whether the result of Reports has changed, other than by counts, since the last call.
func (e *Engine) TakeReportChange() bool {
	changed := e.reportChanged
	e.reportChanged = false
	return changed
}

// SilentUpstream is an upstream that gets no flows for a while, since no entry of the data centre hears from it.
type SilentUpstream struct {
	Upstream        *stoatroute.Upstream
	WaitingEntries  int // entries that wait for it
	Silence         time.Duration
	PendingRequests int // requests of this entry that are pending there
}

// EjectSilent looks for upstreams that answer no entry, judging by the reports of all entries of this data
// centre, ejects them, and returns those that it ejected. A sign of life has to arrive within the delay to
// count. Upstreams of other data centres are considered too: while the local one is evacuated, all of its flows
// go there.
func (e *Engine) EjectSilent(now time.Time, t *stoatroute.Table, delay time.Duration) []SilentUpstream {
	if len(e.dataCentreSums) == 0 {
		return nil
	}
	silent := map[groupKey][]*stoatroute.Upstream{}
	for k, s := range e.dataCentreSums {
		if u := t.Upstream(k); s.WaitingEntries > 0 && u != nil && u.AcceptsFlows() {
			key := groupKey{service: u.Service, centre: u.DataCentre}
			silent[key] = append(silent[key], u)
		}
	}
	var out []SilentUpstream
	for _, k := range slices.SortedFunc(maps.Keys(silent), groupKey.compare) {
		out = append(out, e.ejectSilentInGroup(now, t, silent[k], delay)...)
	}
	return out
}

// ejectSilentInGroup ejects upstreams of one service in one data centre; silent has those that entries wait for,
// and is not empty. Those that most entries wait for come first.
func (e *Engine) ejectSilentInGroup(now time.Time, t *stoatroute.Table, silent []*stoatroute.Upstream, delay time.Duration) []SilentUpstream {
	var out []SilentUpstream
	slices.SortFunc(silent, func(a, b *stoatroute.Upstream) int {
		return cmp.Or(cmp.Compare(e.dataCentreSums[b.Key].WaitingEntries, e.dataCentreSums[a.Key].WaitingEntries), cmp.Compare(a.Key, b.Key))
	})
	quota := silentQuota{upstreams: len(t.CandidatesIn(silent[0].Service, silent[0].DataCentre))}
	e.eachSeen(t, e.groupOf(silent[0]), func(h *health) { quota.count(now, h) })
	for _, u := range silent {
		h, s := e.healthOf(u), e.dataCentreSums[u.Key].Silence
		if s.Ended() {
			h.aliveElsewhere(s.LastHeard)
			continue
		}
		// The upstream has restarted since, or this entry has had a more recent sign of life.
		if u.RestartedAt.After(s.FirstWaitSince) || h.lastAlive.After(s.FirstWaitSince) {
			continue
		}
		quota.deprioritize(now, h)
		if !h.isEjected(now) && s.SharedWait(now) >= e.allowedSilence(now, u)+delay && quota.eject() {
			out = append(out, e.ejectJointly(now, u, h, s))
		}
	}
	return out
}

// silentQuota bounds how many upstreams of a group are deprioritized or ejected on the reports of other
// entries: a third for each, since the others could not bear the load of more, and one faulty entry must not
// disable a service.
type silentQuota struct{ upstreams, deprioritized, ejected int }

func (q *silentQuota) count(now time.Time, h *health) {
	if now.Before(h.deprioritizedUntil) {
		q.deprioritized++
	}
	if h.jointlyEjected && h.isEjected(now) {
		q.ejected++
	}
}

// deprioritize has new flows prefer other upstreams, if the quota permits.
func (q *silentQuota) deprioritize(now time.Time, h *health) {
	if !now.Before(h.deprioritizedUntil) {
		if q.deprioritized >= q.upstreams/ejectableDivisor {
			return
		}
		q.deprioritized++
	}
	h.deprioritizedUntil = now.Add(deprioritizeTimeout)
}

// eject reports whether the quota permits one more ejection, and uses it.
func (q *silentQuota) eject() bool {
	if q.ejected >= q.upstreams/ejectableDivisor {
		return false
	}
	q.ejected++
	return true
}

// ejectJointly ejects the upstream on the reports of all entries of the data centre.
func (e *Engine) ejectJointly(now time.Time, u *stoatroute.Upstream, h *health, s stoatoutlier.Silence) SilentUpstream {
	h.eject(now)
	h.jointlyEjected = true
	e.stats.Ejected++
	e.stats.EjectedJointly++
	return SilentUpstream{Upstream: u, WaitingEntries: s.WaitingEntries, Silence: s.SharedWait(now), PendingRequests: h.pendingRequests}
}

// aliveElsewhere records that another entry had a sign of life of the upstream at the given time. Evidence of this
// entry alone stays: the path from here may be what fails.
func (h *health) aliveElsewhere(heard time.Time) {
	if heard.After(h.unansweredSince) {
		h.unansweredSince = time.Time{}
	}
	h.deprioritizedUntil = time.Time{}
	if h.jointlyEjected {
		h.ejection, h.jointlyEjected = backoff{}, false
	}
}
