package stoatcontract

import (
	"fmt"
	"maps"
	"net/netip"
	"strings"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// checker collects the faults of one contract.
type checker struct {
	file   string
	faults []*stoatpaddle.Fault
}

func (k *checker) addFault(section, key, got, want string) {
	k.faults = append(k.faults, &stoatpaddle.Fault{File: k.file, Section: section, Key: key, Got: got, Want: want})
}

// Validate returns the faults that can be found without other contracts.
func Validate(file string, c stoatpaddle.Contract) []*stoatpaddle.Fault {
	k := &checker{file: file}
	if len(c.Services) == 0 {
		k.addFault("service", "", "", "at least one [service NAME] section")
	}
	k.checkLimits(c.Limits)
	owners := map[stoatpaddle.UpstreamKey]stoatpaddle.UpstreamID{}
	for i := range c.Services {
		s := &c.Services[i]
		if len(s.Upstreams) == 0 {
			k.addFault("service "+string(s.ID), "", "", "at least one [upstream NAME] section with service = "+string(s.ID))
		}
		k.checkPriority(s)
		for _, u := range s.Upstreams {
			k.checkUpstreamKey(c, s, u, owners)
		}
	}
	k.faults = append(k.faults, Conflicts(file, c, nil)...)
	return k.faults
}

func (k *checker) checkLimits(l stoatpaddle.Limits) {
	for _, limit := range []struct {
		key   string
		value int
	}{{"flows", l.Flows}, {"opens", l.OpenRate}, {"calls", l.Calls}, {"rate", l.CallRate}} {
		if limit.value <= 0 {
			k.addFault("limits", limit.key, fmt.Sprint(limit.value), "a positive number")
		}
	}
}

func (k *checker) checkPriority(s *stoatpaddle.Service) {
	switch section := "service " + string(s.ID); {
	case !s.HasPriority:
	case s.Kind != stoatpaddle.KindCall:
		k.addFault(section, "priority", fmt.Sprint(s.Priority), "no priority, which only call services have")
	case s.Priority < 0 || s.Priority > stoatpaddle.MaxPriority:
		k.addFault(section, "priority", fmt.Sprint(s.Priority), fmt.Sprintf("a whole number from 0 to %d", stoatpaddle.MaxPriority))
	}
}

func (k *checker) checkUpstreamKey(
	c stoatpaddle.Contract, s *stoatpaddle.Service, u stoatpaddle.Upstream,
	owners map[stoatpaddle.UpstreamKey]stoatpaddle.UpstreamID,
) {
	section := "upstream " + string(u.ID)
	key := stoatview.UpstreamKeyOf(stoatpaddle.ServiceRef{Customer: c.Customer, Service: s.ID}, u.ID)
	// The records that entries exchange identify an upstream by this key only. If two upstreams had the same
	// key, an entry that takes over a flow might send it to the wrong one.
	if other, taken := owners[key]; taken && other != u.ID {
		k.addFault(section, "", string(u.ID), "another name: its key is that of "+string(other))
	}
	owners[key] = u.ID
}

// Claims records which service owns which addresses, hosts and upstreams.
type Claims struct {
	owners map[string]owner
}

// owner is the service that has a claim.
type owner struct {
	ref    stoatpaddle.ServiceRef
	shares bool // other services of its customer that share the claim too may have it
}

// mayJoin reports whether o may have a claim that the other owner has. Services of different customers never share one.
func (o owner) mayJoin(other owner) bool {
	if o.ref == other.ref {
		return true
	}
	return o.ref.Customer == other.ref.Customer && o.shares && other.shares
}

// NewClaims returns an empty Claims.
func NewClaims() *Claims { return &Claims{owners: map[string]owner{}} }

// Add adds the claims of the contract's services. If another service owns any of them, Add returns a fault for
// each such claim and adds nothing.
func (c *Claims) Add(file string, contract stoatpaddle.Contract) []*stoatpaddle.Fault {
	k := &checker{file: file}
	added := map[string]owner{}
	for i := range contract.Services {
		s := &contract.Services[i]
		ref := stoatpaddle.ServiceRef{Customer: contract.Customer, Service: s.ID}
		for _, claim := range claimsOf(s) {
			claimant := owner{ref: ref, shares: sharesClaim(s, claim)}
			other, taken := c.owners[claim]
			if !taken {
				other, taken = added[claim]
			}
			if taken && !claimant.mayJoin(other) {
				k.addFault("service "+string(ref.Service), "", claim, "what no other service has; "+other.ref.String()+" has it")
				continue
			}
			added[claim] = claimant
		}
	}
	if len(k.faults) == 0 {
		maps.Copy(c.owners, added)
	}
	return k.faults
}

// Conflicts returns a fault for each claim of c's services that another service owns already, in c itself or in
// one of the other contracts. Other contracts of c's customer are ignored.
func Conflicts(file string, c stoatpaddle.Contract, others []stoatpaddle.Contract) []*stoatpaddle.Fault {
	claimed := NewClaims()
	for _, o := range others {
		if o.Customer != c.Customer {
			claimed.Add(file, o)
		}
	}
	return claimed.Add(file, c)
}

// sharesClaim reports whether other services of the customer may have the claim too: the upstream address of a call
// service that declares a priority.
func sharesClaim(s *stoatpaddle.Service, claim string) bool {
	return s.Kind == stoatpaddle.KindCall && s.HasPriority && strings.HasPrefix(claim, claimUpstreamAddr)
}

// claimUpstreamAddr begins the claim of an upstream's address.
const claimUpstreamAddr = "upstream address "

// claimsOf returns the names and addresses that no other service may have.
func claimsOf(s *stoatpaddle.Service) []string {
	var out []string
	if s.Kind == stoatpaddle.KindCall && s.Host != "" {
		out = append(out, "host "+s.Host)
	}
	for _, port := range s.Ports {
		out = append(out, s.Protocol.String()+" "+netip.AddrPortFrom(s.Addr, port).String())
	}
	// With one server address in two services, one customer's packets could reach the other customer's server.
	for _, r := range s.Retired {
		out = append(out, claimUpstreamAddr+r.Upstream.Addr.String(), "upstream name "+string(r.Upstream.ID))
	}
	for _, u := range s.Upstreams {
		out = append(out, claimUpstreamAddr+u.Addr.String())
		// Operators mark an upstream as joining or leaving by its id alone.
		out = append(out, "upstream name "+string(u.ID))
	}
	return out
}
