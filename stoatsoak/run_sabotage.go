package stoatsoak

import (
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// sabotage breaks one promise, as a broken entry would, and tells whether the packet is dealt with.
func (w *world) sabotage(f *flow, packet []byte) bool {
	var s platform.Segment
	if !platform.DecodeSegment(packet, &s) || w.now() < warmUp {
		return false
	}
	switch w.cfg.InjectBreach {
	case CorrectService:
		return f.tuple[1] == pledgeAddr && w.misdeliver(packet, func(u *upstream) bool { return u.service == "intake" })
	case CorrectAnswer:
		return w.alter(f, &s)
	case AtMostOnce:
		if f.tuple[1] == pledgeAddr && len(s.Data) > 0 {
			w.repeatElsewhere(f, s)
		}
	case FlowSurvives:
		return len(s.Data) > 0 && w.resetFlow(&s)
	case NoFlowToLeaving:
		late := w.cfg.Limits.ApplyDelay + w.cfg.Limits.Slack
		return s.Opens && f.tuple[1] == pledgeAddr && w.misdeliver(packet, func(u *upstream) bool { return u.left > 0 && w.now()-u.left > late })
	case NoFlowToEvacuated:
		late := w.cfg.Limits.ApplyDelay + w.cfg.Limits.Slack
		return s.Opens && f.tuple[1] == pledgeAddr && w.misdeliver(packet, func(u *upstream) bool {
			since := w.evacuatedSince(u.centre)
			return since > 0 && w.now()-since > late && u.service == "app"
		})
	case ColdLimit:
		if s.Opens && f.tuple[1] == pledgeAddr {
			w.overrun(s)
		}
	case AdmitsFlows:
		return s.Opens && f.entry != nil && w.resetFlow(&s)
	case ConfigApplied:
		return s.Opens && f.entry != nil && w.misdeliver(packet, func(u *upstream) bool { return u.service == "app" })
	case Recovers:
		return s.Opens
	case EntryRuns:
		w.entries[0].signal(syscall.SIGKILL, false)
	}
	return false
}

// misdeliver gives a packet to an upstream, whatever its route.
func (w *world) misdeliver(packet []byte, fits func(u *upstream) bool) bool {
	for _, u := range w.living() {
		u.mu.Lock()
		ok := fits(u)
		u.mu.Unlock()
		if ok {
			w.toUpstream(u, packet)
			return true
		}
	}
	return false
}

// overrun opens many flows at an upstream that is cold.
func (w *world) overrun(s platform.Segment) {
	for n := range uint16(20) {
		opening := platform.Segment{Src: netip.AddrPortFrom(s.Src.Addr(), 60000+n), Dst: s.Dst, Opens: true, Seq: s.Seq}
		w.misdeliver(platform.AppendSegment(nil, &opening), func(u *upstream) bool { return u.warm > 0 })
	}
}

func (w *world) toUpstream(u *upstream, packet []byte) {
	_, _ = w.entries[0].conn.WriteToUDPAddrPort(append(make([]byte, platform.TargetSize), packet...), u.addr)
}

// alter changes the id of a request.
func (w *world) alter(f *flow, s *platform.Segment) bool {
	if len(s.Data) == 0 {
		return false
	}
	s.Data = []byte("x" + strings.TrimSuffix(string(s.Data), "x"))
	e := w.choose(f)
	if e == nil {
		return false
	}
	_, _ = e.conn.WriteToUDPAddrPort(platform.AppendSegment(nil, s), e.at(w.port))
	return true
}

// resetFlow resets a flow as an entry does.
func (w *world) resetFlow(s *platform.Segment) bool {
	reset := platform.AppendSegment(nil, &platform.Segment{Src: s.Dst, Dst: s.Src, Resets: true, Seq: s.Ack})
	clear(reset[len(reset)-4:]) // an entry's resets have no checksum
	_, _ = w.entries[0].conn.WriteToUDPAddrPort(reset, netip.AddrPortFrom(s.Src.Addr(), w.port))
	return true
}

// repeatElsewhere runs a request at a second upstream too.
func (w *world) repeatElsewhere(f *flow, s platform.Segment) {
	for _, u := range w.living() {
		u.mu.Lock()
		other := u.service == "app" && u.flows[f.tuple[0]] == nil
		u.mu.Unlock()
		if !other {
			continue
		}
		w.toUpstream(u, platform.AppendSegment(nil, &platform.Segment{Src: s.Src, Dst: s.Dst, Opens: true, Seq: s.Seq - 1}))
		w.after(20*time.Millisecond, func() {
			u.mu.Lock()
			held := u.flows[f.tuple[0]]
			u.mu.Unlock()
			if held != nil {
				s.Ack = held.isn + 1
				w.toUpstream(u, platform.AppendSegment(nil, &s))
			}
		})
		return
	}
}
