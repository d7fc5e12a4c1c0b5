package stoatrelay

import (
	"bytes"
	"io"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Encode returns a Head, a Body or a list of reports as it is sent.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// EncodeRefusal writes a Refusal.
func EncodeRefusal(w io.Writer, r *Refusal) error { return msgpack.NewEncoder(w).Encode(r) }

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

// ChildState is what a child has of a table.
type ChildState struct {
	change  uint64              // the table's count; 0: nothing yet
	version stoatpaddle.Version // of the declaration
}

// ChildStateOf returns what a child has that was sent all of the table.
func ChildStateOf(t *stoatroute.Table) ChildState {
	return ChildState{change: t.ChangeSeq, version: t.Declaration.Version}
}

// EncodeBody returns what t has that a child does not, or nil if there is nothing.
func EncodeBody(now time.Time, t *stoatroute.Table, child ChildState) *Body {
	if child.change == t.ChangeSeq {
		return nil
	}
	n := &names{place: map[string]int{}}
	w := &Body{Full: child.change == 0}
	if t.DeclarationSeq > child.change {
		w.Declaration = encodeConfig(n, t, child)
	}
	for _, u := range t.UpstreamsSince(child.change) {
		r := &u.Registration
		w.Upstreams = append(w.Upstreams, wireHeld{
			ID: string(r.ID), Target: uint64(r.Target), Service: n.of(string(r.Service)), Centre: n.of(string(r.DataCentre)),
			Addr: packAddr(r.Addr), Slots: r.Slots, Leaving: r.Leaving, Revision: uint64(u.Revision), Created: uint64(r.CreateRevision),
			Standing: uint8(u.State), ColdMS: max(0, u.WarmAt.Sub(now).Milliseconds()), Life: uint64(r.Incarnation),
		})
	}
	for _, ev := range t.EvacuationsSince(child.change) {
		w.Evacuations = append(w.Evacuations, wireEvacuation{Centre: n.of(string(ev.DataCentre)), Revision: uint64(ev.Revision), Withdrawn: ev.Withdrawn})
	}
	w.Names = n.list
	return w
}

func packAddr(a netip.AddrPort) []byte {
	// It fails on no address.
	b, _ := a.MarshalBinary()
	return b
}

func encodeConfig(n *names, t *stoatroute.Table, child ChildState) *wireConfig {
	d := &t.Declaration
	w := &wireConfig{
		Revision: uint64(t.Revision), Version: uint64(d.Version), Base: uint64(child.version), IdleMS: d.IdleTimeout.Milliseconds(),
	}
	routes, removed, known := t.RoutesSince(child.change)
	if !known || child.change == 0 {
		w.Base, routes, removed = 0, d.Routes, nil
	}
	for s, flows := range d.MaxFlows {
		w.Caps = append(w.Caps, wireCap{Service: n.of(string(s)), Flows: flows, Cold: d.ColdRates[s]})
	}
	for _, listen := range removed {
		w.Removed = append(w.Removed, packAddr(listen))
	}
	w.Routes = make([]wireRoute, 0, len(routes))
	for i := range routes {
		r := &routes[i]
		out := wireRoute{Listen: packAddr(r.Listen), Repeat: r.Idempotent, AimMS: r.TargetLatency.Milliseconds(), Priority: r.Priority}
		for _, region := range r.Regions {
			out.Regions = append(out.Regions, n.of(string(region)))
		}
		for _, b := range r.Backends {
			out.Backends = append(out.Backends, wireBackend{Service: n.of(string(b.Service)), Weight: uint32(b.Weight)})
		}
		if held := t.Route(r.Listen); held != nil {
			for _, s := range held.FormerServices() {
				out.Earlier = append(out.Earlier, n.of(string(s)))
			}
		}
		w.Routes = append(w.Routes, out)
	}
	return w
}
