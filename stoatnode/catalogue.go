package stoatnode

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events that a Node logs.
var (
	EventReady = stoatevent.Register(stoatevent.Definition{
		Number: 1001, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry serves",
		Text:  "The entry has the cluster's hash key and the contracts and accepts traffic. Until now it dropped packets and refused calls as not run.",
	})
	EventPlatformLost = stoatevent.Register(stoatevent.Definition{
		Number: 1002, Severity: stoatevent.Warning, Since: "0.1",
		Title: "platform does not answer",
		Text:  "A list or watch failed. The entry keeps the configuration it has, receives changes from its peers, and retries with random exponential backoff. Until the platform is available again, amendments are refused or their outcome is reported as unknown. The entry needs no action; check the platform.",
	})
	EventPlatformBack = stoatevent.Register(stoatevent.Definition{
		Number: 1003, Severity: stoatevent.Info, Since: "0.1",
		Title: "platform answers again",
		Text:  "A list or watch succeeded after one or more failures.",
	})
	EventMemberDead = stoatevent.Register(stoatevent.Definition{
		Number: 1004, Severity: stoatevent.Warning, Since: "0.1",
		Title: "entry does not answer",
		Text:  "No message arrived within the time that [peer] dead sets. Each flow of the entry gets the next entry in its hash order as its owner. If the entry was replaced, its successor joins by itself. If these events name all entries of a data centre, check the network.",
	})
	EventMemberBack = stoatevent.Register(stoatevent.Definition{
		Number: 1005, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry answers again",
		Text:  "Messages arrive again from an entry that did not answer; it owns flows again.",
	})
	EventMemberLeaving = stoatevent.Register(stoatevent.Definition{
		Number: 1006, Severity: stoatevent.Info, Since: "0.1",
		Title: "instance leaves",
		Text:  "An operator marked an instance as leaving, or an entry reported that it is leaving. A leaving entry owns no flows any more and hands over those it has; a leaving upstream gets no new flows or calls.",
	})
	EventObjectInvalid = stoatevent.Register(stoatevent.Definition{
		Number: 1007, Severity: stoatevent.Error, Since: "0.1",
		Title: "object cannot be used",
		Text:  "An object on the platform is invalid; perhaps another program or a newer version wrote it. The last valid version stays in force on this entry. Write the contract again with the command line.",
	})
	EventObjectConflict = stoatevent.Register(stoatevent.Definition{
		Number: 1008, Severity: stoatevent.Error, Since: "0.1",
		Title: "contract conflicts with another",
		Text:  "Two contracts were accepted at the same moment and claim the same address, host or upstream. The one that was written first is served and the other is not served at all, so that no packet reaches the service of another customer. Amend or remove the later one.",
	})
	EventRevisionDecreased = stoatevent.Register(stoatevent.Definition{
		Number: 1009, Severity: stoatevent.Error, Since: "0.1",
		Title: "platform answer is older than the known state",
		Text:  "The platform returned a lower revision than before: a replica lags, or the platform was restored and reports no era. The configuration in force stays in force. If the platform was restored, write the contracts again, so that their versions exceed the ones in force.",
	})
	EventObjectRewritten = stoatevent.Register(stoatevent.Definition{
		Number: 1016, Severity: stoatevent.Warning, Since: "0.7",
		Title: "object is written again",
		Text:  "The platform was restored from an older copy, which has an older version of the object or lacks it. The accepted version stays in force and is written again on top of the older one. The fields held and shown are era/revision.",
	})
	EventEvacuated = stoatevent.Register(stoatevent.Definition{
		Number: 1017, Severity: stoatevent.Warning, Since: "0.7",
		Title: "data centre is evacuated",
		Text:  "Operators requested that the upstreams of the data centre get no new flows or calls. These go to other data centres, or are refused if no other upstream is left. Open flows continue.",
	})
	EventEvacuationWithdrawn = stoatevent.Register(stoatevent.Definition{
		Number: 1018, Severity: stoatevent.Info, Since: "0.7",
		Title: "evacuation of a data centre is withdrawn",
		Text:  "The evacuation was withdrawn; the upstreams of the data centre get new flows and calls again.",
	})
	EventStopStarted = stoatevent.Register(stoatevent.Definition{
		Number: 1010, Severity: stoatevent.Info, Since: "0.1",
		Title: "planned stop begins",
		Text:  "The entry hands over its flows, relays packets that still arrive and refuses new calls. It exits by itself when all flows are handed over and all calls have ended.",
	})
	EventStopDeadlineReached = stoatevent.Register(stoatevent.Definition{
		Number: 1011, Severity: stoatevent.Warning, Since: "0.1",
		Title: "planned stop hit its deadline",
		Text:  "The entry exits although calls were still open at the deadline; the field calls has their number. Raise [stop] deadline if calls may last longer.",
	})
	EventStopped = stoatevent.Register(stoatevent.Definition{
		Number: 1012, Severity: stoatevent.Info, Since: "0.1",
		Title: "entry exits",
		Text:  "The planned stop has ended and the process exits.",
	})
	EventProcessPaused = stoatevent.Register(stoatevent.Definition{
		Number: 1013, Severity: stoatevent.Warning, Since: "0.1",
		Title: "entry was paused",
		Text:  "The process did not run for a while, so no messages of peers could arrive. The entry considers no peer dead until each has had time to send a heartbeat again. If this event repeats, the machine lacks processor time.",
	})
	EventCentrePartitioned = stoatevent.Register(stoatevent.Definition{
		Number: 1014, Severity: stoatevent.Warning, Since: "0.1",
		Title: "data centre cut off",
		Text:  "No entry of a data centre answers. New flows avoid the upstreams of that data centre, and its entries continue to serve the traffic that reaches them. The entry needs no action; check the network between the data centres.",
	})
	EventCentreBack = stoatevent.Register(stoatevent.Definition{
		Number: 1015, Severity: stoatevent.Info, Since: "0.1",
		Title: "data centre is back",
		Text:  "Messages arrive again from an entry of a data centre that was cut off.",
	})
)
