package stoatdemo

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// A broken flow could not be traced after the run, because the entries' lines were discarded. The log of a failed
// run must stay and be named, and no other run may leave a file.
func TestLogIsKeptOnlyAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		result error
		kept   bool
	}{
		"passed":           {nil, false},
		"cancelled":        {context.Canceled, false},
		"a flow is broken": {&GuaranteeError{Violations: []string{"platform down: 1 flows broken, 0 allowed"}}, true},
		"timeout":          {&TimeoutError{What: "entries ready"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			t.Setenv("TMPDIR", dir)
			var out, also bytes.Buffer
			l, err := openRunLog(&also)
			if err != nil {
				t.Fatal(err)
			}
			l.beginPhase("platform down")
			_, _ = io.WriteString(l, "an entry's line\n")
			l.addBrokenFlow(stoatpacket.Tuple{Src: netip.MustParseAddrPort("198.18.0.1:1024"), Dst: netip.MustParseAddrPort("203.0.113.1:443")}, time.Unix(1, 0))
			l.close(&out, c.result)
			files, _ := filepath.Glob(filepath.Join(dir, "*"))
			if also.String() != "an entry's line\n" {
				t.Error("the configured log got", also.String())
			}
			if !c.kept {
				if len(files) > 0 || out.Len() > 0 {
					t.Error("kept:", files, out.String())
				}
				return
			}
			if len(files) != 1 || !strings.Contains(out.String(), files[0]) {
				t.Fatal("not named:", files, out.String())
			}
			data, _ := os.ReadFile(files[0])
			for _, want := range []string{`"phase":"platform down"`, "an entry's line", "198.18.0.1:1024"} {
				if !strings.Contains(string(data), want) {
					t.Errorf("%q is not in the log", want)
				}
			}
		})
	}
}
