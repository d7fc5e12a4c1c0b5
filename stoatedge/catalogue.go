package stoatedge

import "github.com/stoatpaddle/stoatpaddle/stoatevent"

// The numbered events of an entry on an echo fabric.
var (
	EventStart = stoatevent.Register(stoatevent.Definition{
		Number: 1401, Severity: stoatevent.Info, Since: "0.2",
		Title: "entry starts",
		Text:  "The socket for packets is open, and packets wait in its buffer. The entry is not ready yet: it places flows once it has a configuration and a list of upstreams.",
	})
	EventReady = stoatevent.Register(stoatevent.Definition{
		Number: 1402, Severity: stoatevent.Info, Since: "0.2",
		Title: "entry is ready",
		Text:  "The entry has a configuration and a list of upstreams. Upstreams counts those that are serving, leaving those that are leaving; names has at most 64 of them. From now on each change is logged (SP1407, or SP1433 if many change at once).",
	})
	EventStopping = stoatevent.Register(stoatevent.Definition{
		Number: 1403, Severity: stoatevent.Info, Since: "0.2",
		Title: "planned stop begins",
		Text:  "The entry is not ready any more and still forwards the packets that reach it. It exits when the fabric sends no more packets, or at the deadline.",
	})
	EventStopped = stoatevent.Register(stoatevent.Definition{
		Number: 1404, Severity: stoatevent.Info, Since: "0.2",
		Title: "entry exits",
		Text:  "The planned stop is complete. Quiet is the time since the last packet.",
	})
	EventConfigApplied = stoatevent.Register(stoatevent.Definition{
		Number: 1405, Severity: stoatevent.Info, Since: "0.2",
		Title: "configuration in force",
		Text:  "A new version of the configuration is in force on this entry. Revision is the platform's revision; source names the platform, or the entry that sent the configuration.",
	})
	EventInvalidObject = stoatevent.Register(stoatevent.Definition{
		Number: 1406, Severity: stoatevent.Error, Since: "0.2",
		Title: "object cannot be used",
		Text:  "An object on the platform is not what its kind requires; cause names the field. The last valid one stays in force. Write the object again. With source, it is a part of that entry's message (count: of which not even the name can be read), and the platform itself is asked about it.",
	})
	EventStandingChanged = stoatevent.Register(stoatevent.Definition{
		Number: 1407, Severity: stoatevent.Info, Since: "0.2",
		Title: "upstream changed its standing",
		Text:  "Upstreams that are known when the entry becomes ready are named by SP1402 instead. A serving upstream gets new flows. A leaving one keeps its open flows only. A missing one is used as before; its registration lapsed while the platform was unreachable. One that is gone has ended, and its flows are reset.",
	})
	EventStandingsChanged = stoatevent.Register(stoatevent.Definition{
		Number: 1433, Severity: stoatevent.Info, Since: "0.6",
		Title: "many upstreams changed their standing at once",
		Text:  "As SP1407, for more than eight upstreams. Count is how many have this standing now; names has at most 64 of them.",
	})
	EventPlatformLost = stoatevent.Register(stoatevent.Definition{
		Number: 1408, Severity: stoatevent.Warning, Since: "0.2",
		Title: "platform does not answer",
		Text:  "Two calls in a row got no answer. The entry continues with the state that it has, and retries after random pauses of up to a second. The entry needs no action; check the platform, or the network if only single entries report it.",
	})
	EventPlatformBack = stoatevent.Register(stoatevent.Definition{
		Number: 1409, Severity: stoatevent.Info, Since: "0.2",
		Title: "platform answers again",
		Text:  "A call succeeded after an outage; away is the length of the outage. Upstreams that are missing now have 2.5 s to register again.",
	})
	EventStaleAnswer = stoatevent.Register(stoatevent.Definition{
		Number: 1435, Severity: stoatevent.Warning, Since: "0.7",
		Title: "platform answer is older than the known state",
		Text:  "The answer was ignored, and the platform is asked again. Known and answered are era/revision, where the era is the platform's count of its restores. The event is logged once until an answer is accepted again. An answer of a replica needs no action; if exact is true and the condition persists, the platform's history went back without a new era.",
	})
	EventVerification = stoatevent.Register(stoatevent.Definition{
		Number: 1444, Severity: stoatevent.Info, Since: "0.10",
		Title: "state is verified before a final answer",
		Text:  "A packet refers to something that this entry does not know or takes for ended: an address without a route, an unknown cookie, an upstream that is gone. Another entry may know more, so the platform itself is asked about the topics, and the packets (waiting) are held until it answers. There are at most four such calls in a burst, and one a second after that, for each topic; for openings a replica is asked, at most twice at once and once in five seconds after that. Parent is the entry that sends updates; empty: none.",
	})
	EventContradicted = stoatevent.Register(stoatevent.Definition{
		Number: 1445, Severity: stoatevent.Warning, Since: "0.10",
		Title: "another entry contradicts what the platform showed",
		Text:  "The parent takes an upstream for ended, or for registered, and this entry has read otherwise; or it lacks an evacuation that this entry has. Read is the position up to which the platform's own answers are known here, position the one that the parent claims. SP1407 lines name the upstreams. This entry lists the topic anew, and the platform's list decides. Until then the parent's word is used for upstreams, and evacuations stay. An evacuation that was withdrawn while this entry had no parent is no fault; if upstreams recur, the parent's release has one, or it reads another platform.",
	})
	EventConfigRejected = stoatevent.Register(stoatevent.Definition{
		Number: 1436, Severity: stoatevent.Error, Since: "0.7",
		Title: "later configuration is rejected",
		Text:  "A configuration with a higher version than the one in force was read, but its revision says that it was written before that one. Inforce and known are the version and the revision in force.",
	})
	EventPlatformRestored = stoatevent.Register(stoatevent.Definition{
		Number: 1437, Severity: stoatevent.Warning, Since: "0.7",
		Title: "platform was restored",
		Text:  "The platform was restored from a copy that is some seconds old: its era rose, and revisions are assigned again. The entry lists everything anew; what is in force stays in force (version) until something later is read. Known is the position up to which the entry knew everything; source names the platform, or the entry that reported the restore. Changes that were confirmed in the seconds before the restore have to be written again, which the platform's operators and the upstreams do.",
	})
	EventFormerLoadFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1438, Severity: stoatevent.Warning, Since: "0.8",
		Title: "former services of routes could not be read",
		Text:  "Logged once, at the start. If a route moved to another service within the last minute, and no running entry knows of it, packets of flows at the former service are dropped as forged (SP1412) until these flows end.",
	})
	EventFormerSaveFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1439, Severity: stoatevent.Warning, Since: "0.8",
		Title: "former services of routes could not be saved",
		Text:  "A route lost a service with this version of the configuration. Running entries know the former service and send it to others; if all of them lose power within a minute, packets of flows at that service are dropped (SP1412).",
	})
	EventUpstreamEjected = stoatevent.Register(stoatevent.Definition{
		Number: 1410, Severity: stoatevent.Warning, Since: "0.2",
		Title: "upstream is ejected",
		Text:  "Callers repeated packets to the upstream, and no flow there got an answer. The upstream gets no new flows for a while. Its open flows continue; waiting is the number of requests of this entry that wait for it. After the pause it gets a single flow, and an answer ends the ejection. If this recurs, check the upstream, and the network if several entries of one data centre report it.",
	})
	EventFlowReset = stoatevent.Register(stoatevent.Definition{
		Number: 1411, Severity: stoatevent.Info, Since: "0.2",
		Title: "flow reset",
		Text:  "The caller was told at once that its flow cannot continue, or cannot open. Reason says why. Route: no route has the address. Upstream: no upstream can take the flow; evacuated, outside and cold count those that were excluded because their data centre is evacuated, because they are in no region that the route allows, or because they are cold and can take no more. Gone: the platform reports that the flow's upstream has ended; waited means that the caller waited for an answer, and was told without sending a packet. Overload: the mean answer time of the best upstream is over bound, so that the answer would be late. Level: the upstreams reject requests (turned is the share), and a more urgent level needs the room; share is what is admitted of this level. Fairness: other routes of the level need the room. Away: the flow would have gone to another data centre whose own callers leave no room. Shared says whether all entries' observations decided, or only this entry's. Young: this entry has no configuration yet.",
	})
	EventPacketDropped = stoatevent.Register(stoatevent.Definition{
		Number: 1412, Severity: stoatevent.Info, Since: "0.2",
		Title: "packet dropped",
		Text:  "The packet was not forwarded, and the caller was not told. Reason says why. Forged: the cookie is of a service that the route never had. Unproven: this entry cannot judge the cookie until the platform answers. Young: this entry has no configuration yet. Stale: an opening that waited in the socket while the process did not run for a second or longer, or for a verification while a copy of it came; its flow may be open through another entry. The other reasons name what is wrong with the datagram.",
	})
	EventFlowPlaced = stoatevent.Register(stoatevent.Definition{
		Number: 1413, Severity: stoatevent.Info, Since: "0.2",
		Title: "flow placed",
		Text:  "The opening packet was sent to the upstream. Copies is the number of opening packets before it; moved says that the previous one was sent to another upstream and got no answer; spilled, that it went to another data centre since this one is overloaded (SP1442). Busy is the number of requests that this entry had in progress at the upstream, and mean the mean answer time that it observed; both decided the choice.",
	})
	EventSettingsReloaded = stoatevent.Register(stoatevent.Definition{
		Number: 1414, Severity: stoatevent.Info, Since: "0.2",
		Title: "settings reloaded",
		Text:  "Changes of the log level and of limits are in force; applied names them. Others need a restart of the entry; kept names them.",
	})
	EventSettingsRejected = stoatevent.Register(stoatevent.Definition{
		Number: 1415, Severity: stoatevent.Warning, Since: "0.2",
		Title: "settings rejected",
		Text:  "The settings file cannot be read or has faults. The previous settings stay in force. Run check on the file.",
	})
	EventLinesOmitted = stoatevent.Register(stoatevent.Definition{
		Number: 1416, Severity: stoatevent.Warning, Since: "0.2",
		Title: "log lines omitted",
		Text:  "More lines came than the limit of their event allows, or the writer could not keep up. The counts are per event since the last such line; metrics have them too. The limit never omits state changes.",
	})
	EventCookieClash = stoatevent.Register(stoatevent.Definition{
		Number: 1419, Severity: stoatevent.Warning, Since: "0.2",
		Title: "two upstreams share a cookie",
		Text:  "The 32 bits that packets carry cannot tell the upstream from the holder, which registered first and keeps its flows. The upstream gets none. Restart it, so that it gets another id.",
	})
	EventParentFound = stoatevent.Register(stoatevent.Definition{
		Number: 1420, Severity: stoatevent.Info, Since: "0.2",
		Title: "parent found",
		Text:  "The parent sends its state, the changes to it, and how old it is. An entry that is not a seed does not call the platform while the parent's state is recent. Depth is the number of hops from an entry that reads the platform.",
	})
	EventParentLost = stoatevent.Register(stoatevent.Definition{
		Number: 1421, Severity: stoatevent.Warning, Since: "0.2",
		Title: "parent lost",
		Text:  "The parent ended, fell silent, or was left because its state became too old; cause says which. The entry reads the platform itself until it finds another parent. If all entries report this again and again, check the seeds that the settings name.",
	})
	EventLateAnswer = stoatevent.Register(stoatevent.Definition{
		Number: 1422, Severity: stoatevent.Info, Since: "0.2",
		Title: "answer was late",
		Text:  "The time from a request to its caller's acknowledgement of the answer exceeded the route's objective, as measured at this entry. Busy is the number of other requests of this entry in progress at the upstream at that time: many mean that the upstream is loaded, few that it is slow. Earlier attempts of the caller that went elsewhere are not included.",
	})
	EventProcessPaused = stoatevent.Register(stoatevent.Definition{
		Number: 1418, Severity: stoatevent.Warning, Since: "0.2",
		Title: "process was paused",
		Text:  "The process did not run for the time in gap. What it knows of the platform counts as older by that time, and is requested anew. If this recurs, the machine is short of processor time.",
	})
	EventFullState = stoatevent.Register(stoatevent.Definition{
		Number: 1417, Severity: stoatevent.Info, Since: "0.2",
		Title: "full state received from another entry",
		Text:  "The whole state of the neighbour was merged into this entry's, except where this entry knows something later. Age is the time since the neighbour's state was known to be current; it is large while the platform is unreachable.",
	})
	EventUpstreamFailing = stoatevent.Register(stoatevent.Definition{
		Number: 1427, Severity: stoatevent.Warning, Since: "0.3",
		Title: "upstream fails requests, and gets no new flows for a while",
		Text:  "The upstream answers opening packets, but fails clearly more requests than others of its service. Failed is the number of its requests of the last 4 s that waited 0.5 s for an answer, and answered the number of those that were answered, as all entries of this data centre observed together. Open flows continue. Check the upstream; its health check may pass all the while.",
	})
	EventUpstreamSilent = stoatevent.Register(stoatevent.Definition{
		Number: 1430, Severity: stoatevent.Warning, Since: "0.5",
		Title: "upstream answers no entry of this data centre, and gets no flows for a while",
		Text:  "Entries is the number of entries that wait for the upstream without an answer; the second of them has waited for the time in silence, and none has had a sign of life since. Each entry of the data centre decides so by itself within some tens of milliseconds. Open flows continue; waiting is the number of requests of this entry that wait for the upstream. A sign of life at any entry ends the exclusion. If the upstream is dead, SP1407 with the standing gone follows; if not, check the network between this data centre and the upstream.",
	})
	EventEvacuated = stoatevent.Register(stoatevent.Definition{
		Number: 1431, Severity: stoatevent.Warning, Since: "0.6",
		Title: "data centre is evacuated",
		Text:  "Operators requested that its upstreams get nothing new: from now on this entry opens no flow there, even if no other upstream is left. Open flows continue; stoatpaddle_centre_flows says how many this entry still sees. Revision is the platform's revision; source names the platform, or the entry that sent the request.",
	})
	EventEvacuationWithdrawn = stoatevent.Register(stoatevent.Definition{
		Number: 1432, Severity: stoatevent.Info, Since: "0.6",
		Title: "evacuation of a data centre is withdrawn",
		Text:  "Its upstreams get new flows again at once; those that report that they are cold get no more than the service's limit allows.",
	})
	EventUpstreamsSilent = stoatevent.Register(stoatevent.Definition{
		Number: 1434, Severity: stoatevent.Warning, Since: "0.6",
		Title: "many upstreams answer no entry of this data centre",
		Text:  "As SP1430, for more than eight upstreams at once; names has at most 64 of them. If all are of one data centre, check the network towards it.",
	})
	EventReportFailed = stoatevent.Register(stoatevent.Definition{
		Number: 1428, Severity: stoatevent.Info, Since: "0.3",
		Title: "report about upstreams did not reach the parent",
		Text:  "The next report contains all observations. The entry leaves a parent that stays silent.",
	})
	EventIncarnation = stoatevent.Register(stoatevent.Definition{
		Number: 1429, Severity: stoatevent.Info, Since: "0.4",
		Title: "registration of another incarnation, or by another writer",
		Text:  "Known and read are incarnation (Unix ms of the start; 0: not given), service and address. Restarted: the upstream started again under its id and has none of its earlier flows; what was observed of the earlier incarnation is discarded. Outdated: an earlier incarnation wrote the registration, which is ignored. Contradicted: the upstream cannot have written the registration; it gets no new flows until a valid registration comes, and keeps its open ones.",
	})
	EventReadsPlatform = stoatevent.Register(stoatevent.Definition{
		Number: 1423, Severity: stoatevent.Info, Since: "0.3",
		Title: "entry reads the platform itself",
		Text:  "No other entry sends it state that is recent enough, or the settings name it as a seed; why says which. Reading costs platform calls, so this should be rare on entries that are not seeds.",
	})
	EventNoParent = stoatevent.Register(stoatevent.Definition{
		Number: 1424, Severity: stoatevent.Info, Since: "0.3",
		Title: "no parent found",
		Text:  "No entry that this one knows accepts it as a child; cause is the last refusal. The entry reads the platform itself, and searches again after a second or more.",
	})
	EventChildAccepted = stoatevent.Register(stoatevent.Definition{
		Number: 1425, Severity: stoatevent.Info, Since: "0.3",
		Title: "child accepted",
		Text:  "Another entry asked for updates and was accepted. Known is the platform's revision up to which the child knew everything.",
	})
	EventChildLeft = stoatevent.Register(stoatevent.Definition{
		Number: 1426, Severity: stoatevent.Info, Since: "0.3",
		Title: "child left",
		Text:  "The child closed the connection, could not be written to, or this entry stops; cause says which.",
	})
	EventLevelLimited = stoatevent.Register(stoatevent.Definition{
		Number: 1440, Severity: stoatevent.Warning, Since: "0.9",
		Title: "priority level is limited",
		Text:  "The upstreams of the service in the data centre (centre) reject requests (turned is the share), and openings of this priority are refused so that more urgent ones get the room. Share is what is admitted of them. Shared says whether all entries' observations decided, or only this entry's. Logged once for each period; SP1411 tells of single openings. The service needs more upstreams if this happens at usual load.",
	})
	EventLevelUnlimited = stoatevent.Register(stoatevent.Definition{
		Number: 1441, Severity: stoatevent.Info, Since: "0.9",
		Title: "priority level is no longer limited",
		Text:  "All openings of this priority are admitted again. Lasted is for how long the level was limited. Refused counts the openings of the level that this entry has refused for more urgent ones since its start.",
	})
	EventSpillStarted = stoatevent.Register(stoatevent.Definition{
		Number: 1442, Severity: stoatevent.Warning, Since: "0.9",
		Title: "openings go to other data centres",
		Text:  "The upstreams of the service in this data centre (centre) reject requests or its entries refuse openings (reason, turned and refused are the shares), and other data centres have room: targets names the openings a second that each can take from this one. Flows that open there stay there. Logged once for each period, by each entry. The data centre needs more upstreams, or callers have moved.",
	})
	EventSpillEnded = stoatevent.Register(stoatevent.Definition{
		Number: 1443, Severity: stoatevent.Info, Since: "0.9",
		Title: "openings stay in this data centre again",
		Text:  "The upstreams of the service here serve their callers again (reason none), or no other data centre has room for more (reason no room).",
	})
)
