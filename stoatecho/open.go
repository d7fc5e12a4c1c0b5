package stoatecho

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// open places a new flow, or handles a retransmitted opening.
func (e *Engine) open(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet, came arrival) Action {
	a := Action{Verdict: Forward, Opened: true}
	var except stoatpaddle.UpstreamKey
	if f := e.flows[p.Tuple]; f != nil && f.opening && p.Retransmits > 0 {
		u := t.Upstream(f.key)
		if e.keepsUpstream(now, t, r, u, f, &a) {
			return Action{Verdict: Forward, Upstream: u}
		}
		except, a.Moved = f.key, true
	}
	e.forget(p.Tuple)
	if p.Retransmits == 0 {
		except = e.lastRefusedBy(now, p)
	}
	u, admitted, excluded := e.choose(now, t, r, except, a.Moved)
	if a.Upstream = u; u == nil {
		a.Excluded = excluded
		if parts := partsOfRefusal(&excluded); !verified(t, parts, came) {
			return hold(a, stoatpacket.DropNoUpstream, parts)
		}
		return e.refuse(a, stoatpacket.DropNoUpstream)
	}
	h := e.healthOf(u)
	a.noteLoad(now, r, h)
	a.Priority, a.Admission = r.Priority, e.decideByLevel(now, r, h.group, p, admitted)
	h.group.noteAdmission(a.Admission.Admitted)
	if other := e.spill(now, t, r, u, p, except, !a.Admission.Admitted); other != nil {
		a.Upstream, a.Spilled, h = other, true, e.healthOf(other)
		a.noteLoad(now, r, h)
	} else if !a.Admission.Admitted {
		return e.refuse(a, refusals[a.Admission.Reason])
	}
	a.Moved = a.Moved && a.Upstream.Key != except
	if a.Moved {
		e.stats.Moved++
	}
	e.stats.Opened++
	h.lastPlaced = now
	if h.suspected() {
		h.group.nextTrial = now.Add(trialInterval/2 + time.Duration(e.rnd.Int64N(int64(trialInterval))))
	}
	h.group.requestsPerFlow.flowOpened(now)
	if len(e.flows) < e.cfg.MaxFlows {
		h.openingStarted(now)
		e.flows[p.Tuple] = &flow{key: a.Upstream.Key, lastSeen: now, opening: true, firstRequest: true}
		e.openingTimeouts.add(p.Tuple, now)
		e.patienceTimeouts.add(p.Tuple, now)
		e.lastOpenings[callerOf(p)] = p.Tuple
	}
	return a
}

// partsOfRefusal returns the parts of the state on which the refusal of an opening without an upstream depends.
func partsOfRefusal(excluded *Excluded) stoatroute.Parts {
	parts := stoatroute.PartRoutes | stoatroute.PartUpstreams
	if excluded[stoatfilter.Evacuated] > 0 {
		parts |= stoatroute.PartEvacuations
	}
	return parts.OfReplica()
}

// noteLoad records what is known of the upstream of an opening.
func (a *Action) noteLoad(now time.Time, r *stoatroute.Route, h *health) {
	a.InProgress, a.ExpectedAnswer, a.AnswerBound = h.pendingRequests+h.pendingOpenings, expectedAnswer(now, h), admitBound(h, r)
}

// refuse turns the action for an opening into a refusal. The other fields of a, such as Ejected, are kept.
func (e *Engine) refuse(a Action, reason stoatpacket.DropReason) Action {
	e.stats.Refused++
	a.Verdict, a.Reason, a.Opened, a.Moved = Reset, reason, false, false
	return a
}

// callerKey identifies a caller's address at one address of the service.
type callerKey struct {
	caller  netip.Addr
	service netip.AddrPort
}

func callerOf(p *stoatpacket.Packet) callerKey {
	return callerKey{caller: p.Tuple.Src.Addr(), service: p.Tuple.Dst}
}

// lastRefusedBy returns the upstream that the last opening from the caller's address went to, if nothing followed
// that opening for most of the time that a handshake takes. The upstream may have refused the caller, which has
// few tries left. Other callers behind the same address lose nothing by another choice.
func (e *Engine) lastRefusedBy(now time.Time, p *stoatpacket.Packet) stoatpaddle.UpstreamKey {
	f := e.flows[e.lastOpenings[callerOf(p)]]
	if f == nil || !f.opening || e.handshake.mean == 0 || now.Sub(f.lastSeen) < e.handshake.mean*3/4 {
		return 0
	}
	return f.key
}

// keepsUpstream reports whether a retransmitted opening goes to the same upstream as before. If that upstream has
// given a sign of life since, only the packet was lost. Sent to another upstream, the flow would be open twice, and
// the caller's packets would carry either cookie.
func (e *Engine) keepsUpstream(now time.Time, t *stoatroute.Table, r *stoatroute.Route, u *stoatroute.Upstream, f *flow, a *Action) bool {
	if u == nil || !u.AcceptsFlows() || e.filter.CheckPolicy(t, r, u) != stoatfilter.Eligible {
		return false
	}
	if now.Sub(f.lastSeen) < minRetransmitInterval {
		return true
	}
	h := e.healthOf(u)
	e.noteRetransmission(now, u, h, a)
	return h.lastAlive.After(f.lastSeen) && !h.isEjected(now)
}

// noteRetransmission takes a retransmitted packet as evidence against its upstream, and ejects the upstream if the
// evidence suffices.
func (e *Engine) noteRetransmission(now time.Time, u *stoatroute.Upstream, h *health, a *Action) {
	silence := h.silence(now)
	if e.isLocalFault(now, h, silence) {
		return
	}
	if h.noteRetransmission(now, e.allowedSilence(now, u)) {
		a.Ejected, a.Silence, a.PendingRequests = u, silence, h.pendingRequests
		e.stats.Ejected++
	}
}
