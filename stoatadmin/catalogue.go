package stoatadmin

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered problems that the administration API reports.
var (
	ProblemInvalidContract = stoatevent.Register(stoatevent.Definition{
		Number: 2001, Severity: stoatevent.Info, Since: "0.1",
		Title: "contract has faults",
		Text:  "Nothing was changed. Each fault names its section and key, the value there, and the value that was expected.",
	})
	ProblemConflict = stoatevent.Register(stoatevent.Definition{
		Number: 2002, Severity: stoatevent.Info, Since: "0.1",
		Title: "changed meanwhile",
		Text:  "Another operator's change was accepted first, so this one took no effect. The answer gives the stored version and lists how the contract that was sent differs from the stored one. Get the contract again, amend it, and apply it.",
	})
	ProblemOutcomeUnknown = stoatevent.Register(stoatevent.Definition{
		Number: 2003, Severity: stoatevent.Warning, Since: "0.1",
		Title: "outcome of the change unknown",
		Text:  "The platform did not answer, so the change may or may not have taken effect. Send the same change again with the token from the answer; it is applied once at most.",
	})
	ProblemPlatformUnavailable = stoatevent.Register(stoatevent.Definition{
		Number: 2004, Severity: stoatevent.Warning, Since: "0.1",
		Title: "platform does not answer",
		Text:  "An object that the request needs could not be read from the platform. Nothing was changed, and the configuration in force stays in force. Try again later.",
	})
	ProblemNotFound = stoatevent.Register(stoatevent.Definition{
		Number: 2005, Severity: stoatevent.Info, Since: "0.1",
		Title: "no such object",
		Text:  "No contract, instance or data centre has this name, or the data centre is not being evacuated.",
	})
	ProblemMissingCondition = stoatevent.Register(stoatevent.Definition{
		Number: 2006, Severity: stoatevent.Info, Since: "0.1",
		Title: "condition missing",
		Text:  "A change needs an If-Match header with the version that it amends, or If-None-Match: * if it creates the contract. The command line takes the version from the version key in the contract.",
	})
	ProblemInvalidState = stoatevent.Register(stoatevent.Definition{
		Number: 2007, Severity: stoatevent.Info, Since: "0.1",
		Title: "no such state",
		Text:  "An operator can set the state of an instance to joining or leaving only.",
	})
)
