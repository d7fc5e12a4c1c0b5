package stoatsetting_test

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
)

// Guards against settings of the spillover that are not read: an entry would then send openings where operators forbid it.
func TestSpill(t *testing.T) {
	const required = "[instance]\nid = a\ncentre = b\n"
	for text, want := range map[string]struct {
		rule     stoatsetting.SpillRule
		excluded []stoatpaddle.DataCentreID
	}{
		"":                             {stoatsetting.SpillByBoth, nil},
		"[spill]\nrule = room\n":       {stoatsetting.SpillByRoom, nil},
		"[spill]\nrule = both\n":       {stoatsetting.SpillByBoth, nil},
		"[spill]\nrule = local\n":      {stoatsetting.SpillLocal, nil},
		"[spill]\nrule = none\n":       {stoatsetting.SpillNever, nil},
		"[spill]\nexclude = seeb\n":    {stoatsetting.SpillByBoth, []stoatpaddle.DataCentreID{"seeb"}},
		"[spill]\nexclude = a-1, b.2 ": {stoatsetting.SpillByBoth, []stoatpaddle.DataCentreID{"a-1", "b.2"}},
	} {
		s, err := stoatsetting.Parse("entry.ini", []byte(required+text))
		if err != nil || s.SpillRule != want.rule || !slices.Equal(s.SpillExcluded, want.excluded) {
			t.Errorf("%q: %q %v %v", text, s.SpillRule, s.SpillExcluded, err)
		}
	}
}

// Guards against faults that operators do not find: each names its file, section and key, and the value there.
func TestSpillFaults(t *testing.T) {
	const required = "[instance]\nid = a\ncentre = b\n\n[spill]\n"
	for text, want := range map[string]struct{ key, got string }{
		"rule = often\n":                     {"rule", "often"},
		"rule = none\nexclude = seeb, b c\n": {"exclude", "seeb, b c"},
		"exclude = seeb,\n":                  {"exclude", "seeb,"},
		"exclude = b/c\n":                    {"exclude", "b/c"},
		"; no key\nexcept = seeb\n":          {"except", ""},
	} {
		_, err := stoatsetting.Parse("entry.ini", []byte(required+text))
		var faults *stoatpaddle.FaultsError
		if !errors.As(err, &faults) || len(faults.Faults) != 1 {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if f := faults.Faults[0]; f.File != "entry.ini" || f.Section != "spill" || f.Key != want.key || want.got != "" && f.Got != want.got {
			t.Errorf("%q: %+v", text, f)
		}
	}
}

// Guards against a documented default that is not the one in force.
func TestDocumentedSpillDefault(t *testing.T) {
	page, err := os.ReadFile("testdata/entry.ini")
	if err != nil {
		t.Fatal(err)
	}
	s, err := stoatsetting.Parse("entry.ini", page)
	if err != nil || s.SpillRule != stoatsetting.SpillByBoth || len(s.SpillExcluded) == 0 || !strings.Contains(string(page), "[spill]") {
		t.Errorf("%q %v %v", s.SpillRule, s.SpillExcluded, err)
	}
}
