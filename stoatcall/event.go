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
		Text:  "The upstreams that the services of the group share reject calls, or have no free slot. Calls of the least urgent services are refused first (SP1307), in proportion to what exceeds the room. The metrics stoatpaddle_call_level_share show the share of each priority that is admitted.",
	})
	EventSheddingEnded = stoatevent.Register(stoatevent.Definition{
		Number: 1310, Severity: stoatevent.Info, Since: "0.2",
		Title: "all calls are admitted again",
		Text:  "The shared upstreams of the group have room for the calls of every priority again, or only one priority still has calls. The field lasted has the time since SP1309.",
	})
)
