package stoatadmin

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered answers of the administration API.
var (
	ProblemInvalidContract = stoatevent.Register(stoatevent.Definition{
		Number: 2001, Severity: stoatevent.Info, Since: "0.1",
		Title: "contract has faults",
		Text:  "Nothing was changed. Each fault names its section and key and what was expected there.",
	})
	ProblemConflict = stoatevent.Register(stoatevent.Definition{
		Number: 2002, Severity: stoatevent.Info, Since: "0.1",
		Title: "changed meanwhile",
		Text:  "Another operator's change was accepted first, so this one took no effect. The answer gives the version that stands and how it differs from the one sent. Get the contract again, amend that, and apply it.",
	})
	ProblemOutcomeUnknown = stoatevent.Register(stoatevent.Definition{
		Number: 2003, Severity: stoatevent.Warning, Since: "0.1",
		Title: "outcome of the change unknown",
		Text:  "The platform gave no answer, so the change may or may not have taken effect. Send the same change again with the token from the answer: it is applied once at most.",
	})
	ProblemPlatformUnavailable = stoatevent.Register(stoatevent.Definition{
		Number: 2004, Severity: stoatevent.Warning, Since: "0.1",
		Title: "platform does not answer",
		Text:  "The change was not sent, because what it depends on could not be read. Nothing was changed. Try again later; what is in force stays in force.",
	})
	ProblemNotFound = stoatevent.Register(stoatevent.Definition{
		Number: 2005, Severity: stoatevent.Info, Since: "0.1",
		Title: "no such object",
		Text:  "No contract, instance or data centre has that name, or the data centre is not evacuated.",
	})
	ProblemMissingCondition = stoatevent.Register(stoatevent.Definition{
		Number: 2006, Severity: stoatevent.Info, Since: "0.1",
		Title: "condition missing",
		Text:  "A change needs If-Match with the version it amends, or If-None-Match: * to create. The command line takes it from the contract's version key.",
	})
	ProblemInvalidState = stoatevent.Register(stoatevent.Definition{
		Number: 2007, Severity: stoatevent.Info, Since: "0.1",
		Title: "no such state",
		Text:  "An instance is marked as joining or leaving.",
	})
)
