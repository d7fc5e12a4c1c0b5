package stoatcontract

import (
	"fmt"
	"maps"
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// checker gathers the faults of one contract.
type checker struct {
	file   string
	faults []*stoatpaddle.Fault
}

func (k *checker) fault(section, key, got, want string) {
	k.faults = append(k.faults, &stoatpaddle.Fault{File: k.file, Section: section, Key: key, Got: got, Want: want})
}

// Validate returns the faults that can be seen in the contract alone.
func Validate(file string, c stoatpaddle.Contract) []*stoatpaddle.Fault {
	k := &checker{file: file}
	if len(c.Services) == 0 {
		k.fault("service", "", "", "at least one [service NAME] section")
	}
	k.limits(c.Limits)
	keys := map[stoatpaddle.UpstreamKey]stoatpaddle.UpstreamID{}
	for i := range c.Services {
		s := &c.Services[i]
		if len(s.Upstreams) == 0 {
			k.fault("service "+string(s.ID), "", "", "at least one [upstream NAME] section with service = "+string(s.ID))
		}
		for _, u := range s.Upstreams {
			k.upstream(c, s, u, keys)
		}
	}
	k.faults = append(k.faults, Conflicts(file, c, nil)...)
	return k.faults
}

func (k *checker) limits(l stoatpaddle.Limits) {
	for _, n := range []struct {
		key   string
		value int
	}{{"flows", l.Flows}, {"opens", l.OpenRate}, {"calls", l.Calls}, {"rate", l.CallRate}} {
		if n.value <= 0 {
			k.fault("limits", n.key, fmt.Sprint(n.value), "a positive number")
		}
	}
}

func (k *checker) upstream(
	c stoatpaddle.Contract, s *stoatpaddle.Service, u stoatpaddle.Upstream,
	keys map[stoatpaddle.UpstreamKey]stoatpaddle.UpstreamID,
) {
	section := "upstream " + string(u.ID)
	key := stoatview.UpstreamKeyOf(stoatpaddle.ServiceRef{Customer: c.Customer, Service: s.ID}, u.ID)
	// Records between entries name an upstream by this key alone: with two alike, a
	// flow handed over would be sent to the wrong one.
	if other, taken := keys[key]; taken && other != u.ID {
		k.fault(section, "", string(u.ID), "another name: its key is that of "+string(other))
	}
	keys[key] = u.ID
}

// Claims knows which service has which address, host and upstream.
type Claims struct {
	taken map[string]stoatpaddle.ServiceRef
}

// NewClaims returns an empty Claims.
func NewClaims() *Claims { return &Claims{taken: map[string]stoatpaddle.ServiceRef{}} }

// Add takes in what the contract claims, unless another service has some of it: then it
// returns a fault for each and takes nothing in.
func (c *Claims) Add(file string, contract stoatpaddle.Contract) []*stoatpaddle.Fault {
	k := &checker{file: file}
	fresh := map[string]stoatpaddle.ServiceRef{}
	for i := range contract.Services {
		s := &contract.Services[i]
		ref := stoatpaddle.ServiceRef{Customer: contract.Customer, Service: s.ID}
		for _, cl := range claims(s) {
			holder, taken := c.taken[cl]
			if !taken {
				holder, taken = fresh[cl]
			}
			if taken && holder != ref {
				k.fault("service "+string(ref.Service), "", cl, "what no other service has; "+holder.String()+" has it")
				continue
			}
			fresh[cl] = ref
		}
	}
	if len(k.faults) == 0 {
		maps.Copy(c.taken, fresh)
	}
	return k.faults
}

// Conflicts returns what c claims although another service, of it or of the others, has it.
func Conflicts(file string, c stoatpaddle.Contract, others []stoatpaddle.Contract) []*stoatpaddle.Fault {
	held := NewClaims()
	for _, o := range others {
		if o.Customer != c.Customer {
			held.Add(file, o)
		}
	}
	return held.Add(file, c)
}

// claims lists the addresses that must belong to one service only.
func claims(s *stoatpaddle.Service) []string {
	var out []string
	if s.Kind == stoatpaddle.KindCall && s.Host != "" {
		out = append(out, "host "+s.Host)
	}
	for _, port := range s.Ports {
		out = append(out, s.Protocol.String()+" "+netip.AddrPortFrom(s.Addr, port).String())
	}
	// One server address under two services could hand one customer's packets to the other.
	for _, r := range s.Retired {
		out = append(out, "upstream address "+r.Upstream.Addr.String(), "upstream name "+string(r.Upstream.ID))
	}
	for _, u := range s.Upstreams {
		out = append(out, "upstream address "+u.Addr.String())
		// Marks name an upstream by its id alone.
		out = append(out, "upstream name "+string(u.ID))
	}
	return out
}
