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

// Route defines where new flows to one address go.
type Route struct {
	Listen         netip.AddrPort // the destination of callers' packets
	Backends       []Backend
	FormerServices []ServiceID   // former backends, as reported by another entry; their flows continue
	Idempotent     bool          // its requests may be executed twice
	Priority       int           // 0 is the most urgent
	TargetLatency  time.Duration // an answer that takes longer is late; 0: no target is declared
	Regions        []RegionID    // its flows go only to upstreams in these regions; empty: any region
}

// Declaration is the complete configuration that operators declared.
type Declaration struct {
	Version     Version // assigned by the operators; increases, not necessarily by 1
	Routes      []Route
	MaxFlows    map[ServiceID]int // maximum number of flows on one upstream of the service
	IdleTimeout time.Duration     // a flow that is idle for longer may be forgotten
	// ColdRates are the requests a second that one upstream of the service can handle while it is cold, that
	// is, still slow after its start. Services without a limit are left out.
	ColdRates map[ServiceID]float64
}

// SetColdRate sets how many requests a second a cold upstream of the service can handle; 0: no limit.
func (d *Declaration) SetColdRate(s ServiceID, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	if d.ColdRates == nil {
		d.ColdRates = map[ServiceID]float64{}
	}
	d.ColdRates[s] = perSecond
}

// Evacuation is a request by the operators that the upstreams of a data centre get no new flows, or the
// withdrawal of such a request. Upstreams of data centres without either get new flows.
type Evacuation struct {
	DataCentre DataCentreID
	Revision   Version // of the request, or of its withdrawal
	Withdrawn  bool
}

// Supersedes reports whether e is later than o, which is of the same data centre. A request and its withdrawal
// can have the same revision, because the platform may report a deleted object with the revision of its last
// write.
func (e Evacuation) Supersedes(o Evacuation) bool {
	return e.Revision > o.Revision || e.Revision == o.Revision && e.Withdrawn && !o.Withdrawn
}

// TargetID identifies one incarnation of an upstream in a datagram, so that a server that has the same address
// later ignores the datagram.
type TargetID uint64

// Registration is what an upstream declares about itself on the platform.
type Registration struct {
	ID            UpstreamID
	Target        TargetID
	Service       ServiceID
	DataCentre    DataCentreID
	Addr          netip.AddrPort
	Slots         int
	Leaving       bool
	ColdRemaining time.Duration // how much longer it is cold, that is, slow after its start
	// Incarnation is when the upstream started, in Unix milliseconds of its own clock. A server that starts
	// again under the same id has lost its flows. 0: the upstream does not report it.
	Incarnation Incarnation
	// CreateRevision is the platform's revision at which the registration was created. If the registration
	// lapses in an outage, the same incarnation creates a new one.
	CreateRevision Version
}
