package deploy_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// report is the output of a bench for a site with two standard days and one that was drawn at random.
const report = `built in 0.0 s; 20584 lines in 196 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 6/18   0.61  QUIET  0.999   0.000  0.000  worst windows 0.99; prices 0.064
trouble-1               6/18   0.77  0.917  0.988   0.000  0.006  worst windows 0.81; prices 0.049
fresh-82d2              6/18   0.77  0.500  0.966   0.000  0.021  worst windows 0.60; prices 0.049
fresh-82d2 was drawn just now; it counts for the gate, not for the score
`

// play runs the script in a temporary copy of its folder, with a fake bench that prints the given report and
// with the given table. It returns the script's output, whether it succeeded, and the table afterwards.
func play(t *testing.T, printed, table string, args ...string) (out string, ok bool, written string) {
	t.Helper()
	dir := t.TempDir()
	deploy := filepath.Join(dir, "deploy")
	script, err := os.ReadFile("regress.sh")
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	must(os.Mkdir(deploy, 0o755))
	must(os.WriteFile(filepath.Join(deploy, "regress.sh"), script, 0o755))
	must(os.WriteFile(filepath.Join(deploy, "regress.tsv"), []byte(table), 0o644))
	must(os.WriteFile(filepath.Join(dir, "report"), []byte(printed), 0o644))
	bench := filepath.Join(dir, "bench")
	must(os.WriteFile(bench, []byte("#!/bin/sh\ncat '"+filepath.Join(dir, "report")+"'\n"), 0o755))
	cmd := exec.Command("bash", append([]string{filepath.Join(deploy, "regress.sh"), dir, "--bench", bench, "--site", "x/one"}, args...)...)
	b, err := cmd.CombinedOutput()
	after, readErr := os.ReadFile(filepath.Join(deploy, "regress.tsv"))
	must(readErr)
	return string(b), err == nil, string(after)
}

// A change of the code lowers the worth of a day, breaks a rule, or keeps a day from being run. The exit code
// alone must show it, because nobody reads forty lines of output after each run.
func TestRegress(t *testing.T) {
	const table = "one\tquiet-1\t0.934\t0.999\none\ttrouble-1\t0.917\t0.988\n"
	good := strings.Replace(report, "QUIET", "0.934", 1) + "GATE passed\n"
	for name, c := range map[string]struct {
		printed, table string
		ok             bool
	}{
		"as before":             {good, table, true},
		"fell by less":          {strings.Replace(report, "QUIET", "0.904", 1) + "GATE passed\n", table, true},
		"fell by more":          {strings.Replace(report, "QUIET", "0.903", 1) + "GATE passed\n", table, false},
		"a rule is broken":      {good + "FLOW 1\n", table, false},
		"the gate failed":       {strings.Replace(good, "passed", "failed", 1), table, false},
		"no verdict":            {strings.Replace(good, "GATE passed\n", "", 1), table, false},
		"a day is missing":      {good, table + "one\tscale-1\t0.9\t0.9\n", false},
		"a day of another site": {good, table + "two\tscale-1\t0.9\t0.9\n", true},
		"nothing is printed":    {"", table, false},
	} {
		out, ok, after := play(t, c.printed, c.table)
		if ok != c.ok {
			t.Errorf("%s: success is %t:\n%s", name, ok, out)
		}
		if after != c.table {
			t.Errorf("%s: the table changed without --accept: %s", name, after)
		}
	}
}

// The table may change only with --accept and only if nothing failed, and rows of other sites must stay.
func TestRegressAccepts(t *testing.T) {
	const table = "one\tquiet-1\t0.920\t0.999\none\ttrouble-1\t0.917\t0.988\ntwo\tscale-1\t0.900\t0.900\n"
	good := strings.Replace(report, "QUIET", "0.934", 1) + "GATE passed\n"
	_, ok, after := play(t, good, table, "--accept")
	if want := strings.Replace(table, "0.920", "0.934", 1); !ok || after != want {
		t.Errorf("success is %t, table:\n%s", ok, after)
	}
	out, ok, after := play(t, good+"FLOW 1\n", table, "--accept")
	if ok || after != table {
		t.Errorf("after a broken rule, success is %t, table:\n%s\n%s", ok, after, out)
	}
}
