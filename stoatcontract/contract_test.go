package stoatcontract

import (
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/stoatpaddle/stoatpaddle"
)

func readTestdata(t *testing.T, name string) []byte {
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Each testdata/bad-*.ini lists the expected faults in comments at its end, one a line.
func TestFaults(t *testing.T) {
	for _, name := range []string{"bad-five.ini", "bad-claims.ini", "bad-empty.ini"} {
		t.Run(name, func(t *testing.T) {
			text := string(readTestdata(t, name))
			var want []string
			for _, line := range strings.Split(text, "\n") {
				if rest, ok := strings.CutPrefix(line, ";! "); ok {
					want = append(want, rest)
				}
			}
			_, err := Parse(name, []byte(text))
			var faults *stoatpaddle.FaultsError
			if !errors.As(err, &faults) {
				t.Fatal(err)
			}
			if d := cmp.Diff(want, strings.Split(faults.Error(), "\n")); d != "" {
				t.Error(d)
			}
		})
	}
}

// A contract stays the same when it is formatted and parsed as INI, or encoded and decoded as JSON.
func TestRoundTrip(t *testing.T) {
	draft, err := Parse("sawt.ini", readTestdata(t, "sawt.ini"))
	if err != nil {
		t.Fatal(err)
	}
	addrs := cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{})
	reparsed, err := Parse("again", []byte(Format(draft.Contract, 7)))
	if err != nil || reparsed.BaseVersion != 7 {
		t.Fatal(reparsed.BaseVersion, err)
	}
	if d := cmp.Diff(draft.Contract, reparsed.Contract, addrs); d != "" {
		t.Error("INI:", d)
	}
	data, err := Encode(draft.Contract)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(draft.Contract, decoded, addrs); d != "" {
		t.Error("JSON:", d)
	}
}

// A changed value is reported with its section, once as it was and once as it is now.
func TestDiff(t *testing.T) {
	a, err := Parse("sawt.ini", readTestdata(t, "sawt.ini"))
	if err != nil {
		t.Fatal(err)
	}
	b := a.Contract
	b.Limits.Flows++
	want := []string{"- [limits] flows = 90000", "+ [limits] flows = 90001"}
	if d := cmp.Diff(want, Diff(a.Contract, b)); d != "" {
		t.Error(d)
	}
}
