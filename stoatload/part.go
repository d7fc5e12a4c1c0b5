package stoatload

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// Part is the load that one topmost entry of a data centre added up. The load of the data centre is the sum of its
// parts.
type Part struct {
	Origin netip.AddrPort // the topmost entry; invalid: the load is that of the whole data centre
	Load   CentreLoad
}

// Report is what an entry reports to its parent.
type Report struct {
	Groups []GroupLoad
	Parts  []Part // of other data centres, from entries that are below this one
}

// Exchange is the message in which an entry publishes the loads of its data centre and of others.
type Exchange struct {
	DataCentre stoatpaddle.DataCentreID // of the sender
	Parts      []Part
}
