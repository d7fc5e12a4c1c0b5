package stoatcontract

import (
	"math"
	"slices"
	"sort"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatini"
)

// The maximum and default values of a contract's keys.
const (
	maxFlows  = 100_000_000
	maxRate   = 10_000_000 // a second
	maxWeight = 10_000
	maxSlots  = 1_000_000

	defaultWeight   = 100
	defaultSlots    = 3    // concurrent calls
	defaultMaxFlows = 2000 // open flows
)

// Draft is a contract that was read from an operator's file.
type Draft struct {
	Contract    stoatpaddle.Contract
	BaseVersion stoatpaddle.Version // the version that it amends; 0 if the file names none
}

// Parse parses one contract, or returns *stoatpaddle.FaultsError with all its faults.
func Parse(file string, data []byte) (Draft, error) {
	r := stoatini.Parse(file, data)
	head := r.Section("contract")
	c := stoatpaddle.Contract{
		Customer:   stoatpaddle.CustomerID(head.Word("customer", "")),
		Preference: stoatpaddle.Preference(head.Choice("lean", string(stoatpaddle.PreferFewTracked), string(stoatpaddle.PreferBalance))),
		Limits:     readLimits(r.Section("limits")),
	}
	base := head.Int("version", 0, 0, math.MaxInt)
	for _, sec := range r.Named("service") {
		c.Services = append(c.Services, readService(sec))
	}
	readShares(r, &c)
	readUpstreams(r, &c)
	sort.Slice(c.Services, func(i, j int) bool { return c.Services[i].ID < c.Services[j].ID })
	faults := append(stoatpaddle.FaultsOf(r.Err()), Validate(file, c)...)
	if len(faults) > 0 {
		return Draft{}, &stoatpaddle.FaultsError{Faults: faults}
	}
	return Draft{Contract: c, BaseVersion: stoatpaddle.Version(base)}, nil
}

func readLimits(sec *stoatini.Section) stoatpaddle.Limits {
	return stoatpaddle.Limits{
		Flows:    sec.Int("flows", 100_000, 1, maxFlows),
		OpenRate: sec.Int("opens", 10_000, 1, maxRate),
		Calls:    sec.Int("calls", 1_000, 1, maxRate),
		CallRate: sec.Int("rate", 1_000, 1, maxRate),
	}
}

func readService(sec *stoatini.Section) stoatpaddle.Service {
	s := stoatpaddle.Service{
		ID:   stoatpaddle.ServiceID(sec.Name),
		Kind: stoatpaddle.ServiceKind(sec.Choice("kind", string(stoatpaddle.KindFlow), string(stoatpaddle.KindCall))),
	}
	if s.Kind == stoatpaddle.KindCall {
		s.Host = sec.Word("host", "")
		if s.HasPriority = sec.Has("priority"); s.HasPriority {
			s.Priority = sec.Int("priority", 0, 0, stoatpaddle.MaxPriority)
		}
		return s
	}
	s.Addr = sec.Addr("address")
	s.Protocol = protocols[sec.Choice("proto", "tcp", "udp")]
	s.Ports = sec.Ports("ports")
	slices.Sort(s.Ports)
	return s
}

var protocols = map[string]stoatpaddle.Protocol{"tcp": stoatpaddle.ProtocolTCP, "udp": stoatpaddle.ProtocolUDP}

func readShares(r *stoatini.Reader, c *stoatpaddle.Contract) {
	for _, sec := range r.Named("share") {
		s := findService(c, stoatpaddle.ServiceID(sec.Name))
		keys := sec.Keys()
		slices.Sort(keys)
		if s == nil {
			sec.AddFault("", sec.Name, "the name of a [service ...] section")
			continue
		}
		for _, key := range keys {
			w := sec.Int(key, 0, 0, maxWeight)
			s.CentreWeights = append(s.CentreWeights, stoatpaddle.CentreWeight{
				DataCentre: stoatpaddle.DataCentreID(key), Weight: stoatpaddle.Weight(w),
			})
		}
	}
}

func readUpstreams(r *stoatini.Reader, c *stoatpaddle.Contract) {
	for _, sec := range r.Named("upstream") {
		name := sec.Word("service", "")
		u := stoatpaddle.Upstream{
			ID:          stoatpaddle.UpstreamID(sec.Name),
			DataCentre:  stoatpaddle.DataCentreID(sec.Word("centre", "")),
			Addr:        sec.AddrPort("address", ""),
			Weight:      stoatpaddle.Weight(sec.Int("weight", defaultWeight, 0, maxWeight)),
			Slots:       sec.Int("slots", defaultSlots, 1, maxSlots),
			MaxFlows:    sec.Int("connections", defaultMaxFlows, 1, maxFlows),
			MaxOpenRate: sec.Int("opens", 0, 0, maxRate),
		}
		s := findService(c, stoatpaddle.ServiceID(name))
		if s == nil {
			sec.AddFault("service", name, "the name of a [service ...] section")
			continue
		}
		s.Upstreams = append(s.Upstreams, u)
	}
	for i := range c.Services {
		ups := c.Services[i].Upstreams
		sort.Slice(ups, func(a, b int) bool { return ups[a].ID < ups[b].ID })
	}
}

func findService(c *stoatpaddle.Contract, id stoatpaddle.ServiceID) *stoatpaddle.Service {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i]
		}
	}
	return nil
}
