package stoatview

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle"
)

func serviceAt(customer stoatpaddle.CustomerID, id stoatpaddle.ServiceID, hasPriority bool, hosts ...byte) stoatpaddle.Contract {
	s := stoatpaddle.Service{ID: id, Kind: stoatpaddle.KindCall, Host: string(customer) + string(id), HasPriority: hasPriority}
	for i, host := range hosts {
		s.Upstreams = append(s.Upstreams, stoatpaddle.Upstream{
			ID: stoatpaddle.UpstreamID(s.Host + strconv.Itoa(i)), Weight: 1, Slots: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, host}), 80),
		})
	}
	return stoatpaddle.Contract{Customer: customer, Services: []stoatpaddle.Service{s}}
}

type groupOf struct {
	group  string
	shared int // addresses
}

func groupsOf(contracts ...stoatpaddle.Contract) map[string]groupOf {
	out := map[string]groupOf{}
	for _, s := range Next(nil, time.Unix(0, 0), Input{Self: "e", Contracts: contracts}).Services {
		g := groupOf{shared: len(s.SharedAddrs)}
		if s.Group != (stoatpaddle.ServiceRef{}) {
			g.group = s.Group.String()
		}
		out[s.Ref.String()] = g
	}
	return out
}

// Services that share an upstream, directly or through another service, form one group; others form none. A wrong
// group would let calls give way to calls at other upstreams.
func TestGroups(t *testing.T) {
	got := groupsOf(
		serviceAt("c", "a", true, 1, 2), serviceAt("c", "b", true, 2, 3), serviceAt("c", "c", true, 3), serviceAt("c", "d", true, 4),
		serviceAt("c", "e", false, 5), serviceAt("c", "f", true, 6), serviceAt("c", "g", true, 6), serviceAt("c", "h", false, 6),
	)
	want := map[string]groupOf{
		"c/a": {"c/a", 1}, "c/b": {"c/a", 2}, "c/c": {"c/a", 1}, "c/d": {}, "c/e": {}, "c/f": {"c/f", 1}, "c/g": {"c/f", 1}, "c/h": {},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(groupOf{})); diff != "" {
		t.Error(diff)
	}
}

// Two contracts that slip past the check of addresses must not let calls of one customer give way to those of another,
// nor be counted with them.
func TestGroupsNeverSpanCustomers(t *testing.T) {
	got := groupsOf(
		serviceAt("c", "a", true, 1), serviceAt("d", "a", true, 1), serviceAt("d", "b", true, 1, 2), serviceAt("e", "a", true, 2),
	)
	want := map[string]groupOf{"c/a": {}, "d/a": {"d/a", 1}, "d/b": {"d/a", 1}, "e/a": {}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(groupOf{})); diff != "" {
		t.Error(diff)
	}
}
