package stoatadmin_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
	"github.com/stoatpaddle/stoatpaddle/stoatnode"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
)

// twoEntries returns a platform and clients of the administration APIs of two entries.
func twoEntries(t *testing.T) (*stoatfake.Platform, [2]*stoatadmin.Client) {
	p := stoatfake.NewPlatform()
	platform := httptest.NewServer(p)
	t.Cleanup(platform.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(platform.URL, "http://"))
	var clients [2]*stoatadmin.Client
	for i := range clients {
		srv := httptest.NewServer(stoatadmin.New(stoatadmin.Config{
			Platform: stoatplatform.New(stoatplatform.Config{Addr: addr, Timeout: 200 * time.Millisecond}),
			Status: func() (stoatnode.Status, error) {
				return stoatnode.Status{Upstreams: []stoatpaddle.Upstream{{ID: "giving-a", DataCentre: "ruwi"}}}, nil
			},
			Metrics: func(io.Writer) {}, Clock: func() time.Time { return time.Unix(1000, 0) }, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		}))
		t.Cleanup(srv.Close)
		clients[i] = stoatadmin.NewClient(strings.TrimPrefix(srv.URL, "http://"))
	}
	return p, clients
}

func sampleContract(t *testing.T) stoatpaddle.Contract {
	data, err := os.ReadFile("../stoatcontract/testdata/sawt.ini")
	if err != nil {
		t.Fatal(err)
	}
	d, err := stoatcontract.Parse("sawt.ini", data)
	if err != nil {
		t.Fatal(err)
	}
	return d.Contract
}

func text(c stoatpaddle.Contract) []byte { return []byte(stoatcontract.Format(c, 0)) }

// refusal returns err as a RefusedError and fails the test if err is not one.
func refusal(t *testing.T, err error) *stoatadmin.RefusedError {
	var r *stoatadmin.RefusedError
	if !errors.As(err, &r) {
		t.Fatal("error is not a RefusedError:", err)
	}
	return r
}

// Two operators amend the same version of a contract through two entries. One change is accepted; the other
// must be refused, with the stored version and the differences, and must not overwrite the first.
func TestTwoOperators(t *testing.T) {
	ctx := context.Background()
	_, clients := twoEntries(t)
	one := sampleContract(t)
	first, err := clients[0].Apply(ctx, "sawt", text(one), stoatadmin.ChangeOptions{})
	if err != nil {
		t.Fatal(err)
	}
	base := stoatpaddle.Version(first.Version)
	one.Limits.Flows = 111
	if _, err := clients[0].Apply(ctx, "sawt", text(one), stoatadmin.ChangeOptions{Base: base}); err != nil {
		t.Fatal(err)
	}
	two := sampleContract(t)
	two.Limits.Flows = 222
	_, err = clients[1].Apply(ctx, "sawt", text(two), stoatadmin.ChangeOptions{Base: base})
	r := refusal(t, err)
	if r.Status != 409 || r.Response.Version != 2 || strings.Join(r.Response.Differences, " ") != "- [limits] flows = 111 + [limits] flows = 222" {
		t.Errorf("%+v", r)
	}
	if got, err := clients[1].Contract(ctx, "sawt"); err != nil || !strings.Contains(got, "flows = 111") || !strings.Contains(got, "version = 2") {
		t.Error(got, err)
	}
}

// A write takes effect and the platform's answer is lost: the operator must still get "accepted". If every
// answer is lost, the operator gets "unknown" with a token, and repeating the change with that token once the
// platform answers again must apply the change once. With the platform down, a change is refused and
// not sent to it.
func TestUnknownThenAccepted(t *testing.T) {
	ctx := context.Background()
	p, clients := twoEntries(t)
	p.SetFaults(stoatfake.Faults{DropWriteAnswers: 1})
	a, err := clients[0].Apply(ctx, "sawt", text(sampleContract(t)), stoatadmin.ChangeOptions{})
	if err != nil || a.Version != 1 {
		t.Fatal(a, err)
	}
	p.SetFaults(stoatfake.Faults{DropWriteAnswers: 9})
	amended := sampleContract(t)
	amended.Limits.Flows = 5
	change := stoatadmin.ChangeOptions{Base: 1, Token: "mine"}
	if _, err = clients[0].Apply(ctx, "sawt", text(amended), change); err != nil {
		// Every answer was lost, but the write took effect.
		r := refusal(t, err)
		if r.Response.Outcome != stoatadmin.OutcomeUnknown || r.Response.Token != "mine" {
			t.Fatalf("%+v", r)
		}
	}
	p.SetFaults(stoatfake.Faults{})
	a, err = clients[1].Apply(ctx, "sawt", text(amended), change)
	if err != nil || a.Version != 2 {
		t.Fatal(a, err)
	}
	p.SetFaults(stoatfake.Faults{Down: true})
	_, err = clients[0].Apply(ctx, "sawt", text(sampleContract(t)), stoatadmin.ChangeOptions{Base: 2})
	if r := refusal(t, err); r.Response.Number != stoatadmin.ProblemPlatformUnavailable.Number.String() {
		t.Errorf("%+v", r)
	}
}

// An amendment removes an upstream that still has open flows. The stored contract must still name it, so that
// an entry that starts later can forward those flows; an operator who gets the contract must not see it. Until
// the upstream is forgotten, or declared again, no other customer can claim its address.
func TestRemovedUpstreamIsRetired(t *testing.T) {
	ctx := context.Background()
	p, clients := twoEntries(t)
	if _, err := clients[0].Apply(ctx, "sawt", text(sampleContract(t)), stoatadmin.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	reduced := sampleContract(t)
	removed := reduced.Services[0].Upstreams[1]
	reduced.Services[0].Upstreams = reduced.Services[0].Upstreams[:1]
	if _, err := clients[0].Apply(ctx, "sawt", text(reduced), stoatadmin.ChangeOptions{Base: 1}); err != nil {
		t.Fatal(err)
	}
	stored, err := stoatcontract.Decode(p.Objects()[0].Value)
	if err != nil || len(stored.Services[0].Retired) != 1 || stored.Services[0].Retired[0].Upstream != removed {
		t.Fatalf("%+v %v", stored.Services[0].Retired, err)
	}
	if got, err := clients[1].Contract(ctx, "sawt"); err != nil || strings.Contains(got, string(removed.ID)) {
		t.Error(got, err)
	}
	later := stoatcontract.AddRetired(time.Unix(1000, 0).Add(9*time.Hour), stored, reduced)
	if len(later.Services[0].Retired) != 0 {
		t.Error("still retired nine hours later")
	}
	if back := stoatcontract.AddRetired(time.Unix(1000, 0), stored, sampleContract(t)); len(back.Services[0].Retired) != 0 {
		t.Error("still retired after it was declared again")
	}
}

// The API refuses changes that conflict with another contract, can't be parsed, lack their condition or name a
// version, an object or a state that doesn't exist; each reply must have the number of its problem.
func TestRefusedChanges(t *testing.T) {
	ctx := context.Background()
	_, clients := twoEntries(t)
	if _, err := clients[0].Apply(ctx, "sawt", text(sampleContract(t)), stoatadmin.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	conflicting := sampleContract(t)
	conflicting.Customer = "barrilete"
	for name, tc := range map[string]struct {
		number string
		err    error
	}{
		"claims another contract's upstreams": {"SP2001", errorOf(clients[0].Apply(ctx, "barrilete", text(conflicting), stoatadmin.ChangeOptions{}))},
		"names another customer":              {"SP2001", errorOf(clients[0].Apply(ctx, "other", text(sampleContract(t)), stoatadmin.ChangeOptions{}))},
		"malformed":                           {"SP2001", errorOf(clients[0].Apply(ctx, "sawt", []byte("[contract]\nx=1"), stoatadmin.ChangeOptions{Base: 1}))},
		"created twice":                       {"SP2002", errorOf(clients[0].Apply(ctx, "sawt", text(sampleContract(t)), stoatadmin.ChangeOptions{}))},
		"removed without a version":           {"SP2006", errorOf(clients[0].Remove(ctx, "sawt", stoatadmin.ChangeOptions{}))},
		"removed at a wrong version":          {"SP2002", errorOf(clients[0].Remove(ctx, "sawt", stoatadmin.ChangeOptions{Base: 7}))},
		"removed, not there":                  {"SP2005", errorOf(clients[0].Remove(ctx, "none", stoatadmin.ChangeOptions{Base: 7}))},
		"unknown instance":                    {"SP2005", errorOf(clients[0].SetInstanceState(ctx, "nobody", stoatpaddle.StateLeaving))},
		"unknown state":                       {"SP2007", errorOf(clients[0].SetInstanceState(ctx, "giving-a", "dancing"))},
	} {
		if r := refusal(t, tc.err); r.Response.Number != tc.number {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if a, err := clients[0].SetInstanceState(ctx, "giving-a", stoatpaddle.StateLeaving); err != nil || a.Version != 2 {
		t.Error(a, err)
	}
	if _, err := clients[1].Remove(ctx, "sawt", stoatadmin.ChangeOptions{Base: 1}); err != nil {
		t.Error(err)
	}
}

// errorOf drops the first of two results.
func errorOf[T any](_ T, err error) error { return err }

// Operators begin the evacuation of a data centre through one entry and end it through another. A data centre
// without entries and upstreams must be refused, because nothing would be evacuated, and a second request for
// the same evacuation must not change it.
func TestEvacuation(t *testing.T) {
	ctx := context.Background()
	p, clients := twoEntries(t)
	if _, err := clients[0].Apply(ctx, "sawt", text(sampleContract(t)), stoatadmin.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	if err := errorOf(clients[0].Evacuate(ctx, "ruvi")); refusal(t, err).Response.Number != "SP2005" {
		t.Error(err)
	}
	if err := errorOf(clients[0].EndEvacuation(ctx, "ruwi")); refusal(t, err).Response.Number != "SP2005" {
		t.Error(err)
	}
	first, err := clients[0].Evacuate(ctx, "ruwi")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := clients[1].Evacuate(ctx, "ruwi"); err != nil || again.Version != first.Version {
		t.Error(again, err)
	}
	if _, err := clients[1].EndEvacuation(ctx, "ruwi"); err != nil {
		t.Error(err)
	}
	if again, err := clients[0].Evacuate(ctx, "ruwi"); err != nil || again.Version <= first.Version {
		t.Error("second evacuation, after the end of the first:", again, err)
	}
	p.SetFaults(stoatfake.Faults{Down: true})
	if err := errorOf(clients[0].EndEvacuation(ctx, "ruwi")); refusal(t, err).Response.Number != "SP2004" {
		t.Error(err)
	}
}
