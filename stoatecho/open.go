package stoatecho

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// open places a new flow, or a copy of its opening.
func (e *Engine) open(now time.Time, t *stoatroute.Table, r *stoatroute.Route, p *stoatpacket.Packet) Action {
	a := Action{Verdict: Forward, Opened: true}
	var except stoatpaddle.UpstreamKey
	if f := e.flows[p.Tuple]; f != nil && f.opening && p.Retransmits > 0 {
		u := t.Upstream(f.key)
		if e.sameAgain(now, t, r, u, f, &a) {
			return Action{Verdict: Forward, Upstream: u}
		}
		except, a.Moved = f.key, true
	}
	e.forget(p.Tuple)
	if p.Retransmits == 0 {
		except = e.refusedBefore(now, p)
	}
	u, admitted, excluded := e.choose(now, t, r, except, a.Moved)
	if a.Upstream = u; u == nil {
		a.Excluded = excluded
		return e.refuse(a, stoatpacket.DropNoUpstream)
	}
	h := e.healthOf(u)
	a.InProgress, a.ExpectedAnswer, a.AnswerBound = h.busy+h.opening, expectedAnswer(now, h), admitBound(h, r)
	h.group.decided(admitted)
	if !admitted {
		return e.refuse(a, stoatpacket.DropOverload)
	}
	if e.yields(r, h.group) {
		a.RejectedShare = h.group.turnedAway
		return e.refuse(a, stoatpacket.DropOverload)
	}
	a.Moved = a.Moved && a.Upstream.Key != except
	if a.Moved {
		e.stats.Moved++
	}
	e.stats.Opened++
	h.taken = now
	if h.suspected() {
		h.group.nextTrial = now.Add(trialEvery/2 + time.Duration(e.rnd.Int64N(int64(trialEvery))))
	}
	h.group.load.opened(now)
	if len(e.flows) < e.cfg.MaxFlows {
		h.opened(now)
		e.flows[p.Tuple] = &flow{key: a.Upstream.Key, seen: now, opening: true}
		e.openings.add(p.Tuple, now)
		e.waitOpenings.add(p.Tuple, now)
		e.last[callerOf(p)] = p.Tuple
	}
	return a
}

// refuse turns an opening away; what its packet proved about other flows stays in a.
func (e *Engine) refuse(a Action, reason stoatpacket.DropReason) Action {
	e.stats.Refused++
	a.Verdict, a.Reason, a.Opened, a.Moved = Reset, reason, false, false
	return a
}

// callerKey is a caller at one address of the service.
type callerKey struct {
	caller  netip.Addr
	service netip.AddrPort
}

func callerOf(p *stoatpacket.Packet) callerKey {
	return callerKey{caller: p.Tuple.Src.Addr(), service: p.Tuple.Dst}
}

// refusedBefore returns the upstream that this caller's last opening went to, if nothing
// came of it by now although a handshake takes no longer: it may have been refused, and the
// caller has few tries. Others behind the same address lose nothing by another choice.
func (e *Engine) refusedBefore(now time.Time, p *stoatpacket.Packet) stoatpaddle.UpstreamKey {
	f := e.flows[e.last[callerOf(p)]]
	if f == nil || !f.opening || e.handshake.mean == 0 || now.Sub(f.seen) < e.handshake.mean*3/4 {
		return 0
	}
	return f.key
}

// sameAgain tells whether the copy of an opening goes where the one before went. A sign of
// life since then says that the packet was lost, not the upstream: at another one the flow
// would be open twice, and the caller's packets would bring either cookie.
func (e *Engine) sameAgain(now time.Time, t *stoatroute.Table, r *stoatroute.Route, u *stoatroute.Upstream, f *flow, a *Action) bool {
	if u == nil || !u.AcceptsFlows() || e.filter.CheckPolicy(t, r, u) != stoatfilter.Eligible {
		return false
	}
	if now.Sub(f.seen) < repeatLeast {
		return true
	}
	h := e.healthOf(u)
	e.suspect(now, u, h, a)
	return h.sign.After(f.seen) && !h.isEjected(now)
}

// suspect takes a repeated packet as evidence against its upstream, which may get no new flows for it.
func (e *Engine) suspect(now time.Time, u *stoatroute.Upstream, h *health, a *Action) {
	silence := h.silence(now)
	if e.ownTrouble(now, h, silence) {
		return
	}
	if h.repeated(now, e.silenceOf(now, u)) {
		a.Ejected, a.Silence, a.PendingRequests = u, silence, h.busy
		e.stats.Ejected++
	}
}
