package stoatpaddle

import (
	"net/netip"
	"time"
)

// ServiceKind is the kind of a service: how its traffic is forwarded.
type ServiceKind string

// The kinds of service.
const (
	KindFlow ServiceKind = "flow" // opaque TCP or UDP, forwarded packet by packet
	KindCall ServiceKind = "call" // HTTP, terminated by an entry
)

// Preference is which of two goals a customer prefers where they conflict: few tracked flows or an even load.
// A tracked flow goes to another upstream than the one that its hash prefers, so entries have to remember its
// upstream.
type Preference string

// The preferences.
const (
	PreferFewTracked Preference = "flows"   // as few tracked flows as possible, so that few break when an entry fails
	PreferBalance    Preference = "balance" // a load that is as even as possible
)

// Protocol is an IP protocol number (IANA).
type Protocol uint8

// The protocols of flow services.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// String returns the name used in contracts, in lower case.
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

// Upstream is one server of a service, as declared in the contract.
type Upstream struct {
	ID          UpstreamID
	DataCentre  DataCentreID
	Addr        netip.AddrPort
	Weight      Weight
	Slots       int // maximum number of calls that run at once
	MaxFlows    int // maximum number of open flows
	MaxOpenRate int // maximum number of new flows a second, over all entries; 0: no limit
}

// Service is one service of a customer.
type Service struct {
	ID            ServiceID
	Kind          ServiceKind
	Addr          netip.Addr        // flow services only: the destination address of callers' packets
	Protocol      Protocol          // flow services only
	Ports         []uint16          // flow services only, ascending
	Host          string            // call services only: the authority in callers' requests
	Priority      int               // call services only: how urgent its calls are; 0 is the most urgent
	HasPriority   bool              // Priority is declared; the customer's services that declare one may share upstream addresses
	Upstreams     []Upstream        // ascending by ID
	Retired       []RetiredUpstream // removed by an amendment, but may still have open flows
	CentreWeights []CentreWeight
}

// MaxPriority is the priority of the least urgent calls.
const MaxPriority = 15

// RetiredUpstream is an upstream that an amendment removed from a contract. The contract keeps it for a
// while, because entries that start later would otherwise not know where its open flows go.
type RetiredUpstream struct {
	Upstream Upstream
	Until    time.Time // when the contract no longer needs to keep it
}

// CentreWeight is one data centre's relative share of a service's traffic.
type CentreWeight struct {
	DataCentre DataCentreID
	Weight     Weight
}

// Limits are what one customer may use at most, over all entries.
type Limits struct {
	Flows    int // open flows
	OpenRate int // new flows a second
	Calls    int // calls in progress
	CallRate int // calls a second
}

// Contract is what operators declare for one customer.
type Contract struct {
	Customer   CustomerID
	Preference Preference
	Limits     Limits
	Services   []Service // ascending by ID
}

// InstanceRole is the role of an instance.
type InstanceRole string

// The roles of an instance.
const (
	RoleEntry    InstanceRole = "entry"
	RoleUpstream InstanceRole = "upstream"
)

// InstanceState is the lifecycle state of an instance, as declared by operators or by the instance itself.
type InstanceState string

// The states of an instance.
const (
	StateJoining InstanceState = "joining"
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is the platform's object for one entry, or for one upstream that operators marked as joining or
// leaving.
type Instance struct {
	ID          InstanceID
	Role        InstanceRole
	DataCentre  DataCentreID
	State       InstanceState
	Incarnation Incarnation
	Relay       netip.AddrPort // entries only: receives packets relayed by other entries
	Peer        netip.AddrPort // entries only: accepts connections from peers
	Admin       netip.AddrPort // entries only: serves the administration API
}
