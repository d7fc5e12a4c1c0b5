package stoatevent

import (
	"fmt"
	"sort"
	"strings"
)

// Number is the stable number of an entry, printed as SP and four digits.
type Number int

// String returns the printed form, such as SP1004.
func (n Number) String() string { return fmt.Sprintf("SP%04d", int(n)) }

// Severity tells how soon a person should look.
type Severity string

// The severities.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Definition documents one numbered thing that a user can meet.
type Definition struct {
	Number   Number
	Severity Severity
	Since    string
	Title    string
	Text     string // what happened, what the system does by itself, what an operator may do
}

// DuplicateNumberError reports two entries with one number.
type DuplicateNumberError struct{ Number Number }

// Error names the number.
func (e *DuplicateNumberError) Error() string {
	return "two catalogue entries have number " + e.Number.String()
}

// UnknownNumberError reports a number that no entry has.
type UnknownNumberError struct{ Number string }

// Error names the number.
func (e *UnknownNumberError) Error() string { return "no catalogue entry has number " + e.Number }

var entries = map[Number]*Definition{}

// Register adds an entry to the catalogue and panics with *DuplicateError on a number taken.
func Register(e Definition) *Definition {
	if _, taken := entries[e.Number]; taken {
		panic(&DuplicateNumberError{Number: e.Number})
	}
	entries[e.Number] = &e
	return &e
}

// All returns the entries in ascending order of number.
func All() []*Definition {
	out := make([]*Definition, 0, len(entries))
	for _, e := range entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Lookup returns the entry with the printed number, or *UnknownError.
func Lookup(number string) (*Definition, error) {
	for _, e := range entries {
		if strings.EqualFold(e.Number.String(), number) {
			return e, nil
		}
	}
	return nil, &UnknownNumberError{Number: number}
}

// Explain returns the entry as the explain command prints it.
func (e *Definition) Explain() string {
	return fmt.Sprintf("%s  %s\n\n%s\n\nSeverity: %s. Since %s.\n", e.Number, e.Title, e.Text, e.Severity, e.Since)
}

// Markdown returns docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events and faults\n\nGenerated from the catalogue by `stoatpaddle explain --markdown`; a test keeps both equal.\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "\n## %s %s\n\n%s\n\nSeverity: %s. Since %s.\n", e.Number, e.Title, e.Text, e.Severity, e.Since)
	}
	return b.String()
}
