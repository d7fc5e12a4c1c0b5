package stoatview

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

func serviceAt(customer string, hasPriority bool, hosts ...byte) stoatpaddle.Contract {
	s := stoatpaddle.Service{ID: "s", Kind: stoatpaddle.KindCall, Host: customer, HasPriority: hasPriority}
	for i, host := range hosts {
		s.Upstreams = append(s.Upstreams, stoatpaddle.Upstream{
			ID: stoatpaddle.UpstreamID(customer + strconv.Itoa(i)), Weight: 1, Slots: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, host}), 80),
		})
	}
	return stoatpaddle.Contract{Customer: stoatpaddle.CustomerID(customer), Services: []stoatpaddle.Service{s}}
}

// Services that share an upstream, directly or through another service, form one group; others form none. A wrong
// group would let calls give way to calls at other upstreams.
func TestGroups(t *testing.T) {
	v := Next(nil, time.Unix(0, 0), Input{Self: "e", Contracts: []stoatpaddle.Contract{
		serviceAt("a", true, 1, 2), serviceAt("b", true, 2, 3), serviceAt("c", true, 3), serviceAt("d", true, 4),
		serviceAt("e", false, 5), serviceAt("f", true, 6), serviceAt("g", true, 6),
	}})
	want := map[string]struct {
		group  string
		shared int
	}{"a": {"a/s", 1}, "b": {"a/s", 2}, "c": {"a/s", 1}, "d": {}, "e": {}, "f": {"f/s", 1}, "g": {"f/s", 1}}
	for _, s := range v.Services {
		w := want[string(s.Ref.Customer)]
		group := ""
		if s.Group != (stoatpaddle.ServiceRef{}) {
			group = s.Group.String()
		}
		if group != w.group || len(s.SharedAddrs) != w.shared {
			t.Errorf("%s: group %q, %d shared", s.Ref, group, len(s.SharedAddrs))
		}
	}
}
