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

// stepFormat describes the text of a step, as Step.String writes it.
const stepFormat = "a step, as in 6.82 s routes 790 for 1.564s"

// StepError reports a line of a plan that is not a valid step, or is earlier than the step before it.
type StepError struct {
	Line int
	Got  string
}

// Error gives the line's number and text, and the expected format.
func (e *StepError) Error() string {
	return fmt.Sprintf("line %d is %q, expected %s", e.Line, e.Got, stepFormat)
}

// ReadPlan reads steps, one per line, as a run prints them. The text after a # is a comment. A plan that found
// a fault is kept as a file, as its seed no longer gives the same steps once there are new kinds of steps.
// Errors: *StepError, *stoatpaddle.DecodeError.
func ReadPlan(r io.Reader) ([]Step, error) {
	var steps []Step
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		s, ok := parseStep(text)
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

func parseStep(text string) (Step, bool) {
	var at float64
	var kind, duration string
	var s Step
	if n, err := fmt.Sscanf(text, "%f s %s %d for %s", &at, &kind, &s.Target, &duration); err != nil || n != 4 {
		return Step{}, false
	}
	d, err := time.ParseDuration(duration)
	s.At, s.Kind, s.For = time.Duration(at*float64(time.Second)), StepKind(kind), d
	known := s.Kind.Planned() || slices.Contains(faultKinds, s.Kind) || slices.Contains(crowdKinds, s.Kind) || s.Kind == StoreRestore
	return s, err == nil && known && at >= 0 && d >= 0
}
