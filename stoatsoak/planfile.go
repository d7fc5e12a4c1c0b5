package stoatsoak

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// stepWant is how a step is written, as String does it.
const stepWant = "a step, as in 6.82 s routes 790 for 1.564s"

// StepError reports a line of a plan that is no step.
type StepError struct {
	Line int
	Got  string
}

// Error names the line.
func (e *StepError) Error() string {
	return fmt.Sprintf("line %d is %q, expected %s", e.Line, e.Got, stepWant)
}

// ReadPlan reads steps as a run prints them, a line each; what is behind # is a comment. A seed gives other
// steps once there are new kinds of them, and the load that it was kept for is lost; a file keeps it. Errors:
// *StepError, *stoatpaddle.DecodeError.
func ReadPlan(r io.Reader) ([]Step, error) {
	var steps []Step
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		s, ok := readStep(text)
		if !ok || len(steps) > 0 && s.At < steps[len(steps)-1].At {
			return nil, &StepError{Line: n, Got: strings.TrimSpace(text)}
		}
		steps = append(steps, s)
	}
	if err := lines.Err(); err != nil {
		return nil, &stoatpaddle.DecodeError{What: "a plan", Cause: err}
	}
	return steps, nil
}

func readStep(text string) (Step, bool) {
	var at float64
	var kind, lasts string
	var s Step
	if n, err := fmt.Sscanf(text, "%f s %s %d for %s", &at, &kind, &s.Target, &lasts); err != nil || n != 4 {
		return Step{}, false
	}
	d, err := time.ParseDuration(lasts)
	s.At, s.Kind, s.For = time.Duration(at*float64(time.Second)), StepKind(kind), d
	known := s.Kind.Planned() || slices.Contains(disturbances, s.Kind) || s.Kind == StoreRestore
	return s, err == nil && known && at >= 0 && d >= 0
}
