package stoatedge

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatfeed"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const (
	// tickEvery is how often what happens without events is looked at: a tenth of the least
	// time that matters here, the second of a short outage.
	tickEvery = 100 * time.Millisecond
	// settle is how long a replica may take to bring what a proof shows to exist, and the
	// platform to answer at the start, before somebody is asked: many times an answer's 4 ms.
	settle = 150 * time.Millisecond
	// parentWait is how long an entry that has just started and has its lists leaves the platform alone
	// while it looks for a parent: the search takes some tens of milliseconds, and a watch that is given
	// up then is paid for like any other. Its lists are older by that at most, once in a life.
	parentWait = time.Second
	// readyPages is how many pages of a list an entry reads before it has a parent: a deployment of hundreds of
	// upstreams is known some tens of milliseconds after a start, whether anybody is left to ask or not.
	readyPages = 2
	// pagesWait is how long it waits for a parent with the rest, and up to three times as long besides, at random.
	// A thousand entries that list 10,000 upstreams at once fill the platform's link for 24 s, the seeds' answers
	// among theirs. Those whose wait ends first read all.
	pagesWait = 2 * time.Second
)

// keeper decides what is believed about routes and upstreams. One goroutine uses it.
type keeper struct {
	book   *stoatroute.Builder
	topics []topic // that are followed
	// evacuations says that they are among these.
	evacuations bool
	feeds       [topicCount]*stoatfeed.Feed
	reading     bool             // the platform is asked; otherwise the parent tells
	pending     [topicCount]bool // a call is under way
	stale       [topicCount]bool // and what it brings is not wanted any more
	waiting     [topicCount]bool // it is a watch that waits for a change
	// unwatched is set until the first answer about upstreams once this entry reads again: what
	// ended meanwhile may have lapsed in an outage of which it noticed nothing.
	unwatched       bool
	answers         bool                // the platform does, as last said to touched
	parked          [topicCount]bool    // it is not asked about until the configuration is answered
	behind          [topicCount]bool    // its last answer was older than what is known
	settled         time.Time           // what ends until then may have lapsed with a restore only
	refused         stoatpaddle.Version // the last configuration that was read and not taken in
	upstreamPages   pages[stoatpaddle.UpstreamID]
	evacuationPages pages[stoatpaddle.DataCentreID]
	follow          follower
	bound           time.Duration // how soon a change has to be in force
	back            time.Duration // how long a registration that lapsed may take to come back
	open            *proof        // not matched yet
	rnd             *rand.Rand
	known           stoatpaddle.Position // everything up to it, of all topics, once ready
	begun           time.Time            // when the entry started
	heard           time.Time            // when the platform last answered; at first the start
	ready           bool
	table           *stoatroute.Table
	announced       announcement // as last said to others
	rung            rung
	listPages       [topicCount]int            // of the list under way, read so far
	pagesAfter      time.Time                  // until when further pages wait for a parent
	former          []stoatroute.FormerService // as the platform kept it when this entry started
	changes         []standingChange           // of the present step, to be logged
	out             []any                      // effects of the present step
}

type keeperConfig struct {
	Apply time.Duration
	// Evacuations says that the platform has some to follow.
	Evacuations bool
	Return      time.Duration
	Life        time.Duration
	Seeds       naming
	Seed        uint64
}

func newKeeper(cfg keeperConfig) *keeper {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	k := &keeper{
		bound: cfg.Apply, rnd: rnd, reading: true, topics: []topic{declarations, upstreams},
		back:        cfg.Return,
		book:        stoatroute.NewBuilder(stoatroute.Config{GracePeriod: cfg.Return, Retention: cfg.Life, RequireEvacuations: cfg.Evacuations}),
		evacuations: cfg.Evacuations,
	}
	if cfg.Evacuations {
		k.topics = append(k.topics, evacuations)
	}
	k.feeds[declarations] = stoatfeed.New(stoatfeed.Config{MaxDelay: cfg.Apply, Rand: rnd})
	k.feeds[upstreams] = stoatfeed.New(stoatfeed.Config{MaxDelay: cfg.Apply, Rand: rnd, AllowStale: true})
	k.feeds[evacuations] = stoatfeed.New(stoatfeed.Config{MaxDelay: cfg.Apply, Rand: rnd, AllowStale: true})
	k.rebind(time.Time{}, cfg.Seeds)
	return k
}

// step takes one event in and returns what to do.
func (k *keeper) step(now time.Time, ev any) []any {
	k.out = nil
	switch x := ev.(type) {
	case started:
		k.begun, k.heard = now, now
		k.pagesAfter = now.Add(pagesWait + time.Duration(k.rnd.Int64N(int64(3*pagesWait))))
		for _, t := range k.topics {
			k.ask(now, t)
		}
		k.do(recall{})
		if k.wantsParent(now) {
			k.seek(now)
		}
	case recalled:
		k.former = x.former
		k.book.RestoreFormerServices(now, k.former)
	case ticked:
		k.tick(now)
	case ended:
		k.ended(now, x)
	case update:
		k.takeUpdate(now, x)
	case parentLost:
		k.loseParent(now, x)
	case resumed:
		k.resumed(now, x.gap)
	case doubted:
		k.doubt(now, upstreams)
	case rebound:
		k.bound, k.back = x.apply, x.back
		k.rebind(now, x.seeds)
		k.book.SetConfig(stoatroute.Config{GracePeriod: x.back, Retention: x.life, RequireEvacuations: k.evacuations})
		for _, t := range k.topics {
			k.feeds[t].SetMaxDelay(x.apply)
		}
	}
	k.logStandings()
	k.publish()
	k.announce()
	k.ring(now)
	return k.out
}

func (k *keeper) do(effect any) { k.out = append(k.out, effect) }

func (k *keeper) log(e *stoatevent.Definition, fields ...stoatevent.Field) {
	k.do(logged{entry: e, fields: fields})
}

func (k *keeper) ask(now time.Time, t topic) {
	k.feeds[t].SetRecoveryRelayed(k.follow.allowed && k.follow.parent != "")
	c := k.feeds[t].Next()
	if !c.List && c.Wait > time.Millisecond && k.follow.allowed && k.follow.parent == "" {
		c.Pause = max(c.Pause, k.begun.Add(parentWait).Sub(now))
	}
	if c.List && c.After != "" && k.waitsForParent(t) {
		c.Pause = max(c.Pause, k.pagesAfter.Sub(now))
	}
	k.waiting[t], k.pending[t] = !c.List && c.Wait > time.Millisecond, true
	k.do(ask{topic: t, call: c})
}

// waitsForParent tells whether the next page of a list can wait for somebody who has it all.
func (k *keeper) waitsForParent(t topic) bool {
	return !k.ready && k.follow.allowed && k.listPages[t] >= readyPages
}

// doubt has a topic asked at once, exactly.
func (k *keeper) doubt(now time.Time, t topic) {
	k.feeds[t].RequestExact()
	if !k.reading && !k.pending[t] {
		k.ask(now, t)
		return
	}
	k.nudge(t)
}

func (k *keeper) nudge(t topic) {
	if k.waiting[t] {
		k.waiting[t] = false
		k.do(interrupt{topic: t})
	}
}

func (k *keeper) tick(now time.Time) {
	for _, id := range k.book.Expire(now) {
		k.standing(id, "did not come back")
	}
	k.expireEvacuations(now)
	k.press(now)
	k.watchParent(now)
}

// failing tells since when one of the feeds got no answer.
func (k *keeper) failing() time.Time {
	for _, t := range k.topics {
		if f := k.feeds[t]; !f.FailingSince().IsZero() {
			return f.FailingSince()
		}
	}
	return time.Time{}
}

func (k *keeper) ended(now time.Time, x ended) {
	k.waiting[x.topic], k.pending[x.topic] = false, false
	if k.stale[x.topic] {
		k.stale[x.topic] = false
		k.next(now, x.topic)
		return
	}
	if x.result.Outcome == stoatfeed.Answered {
		k.heard = now
		k.countPage(&x)
	}
	f := k.feeds[x.topic]
	failing := f.FailingSince()
	v := f.Done(now, x.sent, x.call, x.result)
	if era := f.Era(); era > k.book.Era() {
		k.restored(now, era, "platform")
	}
	k.noteBehind(x, v)
	if v.OutageBegan {
		cause := "refused by rate"
		if x.cause != nil {
			cause = x.cause.Error()
		}
		k.log(EventPlatformLost, stoatevent.F("topic", x.topic.String()), stoatevent.F("cause", cause))
	}
	if v.OutageEnded {
		k.log(EventPlatformBack, stoatevent.F("topic", x.topic.String()), stoatevent.F("away", now.Sub(failing).String()))
	}
	if x.result.Outcome == stoatfeed.Failed && x.topic == upstreams {
		k.book.RestartGracePeriod(now)
	}
	if v.Apply {
		k.apply(now, x.topic, x.changes, "platform")
		k.complete(now, x, v)
		if x.topic == upstreams && (v.Complete || !x.call.List) {
			k.unwatched = false
		}
		k.prove(now, x, v)
		if v.Current {
			k.compareParent(now)
		}
	}
	k.next(now, x.topic)
}

// noteBehind says once that answers are older than what is known.
func (k *keeper) noteBehind(x ended, v stoatfeed.Decision) {
	if x.result.Outcome != stoatfeed.Answered || v.Outdated == k.behind[x.topic] || x.result.More {
		return
	}
	k.behind[x.topic] = v.Outdated
	if v.Outdated {
		k.log(EventStaleAnswer, stoatevent.F("topic", x.topic.String()), stoatevent.F("known", k.feeds[x.topic].Position().String()),
			stoatevent.F("answered", x.result.AsOf.String()),
			stoatevent.F("list", strconv.FormatBool(x.call.List)), stoatevent.F("exact", strconv.FormatBool(!x.call.AllowStale)))
	}
}

// next asks about a topic again. While the platform answers none, one question at a
// time finds out that it is back: each is paid for.
func (k *keeper) next(now time.Time, t topic) {
	if !k.reading {
		return
	}
	if t != declarations && (k.parked[t] || k.lost(t) && k.lost(declarations)) {
		k.parked[t] = true
		return
	}
	k.ask(now, t)
	if !k.feeds[declarations].FailingSince().IsZero() {
		return
	}
	for _, t := range k.topics {
		if !k.parked[t] {
			continue
		}
		k.parked[t] = false
		if !k.pending[t] {
			k.ask(now, t)
		}
	}
}

func (k *keeper) lost(t topic) bool { return k.feeds[t].Unreachable() }

// prove notes until when the view is proven up to date: by an exact answer about the
// upstreams, or by replicas' answers that are as new as an exact one.
func (k *keeper) prove(now time.Time, x ended, v stoatfeed.Decision) {
	asOf := x.call.AsOf(x.sent, now, x.result)
	switch {
	case x.topic == upstreams && v.Current:
		k.book.MarkCurrent(asOf)
	case x.topic == declarations && v.Current:
		k.challenge(proof{asOf: asOf, pos: x.result.AsOf, at: now})
	}
	k.match()
	if k.open != nil && k.open.hurried && k.feeds[x.topic].Position().Before(k.open.pos) {
		// The replica is behind what the platform has said already.
		k.feeds[x.topic].RequestExact()
	}
}

func (k *keeper) publish() {
	t := k.book.Table()
	if t == k.table {
		return
	}
	k.table = t
	k.do(publish{table: t})
	if t.Ready() && !k.ready {
		k.ready = true
		_, n := t.Counts()
		k.log(EventReady, stoatevent.F("version", t.Declaration.Version.String()), stoatevent.F("upstreams", countOf(n[stoatroute.Serving])),
			stoatevent.F("leaving", countOf(n[stoatroute.Leaving])), stoatevent.F("names", namesOf(t)))
	}
}
