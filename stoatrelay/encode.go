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

// Encode returns the wire form of a Head, a Body or a list of reports.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// EncodeRefusal writes the wire form of a Refusal to w.
func EncodeRefusal(w io.Writer, r *Refusal) error { return msgpack.NewEncoder(w).Encode(r) }

// nameTable assigns an index to each name that a body refers to.
type nameTable struct {
	list  []string
	index map[string]int
}

func (n *nameTable) indexOf(s string) int {
	i, known := n.index[s]
	if !known {
		i = len(n.list)
		n.list = append(n.list, s)
		n.index[s] = i
	}
	return i
}

// ChildState identifies the version of the table that a child has been sent.
type ChildState struct {
	changeSeq uint64              // the table's change sequence number; 0: nothing was sent yet
	version   stoatpaddle.Version // of the declaration
}

// ChildStateOf returns the state of a child that has been sent all of the table.
func ChildStateOf(t *stoatroute.Table) ChildState {
	return ChildState{changeSeq: t.ChangeSeq, version: t.Declaration.Version}
}

// EncodeBody returns what t has and the child has not been sent, or nil if there is nothing.
func EncodeBody(now time.Time, t *stoatroute.Table, child ChildState) *Body {
	if child.changeSeq == t.ChangeSeq {
		return nil
	}
	names := &nameTable{index: map[string]int{}}
	body := &Body{Full: child.changeSeq == 0}
	if t.DeclarationSeq > child.changeSeq {
		body.Declaration = encodeDeclaration(names, t, child)
	}
	for _, u := range t.UpstreamsSince(child.changeSeq) {
		r := &u.Registration
		body.Upstreams = append(body.Upstreams, wireHeld{
			ID: string(r.ID), Target: uint64(r.Target), Service: names.indexOf(string(r.Service)), Centre: names.indexOf(string(r.DataCentre)),
			Addr: packAddr(r.Addr), Slots: r.Slots, Leaving: r.Leaving, Revision: uint64(u.Revision), CreateRevision: uint64(r.CreateRevision),
			State: uint8(u.State), ColdMS: max(0, u.WarmAt.Sub(now).Milliseconds()), Incarnation: uint64(r.Incarnation),
		})
	}
	for _, ev := range t.EvacuationsSince(child.changeSeq) {
		body.Evacuations = append(body.Evacuations, wireEvacuation{Centre: names.indexOf(string(ev.DataCentre)), Revision: uint64(ev.Revision), Withdrawn: ev.Withdrawn})
	}
	body.Names = names.list
	return body
}

func packAddr(a netip.AddrPort) []byte {
	// MarshalBinary returns no error for any address.
	b, _ := a.MarshalBinary()
	return b
}

func encodeDeclaration(names *nameTable, t *stoatroute.Table, child ChildState) *wireConfig {
	d := &t.Declaration
	w := &wireConfig{
		Revision: uint64(t.Revision), Version: uint64(d.Version), Base: uint64(child.version), IdleMS: d.IdleTimeout.Milliseconds(),
	}
	routes, removed, known := t.RoutesSince(child.changeSeq)
	if !known || child.changeSeq == 0 {
		w.Base, routes, removed = 0, d.Routes, nil
	}
	for s, flows := range d.MaxFlows {
		w.Limits = append(w.Limits, wireCap{Service: names.indexOf(string(s)), MaxFlows: flows, ColdRate: d.ColdRates[s]})
	}
	for _, listen := range removed {
		w.Removed = append(w.Removed, packAddr(listen))
	}
	w.Routes = make([]wireRoute, 0, len(routes))
	for i := range routes {
		r := &routes[i]
		out := wireRoute{Listen: packAddr(r.Listen), Idempotent: r.Idempotent, TargetLatencyMS: r.TargetLatency.Milliseconds(), Priority: r.Priority}
		for _, region := range r.Regions {
			out.Regions = append(out.Regions, names.indexOf(string(region)))
		}
		for _, b := range r.Backends {
			out.Backends = append(out.Backends, wireBackend{Service: names.indexOf(string(b.Service)), Weight: uint32(b.Weight)})
		}
		if current := t.Route(r.Listen); current != nil {
			for _, s := range current.FormerServices() {
				out.FormerServices = append(out.FormerServices, names.indexOf(string(s)))
			}
		}
		w.Routes = append(w.Routes, out)
	}
	return w
}
