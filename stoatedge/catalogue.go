package stoatedge

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of an entry on an echo fabric.
var (
	EventStart = stoatevent.Register(stoatevent.Definition{
		Number: 1401, Severity: stoatevent.Info, Since: "0.2",
		Title: "entry starts",
		Text:  "The socket for packets is open; they wait in it. The entry is not ready yet: it places flows once it has a configuration and a list of upstreams.",
	})
	EventReady = stoatevent.Register(stoatevent.Definition{
		Number: 1402, Severity: stoatevent.Info, Since: "0.2",
		Title: "entry serves",
		Text:  "The entry has a configuration and a list of upstreams: so many serve and so many are leaving; names has 64 of them at most. From now on each change is logged (SP1407; SP1433 where many come at once).",
	})
	EventStopping = stoatevent.Register(stoatevent.Definition{
		Number: 1403, Severity: stoatevent.Info, Since: "0.2",
		Title: "planned stop begins",
		Text:  "The entry is not ready any more and forwards what still reaches it. It ends when the fabric sends nothing, or at the deadline.",
	})
	EventStopped = stoatevent.Register(stoatevent.Definition{
		Number: 1404, Severity: stoatevent.Info, Since: "0.2",
		Title: "entry ends",
		Text:  "The planned stop is complete. Quiet says for how long no packet had come.",
	})
	EventConfigApplied = stoatevent.Register(stoatevent.Definition{
		Number: 1405, Severity: stoatevent.Info, Since: "0.2",
		Title: "configuration in force",
		Text:  "A new version is in force here. Revision is the platform's; source says who brought it.",
	})
	EventInvalidObject = stoatevent.Register(stoatevent.Definition{
		Number: 1406, Severity: stoatevent.Error, Since: "0.2",
		Title: "object cannot be used",
		Text:  "An object on the platform is not what its kind requires; cause names the field. The last good one stays in force. Write it again.",
	})
	EventStandingChanged = stoatevent.Register(stoatevent.Definition{
		Number: 1407, Severity: stoatevent.Info, Since: "0.2",
		Title: "upstream changed standing",
		Text:  "Those that an entry learns of at its start are named by SP1402 instead. Serving takes new flows; leaving keeps its open ones; missing lapsed while the platform was away and goes on as before; gone has ended, and flows there are reset.",
	})
	EventStandingsChanged = stoatevent.Register(stoatevent.Definition{
		Number: 1433, Severity: stoatevent.Info, Since: "0.6",
		Title: "many upstreams changed standing at once",
		Text:  "As SP1407, for more than eight of them: count says how many have this standing now, and names has 64 of them at most.",
	})
	EventPlatformLost = stoatevent.Register(stoatevent.Definition{
		Number: 1408, Severity: stoatevent.Warning, Since: "0.2",
		Title: "platform does not answer",
		Text:  "Two calls in a row got no answer. The entry goes on with what it has and asks again after random pauses of up to a second. Nothing needs doing here; look at the platform, and at the network if single entries report it.",
	})
	EventPlatformBack = stoatevent.Register(stoatevent.Definition{
		Number: 1409, Severity: stoatevent.Info, Since: "0.2",
		Title: "platform answers again",
		Text:  "A call succeeded after an outage; away is its length. Upstreams that are missing now have 2.5 s to register again.",
	})
	EventStaleAnswer = stoatevent.Register(stoatevent.Definition{
		Number: 1435, Severity: stoatevent.Warning, Since: "0.7",
		Title: "platform's answer is older than what is known",
		Text:  "The answer was put aside and the platform is asked again. Known and answered are era/revision, the era being the platform's count of its restores. Said once until an answer is taken in again. One that came from a replica needs nothing; if exact is true and it lasts, the platform's history went back without a new era.",
	})
	EventConfigRejected = stoatevent.Register(stoatevent.Definition{
		Number: 1436, Severity: stoatevent.Error, Since: "0.7",
		Title: "later configuration is not taken in",
		Text:  "A configuration with a higher version than the one in force was read, and its revision says that it was written before that one. Inforce and known are the version and the revision in force.",
	})
	EventPlatformRestored = stoatevent.Register(stoatevent.Definition{
		Number: 1437, Severity: stoatevent.Warning, Since: "0.7",
		Title: "platform was restored",
		Text:  "The platform came back from a copy of itself that is some seconds old: its era rose, and revisions are given out again. All is listed anew; what is in force stays in force (version) until something later is read. Known is the position up to which everything was known; source says who brought it. What was confirmed in the seconds before has to be written again, which the platform's operators and the upstreams do.",
	})
	EventFormerLoadFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1438, Severity: stoatevent.Warning, Since: "0.8",
		Title: "which services routes had before could not be read",
		Text:  "Said once, at the start. If a route moved to another service within the last minute, and no other entry is left that knows, packets of flows at the service before are dropped as forged (SP1412) until these flows end.",
	})
	EventFormerSaveFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1439, Severity: stoatevent.Warning, Since: "0.8",
		Title: "which services routes had before could not be kept",
		Text:  "A route lost a service with this version of the configuration. Entries that run know it and tell others; if all lose power within a minute, flows at that service are dropped (SP1412).",
	})
	EventUpstreamEjected = stoatevent.Register(stoatevent.Definition{
		Number: 1410, Severity: stoatevent.Warning, Since: "0.2",
		Title: "upstream gets no flows for a while",
		Text:  "Callers repeated packets to it and nothing came back on any flow. Its open flows go on; waiting counts the requests from here that wait there. It gets a single flow after the pause; an answer ends the ejection. If it repeats, look at the upstream, and at the network if entries of one data centre report it.",
	})
	EventFlowReset = stoatevent.Register(stoatevent.Definition{
		Number: 1411, Severity: stoatevent.Info, Since: "0.2",
		Title: "flow reset",
		Text:  "The caller was told at once that its flow cannot go on, or cannot open; reason says why: route (no route has the address), upstream (none can take it; evacuated, outside and cold count those that might not get it: their data centre is evacuated, it is in no region that the route allows, they are cold and bear no more), gone (the platform says that its upstream has ended; waited says that its caller waited for an answer, and no packet of the flow was needed), overload (the mean answer of the best upstream is over bound, so that it would be late; or, with turned, a more urgent route shares the service, whose upstreams turned that part of their requests of late away), young (no configuration yet).",
	})
	EventPacketDropped = stoatevent.Register(stoatevent.Definition{
		Number: 1412, Severity: stoatevent.Info, Since: "0.2",
		Title: "packet dropped",
		Text:  "The packet was not forwarded and the caller not told; reason says why: forged (a cookie of a service that the route never had), unproven (a cookie that this entry cannot judge until the platform answers), young, and the ways in which a datagram can be malformed.",
	})
	EventFlowPlaced = stoatevent.Register(stoatevent.Definition{
		Number: 1413, Severity: stoatevent.Info, Since: "0.2",
		Title: "flow placed",
		Text:  "The opening packet went to the upstream. Copies counts the opening packets sent before; moved says that the one before went elsewhere and got no answer. Busy and mean are what this entry had in progress there and the mean answer time it saw, which decided.",
	})
	EventSettingsReloaded = stoatevent.Register(stoatevent.Definition{
		Number: 1414, Severity: stoatevent.Info, Since: "0.2",
		Title: "settings read again",
		Text:  "Changes of the log level and of bounds are in force. Others need a start of the entry; kept names them.",
	})
	EventSettingsRejected = stoatevent.Register(stoatevent.Definition{
		Number: 1415, Severity: stoatevent.Warning, Since: "0.2",
		Title: "settings refused",
		Text:  "The settings file cannot be read or has faults. The settings before stay in force. Run check on the file.",
	})
	EventLinesOmitted = stoatevent.Register(stoatevent.Definition{
		Number: 1416, Severity: stoatevent.Warning, Since: "0.2",
		Title: "log lines left out",
		Text:  "More lines came than the bound for their event allows, or the writer could not keep up. The counts are per event since the last such line; metrics have them too. State changes are never left out by the bound.",
	})
	EventCookieClash = stoatevent.Register(stoatevent.Definition{
		Number: 1419, Severity: stoatevent.Warning, Since: "0.2",
		Title: "two upstreams share a cookie",
		Text:  "The 32 bits that packets carry cannot tell the upstream from the holder, which registered first and keeps its flows. The upstream gets none. Start it again, so that it gets another id.",
	})
	EventParentFound = stoatevent.Register(stoatevent.Definition{
		Number: 1420, Severity: stoatevent.Info, Since: "0.2",
		Title: "another entry tells this one",
		Text:  "The parent sends what it believes and what changes, and how old that is. Unless this entry is a seed it asks the platform no more while the parent's word is young. Depth counts the entries between a reader of the platform and this one.",
	})
	EventParentLost = stoatevent.Register(stoatevent.Definition{
		Number: 1421, Severity: stoatevent.Warning, Since: "0.2",
		Title: "the parent tells no more",
		Text:  "It ended, fell silent, or was left because its word grew old; cause says which. The entry reads the platform by itself until another one tells it. If all entries report it again and again, look at the seeds that the settings name.",
	})
	EventLateAnswer = stoatevent.Register(stoatevent.Definition{
		Number: 1422, Severity: stoatevent.Info, Since: "0.2",
		Title: "answer was late",
		Text:  "From a request to its caller's acknowledgement of the answer it took longer than the route's objective, as seen here. Busy counts the other requests of this entry in progress at the upstream then: many say that it is loaded, few that it is slow. A caller's first tries, if they went elsewhere, come on top.",
	})
	EventProcessPaused = stoatevent.Register(stoatevent.Definition{
		Number: 1418, Severity: stoatevent.Warning, Since: "0.2",
		Title: "entry was paused",
		Text:  "The process did not run for as long as gap says. What it knew of the platform counts as older by that, and is asked for anew. If it repeats, the machine is short of processor time.",
	})
	EventFullState = stoatevent.Register(stoatevent.Definition{
		Number: 1417, Severity: stoatevent.Info, Since: "0.2",
		Title: "another entry told everything",
		Text:  "Everything that the neighbour believes was taken in, unless something later is known. Age is how long ago the neighbour was up to date; it is large while the platform is away.",
	})
	EventUpstreamFailing = stoatevent.Register(stoatevent.Definition{
		Number: 1427, Severity: stoatevent.Warning, Since: "0.3",
		Title: "upstream fails requests, and gets no new flows for a while",
		Text:  "It answers openings, but of its requests of the last 4 s so many owed an answer for 0.5 s: failed, beside answered, as the entries of this data centre saw it together. That is clearly more than others of its service. Open flows go on. Look at the upstream: its health check may be good all the while.",
	})
	EventUpstreamSilent = stoatevent.Register(stoatevent.Definition{
		Number: 1430, Severity: stoatevent.Warning, Since: "0.5",
		Title: "upstream answers nobody in this data centre, and gets no flows for a while",
		Text:  "So many entries wait for it in vain, the second of them for as long as silence says, and none had a sign of it since. Each entry of the data centre decides so by itself within some tens of milliseconds. Open flows go on; waiting counts the requests from here that wait there. A sign of life at any entry ends it. SP1407 gone follows if the upstream is dead; look at the network between this data centre and the upstream if it does not.",
	})
	EventEvacuated = stoatevent.Register(stoatevent.Definition{
		Number: 1431, Severity: stoatevent.Warning, Since: "0.6",
		Title: "data centre is evacuated",
		Text:  "Operators want that its upstreams get nothing new: from now on no flow opens there from this entry, also if nothing else is left. Open flows go on; stoatpaddle_centre_flows says how many this entry still sees. Revision is the platform's; source says who brought it.",
	})
	EventEvacuationWithdrawn = stoatevent.Register(stoatevent.Definition{
		Number: 1432, Severity: stoatevent.Info, Since: "0.6",
		Title: "evacuation of a data centre is withdrawn",
		Text:  "Its upstreams get new flows again at once; those that say they are cold get no more than the service's limit allows.",
	})
	EventUpstreamsSilent = stoatevent.Register(stoatevent.Definition{
		Number: 1434, Severity: stoatevent.Warning, Since: "0.6",
		Title: "many upstreams answer nobody in this data centre",
		Text:  "As SP1430, for more than eight of them at once; names has 64 at most. All of one data centre: look at the network towards it.",
	})
	EventReportFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1428, Severity: stoatevent.Info, Since: "0.3",
		Title: "what was seen of upstreams did not reach the parent",
		Text:  "The next report has all of it. A parent that stays silent is left.",
	})
	EventIncarnation = stoatevent.Register(stoatevent.Definition{
		Number: 1429, Severity: stoatevent.Info, Since: "0.4",
		Title: "an upstream's entry is of another incarnation, or of another writer",
		Text:  "Known and read are incarnation (Unix ms of its start; 0: not said), service and address. Restarted: it started again under its id and holds nothing of before; what was seen of the earlier life is forgotten. Outdated: an earlier life wrote it, and it is ignored. Contradicted: the upstream cannot have written it; it gets no new flows until a good entry comes, and keeps its open ones.",
	})
	EventReadsPlatform = stoatevent.Register(stoatevent.Definition{
		Number: 1423, Severity: stoatevent.Info, Since: "0.3",
		Title: "entry reads the platform by itself",
		Text:  "Nobody tells it what is young enough, or the settings name it as a seed; why says which. It costs calls, so that it should be rare on entries that are no seeds.",
	})
	EventNoParent = stoatevent.Register(stoatevent.Definition{
		Number: 1424, Severity: stoatevent.Info, Since: "0.3",
		Title: "no parent found",
		Text:  "Nobody that this entry knows takes it as a child; cause is the last refusal. It reads the platform by itself and searches again after a second or more.",
	})
	EventChildAccepted = stoatevent.Register(stoatevent.Definition{
		Number: 1425, Severity: stoatevent.Info, Since: "0.3",
		Title: "entry tells another one",
		Text:  "The child asked to be told and was accepted. Known is the platform's revision up to which it knew everything.",
	})
	EventChildLeft = stoatevent.Register(stoatevent.Definition{
		Number: 1426, Severity: stoatevent.Info, Since: "0.3",
		Title: "entry tells another one no more",
		Text:  "The child hung up, could not be written to, or this entry stops; cause says which.",
	})
)
