package stoatflow

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	// silentRepeats and silentAfter tell a flow that something between its ends lost track
	// of from one with a bad moment: TCP repeats a segment about six times in 12 s.
	silentRepeats = 6
	silentAfter   = 10 * time.Second
	// ejectedRepeats and ejectedAfter apply once the upstream is known not to answer anyone.
	ejectedRepeats = 2
	ejectedAfter   = time.Second
	// probeSize is the payload of a keep-alive or window probe at most (RFC 9293, 3.8.4):
	// an idle flow repeats those for hours.
	probeSize = 1

	// unheardOpenings and unheardCallers are the evidence that an upstream is dead.
	unheardOpenings = 6
	unheardCallers  = 3
	ejectFor        = 10 * time.Second
	// ejectShare caps the ejected part of a set: a bad signal must not empty it.
	ejectShare = 3
)

// progress updates the flow's signs of life and tells whether it has gone silent.
//
// Answers do not pass this entry, so the only sign of a lost connection is a caller that
// repeats the same segment. A flow that is merely idle repeats nothing.
func (e *Engine) progress(p *place, sl *slot, f *flow) bool {
	pkt := p.in.Packet
	if f.flags&opening != 0 && !pkt.Opens {
		f.flags &^= opening
		p.sh.opening--
		sl.heard()
	}
	if !pkt.Opens && pkt.Size <= probeSize {
		return false
	}
	if pkt.Tuple.Protocol != tcp {
		f.flags &^= opening
		return false
	}
	if pkt.Seq != f.seq {
		f.seq = pkt.Seq
		f.repeats = 0
		f.stuck = p.tick
		return false
	}
	if f.repeats < ^uint8(0) {
		f.repeats++
	}
	if pkt.Opens {
		e.suspect(p, sl)
	}
	stuck := p.tick - f.stuck
	if sl.isEjected(p.tick) {
		return f.repeats >= ejectedRepeats && stuck >= ticks(ejectedAfter)
	}
	return f.repeats >= silentRepeats && stuck >= ticks(silentAfter)
}

// suspect counts a repeated opening against the upstream and ejects it when several
// flows of several callers went unanswered and none proceeded.
func (e *Engine) suspect(p *place, sl *slot) {
	src := p.in.Packet.Tuple.Src.Addr().As16()
	sl.callers.Or(1 << (xxhash.Sum64(src[:]) & 63))
	if sl.unheard.Add(1) < unheardOpenings || bits.OnesCount64(sl.callers.Load()) < unheardCallers {
		return
	}
	if e.ejectedIn(p.in.Service.Set, p.tick)*ejectShare >= len(p.in.Service.Set.Upstreams) {
		return
	}
	sl.ejected.Store(int64(p.tick + ticks(ejectFor)))
	sl.heard()
}

func (s *slot) heard() {
	s.unheard.Store(0)
	s.callers.Store(0)
}

func (s *slot) isEjected(now tick) bool { return s.ejected.Load() > int64(now) }

// ejectedIn counts the ejected upstreams, one more than there are, so that the cap holds after the next.
func (e *Engine) ejectedIn(set *stoatview.UpstreamSet, now tick) int {
	n := 1
	r := e.reg.Load()
	for _, u := range set.Upstreams {
		if sl, _ := r.find(u.Key); sl != nil && sl.isEjected(now) {
			n++
		}
	}
	return n
}
