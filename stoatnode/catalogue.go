package stoatnode

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of the control reducer.
var (
	EventReady = stoatevent.Register(stoatevent.Definition{
		Number: 1001, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry serves",
		Text:  "The entry has the cluster's key and the contracts and takes traffic. Before this it drops packets and refuses calls as not run.",
	})
	EventPlatformLost = stoatevent.Register(stoatevent.Definition{
		Number: 1002, Severity: stoatevent.Warning, Since: "0.1",
		Title: "platform does not answer",
		Text:  "A list or watch got no answer. The entry goes on with the configuration it has, takes news from its peers, and tries again after a random, growing pause. Amendments are refused or reported as unknown until the platform is back. Nothing needs doing here; look at the platform.",
	})
	EventPlatformBack = stoatevent.Register(stoatevent.Definition{
		Number: 1003, Severity: stoatevent.Info, Since: "0.1",
		Title: "platform answers again",
		Text:  "A list or watch succeeded after failures.",
	})
	EventMemberDead = stoatevent.Register(stoatevent.Definition{
		Number: 1004, Severity: stoatevent.Warning, Since: "0.1",
		Title: "entry does not answer",
		Text:  "No heartbeat came for the time that [peer] dead gives. Its flows pass to the entries that come next for them. If it was replaced, its successor joins by itself; if the whole data centre is named by these events, look at the network.",
	})
	EventMemberBack = stoatevent.Register(stoatevent.Definition{
		Number: 1005, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry answers again",
		Text:  "An entry that did not answer is heard again and owns flows again.",
	})
	EventMemberLeaving = stoatevent.Register(stoatevent.Definition{
		Number: 1006, Severity: stoatevent.Info, Since: "0.1",
		Title: "instance leaves",
		Text:  "An instance was marked as leaving or said so itself. An entry owns no flows from now on and hands over what it has; an upstream gets no new work.",
	})
	EventObjectInvalid = stoatevent.Register(stoatevent.Definition{
		Number: 1007, Severity: stoatevent.Error, Since: "0.1",
		Title: "object cannot be used",
		Text:  "An object on the platform is not what its kind requires, perhaps written by another program or a newer version. The entry keeps the last good version in force. Write the contract again with the command line.",
	})
	EventObjectConflict = stoatevent.Register(stoatevent.Definition{
		Number: 1008, Severity: stoatevent.Error, Since: "0.1",
		Title: "contract claims what another has",
		Text:  "Two contracts were accepted at the same moment and claim the same address, host or upstream. The one written first is served, the other not at all, so that no packet reaches another customer's service. Amend or remove the later one.",
	})
	EventRevisionDecreased = stoatevent.Register(stoatevent.Definition{
		Number: 1009, Severity: stoatevent.Error, Since: "0.1",
		Title: "platform went back",
		Text:  "The platform shows a revision lower than one seen before: a replica lags, or it was restored and says no era. What is in force stays in force. If it was restored, write the contracts again, so that their versions pass the ones in force.",
	})
	EventObjectRewritten = stoatevent.Register(stoatevent.Definition{
		Number: 1016, Severity: stoatevent.Warning, Since: "0.7",
		Title: "object is written again",
		Text:  "The platform came back from an older copy and shows, or lacks, what was amended since. What was accepted stays in force and is written again on top of what is shown. Held and shown are era/revision.",
	})
	EventEvacuated = stoatevent.Register(stoatevent.Definition{
		Number: 1017, Severity: stoatevent.Warning, Since: "0.7",
		Title: "data centre is evacuated",
		Text:  "Operators want that its upstreams get nothing new: flows and calls go elsewhere, and are refused where nothing else is left. Open flows go on.",
	})
	EventEvacuationWithdrawn = stoatevent.Register(stoatevent.Definition{
		Number: 1018, Severity: stoatevent.Info, Since: "0.7",
		Title: "data centre is taken back",
		Text:  "Its evacuation was withdrawn; its upstreams get new work again.",
	})
	EventStopStarted = stoatevent.Register(stoatevent.Definition{
		Number: 1010, Severity: stoatevent.Info, Since: "0.1",
		Title: "planned stop begins",
		Text:  "The entry hands over its flows, relays what still reaches it and takes no new calls. It ends by itself when nothing is left.",
	})
	EventStopDeadlineReached = stoatevent.Register(stoatevent.Definition{
		Number: 1011, Severity: stoatevent.Warning, Since: "0.1",
		Title: "planned stop hit its deadline",
		Text:  "Something was still in progress at the deadline that the settings give; the event names it. Raise [stop] deadline if calls may last longer.",
	})
	EventStopped = stoatevent.Register(stoatevent.Definition{
		Number: 1012, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry ends",
		Text:  "The planned stop is complete.",
	})
	EventProcessPaused = stoatevent.Register(stoatevent.Definition{
		Number: 1013, Severity: stoatevent.Warning, Since: "0.1",
		Title: "entry was paused",
		Text:  "The process did not run for longer than peers wait. It trusts nothing about who is alive until they had time to be heard again. If it repeats, the machine is short of processor time.",
	})
	EventCentrePartitioned = stoatevent.Register(stoatevent.Definition{
		Number: 1014, Severity: stoatevent.Warning, Since: "0.1",
		Title: "data centre cut off",
		Text:  "No entry of a data centre answers. New flows avoid its upstreams; it goes on serving what reaches it. Nothing needs doing here; look at the network between the data centres.",
	})
	EventCentreBack = stoatevent.Register(stoatevent.Definition{
		Number: 1015, Severity: stoatevent.Info, Since: "0.1",
		Title: "data centre is back",
		Text:  "An entry of a data centre that was cut off is heard again.",
	})
)
