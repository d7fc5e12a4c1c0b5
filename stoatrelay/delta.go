package stoatrelay

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// Delta is a declaration as a parent sends it: whole, or how it differs from version Base.
type Delta struct {
	Declaration stoatpaddle.Declaration
	Revision    stoatpaddle.Version
	Base        stoatpaddle.Version // 0: whole
	removed     []netip.AddrPort
}

// AppliesTo tells whether the delta can be made of the version in force: a difference from
// another one would leave out what changed in between. One that is not later changes nothing.
func (a *Delta) AppliesTo(current stoatpaddle.Version) bool {
	return a == nil || a.Base == 0 || a.Base == current || a.Declaration.Version <= current
}

// ApplyTo returns the declaration that the delta makes of one that it fits.
func (a *Delta) ApplyTo(d *stoatpaddle.Declaration) stoatpaddle.Declaration {
	out := a.Declaration
	if a.Base == 0 {
		return out
	}
	replaced := make(map[netip.AddrPort]bool, len(a.Declaration.Routes)+len(a.removed))
	for i := range a.Declaration.Routes {
		replaced[a.Declaration.Routes[i].Listen] = true
	}
	for _, listen := range a.removed {
		replaced[listen] = true
	}
	out.Routes = make([]stoatpaddle.Route, 0, len(d.Routes)+len(a.Declaration.Routes))
	for i := range d.Routes {
		if !replaced[d.Routes[i].Listen] {
			out.Routes = append(out.Routes, d.Routes[i])
		}
	}
	out.Routes = append(out.Routes, a.Declaration.Routes...)
	return out
}
