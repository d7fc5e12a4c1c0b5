package stoatrelay

import (
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// placeError reports a name that a body does not have.
type placeError struct{ place int }

// Error says that there is none.
func (e *placeError) Error() string { return "no name has the place that a parent's message names" }

// body reads a Body; the first fault stays in err.
type bodyReader struct {
	names []string
	err   error
}

func (r *bodyReader) fail(what string, cause error) {
	if r.err == nil {
		r.err = &stoatpaddle.DecodeError{What: "a parent's " + what, Cause: cause}
	}
}

func (r *bodyReader) name(place int) string {
	if place < 0 || place >= len(r.names) {
		r.fail("name", &placeError{place: place})
		return ""
	}
	return r.names[place]
}

func (r *bodyReader) addr(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		r.fail("address", err)
	}
	return a
}

// Message is what a parent says at once.
type Message struct {
	Path     []netip.AddrPort // from a reader to the parent
	Position stoatpaddle.Position
	Era      stoatpaddle.Era // of all revisions in it; 0: not said
	Age      time.Duration   // of what it believes; negative: it was never known to be up to date
	Full     bool            // all upstreams there are; otherwise those that changed
	Delta    *Delta          // of the declaration; nil: it did not change

	Upstreams   []stoatroute.RemoteUpstream
	Evacuations []stoatpaddle.Evacuation
}

// Read reads one message; there is no Body if nothing changed.
func Read(dec *msgpack.Decoder) (*Head, *Body, error) {
	h := &Head{}
	if err := dec.Decode(h); err != nil || !h.HasBody {
		return h, nil, err
	}
	w := &Body{}
	return h, w, dec.Decode(w)
}

// Decode maps a parent's message, or returns *stoatpaddle.DecodeError.
func Decode(h *Head, w *Body) (Message, error) {
	x := Message{
		Position: stoatpaddle.Position{Era: stoatpaddle.Era(h.PositionEra), Revision: stoatpaddle.Version(h.PositionRevision)},
		Era:      stoatpaddle.Era(h.BodyEra), Age: time.Duration(h.AgeMS) * time.Millisecond,
	}
	var err error
	if x.Path, err = ParseAddrs(h.Path); err != nil || w == nil {
		return x, err
	}
	x.Full = w.Full
	r := &bodyReader{names: w.Names}
	if w.Declaration != nil {
		x.Delta = r.declaration(w.Declaration)
	}
	for i := range w.Upstreams {
		x.Upstreams = append(x.Upstreams, r.held(&w.Upstreams[i]))
	}
	for _, ev := range w.Evacuations {
		x.Evacuations = append(x.Evacuations, stoatpaddle.Evacuation{
			DataCentre: stoatpaddle.DataCentreID(r.name(ev.Centre)), Revision: stoatpaddle.Version(ev.Revision), Withdrawn: ev.Withdrawn,
		})
	}
	if r.err != nil {
		return Message{}, r.err
	}
	return x, nil
}

func (r *bodyReader) held(u *wireHeld) stoatroute.RemoteUpstream {
	if u.Standing > uint8(stoatroute.Gone) {
		r.fail("standing of "+u.ID, nil)
	}
	return stoatroute.RemoteUpstream{
		Revision: stoatpaddle.Version(u.Revision), State: stoatroute.State(u.Standing),
		Registration: stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(u.ID), Target: stoatpaddle.TargetID(u.Target), Service: stoatpaddle.ServiceID(r.name(u.Service)),
			DataCentre: stoatpaddle.DataCentreID(r.name(u.Centre)), Addr: r.addr(u.Addr), Slots: u.Slots, Leaving: u.Leaving,
			CreateRevision: stoatpaddle.Version(u.Created), ColdRemaining: time.Duration(u.ColdMS) * time.Millisecond,
			Incarnation: stoatpaddle.Incarnation(u.Life),
		},
	}
}

func (r *bodyReader) declaration(w *wireConfig) *Delta {
	a := &Delta{
		Revision: stoatpaddle.Version(w.Revision), Base: stoatpaddle.Version(w.Base),
		Declaration: stoatpaddle.Declaration{
			Version: stoatpaddle.Version(w.Version), MaxFlows: make(map[stoatpaddle.ServiceID]int, len(w.Caps)),
			IdleTimeout: time.Duration(w.IdleMS) * time.Millisecond, Routes: make([]stoatpaddle.Route, 0, len(w.Routes)),
		},
	}
	for _, c := range w.Caps {
		service := stoatpaddle.ServiceID(r.name(c.Service))
		a.Declaration.MaxFlows[service] = c.Flows
		a.Declaration.SetColdRate(service, c.Cold)
	}
	for _, b := range w.Removed {
		a.removed = append(a.removed, r.addr(b))
	}
	for i := range w.Routes {
		x := &w.Routes[i]
		route := stoatpaddle.Route{
			Listen: r.addr(x.Listen), Idempotent: x.Repeat, Priority: x.Priority, TargetLatency: time.Duration(x.AimMS) * time.Millisecond,
		}
		for _, place := range x.Regions {
			route.Regions = append(route.Regions, stoatpaddle.RegionID(r.name(place)))
		}
		for _, b := range x.Backends {
			route.Backends = append(route.Backends, stoatpaddle.Backend{Service: stoatpaddle.ServiceID(r.name(b.Service)), Weight: stoatpaddle.Weight(b.Weight)})
		}
		for _, place := range x.Earlier {
			route.FormerServices = append(route.FormerServices, stoatpaddle.ServiceID(r.name(place)))
		}
		a.Declaration.Routes = append(a.Declaration.Routes, route)
	}
	return a
}

// ParseAddrs reads addresses of entries, or returns *stoatpaddle.DecodeError.
func ParseAddrs(list []string) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, len(list))
	for _, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, &stoatpaddle.DecodeError{What: "an entry's address", Cause: err}
		}
		out = append(out, a)
	}
	return out, nil
}

// FormatAddrs returns addresses as text.
func FormatAddrs(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}
