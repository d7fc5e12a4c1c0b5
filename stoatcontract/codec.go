package stoatcontract

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// The wire types of the platform's objects. They are documented in docs/PLATFORM.md.
type (
	wireContract struct {
		Customer string        `json:"customer"`
		Lean     string        `json:"lean"`
		Limits   wireLimits    `json:"limits"`
		Services []wireService `json:"services"`
	}
	wireLimits struct {
		Flows int `json:"flows"`
		Opens int `json:"opens"`
		Calls int `json:"calls"`
		Rate  int `json:"rate"`
	}
	wireService struct {
		Name      string         `json:"name"`
		Kind      string         `json:"kind"`
		Address   string         `json:"address,omitempty"`
		Proto     uint8          `json:"proto,omitempty"`
		Ports     []uint16       `json:"ports,omitempty"`
		Host      string         `json:"host,omitempty"`
		Priority  *int           `json:"priority,omitempty"` // absent if not declared
		Upstreams []wireUpstream `json:"upstreams"`
		Shares    []wireShare    `json:"shares,omitempty"`
		Retired   []wireRetired  `json:"retired,omitempty"`
	}
	wireUpstream struct {
		Name        string `json:"name"`
		Centre      string `json:"centre"`
		Address     string `json:"address"`
		Weight      uint32 `json:"weight"`
		Slots       int    `json:"slots"`
		Connections int    `json:"connections"`
		Opens       int    `json:"opens,omitempty"`
	}
	wireRetired struct {
		Until    int64        `json:"until"` // Unix time, seconds
		Upstream wireUpstream `json:"upstream"`
	}
	wireShare struct {
		Centre string `json:"centre"`
		Weight uint32 `json:"weight"`
	}
	wireInstance struct {
		Name        string `json:"name"`
		Role        string `json:"role"`
		Centre      string `json:"centre"`
		State       string `json:"state"`
		Incarnation uint64 `json:"life"`
		Relay       string `json:"relay,omitempty"`
		Peer        string `json:"peer,omitempty"`
		Admin       string `json:"admin,omitempty"`
	}
)

// Encode returns the contract as JSON.
func Encode(c stoatpaddle.Contract) ([]byte, error) {
	w := wireContract{
		Customer: string(c.Customer), Lean: string(c.Preference),
		Limits: wireLimits{Flows: c.Limits.Flows, Opens: c.Limits.OpenRate, Calls: c.Limits.Calls, Rate: c.Limits.CallRate},
	}
	for i := range c.Services {
		w.Services = append(w.Services, encodeService(&c.Services[i]))
	}
	return json.Marshal(w)
}

func encodeService(s *stoatpaddle.Service) wireService {
	w := wireService{
		Name: string(s.ID), Kind: string(s.Kind), Proto: uint8(s.Protocol), Ports: s.Ports, Host: s.Host,
	}
	if s.HasPriority {
		w.Priority = &s.Priority
	}
	if s.Addr.IsValid() {
		w.Address = s.Addr.String()
	}
	for _, u := range s.Upstreams {
		w.Upstreams = append(w.Upstreams, encodeUpstream(u))
	}
	for _, r := range s.Retired {
		w.Retired = append(w.Retired, wireRetired{Until: r.Until.Unix(), Upstream: encodeUpstream(r.Upstream)})
	}
	for _, c := range s.CentreWeights {
		w.Shares = append(w.Shares, wireShare{Centre: string(c.DataCentre), Weight: uint32(c.Weight)})
	}
	return w
}

// Decode decodes a contract's JSON. It returns *stoatpaddle.DecodeError if that fails, and
// *stoatpaddle.FaultsError if the contract is not valid.
func Decode(data []byte) (stoatpaddle.Contract, error) {
	var w wireContract
	if err := json.Unmarshal(data, &w); err != nil {
		return stoatpaddle.Contract{}, &stoatpaddle.DecodeError{What: "contract", Cause: err}
	}
	c := stoatpaddle.Contract{
		Customer: stoatpaddle.CustomerID(w.Customer), Preference: stoatpaddle.Preference(w.Lean),
		Limits: stoatpaddle.Limits{Flows: w.Limits.Flows, OpenRate: w.Limits.Opens, Calls: w.Limits.Calls, CallRate: w.Limits.Rate},
	}
	for _, ws := range w.Services {
		s, err := decodeService(ws)
		if err != nil {
			return stoatpaddle.Contract{}, &stoatpaddle.DecodeError{What: "contract " + w.Customer, Cause: err}
		}
		c.Services = append(c.Services, s)
	}
	if faults := Validate("contract/"+w.Customer, c); len(faults) > 0 {
		return stoatpaddle.Contract{}, &stoatpaddle.FaultsError{Faults: faults}
	}
	return c, nil
}

func decodeService(w wireService) (stoatpaddle.Service, error) {
	s := stoatpaddle.Service{
		ID: stoatpaddle.ServiceID(w.Name), Kind: stoatpaddle.ServiceKind(w.Kind),
		Protocol: stoatpaddle.Protocol(w.Proto), Ports: w.Ports, Host: w.Host,
	}
	if w.Priority != nil {
		s.Priority, s.HasPriority = *w.Priority, true
	}
	if w.Address != "" {
		addr, err := netip.ParseAddr(w.Address)
		if err != nil {
			return s, err
		}
		s.Addr = addr
	}
	for _, u := range w.Upstreams {
		up, err := decodeUpstream(u)
		if err != nil {
			return s, err
		}
		s.Upstreams = append(s.Upstreams, up)
	}
	for _, r := range w.Retired {
		up, err := decodeUpstream(r.Upstream)
		if err != nil {
			return s, err
		}
		s.Retired = append(s.Retired, stoatpaddle.RetiredUpstream{Upstream: up, Until: time.Unix(r.Until, 0)})
	}
	for _, c := range w.Shares {
		s.CentreWeights = append(s.CentreWeights, stoatpaddle.CentreWeight{
			DataCentre: stoatpaddle.DataCentreID(c.Centre), Weight: stoatpaddle.Weight(c.Weight),
		})
	}
	return s, nil
}

func encodeUpstream(u stoatpaddle.Upstream) wireUpstream {
	return wireUpstream{
		Name: string(u.ID), Centre: string(u.DataCentre), Address: u.Addr.String(),
		Weight: uint32(u.Weight), Slots: u.Slots, Connections: u.MaxFlows, Opens: u.MaxOpenRate,
	}
}

func decodeUpstream(w wireUpstream) (stoatpaddle.Upstream, error) {
	addr, err := netip.ParseAddrPort(w.Address)
	return stoatpaddle.Upstream{
		ID: stoatpaddle.UpstreamID(w.Name), DataCentre: stoatpaddle.DataCentreID(w.Centre), Addr: addr,
		Weight: stoatpaddle.Weight(w.Weight), Slots: w.Slots, MaxFlows: w.Connections, MaxOpenRate: w.Opens,
	}, err
}

// EncodeInstance returns the instance as JSON.
func EncodeInstance(i stoatpaddle.Instance) ([]byte, error) {
	w := wireInstance{
		Name: string(i.ID), Role: string(i.Role), Centre: string(i.DataCentre), State: string(i.State),
		Incarnation: uint64(i.Incarnation),
	}
	if i.Role == stoatpaddle.RoleEntry {
		w.Relay, w.Peer, w.Admin = i.Relay.String(), i.Peer.String(), i.Admin.String()
	}
	return json.Marshal(w)
}

// DecodeInstance decodes an instance's JSON, or returns *stoatpaddle.DecodeError.
func DecodeInstance(data []byte) (stoatpaddle.Instance, error) {
	var w wireInstance
	if err := json.Unmarshal(data, &w); err != nil {
		return stoatpaddle.Instance{}, &stoatpaddle.DecodeError{What: "instance", Cause: err}
	}
	i := stoatpaddle.Instance{
		ID: stoatpaddle.InstanceID(w.Name), Role: stoatpaddle.InstanceRole(w.Role), DataCentre: stoatpaddle.DataCentreID(w.Centre),
		State: stoatpaddle.InstanceState(w.State), Incarnation: stoatpaddle.Incarnation(w.Incarnation),
	}
	if i.Role != stoatpaddle.RoleEntry {
		return i, nil
	}
	for _, a := range []struct {
		text string
		dst  *netip.AddrPort
	}{{w.Relay, &i.Relay}, {w.Peer, &i.Peer}, {w.Admin, &i.Admin}} {
		addr, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return i, &stoatpaddle.DecodeError{What: "instance " + w.Name, Cause: err}
		}
		*a.dst = addr
	}
	return i, nil
}
