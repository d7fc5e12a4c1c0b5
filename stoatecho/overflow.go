package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// overflow returns an upstream for an opening that the service picked by weight refuses: one of another backend of the
// route that has room, or nil.
//
// Weights divide the work between backends. They do not ask for a caller to be refused while a backend that the route
// may use has idle slots. The callers of that backend come first: it takes such openings only while it rejects next to
// nothing and limits no level, and counts them as arrivals.
func (e *Engine) overflow(now time.Time, t *stoatroute.Table, r *stoatroute.Route, refusing stoatpaddle.ServiceID, p *stoatpacket.Packet) *stoatroute.Upstream {
	for _, b := range r.Backends {
		if b.Service == refusing || b.Weight == 0 {
			continue
		}
		u, inTime, _ := e.choose(now, t, r, b.Service, 0, false)
		if u == nil || !inTime {
			continue
		}
		g := e.groupOf(u)
		if !g.limiter.HasRoom(now) {
			continue
		}
		d := g.limiter.Decide(now, stoatadmission.Opening{Priority: r.Priority, Route: r.Listen, Caller: p.Tuple.Src.Addr(), Away: true})
		if d.Admitted {
			return u
		}
	}
	return nil
}
