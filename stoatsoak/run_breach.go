package stoatsoak

import (
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// injectBreach violates the guarantee that the configuration names, as a faulty entry would. It reports whether
// it consumed the packet, which is not forwarded then.
func (h *harness) injectBreach(f *flow, packet []byte) bool {
	var s platform.Segment
	if !platform.DecodeSegment(packet, &s) || h.now() < warmUp {
		return false
	}
	switch h.cfg.InjectBreach {
	case CorrectService:
		return f.tuple[1] == pledgeAddr && h.misdeliver(packet, func(u *upstream) bool { return u.service == "intake" })
	case CorrectAnswer:
		return h.alterRequestID(f, &s)
	case AtMostOnce:
		if f.tuple[1] == pledgeAddr && len(s.Data) > 0 {
			h.duplicateRequest(f, s)
		}
	case FlowSurvives:
		return len(s.Data) > 0 && h.resetFlow(&s)
	case NoFlowToLeaving:
		limit := h.cfg.Limits.ApplyDelay + h.cfg.Limits.Slack
		return s.Opens && f.tuple[1] == pledgeAddr && h.misdeliver(packet, func(u *upstream) bool { return u.leftAt > 0 && h.now()-u.leftAt > limit })
	case NoFlowToEvacuated:
		limit := h.cfg.Limits.ApplyDelay + h.cfg.Limits.Slack
		return s.Opens && f.tuple[1] == pledgeAddr && h.misdeliver(packet, func(u *upstream) bool {
			since := h.evacuatedSince(u.centre)
			return since > 0 && h.now()-since > limit && u.service == "app"
		})
	case ColdLimit:
		if s.Opens && f.tuple[1] == pledgeAddr {
			h.floodCold(s)
		}
	case AdmitsFlows:
		return s.Opens && f.entry != nil && h.resetFlow(&s)
	case ConfigApplied:
		return s.Opens && f.entry != nil && h.misdeliver(packet, func(u *upstream) bool { return u.service == "app" })
	case NotRun:
		if len(s.Data) > 0 {
			h.claimNotRun(&s)
		}
	case PromptRefusal:
		if s.Opens {
			h.after(h.cfg.Limits.Slack+firstRetransmitDelay+100*time.Millisecond, func() { h.resetFlow(&s) })
		}
		return s.Opens
	case Recovers:
		return s.Opens
	case EntryRuns:
		h.entries[0].signal(syscall.SIGKILL, false)
	}
	return false
}

// misdeliver sends a packet to the first upstream that matches, regardless of the packet's route. It reports
// whether one matched.
func (h *harness) misdeliver(packet []byte, matches func(u *upstream) bool) bool {
	for _, u := range h.listUpstreams() {
		u.mu.Lock()
		ok := matches(u)
		u.mu.Unlock()
		if ok {
			h.sendToUpstream(u, packet)
			return true
		}
	}
	return false
}

// floodCold opens many flows to a cold upstream.
func (h *harness) floodCold(s platform.Segment) {
	for n := range uint16(20) {
		opening := platform.Segment{Src: netip.AddrPortFrom(s.Src.Addr(), 60000+n), Dst: s.Dst, Opens: true, Seq: s.Seq}
		h.misdeliver(platform.AppendSegment(nil, &opening), func(u *upstream) bool { return u.coldUntil > 0 })
	}
}

func (h *harness) sendToUpstream(u *upstream, packet []byte) {
	_, _ = h.entries[0].conn.WriteToUDPAddrPort(append(make([]byte, platform.TargetSize), packet...), u.addr)
}

// alterRequestID forwards a request with another ID. It reports whether it did.
func (h *harness) alterRequestID(f *flow, s *platform.Segment) bool {
	if len(s.Data) == 0 {
		return false
	}
	s.Data = []byte("x" + strings.TrimSuffix(string(s.Data), "x"))
	e := h.chooseEntry(f)
	if e == nil {
		return false
	}
	_, _ = e.conn.WriteToUDPAddrPort(platform.AppendSegment(nil, s), e.at(h.port))
	return true
}

// resetFlow resets a flow at its caller, as an entry would.
func (h *harness) resetFlow(s *platform.Segment) bool {
	reset := platform.AppendSegment(nil, &platform.Segment{Src: s.Dst, Dst: s.Src, Resets: true, Seq: s.Ack})
	clear(reset[len(reset)-4:]) // The resets of an entry have no checksum.
	_, _ = h.entries[0].conn.WriteToUDPAddrPort(reset, netip.AddrPortFrom(s.Src.Addr(), h.port))
	return true
}

// claimNotRun sends the caller of a request an answer that the request was not run, before the upstream's answer.
func (h *harness) claimNotRun(s *platform.Segment) {
	id, _, _ := strings.Cut(string(s.Data), " ")
	answer := platform.Segment{Src: s.Dst, Dst: s.Src, Acks: true, Seq: s.Ack, Ack: s.Seq + partSize, Data: []byte(id + " " + notRunAnswer)}
	_, _ = h.entries[0].conn.WriteToUDPAddrPort(platform.AppendSegment(nil, &answer), netip.AddrPortFrom(s.Src.Addr(), h.port))
}

// duplicateRequest has a second upstream run the request too.
func (h *harness) duplicateRequest(f *flow, s platform.Segment) {
	for _, u := range h.listUpstreams() {
		u.mu.Lock()
		other := u.service == "app" && u.flows[f.tuple[0]] == nil
		u.mu.Unlock()
		if !other {
			continue
		}
		h.sendToUpstream(u, platform.AppendSegment(nil, &platform.Segment{Src: s.Src, Dst: s.Dst, Opens: true, Seq: s.Seq - 1}))
		h.after(20*time.Millisecond, func() {
			u.mu.Lock()
			duplicate := u.flows[f.tuple[0]]
			u.mu.Unlock()
			if duplicate != nil {
				s.Ack = duplicate.seq + 1
				h.sendToUpstream(u, platform.AppendSegment(nil, &s))
			}
		})
		return
	}
}
