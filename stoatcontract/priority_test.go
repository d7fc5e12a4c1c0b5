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

// Only call services that both declare a priority may share an upstream address. Otherwise a mistake in one contract
// would send its calls to the server of another customer.
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

// Contracts of two customers are checked like services of one.
func TestConflictsOfSharedUpstreams(t *testing.T) {
	contract := func(customer stoatpaddle.CustomerID, hasPriority bool) stoatpaddle.Contract {
		d, err := parseShared("priority = 0", "priority = 1")
		if err != nil {
			t.Fatal(err)
		}
		c := d.Contract
		c.Customer = customer
		c.Services = c.Services[:1]
		c.Services[0].Host = string(customer)
		c.Services[0].Upstreams[0].ID = stoatpaddle.UpstreamID(customer)
		c.Services[0].HasPriority = hasPriority
		return c
	}
	for _, c := range []struct {
		a, b   bool
		faults int
	}{{true, true, 0}, {true, false, 1}, {false, true, 1}, {false, false, 1}} {
		if got := Conflicts("b", contract("b", c.b), []stoatpaddle.Contract{contract("a", c.a)}); len(got) != c.faults {
			t.Errorf("%+v: %v", c, got)
		}
	}
	// A third contract without a priority conflicts although two others share the address.
	others := []stoatpaddle.Contract{contract("a", true), contract("b", true)}
	if got := Conflicts("c", contract("c", false), others); len(got) != 1 {
		t.Error(got)
	}
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
