package stoatload

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// Part is the load that one topmost entry of a data centre added up. The load of the data centre is the sum of its
// parts.
type Part struct {
	Origin netip.AddrPort // the topmost entry; invalid: the load is that of the whole data centre
	Wanted bool           // entries below the origin need the loads of others
	Load   CentreLoad
}

// Report is what an entry reports to its parent.
type Report struct {
	Wanted bool // an entry of the subtree needs the loads of others
	Groups []GroupLoad
	Parts  []Part // of other data centres, from entries that are below this one
}

// Exchange is what two entries tell each other of their data centres.
type Exchange struct {
	DataCentre stoatpaddle.DataCentreID // of the sender
	Parts      []Part
}
