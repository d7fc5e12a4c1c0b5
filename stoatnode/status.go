package stoatnode

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/stoatpaddle/stoatpaddle"
)

// InstanceStatus is how one instance looks from here.
type InstanceStatus struct {
	ID         stoatpaddle.InstanceID
	Role       stoatpaddle.InstanceRole
	DataCentre stoatpaddle.DataCentreID
	State      stoatpaddle.InstanceState
	Admin      string
	Dead       bool
	Connected  bool
}

// ContractVersion is the version of one contract.
type ContractVersion struct {
	Customer stoatpaddle.CustomerID
	Version  stoatpaddle.Version
}

// Status is what is in force on one entry.
type Status struct {
	Self              stoatpaddle.InstanceID
	Ready             bool
	Leaving           bool
	PlatformAvailable bool // the platform answered last
	WatchesPlatform   bool
	Contracts         []ContractVersion
	Instances         []InstanceStatus
	Upstreams         []stoatpaddle.Upstream // that the contracts declare
	Evacuated         []stoatpaddle.DataCentreID
}

// Status returns what is in force.
func (n *Node) Status() Status {
	s := Status{
		Self:              n.cfg.Self.ID,
		Ready:             n.view != nil,
		Leaving:           n.stop.asked,
		PlatformAvailable: n.platform.failures == 0 && n.platform.revision > 0,
		WatchesPlatform:   n.watches(),
	}
	s.Evacuated = slices.Sorted(maps.Keys(n.evacuated))
	for id, c := range n.contracts {
		for i := range c.contract.Services {
			s.Upstreams = append(s.Upstreams, c.contract.Services[i].Upstreams...)
		}
		s.Contracts = append(s.Contracts, ContractVersion{Customer: id, Version: c.version})
	}
	slices.SortFunc(s.Contracts, func(a, b ContractVersion) int { return cmp.Compare(a.Version, b.Version) })
	slices.SortFunc(s.Upstreams, func(a, b stoatpaddle.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, id := range sortedIDs(n.instances) {
		i := n.instances[id]
		st := InstanceStatus{ID: id, Role: i.Role, DataCentre: i.DataCentre, State: i.State}
		if i.Role == stoatpaddle.RoleEntry {
			st.Admin = i.Admin.String()
		}
		if p := n.peers[id]; p != nil {
			st.Dead, st.Connected = p.dead, p.connected
		}
		s.Instances = append(s.Instances, st)
	}
	return s
}
