package stoatcall

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of refused calls.
var (
	EventCallRefused = stoatevent.Register(stoatevent.Definition{
		Number: 1308, Severity: stoatevent.Info, Since: "0.2",
		Title: "call refused",
		Text:  "The entry refused a call without running it. The field call has the id that the caller got in the problem's field instance, rule the rule that decided, and retry the seconds of Retry-After. At most 40 lines a second are written; omitted has the number of those left out since the last line.",
	})
	EventSheddingBegan = stoatevent.Register(stoatevent.Definition{
		Number: 1309, Severity: stoatevent.Warning, Since: "0.2",
		Title: "less urgent calls give way",
		Text:  "The upstreams that the services of the group share reject calls, or have no free slot. Calls of the field priority are refused from now on (SP1307), in proportion to what exceeds the room. The field share has the share of them that is admitted, rejected the share of all calls that the upstreams reject. The metrics stoatpaddle_call_level_share show the share of each priority.",
	})
	EventSheddingEnded = stoatevent.Register(stoatevent.Definition{
		Number: 1310, Severity: stoatevent.Info, Since: "0.2",
		Title: "all calls of a priority are admitted again",
		Text:  "The shared upstreams of the group have room for the calls of the field priority again, or no more urgent ones arrive. The field lasted has the time since SP1309, refused the calls of the priority that gave way since the start of the entry.",
	})
)
