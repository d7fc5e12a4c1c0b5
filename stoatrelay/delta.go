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
func (delta *Delta) AppliesTo(current stoatpaddle.Version) bool {
	return delta == nil || delta.Base == 0 || delta.Base == current || delta.Declaration.Version <= current
}

// ApplyTo returns the declaration that results from applying the delta to d. AppliesTo must hold for d.
func (delta *Delta) ApplyTo(d *stoatpaddle.Declaration) stoatpaddle.Declaration {
	out := delta.Declaration
	if delta.Base == 0 {
		return out
	}
	replaced := make(map[netip.AddrPort]bool, len(delta.Declaration.Routes)+len(delta.removed))
	for i := range delta.Declaration.Routes {
		replaced[delta.Declaration.Routes[i].Listen] = true
	}
	for _, listen := range delta.removed {
		replaced[listen] = true
	}
	out.Routes = make([]stoatpaddle.Route, 0, len(d.Routes)+len(delta.Declaration.Routes))
	for i := range d.Routes {
		if !replaced[d.Routes[i].Listen] {
			out.Routes = append(out.Routes, d.Routes[i])
		}
	}
	out.Routes = append(out.Routes, delta.Declaration.Routes...)
	return out
}
