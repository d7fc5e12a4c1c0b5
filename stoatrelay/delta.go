package stoatrelay

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// Delta is a declaration as a parent sends it: in full, or as the difference from version Base.
type Delta struct {
	Declaration stoatpaddle.Declaration
	Revision    stoatpaddle.Version
	Base        stoatpaddle.Version // 0: Declaration is complete
	removed     []netip.AddrPort    // listen addresses of the routes that were removed since Base
}

// AppliesTo reports whether the delta can be applied to the declaration with version current. A difference
// from another version would leave out what changed in between. A delta that is not later than current
// changes nothing and always applies.
func (a *Delta) Fits(current stoatpaddle.Version) bool {
	return a == nil || a.Base == 0 || a.Base == current || a.Declaration.Version <= current
}

// ApplyTo returns the declaration that results from applying the delta to d. AppliesTo must hold for d.
func (a *Delta) Onto(d *stoatpaddle.Declaration) stoatpaddle.Declaration {
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
