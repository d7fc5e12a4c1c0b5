package stoatpaddle

import (
	"net/netip"
	"time"
)

// Backend is one of the services that a route sends new flows to.
type Backend struct {
	Service ServiceID
	Weight  Weight
}

// Route says where new flows to one address go.
type Route struct {
	Listen         netip.AddrPort // what callers write into their packets
	Backends       []Backend
	FormerServices []ServiceID   // where it sent flows before, as far as another entry told; they go on
	Idempotent     bool          // its requests may run twice
	Priority       int           // 0 is the most urgent
	TargetLatency  time.Duration // an answer later than this is late; 0: none is declared
	Regions        []RegionID    // its flows go only to upstreams in these; empty: anywhere
}

// Declaration is the configuration that operators wrote, whole.
type Declaration struct {
	Version     Version // the operators' own number; grows in steps of any size
	Routes      []Route
	MaxFlows    map[ServiceID]int // flows that one upstream of the service may hold
	IdleTimeout time.Duration     // a flow idle for longer may be forgotten
	// ColdRates are the requests a second that one upstream of the service bears while it is cold;
	// services without a limit are left out.
	ColdRates map[ServiceID]float64
}

// SetColdRate notes what a cold upstream of the service bears; 0: no limit.
func (d *Declaration) SetColdRate(s ServiceID, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	if d.ColdRates == nil {
		d.ColdRates = map[ServiceID]float64{}
	}
	d.ColdRates[s] = perSecond
}

// Evacuation is what the operators want of a data centre as of a revision: that its upstreams get no
// new flows, or, withdrawn, that they do again. Without one they do.
type Evacuation struct {
	DataCentre DataCentreID
	Revision   Version // of the request, or of its withdrawal
	Withdrawn  bool
}

// Supersedes tells whether the state is later than the other one of the same data centre. A request
// and its withdrawal may bear one revision, since an object's last one is named when it is deleted.
func (e Evacuation) Supersedes(o Evacuation) bool {
	return e.Revision > o.Revision || e.Revision == o.Revision && e.Withdrawn && !o.Withdrawn
}

// TargetID is the number by which a datagram names one life of an upstream, so that whoever
// has its address later ignores it.
type TargetID uint64

// Registration is what an upstream says about itself.
type Registration struct {
	ID            UpstreamID
	Target        TargetID
	Service       ServiceID
	DataCentre    DataCentreID
	Addr          netip.AddrPort
	Slots         int
	Leaving       bool
	ColdRemaining time.Duration // how much longer it is slow after its start
	// Incarnation is when it started, Unix ms by its own clock: a server that starts again under
	// its id holds nothing of before. 0: it does not say.
	Incarnation Incarnation
	// CreateRevision is the platform's revision at which its registration was created. One that lapsed
	// in an outage is created anew by the same incarnation.
	CreateRevision Version
}
