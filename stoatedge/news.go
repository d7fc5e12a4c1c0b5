package stoatedge

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// What a parent says, as msgpack arrays: a head comes every second or so to each child, and
// names of fields would be half of it. A body follows where something changed.

type wireHead struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Known     uint64
	AgeMS     int64 // -1: never known to be up to date
	Path      []string
	Relatives []string
	Centre    string                    // of the parent
	Seen      []stoatoutlier.WireReport // which upstreams fail, as all entries of the child's data centre saw it
	Whole     bool                      // Seen has all, and not what changed
	Body      bool                      // a wireBody follows
	Rank      int                       // of the child among the entries of its data centre
	Entries   int                       // how many these are; 0: it is in another one, or that is not known
}

type wireBody struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Whole     bool     // all upstreams there are; otherwise those that changed
	Names     []string // of services and data centres, which others name by their place here
	Declared  *wireDeclared
	Upstreams []wireHeld
	Evacuated []wireEvacuation
}

type wireEvacuation struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Centre    int
	Revision  uint64
	Withdrawn bool
}

// wireDeclared is a declaration, or how it differs from the one with version Base.
type wireDeclared struct {
	_msgpack struct{} `msgpack:",as_array"`
	Revision uint64
	Version  uint64
	Base     uint64 // 0: Routes are all there are
	Routes   []wireRoute
	Removed  [][]byte // addresses
	Caps     []wireCap
	IdleMS   int64
}

type wireRoute struct {
	_msgpack struct{} `msgpack:",as_array"`
	Listen   []byte   // the address and port in binary: 6 bytes instead of 17 in text
	Backends []wireBackend
	Earlier  []int // services
	Repeat   bool  // its requests may run twice
	AimMS    int64 // objective
	Priority int
	Regions  []int // those that it allows
}

type wireBackend struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  int
	Weight   uint32
}

type wireCap struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  int
	Flows    int
	Cold     float64 // requests a second while cold; 0: no limit
}

type wireHeld struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Target   uint64
	Service  int
	Centre   int
	Addr     []byte
	Slots    int
	Leaving  bool
	Revision uint64
	Created  uint64
	Standing uint8
	ColdMS   int64  // how much longer it is slow
	Life     uint64 // its incarnation
}

// wireRefusal says why an entry tells nothing, and whom to ask instead.
type wireRefusal struct {
	_msgpack struct{} `msgpack:",as_array"`
	Reason   string
	Try      []string
}

// names numbers the names that a body uses.
type names struct {
	list  []string
	place map[string]int
}

func (n *names) of(s string) int {
	i, known := n.place[s]
	if !known {
		i = len(n.list)
		n.list = append(n.list, s)
		n.place[s] = i
	}
	return i
}

// heldBy is what a child was told last.
type heldBy struct {
	change  uint64              // the table's count; 0: nothing yet
	version stoatpaddle.Version // of the declaration
}

func holds(t *stoatroute.Table) heldBy {
	return heldBy{change: t.Change, version: t.Declaration.Version}
}

// encodeBody returns what t has that a child does not, or nil if there is nothing.
func encodeBody(now time.Time, t *stoatroute.Table, child heldBy) *wireBody {
	if child.change == t.Change {
		return nil
	}
	n := &names{place: map[string]int{}}
	w := &wireBody{Whole: child.change == 0}
	if t.Altered > child.change {
		w.Declared = encodeDeclaration(n, t, child)
	}
	for _, u := range t.Since(child.change) {
		r := &u.Registration
		w.Upstreams = append(w.Upstreams, wireHeld{
			ID: string(r.ID), Target: uint64(r.Target), Service: n.of(string(r.Service)), Centre: n.of(string(r.DataCentre)),
			Addr: packAddr(r.Addr), Slots: r.Slots, Leaving: r.Leaving, Revision: uint64(u.Revision), Created: uint64(r.Created),
			Standing: uint8(u.Standing), ColdMS: max(0, u.Warm.Sub(now).Milliseconds()), Life: uint64(r.Incarnation),
		})
	}
	for _, ev := range t.EvacuationsSince(child.change) {
		w.Evacuated = append(w.Evacuated, wireEvacuation{Centre: n.of(string(ev.DataCentre)), Revision: uint64(ev.Revision), Withdrawn: ev.Withdrawn})
	}
	w.Names = n.list
	return w
}

func packAddr(a netip.AddrPort) []byte {
	// It fails on no address.
	b, _ := a.MarshalBinary()
	return b
}

func encodeDeclaration(n *names, t *stoatroute.Table, child heldBy) *wireDeclared {
	d := &t.Declaration
	w := &wireDeclared{
		Revision: uint64(t.Revision), Version: uint64(d.Version), Base: uint64(child.version), IdleMS: d.Idle.Milliseconds(),
	}
	routes, removed, known := t.RoutesSince(child.change)
	if !known || child.change == 0 {
		w.Base, routes, removed = 0, d.Routes, nil
	}
	for s, flows := range d.Caps {
		w.Caps = append(w.Caps, wireCap{Service: n.of(string(s)), Flows: flows, Cold: d.ColdRates[s]})
	}
	for _, listen := range removed {
		w.Removed = append(w.Removed, packAddr(listen))
	}
	w.Routes = make([]wireRoute, 0, len(routes))
	for i := range routes {
		r := &routes[i]
		out := wireRoute{Listen: packAddr(r.Listen), Repeat: r.Idempotent, AimMS: r.Objective.Milliseconds(), Priority: r.Priority}
		for _, region := range r.Regions {
			out.Regions = append(out.Regions, n.of(string(region)))
		}
		for _, b := range r.Backends {
			out.Backends = append(out.Backends, wireBackend{Service: n.of(string(b.Service)), Weight: uint32(b.Weight)})
		}
		if held := t.Route(r.Listen); held != nil {
			for _, s := range held.Earlier() {
				out.Earlier = append(out.Earlier, n.of(string(s)))
			}
		}
		w.Routes = append(w.Routes, out)
	}
	return w
}

// amendment is a declaration as a parent tells it: whole, or how it differs from base.
type amendment struct {
	declaration stoatpaddle.Declaration
	revision    stoatpaddle.Version
	base        stoatpaddle.Version // 0: whole
	removed     []netip.AddrPort
}

// fits tells whether the amendment can be made of the version in force: a difference from
// another one would leave out what changed in between. One that is not later changes nothing.
func (a *amendment) fits(current stoatpaddle.Version) bool {
	return a == nil || a.base == 0 || a.base == current || a.declaration.Version <= current
}

// onto returns the declaration that the amendment makes of one that it fits.
func (a *amendment) onto(d *stoatpaddle.Declaration) stoatpaddle.Declaration {
	out := a.declaration
	if a.base == 0 {
		return out
	}
	replaced := make(map[netip.AddrPort]bool, len(a.declaration.Routes)+len(a.removed))
	for i := range a.declaration.Routes {
		replaced[a.declaration.Routes[i].Listen] = true
	}
	for _, listen := range a.removed {
		replaced[listen] = true
	}
	out.Routes = make([]stoatpaddle.Route, 0, len(d.Routes)+len(a.declaration.Routes))
	for i := range d.Routes {
		if !replaced[d.Routes[i].Listen] {
			out.Routes = append(out.Routes, d.Routes[i])
		}
	}
	out.Routes = append(out.Routes, a.declaration.Routes...)
	return out
}

// placeError reports a name that a body does not have.
type placeError struct{ place int }

// Error says that there is none.
func (e *placeError) Error() string { return "no name has the place that a parent's message names" }

// body reads a wireBody; the first fault stays in err.
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

// decodeNews maps a parent's message, or returns *stoatpaddle.DecodeError.
func decodeNews(h *wireHead, w *wireBody) (told, error) {
	x := told{known: stoatpaddle.Version(h.Known), age: time.Duration(h.AgeMS) * time.Millisecond}
	var err error
	if x.path, err = parseAddrs(h.Path); err != nil || w == nil {
		return x, err
	}
	x.whole = w.Whole
	r := &bodyReader{names: w.Names}
	if w.Declared != nil {
		x.amendment = r.declaration(w.Declared)
	}
	for i := range w.Upstreams {
		x.upstreams = append(x.upstreams, r.held(&w.Upstreams[i]))
	}
	for _, ev := range w.Evacuated {
		x.evacuations = append(x.evacuations, stoatpaddle.Evacuation{
			DataCentre: stoatpaddle.DataCentreID(r.name(ev.Centre)), Revision: stoatpaddle.Version(ev.Revision), Withdrawn: ev.Withdrawn,
		})
	}
	if r.err != nil {
		return told{}, r.err
	}
	return x, nil
}

func (r *bodyReader) held(u *wireHeld) stoatroute.Told {
	if u.Standing > uint8(stoatroute.Gone) {
		r.fail("standing of "+u.ID, nil)
	}
	return stoatroute.Told{
		Revision: stoatpaddle.Version(u.Revision), Standing: stoatroute.Standing(u.Standing),
		Registration: stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(u.ID), Target: stoatpaddle.Target(u.Target), Service: stoatpaddle.ServiceID(r.name(u.Service)),
			DataCentre: stoatpaddle.DataCentreID(r.name(u.Centre)), Addr: r.addr(u.Addr), Slots: u.Slots, Leaving: u.Leaving,
			Created: stoatpaddle.Version(u.Created), Cold: time.Duration(u.ColdMS) * time.Millisecond,
			Incarnation: stoatpaddle.Incarnation(u.Life),
		},
	}
}

func (r *bodyReader) declaration(w *wireDeclared) *amendment {
	a := &amendment{
		revision: stoatpaddle.Version(w.Revision), base: stoatpaddle.Version(w.Base),
		declaration: stoatpaddle.Declaration{
			Version: stoatpaddle.Version(w.Version), Caps: make(map[stoatpaddle.ServiceID]int, len(w.Caps)),
			Idle: time.Duration(w.IdleMS) * time.Millisecond, Routes: make([]stoatpaddle.Route, 0, len(w.Routes)),
		},
	}
	for _, c := range w.Caps {
		service := stoatpaddle.ServiceID(r.name(c.Service))
		a.declaration.Caps[service] = c.Flows
		a.declaration.SetColdRate(service, c.Cold)
	}
	for _, b := range w.Removed {
		a.removed = append(a.removed, r.addr(b))
	}
	for i := range w.Routes {
		x := &w.Routes[i]
		route := stoatpaddle.Route{
			Listen: r.addr(x.Listen), Idempotent: x.Repeat, Priority: x.Priority, Objective: time.Duration(x.AimMS) * time.Millisecond,
		}
		for _, place := range x.Regions {
			route.Regions = append(route.Regions, stoatpaddle.RegionID(r.name(place)))
		}
		for _, b := range x.Backends {
			route.Backends = append(route.Backends, stoatpaddle.Backend{Service: stoatpaddle.ServiceID(r.name(b.Service)), Weight: stoatpaddle.Weight(b.Weight)})
		}
		for _, place := range x.Earlier {
			route.Earlier = append(route.Earlier, stoatpaddle.ServiceID(r.name(place)))
		}
		a.declaration.Routes = append(a.declaration.Routes, route)
	}
	return a
}

// parseAddrs reads addresses of entries, or returns *stoatpaddle.DecodeError.
func parseAddrs(list []string) ([]netip.AddrPort, error) {
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

func addrTexts(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}
