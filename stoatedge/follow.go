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
	// relyShare is how much of the bound a parent's word may be old before the entry reads the
	// platform itself: readers prove what they know every 0.45 to 0.5 of it, and after a watch
	// that went silent at 0.65; what is left is many times what a question takes.
	relyShare = 0.72
	// seekEvery is the pause between two searches for a parent, and half of it at most is
	// added at random. An entry that has nothing to serve by does not pause as long.
	seekEvery = time.Second
	seekFirst = 300 * time.Millisecond
	// seekMost bounds the pause of such an entry, which doubles with each search: seeds that are asked by a thousand
	// entries several times a second have no time left to read what these wait for.
	seekMost = 2400 * time.Millisecond
	// seekAgain bounds the random pause of an entry that lost its parent. All its children
	// notice in one moment; if they asked each other in that moment, each would be accepted
	// by one that has no parent either, and they would go round in a loop.
	seekAgain = 400 * time.Millisecond
)

// follower is what the keeper knows of its parent.
type follower struct {
	others  bool   // there are entries to ask
	allowed bool   // the parent's word is enough: this entry is no seed
	serial  int    // of the latest search
	seeking bool   // it goes on, or a parent was found
	parent  string // "": nobody tells
	path    []netip.AddrPort
	fresh   time.Time     // as of when the parent's word was up to date; zero: never
	again   time.Time     // when to search next
	pause   time.Duration // the last one of an entry that has nothing to serve by
}

// naming is what the settings say of seeds.
type naming struct {
	others bool // they name other entries
	self   bool // and this one: it reads the platform for others
}

// follows tells whether this entry goes by what others tell.
func (n naming) follows() bool { return n.others && !n.self }

// rebind takes in which entries the settings name.
func (k *keeper) rebind(now time.Time, n naming) {
	k.follow.others, k.follow.allowed = n.others, n.follows()
	for _, t := range k.topics {
		k.feeds[t].SetStartOptions(n.follows(), n.self)
	}
	if !n.follows() && !k.reading {
		k.read(now, "the settings changed")
	}
	if !n.others {
		k.leave("the settings name nobody")
	}
}

// wantsParent tells whether to search for one: always, but for a seed, which needs somebody's
// word only while the platform does not answer.
func (k *keeper) wantsParent(now time.Time) bool {
	f := &k.follow
	if !f.others || f.seeking || now.Before(f.again) {
		return false
	}
	if f.allowed {
		return true
	}
	if !k.ready {
		// A large list comes in pages; as long as they come, nobody needs to be troubled.
		return now.Sub(k.heard) > settle
	}
	failing := k.failing()
	return !failing.IsZero() && now.Sub(failing) > settle
}

func (k *keeper) seek(now time.Time) {
	f := &k.follow
	f.serial++
	f.seeking = true
	pause := seekEvery + time.Duration(k.rnd.Int64N(int64(seekEvery/2)))
	if !k.ready {
		f.pause = min(seekMost, max(seekFirst, 2*f.pause))
		pause = f.pause
		if pause > seekFirst {
			pause = pause/2 + time.Duration(k.rnd.Int64N(int64(pause)))
		}
	}
	f.again = now.Add(pause)
	x := seek{serial: f.serial, known: k.known}
	if k.ready && k.failing().IsZero() {
		// The platform answers here, so that an old word is worth nothing.
		x.within = stoatfeed.Fraction(k.bound, relyShare)
	}
	k.do(x)
}

// leave parts from the parent, if there is one.
func (k *keeper) leave(why string) {
	f := &k.follow
	if f.parent == "" {
		return
	}
	k.do(leave{serial: f.serial, why: why})
}

// takeUpdate takes in what the parent says.
func (k *keeper) takeUpdate(now time.Time, x update) {
	f := &k.follow
	if x.serial != f.serial {
		return
	}
	if f.parent == "" {
		f.parent = x.from
		k.book.SetMirroring(now, true)
		k.log(EventParentFound, stoatevent.F("parent", x.from), stoatevent.F("depth", countOf(len(x.path))),
			stoatevent.F("revision", x.known.String()), stoatevent.F("age", ageText(x.age)))
	}
	f.path = x.path
	if !k.sameHistory(now, &x) {
		return
	}
	if current := k.book.Declaration().Version; !x.delta.AppliesTo(current) {
		// This entry read a version of its own in between. None of the message counts: had it
		// been taken for known, the configuration would stay as it is until the next change.
		// Everything is told anew after a new search.
		k.leave("its change does not fit version " + current.String())
		return
	}
	later := !x.known.Before(k.known)
	if later && x.age >= 0 {
		f.fresh = now.Add(-x.age)
	}
	k.mirror(now, x, later)
	// The word of one that is out of touch, or that only helps out a seed, says nothing
	// about what lapsed in an outage: that stays to be found out.
	enough := later && f.allowed && k.relies(now)
	for _, t := range k.topics {
		if enough {
			k.feeds[t].Adopt(x.known)
		} else {
			k.feeds[t].Advance(x.known)
		}
	}
	if enough && k.reading {
		k.rely()
	}
}

// sameHistory makes sure that the parent's revisions can be compared with this entry's. A parent that has
// not heard of a restore is left: what it says next would be put aside, and never be said again.
func (k *keeper) sameHistory(now time.Time, x *update) bool {
	switch own := k.book.Era(); {
	case x.era == 0:
		// It is of a release that knows no eras.
		x.known.Era = own
	case x.era < own:
		k.leave("it has not heard of the platform's restore")
		return false
	case x.era > own:
		k.restored(now, x.era, x.from)
	}
	return true
}

// mirror makes what the parent believes this entry's own.
func (k *keeper) mirror(now time.Time, x update, later bool) {
	if x.whole {
		k.log(EventFullState, stoatevent.F("neighbour", x.from), stoatevent.F("age", ageText(x.age)),
			stoatevent.F("upstreams", countOf(len(x.upstreams))))
	}
	if x.delta != nil {
		k.applyDelta(now, x)
	}
	for _, ev := range x.evacuations {
		k.evacuate(ev, x.from)
	}
	for _, id := range k.book.Mirror(now, stoatroute.RemoteUpdate{Upstreams: x.upstreams, Complete: x.whole, UpToDate: later}) {
		k.newcomer(id, x.from)
	}
}

// applyDelta adopts the declaration that the parent tells, if it is later than the one in force.
func (k *keeper) applyDelta(now time.Time, x update) {
	current := k.book.Declaration()
	if x.delta.Declaration.Version <= current.Version {
		k.book.AddFormerServices(x.delta.Declaration.Routes)
		return
	}
	d := x.delta.ApplyTo(&current)
	k.apply(now, declarations, []change{{revision: x.delta.Revision, declaration: &d}}, x.from)
}

func ageText(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// relies tells whether the parent's word is young enough to go by, also when it has ended:
// until it is old, there is time to find another parent.
func (k *keeper) relies(now time.Time) bool {
	return now.Sub(k.follow.fresh) <= stoatfeed.Fraction(k.bound, relyShare)
}

// rely ends reading the platform. The calls under way are given up; what they bring is older
// than what the parent tells next.
func (k *keeper) rely() {
	k.reading, k.parked, k.unwatched = false, [topicCount]bool{}, false
	for _, t := range k.topics {
		k.drop(t)
	}
}

// read begins to read the platform, exactly and at once. The first question finds out whether
// it answers this entry at all: in an outage each one is paid for by each entry.
func (k *keeper) read(now time.Time, why string) {
	k.reading, k.unwatched = true, true
	k.log(EventReadsPlatform, stoatevent.F("why", why), stoatevent.F("parent", k.follow.parent))
	for _, t := range k.topics {
		k.parked[t] = t != declarations
		// A replica's word on evacuations has to reach what the exact answer about the configuration says.
		if t != evacuations {
			k.feeds[t].RequestExact()
		}
	}
	if !k.pending[declarations] {
		k.ask(now, declarations)
	}
}

// watchParent notices that the parent's word has grown old.
func (k *keeper) watchParent(now time.Time) {
	if !k.reading && !k.relies(now) {
		k.read(now, "the parent's word is old")
	}
	if k.wantsParent(now) {
		k.seek(now)
	}
}

// compareParent parts from a parent whose word is old, once the platform itself has answered.
func (k *keeper) compareParent(now time.Time) {
	if k.follow.parent == "" {
		return
	}
	if !k.follow.allowed {
		k.leave("the platform answers")
		return
	}
	if !k.relies(now) {
		k.leave("its word is old, and the platform answers")
	}
}

// loseParent takes in that a search found nobody, or that the parent tells no more.
func (k *keeper) loseParent(now time.Time, x parentLost) {
	f := &k.follow
	if x.serial != f.serial {
		return
	}
	if f.parent != "" {
		k.log(EventParentLost, stoatevent.F("parent", f.parent), stoatevent.F("cause", x.cause.Error()))
		f.again = now.Add(time.Duration(k.rnd.Int64N(int64(seekAgain))))
	} else {
		k.log(EventNoParent, stoatevent.F("cause", x.cause.Error()))
	}
	f.seeking, f.parent, f.path = false, "", nil
	k.book.SetMirroring(now, false)
}

// resumed follows a pause of this process, which the steady clock may not have counted: what
// is believed is older by it.
func (k *keeper) resumed(now time.Time, gap time.Duration) {
	if !k.follow.fresh.IsZero() {
		k.follow.fresh = k.follow.fresh.Add(-gap)
	}
	if k.reading {
		for _, t := range []topic{declarations, upstreams} {
			k.doubt(now, t)
		}
	}
}

// asOf is when what is believed was last known to be up to date; zero: never.
func (k *keeper) asOf() time.Time {
	if own := k.book.CurrentAsOf(); own.After(k.follow.fresh) {
		return own
	}
	return k.follow.fresh
}
