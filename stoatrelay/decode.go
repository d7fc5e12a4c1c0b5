package stoatrelay

import (
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// indexError reports an index beyond the names of a body.
type indexError struct{ index int }

func (e *indexError) Error() string { return "name index is out of range in a parent's message" }

// bodyReader converts the fields of a Body; err keeps the first fault.
type bodyReader struct {
	names []string
	err   error
}

func (r *bodyReader) fail(what string, cause error) {
	if r.err == nil {
		r.err = &stoatpaddle.DecodeError{What: "a parent's " + what, Cause: cause}
	}
}

func (r *bodyReader) name(index int) string {
	if index < 0 || index >= len(r.names) {
		r.fail("name", &indexError{index: index})
		return ""
	}
	return r.names[index]
}

func (r *bodyReader) addr(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		r.fail("address", err)
	}
	return a
}

// Message is one decoded message from a parent.
type Message struct {
	Path     []netip.AddrPort     // from an entry that reads the platform to the parent
	Position stoatpaddle.Position // up to which the parent knows everything
	Leads    []uint64             // see Head.Leads
	Era      stoatpaddle.Era      // of all revisions in the message; 0: not known
	Age      time.Duration        // of the parent's knowledge; negative: it was never known to be up to date
	Full     bool                 // Upstreams has all upstreams; otherwise only those that changed
	Delta    *Delta               // of the declaration; nil: it did not change

	Upstreams   []stoatroute.RemoteUpstream
	Evacuations []stoatpaddle.Evacuation
	// Unreadable has the upstreams of which little more than the id can be read.
	Unreadable []UnreadableUpstream
	// Skipped counts upstreams and evacuations of which nothing can be read.
	Skipped int
}

// UnreadableUpstream is an upstream in a message of which little more than the id can be read.
type UnreadableUpstream struct {
	ID       stoatpaddle.UpstreamID
	Target   stoatpaddle.TargetID
	Revision stoatpaddle.Version // of the registration
	Cause    error
}

// Read reads one message. The Body is nil if nothing changed.
func Read(dec *msgpack.Decoder) (*Head, *Body, error) {
	head := &Head{}
	if err := dec.Decode(head); err != nil || !head.HasBody {
		return head, nil, err
	}
	body := &Body{}
	return head, body, dec.Decode(body)
}

// Decode converts a parent's message, or returns *stoatpaddle.DecodeError.
func Decode(head *Head, body *Body) (Message, error) {
	m := Message{
		Position: stoatpaddle.Position{Era: stoatpaddle.Era(head.PositionEra), Revision: stoatpaddle.Version(head.PositionRevision)}, Leads: head.Leads,
		Era: stoatpaddle.Era(head.BodyEra), Age: time.Duration(head.AgeMS) * time.Millisecond,
	}
	var err error
	if m.Path, err = ParseAddrs(head.Path); err != nil || body == nil {
		return m, err
	}
	m.Full, m.Skipped = body.Full, body.skipped
	if body.Declaration != nil {
		// A part of a declaration would end the flows of the routes that it lacks.
		r := &bodyReader{names: body.Names}
		if m.Delta = r.declaration(body.Declaration); r.err != nil {
			return Message{}, r.err
		}
	}
	for i := range body.Upstreams {
		w := &body.Upstreams[i]
		r := &bodyReader{names: body.Names}
		switch u := r.upstream(w); {
		case r.err == nil:
			m.Upstreams = append(m.Upstreams, u)
		case w.ID != "":
			m.Unreadable = append(m.Unreadable, UnreadableUpstream{ID: u.ID, Target: u.Target, Revision: u.Revision, Cause: r.err})
		default:
			m.Skipped++
		}
	}
	for _, ev := range body.Evacuations {
		r := &bodyReader{names: body.Names}
		centre := stoatpaddle.DataCentreID(r.name(ev.Centre))
		if r.err != nil {
			m.Skipped++
			continue
		}
		m.Evacuations = append(m.Evacuations, stoatpaddle.Evacuation{DataCentre: centre, Revision: stoatpaddle.Version(ev.Revision), Withdrawn: ev.Withdrawn})
	}
	return m, nil
}

func (r *bodyReader) upstream(u *wireHeld) stoatroute.RemoteUpstream {
	if u.State > uint8(stoatroute.Gone) {
		r.fail("state of "+u.ID, nil)
	}
	return stoatroute.RemoteUpstream{
		Revision: stoatpaddle.Version(u.Revision), State: stoatroute.State(u.State),
		Registration: stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(u.ID), Target: stoatpaddle.TargetID(u.Target), Service: stoatpaddle.ServiceID(r.name(u.Service)),
			DataCentre: stoatpaddle.DataCentreID(r.name(u.Centre)), Addr: r.addr(u.Addr), Slots: u.Slots, Leaving: u.Leaving,
			CreateRevision: stoatpaddle.Version(u.CreateRevision), ColdRemaining: time.Duration(u.ColdMS) * time.Millisecond,
			Incarnation: stoatpaddle.Incarnation(u.Incarnation),
		},
	}
}

func (r *bodyReader) declaration(w *wireConfig) *Delta {
	delta := &Delta{
		Revision: stoatpaddle.Version(w.Revision), Base: stoatpaddle.Version(w.Base),
		Declaration: stoatpaddle.Declaration{
			Version: stoatpaddle.Version(w.Version), MaxFlows: make(map[stoatpaddle.ServiceID]int, len(w.Limits)),
			IdleTimeout: time.Duration(w.IdleMS) * time.Millisecond, Routes: make([]stoatpaddle.Route, 0, len(w.Routes)),
		},
	}
	for _, c := range w.Limits {
		service := stoatpaddle.ServiceID(r.name(c.Service))
		delta.Declaration.MaxFlows[service] = c.MaxFlows
		delta.Declaration.SetColdRate(service, c.ColdRate)
	}
	for _, b := range w.Removed {
		delta.removed = append(delta.removed, r.addr(b))
	}
	for i := range w.Routes {
		wire := &w.Routes[i]
		route := stoatpaddle.Route{
			Listen: r.addr(wire.Listen), Idempotent: wire.Idempotent, Priority: wire.Priority, TargetLatency: time.Duration(wire.TargetLatencyMS) * time.Millisecond,
		}
		for _, index := range wire.Regions {
			route.Regions = append(route.Regions, stoatpaddle.RegionID(r.name(index)))
		}
		for _, b := range wire.Backends {
			route.Backends = append(route.Backends, stoatpaddle.Backend{Service: stoatpaddle.ServiceID(r.name(b.Service)), Weight: stoatpaddle.Weight(b.Weight)})
		}
		for _, index := range wire.FormerServices {
			route.FormerServices = append(route.FormerServices, stoatpaddle.ServiceID(r.name(index)))
		}
		delta.Declaration.Routes = append(delta.Declaration.Routes, route)
	}
	return delta
}

// ReadableAddrs parses addresses of entries, and leaves out those that cannot be parsed.
func ReadableAddrs(list []string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range list {
		if a, err := netip.ParseAddrPort(s); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// ParseAddrs parses addresses of entries, or returns *stoatpaddle.DecodeError.
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

// FormatAddrs returns the addresses as text, the reverse of ParseAddrs.
func FormatAddrs(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}
