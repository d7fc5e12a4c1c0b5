package stoatview

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// customerAddr is an upstream address of one customer. Groups never span customers.
type customerAddr struct {
	customer stoatpaddle.CustomerID
	addr     netip.AddrPort
}

// groupServices sets Group and SharedAddrs of the call services that share upstream addresses. Only services of one
// customer that declare a priority may share them.
func groupServices(services []*Service) {
	byAddr := map[customerAddr][]*Service{}
	for _, s := range services {
		if s.Kind != stoatpaddle.KindCall || !s.hasPriority {
			continue
		}
		for _, u := range s.Set.Upstreams {
			at := customerAddr{customer: s.Ref.Customer, addr: u.Addr}
			if sharing := byAddr[at]; len(sharing) == 0 || sharing[len(sharing)-1] != s {
				byAddr[at] = append(sharing, s)
			}
		}
	}
	g := grouping{}
	for at, sharing := range byAddr {
		if len(sharing) < 2 {
			continue
		}
		for _, s := range sharing {
			s.addSharedAddr(at.addr)
			g.join(sharing[0], s)
		}
	}
	for _, s := range services {
		if s.SharedAddrs != nil {
			s.Group = g.first(s).Ref
		}
	}
}

func (s *Service) addSharedAddr(addr netip.AddrPort) {
	if s.SharedAddrs == nil {
		s.SharedAddrs = map[netip.AddrPort]bool{}
	}
	s.SharedAddrs[addr] = true
}

// grouping maps a service to an earlier one of its group, as a union-find structure.
type grouping map[*Service]*Service

// first returns the service of the group that has the lowest reference.
func (g grouping) first(s *Service) *Service {
	for g[s] != nil {
		s = g[s]
	}
	return s
}

func (g grouping) join(a, b *Service) {
	a, b = g.first(a), g.first(b)
	if a == b {
		return
	}
	if b.Ref.String() < a.Ref.String() {
		a, b = b, a
	}
	g[b] = a
}
