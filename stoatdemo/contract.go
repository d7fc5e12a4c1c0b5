package stoatdemo

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// centres are the data centres of the demo.
var centres = []stoatpaddle.DataCentreID{"ruwi", "seeb", "qurum"}

// customer is one customer of the demo, with its services and their addresses.
type customer struct {
	id         stoatpaddle.CustomerID
	preference stoatpaddle.Preference
	flow       stoatpaddle.ServiceID
	call       stoatpaddle.ServiceID
	addr       netip.Addr
	host       string
}

var customers = []customer{
	{
		id: "sawt", preference: stoatpaddle.PreferBalance, flow: "giving-app", call: "ledger-intake",
		addr: netip.AddrFrom4([4]byte{203, 0, 113, 10}), host: "ledger.sawt.example",
	},
	{
		id: "barrilete", preference: stoatpaddle.PreferFewTracked, flow: "ruta", call: "evidencia",
		addr: netip.AddrFrom4([4]byte{203, 0, 113, 20}), host: "evidencia.barrilete.example",
	},
}

const (
	servicePort          = 443
	flowServers          = 14
	callServers          = 4
	slotsPerServer       = 3
	connectionsPerServer = 2000
	serverWeight         = 100
)

// contract returns the customer's contract with the given upstreams.
func (c customer) contract(flows, calls []stoatpaddle.Upstream) stoatpaddle.Contract {
	return stoatpaddle.Contract{
		Customer:   c.id,
		Preference: c.preference,
		Limits:     stoatpaddle.Limits{Flows: 200_000, OpenRate: 50_000, Calls: 900, CallRate: 9_000},
		Services: []stoatpaddle.Service{
			{
				ID: c.flow, Kind: stoatpaddle.KindFlow, Addr: c.addr, Protocol: stoatpaddle.ProtocolTCP,
				Ports: []uint16{servicePort}, Upstreams: flows,
			},
			{ID: c.call, Kind: stoatpaddle.KindCall, Host: c.host, Upstreams: calls},
		},
	}
}

// upstream describes upstream n of a service.
func upstream(svc stoatpaddle.ServiceID, n int, addr netip.AddrPort) stoatpaddle.Upstream {
	return stoatpaddle.Upstream{
		ID: stoatpaddle.UpstreamID(string(svc) + "-" + string(rune('a'+n))), DataCentre: centres[n%len(centres)],
		Addr: addr, Weight: serverWeight, Slots: slotsPerServer, MaxFlows: connectionsPerServer,
	}
}
