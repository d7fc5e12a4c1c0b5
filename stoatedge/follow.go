package stoatedge

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// This file decides which entries read the platform, and which ones get updates from other entries.
//
// Each call is paid for and counts toward the platform's rate limits, which grow more slowly than the number
// of entries. Twelve entries that all read the platform use up six of eight reads a second; a hundred entries
// would each list and watch a hundred and fifty upstreams.
//
// Therefore the entries that the settings name as seeds read the platform. Each other entry has a parent,
// which sends its state, the changes to it, and how long ago that state was known to be current. An entry
// whose parent falls silent or falls behind reads the platform itself, at once, until it finds another
// parent.

const (
	// maxParentAgeShare is how old the parent's state may be, as a share of the maximum delay, before the entry
	// reads the platform itself. Entries that read the platform confirm that their state is current at intervals
	// of 0.45 to 0.5 of the maximum delay, and after 0.65 of it if a watch went silent. The rest of the delay
	// is many times what a call takes.
	maxParentAgeShare = 0.72
	// searchInterval is the pause between two searches for a parent; up to half of it is added at random. The
	// pause of an entry that is not ready starts at minSearchBackoff instead.
	searchInterval   = time.Second
	minSearchBackoff = 300 * time.Millisecond
	// maxSearchBackoff limits the pause of an entry that is not ready, which doubles with each search. Seeds
	// that a thousand entries ask several times a second have no time left to read the state that those
	// entries wait for.
	maxSearchBackoff = 2400 * time.Millisecond
	// maxLostParentPause limits the random pause of an entry that lost its parent. All children notice the
	// loss at the same time. If they asked each other at once, each would be accepted by one that has no
	// parent either, and they would form a loop.
	maxLostParentPause = 400 * time.Millisecond
)

// follower is the state of an entry as a child of another one.
type follower struct {
	hasOthers  bool   // there are other entries to ask
	mayRely    bool   // the parent's state suffices: this entry is not a seed
	searchID   int    // of the latest search
	searching  bool   // the latest search is running, or has found a parent
	parent     string // the parent's address; "": none
	path       []netip.AddrPort
	currentAt  time.Time     // when the parent's state was last known to be current; zero: never
	nextSearch time.Time     // when to search next
	backoff    time.Duration // the last pause of an entry that is not ready
}

// seedRole is what the settings say about seeds.
type seedRole struct {
	otherSeeds bool // they name other entries
	isSeed     bool // they name this entry, which reads the platform for others
}

// reliesOnOthers reports whether this entry uses the state of other entries instead of reading the platform.
func (r seedRole) reliesOnOthers() bool { return r.otherSeeds && !r.isSeed }

// setSeedRole sets this entry's role, which depends on the seeds that the settings name.
func (ctl *controller) setSeedRole(now time.Time, role seedRole) {
	ctl.follower.hasOthers, ctl.follower.mayRely = role.otherSeeds, role.reliesOnOthers()
	for _, t := range ctl.topics {
		ctl.feeds[t].SetRelayRole(role.reliesOnOthers(), role.isSeed)
	}
	if !role.reliesOnOthers() && !ctl.reading {
		ctl.startReading(now, "the settings changed")
	}
	if !role.otherSeeds {
		ctl.leaveParent("the settings name no other entry")
	}
}

// wantsParent reports whether to search for a parent. A seed needs one only while the platform does not
// answer; other entries always want one.
func (ctl *controller) wantsParent(now time.Time) bool {
	f := &ctl.follower
	if !f.hasOthers || f.searching || now.Before(f.nextSearch) {
		return false
	}
	if f.mayRely {
		return true
	}
	if !ctl.ready {
		// A long list comes in pages. As long as they come, no other entry has to be asked.
		return now.Sub(ctl.lastAnswer) > answerWait
	}
	failing := ctl.failingSince()
	return !failing.IsZero() && now.Sub(failing) > answerWait
}

func (ctl *controller) findParent(now time.Time) {
	f := &ctl.follower
	f.searchID++
	f.searching = true
	pause := searchInterval + time.Duration(ctl.rand.Int64N(int64(searchInterval/2)))
	if !ctl.ready {
		f.backoff = min(maxSearchBackoff, max(minSearchBackoff, 2*f.backoff))
		pause = f.backoff
		if pause > minSearchBackoff {
			pause = pause/2 + time.Duration(ctl.rand.Int64N(int64(pause)))
		}
	}
	f.nextSearch = now.Add(pause)
	x := findParent{searchID: f.searchID, known: ctl.known}
	if ctl.ready && ctl.failingSince().IsZero() {
		// The platform answers this entry, so a parent's state that is too old is of no use.
		x.maxAge = stoatfeed.Fraction(ctl.maxDelay, maxParentAgeShare)
	}
	ctl.emit(x)
}

// leaveParent leaves the parent, if there is one.
func (ctl *controller) leaveParent(why string) {
	f := &ctl.follower
	if f.parent == "" {
		return
	}
	ctl.emit(leaveParent{searchID: f.searchID, why: why})
}

// handleUpdate processes a message of the parent.
func (ctl *controller) handleUpdate(now time.Time, x parentUpdate) {
	f := &ctl.follower
	if x.searchID != f.searchID {
		return
	}
	if f.parent == "" {
		f.parent = x.parent
		ctl.state.SetMirroring(now, true)
		ctl.log(EventParentFound, stoatevent.F("parent", x.parent), stoatevent.F("depth", countText(len(x.path))),
			stoatevent.F("revision", x.known.String()), stoatevent.F("age", ageText(x.age)))
	}
	f.path = x.path
	if !ctl.sameHistory(now, &x) {
		return
	}
	if current := ctl.state.Declaration().Version; !x.delta.AppliesTo(current) {
		// This entry has read another version itself since. Nothing of the message counts as known: otherwise
		// the configuration would stay as it is until its next change. A new search brings the whole state.
		ctl.leaveParent("its configuration change does not apply to version " + current.String())
		return
	}
	later := !x.known.Before(ctl.known)
	ctl.noteUnreadable(now, &x)
	if later && x.age >= 0 && !ctl.lacksUpdates() {
		f.currentAt = now.Add(-x.age)
	}
	ctl.applyUpdate(now, x)
	if ctl.lacksUpdates() {
		return
	}
	// A parent that cannot reach the platform itself, or that only helps a seed in an outage, does not know
	// which registrations lapsed in the outage. The feeds still have to find that out.
	enough := later && f.mayRely && ctl.parentIsCurrent(now)
	for _, t := range ctl.topics {
		if enough {
			ctl.feeds[t].Adopt(x.position(t))
		} else {
			ctl.feeds[t].Advance(x.position(t))
		}
	}
	if enough && ctl.reading {
		ctl.stopReading()
	}
}

// sameHistory ensures that the parent's revisions can be compared with this entry's. A parent that does not
// know of a restore is left: its next changes would be ignored and never sent again.
func (ctl *controller) sameHistory(now time.Time, x *parentUpdate) bool {
	switch own := ctl.state.Era(); {
	case x.era == 0:
		// The parent's release does not send eras.
		x.known.Era = own
	case x.era < own:
		ctl.leaveParent("it does not know of the platform's restore")
		return false
	case x.era > own:
		ctl.handleRestore(now, x.era, x.parent)
	}
	return true
}

// applyUpdate merges the parent's state into this entry's.
func (ctl *controller) applyUpdate(now time.Time, x parentUpdate) {
	if x.whole {
		ctl.log(EventFullState, stoatevent.F("neighbour", x.parent), stoatevent.F("age", ageText(x.age)),
			stoatevent.F("upstreams", countText(len(x.upstreams))))
	}
	if x.delta != nil {
		ctl.applyDelta(now, x)
	}
	ctl.applyEvacuations(now, &x)
	named := make([]stoatpaddle.UpstreamID, 0, len(x.unreadable))
	for i := range x.unreadable {
		named = append(named, x.unreadable[i].ID)
	}
	update := stoatroute.RemoteUpdate{Upstreams: x.upstreams, Unreadable: named, Complete: x.whole && x.skipped == 0}
	if pos := x.position(upstreams); pos.Era == ctl.state.Era() {
		known := ctl.feeds[upstreams].Position()
		update.Position, update.Known, update.UpToDate = pos.Revision, known.Revision, !pos.Before(known)
	}
	if read := ctl.feeds[upstreams].ReadPosition(); read.Era == ctl.state.Era() {
		update.Read = read.Revision
	}
	changed, contradicted := ctl.state.Mirror(now, update)
	for _, id := range changed {
		ctl.noteUpdate(id, x.parent)
	}
	if contradicted && !ctl.follower.mayRely {
		ctl.contradict(now, upstreams, &x)
	}
}

// noteUnreadable has the platform itself asked about what cannot be read in the parent's message. Until it answers, the
// parent's messages do not count as everything that is known, since they do not repeat it.
func (ctl *controller) noteUnreadable(now time.Time, x *parentUpdate) {
	if len(x.unreadable) == 0 && x.skipped == 0 {
		if x.whole {
			ctl.lacking = [topicCount]bool{}
		}
		return
	}
	for _, u := range x.unreadable {
		ctl.log(EventInvalidObject, stoatevent.F("object", string(u.ID)), stoatevent.F("revision", u.Revision.String()), stoatevent.F("cause", u.Cause.Error()), stoatevent.F("source", x.parent))
	}
	if x.skipped > 0 {
		ctl.log(EventInvalidObject, stoatevent.F("count", countText(x.skipped)), stoatevent.F("cause", "not even its name can be read"), stoatevent.F("source", x.parent))
	}
	for _, t := range ctl.topics {
		if t == upstreams || t == evacuations && x.skipped > 0 {
			ctl.lacking[t], ctl.verifyingSince[t] = true, now
			ctl.verify(now, t)
		}
	}
}

// lacksUpdates reports whether a part of the parent's messages could not be read and the platform has not answered since.
func (ctl *controller) lacksUpdates() bool { return ctl.lacking != [topicCount]bool{} }

// applyDelta applies the parent's configuration, if it is later than the one in force.
func (ctl *controller) applyDelta(now time.Time, x parentUpdate) {
	current := ctl.state.Declaration()
	if x.delta.Declaration.Version <= current.Version {
		ctl.state.AddFormerServices(x.delta.Declaration.Routes)
		return
	}
	d := x.delta.ApplyTo(&current)
	ctl.apply(now, declarations, []change{{revision: x.delta.Revision, declaration: &d}}, x.delta.Revision, x.parent)
}

func ageText(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// parentIsCurrent reports whether the parent's state is recent enough to be relied on. It stays so for some
// time after the parent has ended, in which the entry can find another parent.
func (ctl *controller) parentIsCurrent(now time.Time) bool {
	return now.Sub(ctl.follower.currentAt) <= stoatfeed.Fraction(ctl.maxDelay, maxParentAgeShare)
}

// stopReading ends reading the platform. The calls in progress are cancelled, since their results are older
// than the parent's next message.
func (ctl *controller) stopReading() {
	ctl.reading, ctl.deferred, ctl.unwatched = false, [topicCount]bool{}, false
	for _, t := range ctl.topics {
		ctl.discardCall(t)
	}
}

// startReading begins to read the platform, with an exact call at once. This first call finds out whether the
// platform answers this entry at all: in an outage each call of each entry is paid for.
func (ctl *controller) startReading(now time.Time, why string) {
	ctl.reading, ctl.unwatched = true, true
	ctl.log(EventReadsPlatform, stoatevent.F("why", why), stoatevent.F("parent", ctl.follower.parent))
	for _, t := range ctl.topics {
		ctl.deferred[t] = t != declarations
		// Evacuations need no exact call: a replica's answer about them has to reach the position of the exact
		// answer about the configuration.
		if t != evacuations {
			ctl.feeds[t].RequestExact()
		}
	}
	if !ctl.pending[declarations] {
		ctl.startCall(now, declarations)
	}
}

// checkParent reads the platform when the parent's state is too old, and searches for a parent when one is
// wanted.
func (ctl *controller) checkParent(now time.Time) {
	if !ctl.reading && !ctl.parentIsCurrent(now) {
		ctl.startReading(now, "the parent's state is too old")
	}
	if ctl.wantsParent(now) {
		ctl.findParent(now)
	}
}

// reviewParent leaves a parent that is not needed, or whose state is too old, once the platform itself has
// answered.
func (ctl *controller) reviewParent(now time.Time) {
	if ctl.follower.parent == "" {
		return
	}
	if !ctl.follower.mayRely {
		ctl.leaveParent("the platform answers")
		return
	}
	if !ctl.parentIsCurrent(now) {
		ctl.leaveParent("its state is too old, and the platform answers")
	}
}

// handleParentLost processes a search that found no parent, or the end of the parent's updates.
func (ctl *controller) handleParentLost(now time.Time, x parentLost) {
	f := &ctl.follower
	if x.searchID != f.searchID {
		return
	}
	if f.parent != "" {
		ctl.log(EventParentLost, stoatevent.F("parent", f.parent), stoatevent.F("cause", x.cause.Error()))
		f.nextSearch = now.Add(time.Duration(ctl.rand.Int64N(int64(maxLostParentPause))))
	} else {
		ctl.log(EventNoParent, stoatevent.F("cause", x.cause.Error()))
	}
	f.searching, f.parent, f.path = false, "", nil
	ctl.state.SetMirroring(now, false)
}

// handleResumed processes a pause of this process, which the monotonic clock may not have counted: the state
// is older by the length of the pause.
func (ctl *controller) handleResumed(now time.Time, gap time.Duration) {
	if !ctl.follower.currentAt.IsZero() {
		ctl.follower.currentAt = ctl.follower.currentAt.Add(-gap)
	}
	if ctl.reading {
		for _, t := range []topic{declarations, upstreams} {
			ctl.verify(now, t)
		}
	}
}

// asOf returns when the state was last known to be current; zero: never.
func (ctl *controller) asOf() time.Time {
	if own := ctl.state.CurrentAsOf(); own.After(ctl.follower.currentAt) {
		return own
	}
	return ctl.follower.currentAt
}
