package stoatnode

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/stoatpaddle/stoatpaddle"
)

// InstanceStatus is the state of one instance as this entry sees it.
type InstanceStatus struct {
	ID         stoatpaddle.InstanceID
	Role       stoatpaddle.InstanceRole
	DataCentre stoatpaddle.DataCentreID
	State      stoatpaddle.InstanceState
	Admin      string // address of the administration API; empty unless the instance is an entry
	Dead       bool
	Connected  bool
}

// ContractVersion is the version in force of one contract.
type ContractVersion struct {
	Customer stoatpaddle.CustomerID
	Version  stoatpaddle.Version
}

// Status is the control state of one entry.
type Status struct {
	Self              stoatpaddle.InstanceID
	Ready             bool
	Leaving           bool
	PlatformAvailable bool // the latest list or watch succeeded
	WatchesPlatform   bool // this entry watches the platform itself
	Contracts         []ContractVersion
	Instances         []InstanceStatus
	Upstreams         []stoatpaddle.Upstream // of all contracts
	Evacuated         []stoatpaddle.DataCentreID
}

// Status returns the current control state.
func (n *Node) Status() Status {
	s := Status{
		Self:              n.cfg.Self.ID,
		Ready:             n.view != nil,
		Leaving:           n.stop.requested,
		PlatformAvailable: n.platform.failures == 0 && n.platform.revision > 0,
		WatchesPlatform:   n.isWatcher(),
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
