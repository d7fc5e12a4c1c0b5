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

// twoEntries returns a platform and the clients of two entries' administration APIs.
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

func sawt(t *testing.T) stoatpaddle.Contract {
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

func refusal(t *testing.T, err error) *stoatadmin.RefusedError {
	var r *stoatadmin.RefusedError
	if !errors.As(err, &r) {
		t.Fatal("not refused:", err)
	}
	return r
}

// Two operators amend one contract from the same version through two entries. One is
// accepted; the other is told which version stands and what differs, and nothing is lost.
func TestTwoOperators(t *testing.T) {
	ctx := context.Background()
	_, c := twoEntries(t)
	one := sawt(t)
	first, err := c[0].Apply(ctx, "sawt", text(one), stoatadmin.ChangeOptions{})
	if err != nil {
		t.Fatal(err)
	}
	base := stoatpaddle.Version(first.Version)
	one.Limits.Flows = 111
	if _, err := c[0].Apply(ctx, "sawt", text(one), stoatadmin.ChangeOptions{Base: base}); err != nil {
		t.Fatal(err)
	}
	two := sawt(t)
	two.Limits.Flows = 222
	_, err = c[1].Apply(ctx, "sawt", text(two), stoatadmin.ChangeOptions{Base: base})
	r := refusal(t, err)
	if r.Status != 409 || r.Response.Version != 2 || strings.Join(r.Response.Differences, " ") != "- [limits] flows = 111 + [limits] flows = 222" {
		t.Errorf("%+v", r)
	}
	if got, err := c[1].Contract(ctx, "sawt"); err != nil || !strings.Contains(got, "flows = 111") || !strings.Contains(got, "version = 2") {
		t.Error(got, err)
	}
}

// The write takes effect and its answer is lost: the operator hears "accepted" all the
// same. With the platform down for longer, the operator hears "unknown" with a token, and
// asking again with it once the platform is back applies the change once.
func TestUnknownThenAccepted(t *testing.T) {
	ctx := context.Background()
	p, c := twoEntries(t)
	p.Set(stoatfake.Trouble{LoseWrites: 1})
	a, err := c[0].Apply(ctx, "sawt", text(sawt(t)), stoatadmin.ChangeOptions{})
	if err != nil || a.Version != 1 {
		t.Fatal(a, err)
	}
	p.Set(stoatfake.Trouble{LoseWrites: 9})
	amended := sawt(t)
	amended.Limits.Flows = 5
	change := stoatadmin.ChangeOptions{Base: 1, Token: "mine"}
	if _, err = c[0].Apply(ctx, "sawt", text(amended), change); err != nil {
		// Every answer was lost; the write itself took effect.
		r := refusal(t, err)
		if r.Response.Outcome != stoatadmin.OutcomeUnknown || r.Response.Token != "mine" {
			t.Fatalf("%+v", r)
		}
	}
	p.Set(stoatfake.Trouble{})
	a, err = c[1].Apply(ctx, "sawt", text(amended), change)
	if err != nil || a.Version != 2 {
		t.Fatal(a, err)
	}
	p.Set(stoatfake.Trouble{Down: true})
	_, err = c[0].Apply(ctx, "sawt", text(sawt(t)), stoatadmin.ChangeOptions{Base: 2})
	if r := refusal(t, err); r.Response.Number != stoatadmin.ProblemPlatformUnavailable.Number.String() {
		t.Errorf("%+v", r)
	}
}

// An amendment takes an upstream out while callers' flows are open on it. The platform's
// object still names it, so that an entry which starts later can send those flows on; the
// operator does not see it, and nobody else can claim its address yet.
func TestUpstreamTakenOutIsRetired(t *testing.T) {
	ctx := context.Background()
	p, c := twoEntries(t)
	if _, err := c[0].Apply(ctx, "sawt", text(sawt(t)), stoatadmin.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	less := sawt(t)
	gone := less.Services[0].Upstreams[1]
	less.Services[0].Upstreams = less.Services[0].Upstreams[:1]
	if _, err := c[0].Apply(ctx, "sawt", text(less), stoatadmin.ChangeOptions{Base: 1}); err != nil {
		t.Fatal(err)
	}
	stored, err := stoatcontract.Decode(p.Objects()[0].Value)
	if err != nil || len(stored.Services[0].Retired) != 1 || stored.Services[0].Retired[0].Upstream != gone {
		t.Fatalf("%+v %v", stored.Services[0].Retired, err)
	}
	if got, err := c[1].Contract(ctx, "sawt"); err != nil || strings.Contains(got, string(gone.ID)) {
		t.Error(got, err)
	}
	later := stoatcontract.AddRetired(time.Unix(1000, 0).Add(9*time.Hour), stored, less)
	if len(later.Services[0].Retired) != 0 {
		t.Error("retired for good")
	}
	if back := stoatcontract.AddRetired(time.Unix(1000, 0), stored, sawt(t)); len(back.Services[0].Retired) != 0 {
		t.Error("declared again and still retired")
	}
}

func TestRefusedChanges(t *testing.T) {
	ctx := context.Background()
	_, c := twoEntries(t)
	if _, err := c[0].Apply(ctx, "sawt", text(sawt(t)), stoatadmin.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	thief := sawt(t)
	thief.Customer = "barrilete"
	for name, try := range map[string]struct {
		number string
		err    error
	}{
		"claims what another has": {"SP2001", second(c[0].Apply(ctx, "barrilete", text(thief), stoatadmin.ChangeOptions{}))},
		"names another customer":  {"SP2001", second(c[0].Apply(ctx, "other", text(sawt(t)), stoatadmin.ChangeOptions{}))},
		"broken":                  {"SP2001", second(c[0].Apply(ctx, "sawt", []byte("[contract]\nx=1"), stoatadmin.ChangeOptions{Base: 1}))},
		"created twice":           {"SP2002", second(c[0].Apply(ctx, "sawt", text(sawt(t)), stoatadmin.ChangeOptions{}))},
		"removed unseen":          {"SP2006", second(c[0].Remove(ctx, "sawt", stoatadmin.ChangeOptions{}))},
		"removed at old version":  {"SP2002", second(c[0].Remove(ctx, "sawt", stoatadmin.ChangeOptions{Base: 7}))},
		"removed, none there":     {"SP2005", second(c[0].Remove(ctx, "none", stoatadmin.ChangeOptions{Base: 7}))},
		"unknown instance":        {"SP2005", second(c[0].SetInstanceState(ctx, "nobody", stoatpaddle.StateLeaving))},
		"unknown state":           {"SP2007", second(c[0].SetInstanceState(ctx, "giving-a", "dancing"))},
	} {
		if r := refusal(t, try.err); r.Response.Number != try.number {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if a, err := c[0].SetInstanceState(ctx, "giving-a", stoatpaddle.StateLeaving); err != nil || a.Version != 2 {
		t.Error(a, err)
	}
	if _, err := c[1].Remove(ctx, "sawt", stoatadmin.ChangeOptions{Base: 1}); err != nil {
		t.Error(err)
	}
}

func second[T any](_ T, err error) error { return err }

// Operators evacuate a data centre through one entry and take it back through another one. A name that no
// entry or upstream has would evacuate nothing, and is refused; asked twice it is one evacuation.
func TestEvacuation(t *testing.T) {
	ctx := context.Background()
	p, c := twoEntries(t)
	if _, err := c[0].Apply(ctx, "sawt", text(sawt(t)), stoatadmin.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	if err := second(c[0].Evacuate(ctx, "ruvi")); refusal(t, err).Response.Number != "SP2005" {
		t.Error(err)
	}
	if err := second(c[0].EndEvacuation(ctx, "ruwi")); refusal(t, err).Response.Number != "SP2005" {
		t.Error(err)
	}
	first, err := c[0].Evacuate(ctx, "ruwi")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := c[1].Evacuate(ctx, "ruwi"); err != nil || again.Version != first.Version {
		t.Error(again, err)
	}
	if _, err := c[1].EndEvacuation(ctx, "ruwi"); err != nil {
		t.Error(err)
	}
	if again, err := c[0].Evacuate(ctx, "ruwi"); err != nil || again.Version <= first.Version {
		t.Error("evacuated a second time:", again, err)
	}
	p.Set(stoatfake.Trouble{Down: true})
	if err := second(c[0].EndEvacuation(ctx, "ruwi")); refusal(t, err).Response.Number != "SP2004" {
		t.Error(err)
	}
}
