package stoatcommand

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// A subcommand returns another exit code than the documented one, or does not print why.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		want string // in what is printed
	}{
		{"version", exitOK, "stoatpaddle " + Version},
		{"--help", exitOK, "contract"},
		{"contract --help", exitOK, "apply"},
		{"contract apply --help", exitOK, "--version"},
		{"explain SP1004", exitOK, "entry does not answer"},
		{"explain sp1004", exitOK, "entry does not answer"},
		{"explain SP9999", exitFailure, "SP9999"},
		{"check ../stoatsetting/testdata/entry.ini ../stoatcontract/testdata/sawt.ini", exitOK, "no faults"},
		{"check ../stoatcontract/testdata/bad-five.ini", exitFailure, "[upstream giving-b] colour"},
		{"check testdata/none.ini", exitFailure, "none.ini"},
		{"status --entry 127.0.0.1:1", exitFailure, "no answer"},
		{"run -c testdata/bad-settings.ini", exitUsage, "[instance] centre"},
		{"run -c testdata/bad-settings.ini", exitUsage, "[fabric] kind"},
		{"run -c testdata/bad-settings.ini", exitUsage, "[platform] colour"},
		{"check testdata/bad-settings.ini", exitFailure, `[spill] rule`},
		{"check testdata/bad-settings.ini", exitFailure, `[spill] exclude`},
		{"check ../deploy/testdata/rendered.ini", exitOK, "no faults"},
		{"", exitUsage, "Usage"},
		{"contract", exitUsage, "Usage"},
		{"dance", exitUsage, "dance"},
		{"demo --flows many", exitUsage, "many"},
		{"demo --entries 1", exitUsage, "at least"},
		{"measure --lean fast", exitUsage, "lean"},
	} {
		t.Run(c.args, func(t *testing.T) {
			var out, errs bytes.Buffer
			if code := Main(strings.Fields(c.args), &out, &errs); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if text := out.String() + errs.String(); !strings.Contains(text, c.want) {
				t.Errorf("%q is not in %q", c.want, text)
			}
		})
	}
}

// The catalogue changed, but docs/EVENTS.md was not generated again.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(page), stoatevent.Markdown()); d != "" {
		t.Error("run `stoatpaddle explain --markdown >docs/EVENTS.md`:", d)
	}
}
