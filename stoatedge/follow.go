package stoatedge

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Who asks the platform, and who is told.
//
// The load: each question is paid for and counts toward the platform's rates, which grow
// more slowly than the fleet. Twelve entries that ask by themselves use up six of eight reads
// a second; a hundred list and watch a hundred and fifty upstreams each.
//
// So the entries that the settings name as seeds read the platform, and the others are told:
// each has a parent, which sends what it believes, what changed, and how long ago that was
// known to be up to date. An entry whose parent falls silent or falls behind reads the
// platform itself, at once, until another one tells it.

const (
	// maxParentAgeShare is how much of the bound a parent's word may be old before the entry reads the
	// platform itself: readers prove what they know every 0.45 to 0.5 of it, and after a watch
	// that went silent at 0.65; what is left is many times what a question takes.
	maxParentAgeShare = 0.72
	// searchInterval is the pause between two searches for a parent, and half of it at most is
	// added at random. An entry that has nothing to serve by does not pause as long.
	searchInterval = time.Second
	minSearchBackoff = 300 * time.Millisecond
	// maxSearchBackoff bounds the pause of such an entry, which doubles with each search: seeds that are asked by a thousand
	// entries several times a second have no time left to read what these wait for.
	maxSearchBackoff = 2400 * time.Millisecond
	// maxLostParentPause bounds the random pause of an entry that lost its parent. All its children
	// notice in one moment; if they asked each other in that moment, each would be accepted
	// by one that has no parent either, and they would go round in a loop.
	maxLostParentPause = 400 * time.Millisecond
)

// follower is what the keeper knows of its parent.
type follower struct {
	hasOthers  bool   // there are entries to ask
	mayRely bool   // the parent's word is enough: this entry is no seed
	searchID  int    // of the latest search
	searching bool   // it goes on, or a parent was found
	parent  string // "": nobody tells
	path    []netip.AddrPort
	currentAt   time.Time     // as of when the parent's word was up to date; zero: never
	nextSearch   time.Time     // when to search next
	backoff   time.Duration // the last one of an entry that has nothing to serve by
}

// seedRole is what the settings say of seeds.
type seedRole struct {
	otherSeeds bool // they name other entries
	isSeed   bool // and this one: it reads the platform for others
}

// reliesOnOthers tells whether this entry goes by what others tell.
func (n seedRole) reliesOnOthers() bool { return n.otherSeeds && !n.isSeed }

// setSeedRole takes in which entries the settings name.
func (ctl *controller) setSeedRole(now time.Time, n seedRole) {
	ctl.follower.hasOthers, ctl.follower.mayRely = n.otherSeeds, n.reliesOnOthers()
	for _, t := range ctl.topics {
		ctl.feeds[t].SetStart(n.reliesOnOthers(), n.isSeed)
	}
	if !n.reliesOnOthers() && !ctl.reading {
		ctl.startReading(now, "the settings changed")
	}
	if !n.otherSeeds {
		ctl.leaveParent("the settings name nobody")
	}
}

// wantsParent tells whether to search for one: always, but for a seed, which needs somebody's
// word only while the platform does not answer.
func (ctl *controller) wantsParent(now time.Time) bool {
	f := &ctl.follower
	if !f.hasOthers || f.searching || now.Before(f.nextSearch) {
		return false
	}
	if f.mayRely {
		return true
	}
	if !ctl.ready {
		// A large list comes in pages; as long as they come, nobody needs to be troubled.
		return now.Sub(ctl.lastAnswer) > answerWait
	}
	failing := ctl.failing()
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
	if ctl.ready && ctl.failing().IsZero() {
		// The platform answers here, so that an old word is worth nothing.
		x.maxAge = stoatfeed.Share(ctl.applyBound, maxParentAgeShare)
	}
	ctl.emit(x)
}

// leaveParent parts from the parent, if there is one.
func (ctl *controller) leaveParent(why string) {
	f := &ctl.follower
	if f.parent == "" {
		return
	}
	ctl.emit(leaveParent{searchID: f.searchID, why: why})
}

// handleUpdate takes in what the parent says.
func (ctl *controller) handleUpdate(now time.Time, x parentUpdate) {
	f := &ctl.follower
	if x.searchID != f.searchID {
		return
	}
	if f.parent == "" {
		f.parent = x.parent
		ctl.book.Follow(now, true)
		ctl.log(EventFollows, stoatevent.F("parent", x.parent), stoatevent.F("depth", countText(len(x.path))),
			stoatevent.F("revision", x.known.String()), stoatevent.F("age", ageText(x.age)))
	}
	f.path = x.path
	if !ctl.sameHistory(now, &x) {
		return
	}
	if current := ctl.book.Declaration().Version; !x.delta.Fits(current) {
		// This entry read a version of its own in between. None of the message counts: had it
		// been taken for known, the configuration would stay as it is until the next change.
		// Everything is told anew after a new search.
		ctl.leaveParent("its change does not fit version " + current.String())
		return
	}
	later := !x.known.Before(ctl.known)
	if later && x.age >= 0 {
		f.currentAt = now.Add(-x.age)
	}
	ctl.applyUpdate(now, x, later)
	// The word of one that is out of touch, or that only helps out a seed, says nothing
	// about what lapsed in an outage: that stays to be found out.
	enough := later && f.mayRely && ctl.parentIsCurrent(now)
	for _, t := range ctl.topics {
		if enough {
			ctl.feeds[t].Adopt(x.known)
		} else {
			ctl.feeds[t].Heard(x.known)
		}
	}
	if enough && ctl.reading {
		ctl.stopReading()
	}
}

// sameHistory makes sure that the parent's revisions can be compared with this entry's. A parent that has
// not heard of a restore is left: what it says next would be put aside, and never be said again.
func (ctl *controller) sameHistory(now time.Time, x *parentUpdate) bool {
	switch own := ctl.book.Era(); {
	case x.era == 0:
		// It is of a release that knows no eras.
		x.known.Era = own
	case x.era < own:
		ctl.leaveParent("it has not heard of the platform's restore")
		return false
	case x.era > own:
		ctl.handleRestore(now, x.era, x.parent)
	}
	return true
}

// applyUpdate makes what the parent believes this entry's own.
func (ctl *controller) applyUpdate(now time.Time, x parentUpdate, later bool) {
	if x.whole {
		ctl.log(EventNeighbour, stoatevent.F("neighbour", x.parent), stoatevent.F("age", ageText(x.age)),
			stoatevent.F("upstreams", countText(len(x.upstreams))))
	}
	if x.delta != nil {
		ctl.applyDelta(now, x)
	}
	for _, ev := range x.evacuations {
		ctl.evacuate(ev, x.parent)
	}
	for _, id := range ctl.book.Mirror(now, stoatroute.RemoteUpdate{Upstreams: x.upstreams, Whole: x.whole, Later: later}) {
		ctl.noteUpdate(id, x.parent)
	}
}

// applyDelta adopts the declaration that the parent tells, if it is later than the one in force.
func (ctl *controller) applyDelta(now time.Time, x parentUpdate) {
	current := ctl.book.Declaration()
	if x.delta.Declaration.Version <= current.Version {
		ctl.book.Recall(x.delta.Declaration.Routes)
		return
	}
	d := x.delta.Onto(&current)
	ctl.apply(now, declarations, []change{{revision: x.delta.Revision, declaration: &d}}, x.parent)
}

func ageText(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// parentIsCurrent tells whether the parent's word is young enough to go by, also when it has ended:
// until it is old, there is time to find another parent.
func (ctl *controller) parentIsCurrent(now time.Time) bool {
	return now.Sub(ctl.follower.currentAt) <= stoatfeed.Share(ctl.applyBound, maxParentAgeShare)
}

// stopReading ends reading the platform. The calls under way are given up; what they bring is older
// than what the parent tells next.
func (ctl *controller) stopReading() {
	ctl.reading, ctl.deferred, ctl.unwatched = false, [topicCount]bool{}, false
	for _, t := range ctl.topics {
		ctl.discardCall(t)
	}
}

// startReading begins to startReading the platform, exactly and at once. The first question finds out whether
// it answers this entry at all: in an outage each one is paid for by each entry.
func (ctl *controller) startReading(now time.Time, why string) {
	ctl.reading, ctl.unwatched = true, true
	ctl.log(EventReads, stoatevent.F("why", why), stoatevent.F("parent", ctl.follower.parent))
	for _, t := range ctl.topics {
		ctl.deferred[t] = t != declarations
		// A replica's word on evacuations has to reach what the exact answer about the configuration says.
		if t != evacuations {
			ctl.feeds[t].Doubt()
		}
	}
	if !ctl.pending[declarations] {
		ctl.startCall(now, declarations)
	}
}

// checkParent notices that the parent's word has grown old.
func (ctl *controller) checkParent(now time.Time) {
	if !ctl.reading && !ctl.parentIsCurrent(now) {
		ctl.startReading(now, "the parent's word is old")
	}
	if ctl.wantsParent(now) {
		ctl.findParent(now)
	}
}

// reviewParent parts from a parent whose word is old, once the platform itself has answered.
func (ctl *controller) reviewParent(now time.Time) {
	if ctl.follower.parent == "" {
		return
	}
	if !ctl.follower.mayRely {
		ctl.leaveParent("the platform answers")
		return
	}
	if !ctl.parentIsCurrent(now) {
		ctl.leaveParent("its word is old, and the platform answers")
	}
}

// handleParentLost takes in that a search found nobody, or that the parent tells no more.
func (ctl *controller) handleParentLost(now time.Time, x parentLost) {
	f := &ctl.follower
	if x.searchID != f.searchID {
		return
	}
	if f.parent != "" {
		ctl.log(EventFollowsNobody, stoatevent.F("parent", f.parent), stoatevent.F("cause", x.cause.Error()))
		f.nextSearch = now.Add(time.Duration(ctl.rand.Int64N(int64(maxLostParentPause))))
	} else {
		ctl.log(EventSought, stoatevent.F("cause", x.cause.Error()))
	}
	f.searching, f.parent, f.path = false, "", nil
	ctl.book.Follow(now, false)
}

// handleResumed follows a pause of this process, which the steady clock may not have counted: what
// is believed is older by it.
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

// asOf is when what is believed was last known to be up to date; zero: never.
func (ctl *controller) asOf() time.Time {
	if own := ctl.book.Proven(); own.After(ctl.follower.currentAt) {
		return own
	}
	return ctl.follower.currentAt
}
