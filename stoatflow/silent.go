package stoatflow

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	// silentRepeats and silentAfter distinguish a flow whose state was lost by a device on its path from
	// one with a short disruption. TCP repeats a segment about six times in 12 s.
	silentRepeats = 6
	silentAfter   = 10 * time.Second
	// ejectedRepeats and ejectedAfter apply while the upstream is ejected, since it is known to answer no
	// caller.
	ejectedRepeats = 2
	ejectedAfter   = time.Second
	// maxProbeSize is the largest payload of a keep-alive or window probe (RFC 9293, 3.8.4). An idle flow
	// repeats those for hours.
	maxProbeSize = 1

	// ejectOpenings and ejectCallers are the numbers of repeated opening packets and of callers that sent
	// them at which an upstream counts as dead.
	ejectOpenings = 6
	ejectCallers  = 3
	ejectDuration = 10 * time.Second
	// ejectDivisor limits the ejected upstreams to less than 1/ejectDivisor of a set, so that a wrong
	// signal cannot empty the set.
	ejectDivisor = 3
)

// updateProgress updates the flow's retransmission counters with the packet and reports whether the flow
// has gone silent.
//
// Answers do not pass through this entry, so the only sign of a lost connection is a caller that repeats
// the same segment. A flow that is merely idle repeats nothing.
func (e *Engine) updateProgress(p *packetDecision, sl *slot, f *flow) bool {
	pkt := p.in.Packet
	if f.flags&opening != 0 && !pkt.Opens {
		f.flags &^= opening
		p.sh.openingCount--
		sl.clearUnanswered()
	}
	if !pkt.Opens && pkt.Size <= maxProbeSize {
		return false
	}
	if pkt.Tuple.Protocol != tcp {
		f.flags &^= opening
		return false
	}
	if pkt.Seq != f.seq {
		f.seq = pkt.Seq
		f.repeats = 0
		f.stuckSince = p.tick
		return false
	}
	if f.repeats < ^uint8(0) {
		f.repeats++
	}
	if pkt.Opens {
		e.countUnanswered(p, sl)
	}
	stuck := p.tick - f.stuckSince
	if sl.isEjected(p.tick) {
		return f.repeats >= ejectedRepeats && stuck >= ticks(ejectedAfter)
	}
	return f.repeats >= silentRepeats && stuck >= ticks(silentAfter)
}

// countUnanswered counts a repeated opening packet against the upstream. It ejects the upstream when
// several flows of several callers went unanswered and none proceeded.
func (e *Engine) countUnanswered(p *packetDecision, sl *slot) {
	src := p.in.Packet.Tuple.Src.Addr().As16()
	sl.callers.Or(1 << (xxhash.Sum64(src[:]) & 63))
	if sl.unanswered.Add(1) < ejectOpenings || bits.OnesCount64(sl.callers.Load()) < ejectCallers {
		return
	}
	if e.ejectedWithNext(p.in.Service.Set, p.tick)*ejectDivisor >= len(p.in.Service.Set.Upstreams) {
		return
	}
	sl.ejectedUntil.Store(int64(p.tick + ticks(ejectDuration)))
	sl.clearUnanswered()
}

func (s *slot) clearUnanswered() {
	s.unanswered.Store(0)
	s.callers.Store(0)
}

func (s *slot) isEjected(now tick) bool { return s.ejectedUntil.Load() > int64(now) }

// ejectedWithNext returns the number of ejected upstreams in the set plus one, for the upstream that is about
// to be ejected, so that the limit holds after its ejection.
func (e *Engine) ejectedWithNext(set *stoatview.UpstreamSet, now tick) int {
	n := 1
	r := e.reg.Load()
	for _, u := range set.Upstreams {
		if sl, _ := r.find(u.Key); sl != nil && sl.isEjected(now) {
			n++
		}
	}
	return n
}
