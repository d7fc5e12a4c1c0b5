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

// An operator amends a contract, both entries apply the amendment, and then the platform is restored from an
// older backup. The backup's contract has a later position in the platform's history, so entries that compare
// positions alone would bring back the limits that the amendment replaced. The amendment must stay in force,
// be written to the platform again, and be the base of the next amendment.
func TestContractOutlivesARestore(t *testing.T) {
	platform := stoatfake.NewPlatform()
	srv := httptest.NewServer(platform)
	t.Cleanup(srv.Close)
	platformAddr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	a, setA := startEntry(t, "e1", platformAddr, netip.MustParseAddrPort("127.0.0.1:9"))
	b, _ := startEntry(t, "e2", platformAddr, netip.MustParseAddrPort("127.0.0.1:9"))
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
	stored := func() (int, stoatpaddle.Version) {
		for _, o := range platform.Objects() {
			if got, err := stoatcontract.Decode(o.Value); err == nil && o.Ref.Kind == stoatpaddle.ObjectContract {
				return got.Limits.Flows, o.Version
			}
		}
		return 0, 0
	}
	first := apply(100, 0)
	backup := platform.Snapshot()
	second := apply(200, first)
	inForce := func(version stoatpaddle.Version) func() bool {
		return func() bool { return hasVersion(a, version) && hasVersion(b, version) }
	}
	until(inForce(second))
	platform.Restore(backup)
	if flows, _ := stored(); flows != 100 {
		t.Fatal("limit of flows in the restored backup:", flows)
	}
	until(func() bool { flows, _ := stored(); return flows == 200 })
	_, rewritten := stored()
	until(inForce(rewritten))
	if rewritten <= second {
		t.Error("the amendment was written again at version", rewritten, "not after version", second)
	}
	until(inForce(apply(300, rewritten)))
}

// hasVersion reports whether the entry has one contract, in force at this version or a later one.
func hasVersion(e *stoatentry.Entry, version stoatpaddle.Version) bool {
	st, err := e.Status()
	return err == nil && len(st.Contracts) == 1 && st.Contracts[0].Version >= version
}
