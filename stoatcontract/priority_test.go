package stoatcontract

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
)

const sharedContract = `[contract]
customer = sawt

[service app]
kind = call
host = app.sawt.example
PRIORITY-A

[service batch]
kind = call
host = batch.sawt.example
PRIORITY-B

[upstream one]
service = app
centre = ruwi
address = 192.0.2.1:6080

[upstream two]
service = batch
centre = ruwi
address = 192.0.2.1:6080
`

func parseShared(a, b string) (Draft, error) {
	return Parse("sawt.ini", []byte(strings.NewReplacer("PRIORITY-A", a, "PRIORITY-B", b).Replace(sharedContract)))
}

// Only call services that both declare a priority may share an upstream address; a service without one must never
// get the calls of another.
func TestSharedUpstreamsNeedPriorities(t *testing.T) {
	const taken = `got "upstream address 192.0.2.1:6080"`
	for name, c := range map[string]struct{ a, b, fault string }{
		"both":          {"priority = 0", "priority = 3", ""},
		"equal":         {"priority = 0", "priority = 0", ""},
		"none":          {"", "", taken},
		"first only":    {"priority = 1", "", taken},
		"second only":   {"", "priority = 1", taken},
		"too high":      {"priority = 0", "priority = 16", "priority"},
		"negative":      {"priority = 0", "priority = -1", "priority"},
		"not a number":  {"priority = 0", "priority = low", "priority"},
		"flow services": {"priority = 0", "kind = flow\npriority = 1", "priority"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseShared(c.a, c.b)
			if c.fault == "" && err != nil || c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
				t.Error(err)
			}
		})
	}
}

// A request of one customer must never reach a server of another, so that contracts of two customers that name one
// upstream address conflict whatever priorities they declare.
func TestCustomersNeverShareUpstreams(t *testing.T) {
	for _, retired := range []bool{false, true} {
		for _, c := range []struct{ a, b bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
			others := []stoatpaddle.Contract{contractOf(t, "a", c.a, retired)}
			if got := Conflicts("b", contractOf(t, "b", c.b, false), others); len(got) != 1 {
				t.Errorf("priorities %+v, retired %v: %v", c, retired, got)
			}
		}
	}
}

// A customer whose own services share an address must keep it from others, also when the claims of its services are
// added one by one.
func TestSharedUpstreamStaysWithItsCustomer(t *testing.T) {
	both, err := parseShared("priority = 0", "priority = 1")
	if err != nil {
		t.Fatal(err)
	}
	claims := NewClaims()
	if got := claims.Add("sawt", both.Contract); len(got) != 0 {
		t.Error(got)
	}
	for _, hasPriority := range []bool{true, false} {
		if got := claims.Add("b", contractOf(t, "b", hasPriority, false)); len(got) != 1 {
			t.Errorf("priority %v: %v", hasPriority, got)
		}
	}
}

// contractOf returns a contract with the first service of sharedContract. Its upstream may be a retired one.
func contractOf(t *testing.T, customer stoatpaddle.CustomerID, hasPriority, retired bool) stoatpaddle.Contract {
	d, err := parseShared("priority = 0", "priority = 1")
	if err != nil {
		t.Fatal(err)
	}
	c := d.Contract
	c.Customer = customer
	c.Services = c.Services[:1]
	s := &c.Services[0]
	s.Host = string(customer)
	s.HasPriority = hasPriority
	s.Upstreams[0].ID = stoatpaddle.UpstreamID(customer)
	if retired {
		s.Retired = []stoatpaddle.RetiredUpstream{{Upstream: s.Upstreams[0]}}
		s.Upstreams = nil
	}
	return c
}

// A priority keeps its value in INI and JSON. A contract without one is stored as before, and a release that does
// not know the field can read one that has it.
func TestPriorityRoundTrip(t *testing.T) {
	d, err := parseShared("priority = 0", "priority = 3")
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("again", []byte(Format(d.Contract, 0)))
	if err != nil {
		t.Fatal(err)
	}
	data, err := Encode(d.Contract)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []stoatpaddle.Contract{again.Contract, decoded} {
		app, batch := c.Services[0], c.Services[1]
		if !app.HasPriority || app.Priority != 0 || !batch.HasPriority || batch.Priority != 3 {
			t.Errorf("%+v", c.Services)
		}
	}
	if !strings.Contains(string(data), `"priority":0`) || !strings.Contains(string(data), `"priority":3`) {
		t.Error(string(data))
	}
	var older struct {
		Services []struct{ Name, Host string }
	}
	if err := json.Unmarshal(data, &older); err != nil || len(older.Services) != 2 {
		t.Error(err)
	}
}

// storedContract is a contract as the release before priorities stored it.
const storedContract = `{"customer":"sawt","lean":"flows","limits":{"flows":1,"opens":1,"calls":1,"rate":1},"services":[{"name":"app","kind":"call","host":"app.example","upstreams":[{"name":"one","centre":"ruwi","address":"192.0.2.1:6080","weight":100,"slots":3,"connections":2000}]}]}`

// A stored contract without the field must stay byte for byte as it is, since entries of both releases write it.
func TestStoredContractWithoutPriorityIsUnchanged(t *testing.T) {
	c, err := Decode([]byte(storedContract))
	if err != nil {
		t.Fatal(err)
	}
	data, err := Encode(c)
	if err != nil || string(data) != storedContract {
		t.Errorf("%s, %v", data, err)
	}
	var faults *stoatpaddle.FaultsError
	bad := strings.Replace(storedContract, `"kind":"call"`, `"kind":"call","priority":-1`, 1)
	if _, err := Decode([]byte(bad)); !errors.As(err, &faults) {
		t.Error("a negative priority is accepted:", err)
	}
}
