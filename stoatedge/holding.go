package stoatedge

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

type wireHolding struct {
	Declared    bool         `json:"declared"`
	Revision    uint64       `json:"revision"`
	Declaration wireDeclared `json:"declaration"`
	Upstreams   []wireHeld   `json:"upstreams"`
}

type wireDeclared struct {
	Version uint64         `json:"version"`
	Routes  []wireRoute    `json:"routes"`
	Caps    map[string]int `json:"caps"`
	IdleMS  int64          `json:"idle"`
}

type wireRoute struct {
	Listen   string        `json:"listen"`
	Backends []wireBackend `json:"backends"`
	Repeat   bool          `json:"repeat"` // its requests may run twice
	AimMS    int64         `json:"aim"`    // objective
	Priority int           `json:"priority"`
}

type wireBackend struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

type wireHeld struct {
	ID       string `json:"id"`
	Target   uint64 `json:"target"`
	Service  string `json:"service"`
	Centre   string `json:"centre"`
	Addr     string `json:"addr"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
	Born     uint64 `json:"born"`
}

func encodeHolding(h *stoatroute.Table) wireHolding {
	w := wireHolding{Declared: h.Declared, Revision: uint64(h.Revision)}
	w.Declaration = wireDeclared{
		Version: uint64(h.Declaration.Version), Caps: map[string]int{}, IdleMS: h.Declaration.Idle.Milliseconds(),
	}
	for s, n := range h.Declaration.Caps {
		w.Declaration.Caps[string(s)] = n
	}
	for _, r := range h.Declaration.Routes {
		out := wireRoute{Listen: r.Listen.String(), Repeat: r.Idempotent, AimMS: r.Objective.Milliseconds(), Priority: r.Priority}
		for _, b := range r.Backends {
			out.Backends = append(out.Backends, wireBackend{Service: string(b.Service), Weight: uint32(b.Weight)})
		}
		w.Declaration.Routes = append(w.Declaration.Routes, out)
	}
	for _, u := range h.Upstreams() {
		r := u.Registration
		w.Upstreams = append(w.Upstreams, wireHeld{
			ID: string(r.ID), Target: uint64(r.Target), Service: string(r.Service), Centre: string(r.DataCentre),
			Addr: r.Addr.String(), Slots: r.Slots, Leaving: r.Leaving, Revision: uint64(u.Revision), Born: uint64(r.Born),
		})
	}
	return w
}

// decodeHolding maps what a neighbour told to changes, or returns *stoatpaddle.DecodeError.
func decodeHolding(w *wireHolding) ([]change, error) {
	var out []change
	if w.Declared {
		d := stoatpaddle.Declaration{
			Version: stoatpaddle.Version(w.Declaration.Version), Caps: map[stoatpaddle.ServiceID]int{},
			Idle: time.Duration(w.Declaration.IdleMS) * time.Millisecond,
		}
		for s, n := range w.Declaration.Caps {
			d.Caps[stoatpaddle.ServiceID(s)] = n
		}
		for _, r := range w.Declaration.Routes {
			listen, err := netip.ParseAddrPort(r.Listen)
			if err != nil {
				return nil, &stoatpaddle.DecodeError{What: "a neighbour's route", Cause: err}
			}
			route := stoatpaddle.Route{
				Listen: listen, Idempotent: r.Repeat, Priority: r.Priority,
				Objective: time.Duration(r.AimMS) * time.Millisecond,
			}
			for _, b := range r.Backends {
				route.Backends = append(route.Backends, stoatpaddle.Backend{Service: stoatpaddle.ServiceID(b.Service), Weight: stoatpaddle.Weight(b.Weight)})
			}
			d.Routes = append(d.Routes, route)
		}
		out = append(out, change{revision: stoatpaddle.Version(w.Revision), declaration: &d})
	}
	for _, u := range w.Upstreams {
		addr, err := netip.ParseAddrPort(u.Addr)
		if err != nil {
			return nil, &stoatpaddle.DecodeError{What: "a neighbour's upstream", Cause: err}
		}
		out = append(out, change{name: u.ID, revision: stoatpaddle.Version(u.Revision), registration: &stoatpaddle.Registration{
			ID: stoatpaddle.UpstreamID(u.ID), Target: stoatpaddle.Target(u.Target), Service: stoatpaddle.ServiceID(u.Service),
			DataCentre: stoatpaddle.DataCentreID(u.Centre), Addr: addr, Slots: u.Slots, Leaving: u.Leaving, Born: stoatpaddle.Version(u.Born),
		}})
	}
	return out, nil
}
