package stoatedge

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

// Who proves what.
//
// The load: each exact question is paid for and counts toward the platform's rates, which
// grow more slowly than the fleet. If every entry proved by itself that it is up to date,
// twelve would use up six of eight reads a second, and a restart of all would be refused.
//
// So the few entries that the settings name as seeds ask exactly. The others watch replicas,
// which cost a tenth and count toward no rate, and learn from a seed which revision the
// platform had and when. An entry that no seed tells asks by itself.

// proof says which revision the platform had when a question was sent.
type proof struct {
	sent time.Time
	rev  stoatpaddle.Version
	at   time.Time // when it came
	// hurried is set once the replicas that are behind were asked for it.
	hurried bool
}

// follower is what an entry that is no seed knows of its seeds.
type follower struct {
	follows bool // there are seeds to follow
	told    bool // one tells
	fails   int  // in a row
}

// seedFails is after how many failures in a row an entry asks by itself: the first may be
// one seed that is down, and the next one answers at once.
const seedFails = 2

// follow begins or ends to follow seeds.
func (k *keeper) follow(follows bool) {
	if follows == k.seeds.follows {
		return
	}
	k.seeds = follower{follows: follows}
	if follows {
		k.do(askProof{})
		return
	}
	k.proveAlone()
}

// proveAlone has this entry prove by itself.
func (k *keeper) proveAlone() {
	k.feeds[declarations].SetStale(false)
	k.nudge(declarations)
}

// shown takes in what a seed tells. An old proof is none: the seed is out of touch itself.
func (k *keeper) shown(now time.Time, x shown) {
	if !k.seeds.follows {
		return
	}
	if x.cause != nil || x.age > k.bound {
		k.unseen(x)
		return
	}
	k.seeds.fails = 0
	if !k.seeds.told {
		k.seeds.told = true
		k.feeds[declarations].SetStale(true)
		k.log(EventFollows, stoatevent.F("seed", x.from), stoatevent.F("revision", x.rev.String()), stoatevent.F("age", x.age.String()))
	}
	k.challenge(proof{sent: now.Add(-x.age), rev: x.rev, at: now})
	k.do(askProof{wait: true})
}

// unseen handles a seed that tells nothing.
func (k *keeper) unseen(x shown) {
	k.seeds.fails++
	if k.seeds.told && k.seeds.fails >= seedFails {
		k.seeds.told = false
		k.log(EventFollowsNobody, stoatevent.F("seed", x.from), stoatevent.F("fails", countOf(k.seeds.fails)), stoatevent.F("cause", causeOf(x.cause)))
		k.proveAlone()
	}
	k.do(askProof{attempt: k.seeds.fails})
}

func causeOf(err error) string {
	if err == nil {
		return "its proof is too old"
	}
	return err.Error()
}

// challenge notes a proof that this entry's view has to match, unless it has one already
// that is not matched: the older one would never be.
func (k *keeper) challenge(p proof) {
	if k.open == nil || !k.open.hurried {
		k.open = &p
	}
	k.match()
}

// match tells whether everything up to the open proof's revision is known here.
func (k *keeper) match() {
	if k.open == nil {
		return
	}
	for _, f := range k.feeds {
		if f.Revision() < k.open.rev {
			return
		}
	}
	k.book.Prove(k.open.sent)
	k.open = nil
}

// press asks replicas that are behind the open proof: first once more, then around them.
func (k *keeper) press(now time.Time) {
	if k.open == nil || k.open.hurried || now.Sub(k.open.at) <= settle {
		return
	}
	k.open.hurried = true
	for t, f := range k.feeds {
		if f.Revision() < k.open.rev {
			f.Hurry()
			k.nudge(topic(t))
		}
	}
}
