package stoatentry_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatentry"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// An operator amends a contract, the amendment is accepted and in force at both entries, and the platform
// comes back from a copy of before. The copy's contract has a later place in the platform's history, and
// entries that went by that would go back to it: the customer would have the limits that were replaced.
// The amendment stays in force and stands on the platform again, and the next one goes on top of it.
func TestContractOutlivesARestore(t *testing.T) {
	platform := stoatfake.NewPlatform()
	srv := httptest.NewServer(platform)
	t.Cleanup(srv.Close)
	at := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	a, setA := startEntry(t, "e1", at, netip.MustParseAddrPort("127.0.0.1:9"))
	b, _ := startEntry(t, "e2", at, netip.MustParseAddrPort("127.0.0.1:9"))
	until(func() bool { return ready(a, 0, 2) && ready(b, 0, 2) })
	client := stoatadmin.NewClient(setA.AdminAddr.String())
	c := stoatpaddle.Contract{
		Customer: "sawt", Preference: stoatpaddle.PreferBalance, Limits: stoatpaddle.Limits{Flows: 100, OpenRate: 1000, Calls: 10, CallRate: 10},
		Services: []stoatpaddle.Service{{
			ID: "giving", Kind: stoatpaddle.KindFlow, Addr: netip.MustParseAddr("203.0.113.10"), Protocol: stoatpaddle.ProtocolTCP, Ports: []uint16{443},
			Upstreams: []stoatpaddle.Upstream{{ID: "u1", DataCentre: "ruwi", Addr: netip.MustParseAddrPort("127.0.0.1:9"), Weight: 1, Slots: 3, MaxFlows: 100}},
		}},
	}
	apply := func(flows int, base stoatpaddle.Version) stoatpaddle.Version {
		t.Helper()
		c.Limits.Flows = flows
		answer, err := client.Apply(context.Background(), "sawt", []byte(stoatcontract.Format(c, base)), stoatadmin.ChangeOptions{Base: base})
		if err != nil {
			t.Fatal(err)
		}
		return stoatpaddle.Version(answer.Version)
	}
	stands := func() (int, stoatpaddle.Version) {
		for _, o := range platform.Objects() {
			if got, err := stoatcontract.Decode(o.Value); err == nil && o.Ref.Kind == stoatpaddle.ObjectContract {
				return got.Limits.Flows, o.Version
			}
		}
		return 0, 0
	}
	first := apply(100, 0)
	copied := platform.Save()
	second := apply(200, first)
	inForce := func(version stoatpaddle.Version) func() bool {
		return func() bool { return has(a, version) && has(b, version) }
	}
	until(inForce(second))
	platform.Restore(copied)
	if flows, _ := stands(); flows != 100 {
		t.Fatal("the copy has", flows)
	}
	until(func() bool { flows, _ := stands(); return flows == 200 })
	_, again := stands()
	until(inForce(again))
	if again <= second {
		t.Error("written again at", again, "after", second)
	}
	until(inForce(apply(300, again)))
}

// has tells whether the entry's one contract is in force at that version or a later one.
func has(e *stoatentry.Entry, version stoatpaddle.Version) bool {
	st, err := e.Status()
	return err == nil && len(st.Contracts) == 1 && st.Contracts[0].Version >= version
}
