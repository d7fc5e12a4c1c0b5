package stoatpaddle

import (
	"net/netip"
	"time"
)

// ServiceKind tells how a service's traffic is carried.
type ServiceKind string

// The kinds of service.
const (
	KindFlow ServiceKind = "flow" // opaque TCP or UDP, forwarded packet by packet
	KindCall ServiceKind = "call" // HTTP, terminated at an entry
)

// Preference tells which of the two measures a customer weighs more.
type Preference string

// The values of Lean.
const (
	PreferFewTracked Preference = "flows"   // fewest tracked flows, so fewest broken when entries die
	PreferBalance    Preference = "balance" // evenest load
)

// Protocol is an IP protocol number (IANA).
type Protocol uint8

// The protocols that a flow service may carry.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// String returns the lower-case name used in contracts.
func (p Protocol) String() string {
	switch p {
	case ProtocolTCP:
		return "tcp"
	case ProtocolUDP:
		return "udp"
	default:
		return "other"
	}
}

// Upstream is one server of a service as the contract declares it.
type Upstream struct {
	ID          UpstreamID
	DataCentre  DataCentreID
	Addr        netip.AddrPort
	Weight      Weight
	Slots       int // calls it runs at once
	MaxFlows    int // flows it holds open at once
	MaxOpenRate int // flows opened at it a second, over all entries; 0: no limit
}

// Service is one service of a customer.
type Service struct {
	ID            ServiceID
	Kind          ServiceKind
	Addr          netip.Addr        // flow services: the address that callers use
	Protocol      Protocol          // flow services
	Ports         []uint16          // flow services, ascending
	Host          string            // call services: the authority that callers name
	Upstreams     []Upstream        // ascending by ID
	Retired       []RetiredUpstream // taken out by an amendment, while flows may still be open on them
	CentreWeights []CentreWeight
}

// RetiredUpstream is an upstream that an amendment took out of a contract. Without it, entries that
// start later would not know where its open flows go.
type RetiredUpstream struct {
	Upstream Upstream
	Until    time.Time
}

// CentreWeight is the share of one data centre in a service's traffic.
type CentreWeight struct {
	DataCentre DataCentreID
	Weight     Weight
}

// Limits bound what one customer may use over all entries.
type Limits struct {
	Flows    int // open at once
	OpenRate int // flows opened a second
	Calls    int // run at once
	CallRate int // calls a second
}

// Contract is everything that operators declare for one customer.
type Contract struct {
	Customer   CustomerID
	Preference Preference
	Limits     Limits
	Services   []Service // ascending by ID
}

// InstanceRole tells what an instance does.
type InstanceRole string

// The roles of an instance.
const (
	RoleEntry    InstanceRole = "entry"
	RoleUpstream InstanceRole = "upstream"
)

// InstanceState is what operators or the instance itself declared about its life.
type InstanceState string

// The states of an instance.
const (
	StateJoining InstanceState = "joining"
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is the platform's object for one entry or one marked upstream.
type Instance struct {
	ID          InstanceID
	Role        InstanceRole
	DataCentre  DataCentreID
	State       InstanceState
	Incarnation Incarnation
	Relay       netip.AddrPort // entries: where relayed packets are taken
	Peer        netip.AddrPort // entries: where peers connect
	Admin       netip.AddrPort // entries: the administration API
}
