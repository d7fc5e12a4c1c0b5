package stoatevent

import (
	"fmt"
	"sort"
	"strings"
)

// Number is the stable number of an event or problem, printed as SP and four digits.
type Number int

// String returns the number's printed form, such as SP1004.
func (n Number) String() string { return fmt.Sprintf("SP%04d", int(n)) }

// Severity is how soon an operator should look at an event.
type Severity string

// The severities, in ascending order.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Definition documents one event or problem.
type Definition struct {
	Number   Number
	Severity Severity
	Since    string // the version that introduced it
	Title    string
	Text     string // what happened, what the system does by itself, what an operator may do
}

// DuplicateNumberError reports two catalogue entries with the same number.
type DuplicateNumberError struct{ Number Number }

// Error names the number.
func (e *DuplicateNumberError) Error() string {
	return "two catalogue entries have the number " + e.Number.String()
}

// UnknownNumberError reports a number that no catalogue entry has.
type UnknownNumberError struct{ Number string }

// Error names the number.
func (e *UnknownNumberError) Error() string { return "no catalogue entry has the number " + e.Number }

var catalogue = map[Number]*Definition{}

// Register adds a definition to the catalogue and returns it. It panics with *DuplicateNumberError if the
// number is in use.
func Register(e Definition) *Definition {
	if _, taken := catalogue[e.Number]; taken {
		panic(&DuplicateNumberError{Number: e.Number})
	}
	catalogue[e.Number] = &e
	return &e
}

// All returns the definitions in the catalogue, ascending by number.
func All() []*Definition {
	out := make([]*Definition, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Lookup returns the definition with the number, given in its printed form, or *UnknownNumberError.
func Lookup(number string) (*Definition, error) {
	for _, e := range catalogue {
		if strings.EqualFold(e.Number.String(), number) {
			return e, nil
		}
	}
	return nil, &UnknownNumberError{Number: number}
}

// Explain returns the text that the explain command prints.
func (e *Definition) Explain() string {
	return fmt.Sprintf("%s  %s\n\n%s\n\nSeverity: %s. Since %s.\n", e.Number, e.Title, e.Text, e.Severity, e.Since)
}

// Markdown returns the whole catalogue as docs/EVENTS.md has it.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events and problems\n\nGenerated from the catalogue by `stoatpaddle explain --markdown`; a test checks that this page is current.\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "\n## %s %s\n\n%s\n\nSeverity: %s. Since %s.\n", e.Number, e.Title, e.Text, e.Severity, e.Since)
	}
	return b.String()
}
