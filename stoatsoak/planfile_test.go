package stoatsoak

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The steps that a run prints can be read as a plan of the same steps, with times rounded to 0.01 s.
func TestPlanFile(t *testing.T) {
	want := NewPlan(7, time.Minute)
	var b strings.Builder
	b.WriteString("# a run\n\n")
	for _, s := range want {
		b.WriteString(s.String() + " # " + string(s.Kind) + "\n")
	}
	got, err := ReadPlan(strings.NewReader(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	near := cmp.Comparer(func(a, b time.Duration) bool { return (a - b).Abs() <= 5*time.Millisecond })
	if diff := cmp.Diff(want, got, near); diff != "" {
		t.Error(diff)
	}
	for _, line := range []string{"soon drain 1 for 1s", "1 s dance 1 for 1s", "1 s drain for 1s", "1 s drain 1 for ever", "-1 s drain 1 for 1s", "9 s drain 1 for 1s\n3 s drain 1 for 1s"} {
		var fault *StepError
		if _, err := ReadPlan(strings.NewReader(line)); !errors.As(err, &fault) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

// The stored plans, which once found a fault or show a crowd of each kind, can be read.
func TestStoredPlans(t *testing.T) {
	files, err := os.ReadDir("testdata/plans")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		f, err := os.Open("testdata/plans/" + name.Name())
		if err != nil {
			t.Fatal(err)
		}
		if steps, err := ReadPlan(f); err != nil || len(steps) < 5 {
			t.Error(name.Name(), len(steps), err)
		}
		_ = f.Close()
	}
}
