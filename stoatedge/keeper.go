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
	// neighbourEvery is how often neighbours are asked while the platform does not answer,
	// and neighbourFirst how often while there is nothing to serve by: an entry that starts
	// behind a cut finds out about the cut only when its calls time out.
	neighbourEvery = time.Second
	neighbourFirst = 300 * time.Millisecond
)

// keeper decides what is believed about routes and upstreams. One goroutine uses it.
type keeper struct {
	book    *stoatroute.Book
	feeds   [topicCount]*stoatfeed.Feed
	waiting [topicCount]bool                // a watch is under way that waits for a change
	answers bool                            // the platform does, as last said to touched
	parked  bool                            // upstreams are not asked for until the other topic is answered
	listed  map[stoatpaddle.UpstreamID]bool // names in the pages of the list under way
	seeds   follower
	bound   time.Duration // how soon a change has to be in force
	open    *proof        // not matched yet
	// followAt is whether seeds are followed from the start on.
	followAt bool
	known    stoatpaddle.Version // everything up to it, of both topics, once ready
	hearsay  stoatpaddle.Version // the same, as neighbours told
	turn     int                 // of neighbours
	heard    time.Time           // when the platform last answered; at first the start
	asked    time.Time           // when neighbours were
	ready    bool
	table    *stoatroute.Table
	out      []any // effects of the present step
}

type keeperConfig struct {
	Apply  time.Duration
	Return time.Duration
	Life   time.Duration
	Follow bool // there are seeds, and this entry is none of them
	Seed   uint64
}

func newKeeper(cfg keeperConfig) *keeper {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	k := &keeper{bound: cfg.Apply, book: stoatroute.NewBook(stoatroute.Config{Return: cfg.Return, Keep: cfg.Life})}
	k.feeds[declarations] = stoatfeed.New(stoatfeed.Config{Bound: cfg.Apply, Rand: rnd})
	k.feeds[upstreams] = stoatfeed.New(stoatfeed.Config{Bound: cfg.Apply, Rand: rnd, Stale: true})
	k.followAt = cfg.Follow
	return k
}

// step takes one event in and returns what to do.
func (k *keeper) step(now time.Time, ev any) []any {
	k.out = nil
	switch x := ev.(type) {
	case started:
		k.heard = now
		k.ask(declarations)
		k.ask(upstreams)
		k.follow(k.followAt)
	case ticked:
		k.tick(now)
	case shown:
		k.shown(now, x)
	case ended:
		k.ended(now, x)
	case told:
		k.told(now, x)
	case doubted:
		k.doubt(upstreams)
	case rebound:
		k.bound = x.apply
		k.follow(x.follow)
		k.book.SetBounds(stoatroute.Config{Return: x.back, Keep: x.life})
		for _, f := range k.feeds {
			f.SetBound(x.apply)
		}
	}
	if answers := k.ready && k.failing().IsZero(); answers != k.answers {
		k.answers = answers
		k.do(touched{answers: answers})
	}
	k.publish()
	own := min(k.feeds[declarations].Revision(), k.feeds[upstreams].Revision())
	if known := max(own, k.hearsay); k.ready && known != k.known {
		k.known = known
		k.do(knows{rev: known})
	}
	return k.out
}

func (k *keeper) do(effect any) { k.out = append(k.out, effect) }

func (k *keeper) log(e *stoatevent.Entry, fields ...stoatevent.Field) {
	k.do(logged{entry: e, fields: fields})
}

func (k *keeper) ask(t topic) {
	c := k.feeds[t].Next()
	k.waiting[t] = !c.List && c.Wait > time.Millisecond
	k.do(ask{topic: t, call: c})
}

// doubt has a topic asked at once, exactly.
func (k *keeper) doubt(t topic) {
	k.feeds[t].Doubt()
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
	k.press(now)
	if k.wantsNeighbours(now) {
		k.asked = now
		k.turn++
		k.do(askNeighbours{known: k.known, turn: k.turn})
	}
}

func (k *keeper) wantsNeighbours(now time.Time) bool {
	if !k.ready {
		// A large list comes in pages; as long as they come, nobody needs to be troubled.
		return now.Sub(k.heard) > settle && now.Sub(k.asked) >= neighbourFirst
	}
	failing := k.failing()
	return !failing.IsZero() && now.Sub(failing) > settle && now.Sub(k.asked) >= neighbourEvery
}

// failing tells since when one of the feeds got no answer.
func (k *keeper) failing() time.Time {
	for _, f := range k.feeds {
		if !f.Failing().IsZero() {
			return f.Failing()
		}
	}
	return time.Time{}
}

func (k *keeper) ended(now time.Time, x ended) {
	k.waiting[x.topic] = false
	if x.result.Outcome == stoatfeed.Answered {
		k.heard = now
	}
	f := k.feeds[x.topic]
	failing := f.Failing()
	v := f.Done(now, x.call, x.result)
	if v.Lost {
		cause := "refused by rate"
		if x.cause != nil {
			cause = x.cause.Error()
		}
		k.log(EventPlatformLost, stoatevent.F("topic", x.topic.String()), stoatevent.F("cause", cause))
	}
	if v.Back {
		k.log(EventPlatformBack, stoatevent.F("topic", x.topic.String()), stoatevent.F("away", now.Sub(failing).String()))
	}
	if x.result.Outcome == stoatfeed.Failed && x.topic == upstreams {
		k.book.Hold(now)
	}
	if v.Apply {
		k.apply(now, x.topic, x.changes, "platform")
		k.complete(now, x, v)
		k.prove(now, x, v)
	}
	k.next(x.topic)
}

// next asks about a topic again. While the platform answers neither, one question at a
// time finds out that it is back: each is paid for.
func (k *keeper) next(t topic) {
	if t == upstreams && k.lost(upstreams) && k.lost(declarations) {
		k.parked = true
		return
	}
	k.ask(t)
	if k.parked && !k.lost(declarations) {
		k.parked = false
		k.ask(upstreams)
	}
}

func (k *keeper) lost(t topic) bool { return k.feeds[t].Lost() }

// complete compares a finished list of upstreams with what was known.
func (k *keeper) complete(now time.Time, x ended, v stoatfeed.Verdict) {
	if x.topic != upstreams || !x.call.List {
		return
	}
	if x.call.After == "" || k.listed == nil {
		k.listed = map[stoatpaddle.UpstreamID]bool{}
	}
	for _, c := range x.changes {
		k.listed[stoatpaddle.UpstreamID(c.name)] = true
	}
	if !v.Complete {
		return
	}
	for _, id := range k.book.Listed(now, k.listed, v.Away) {
		k.standing(id, "not in the list")
	}
	k.listed = nil
}

// prove notes until when the view is proven up to date: by an exact answer about the
// upstreams, or by replicas' answers that are as new as an exact one.
func (k *keeper) prove(now time.Time, x ended, v stoatfeed.Verdict) {
	switch {
	case x.topic == upstreams && v.Proof:
		k.book.Prove(x.sent)
	case x.topic == declarations && v.Proof:
		k.do(proved{rev: x.result.AsOf, sent: x.sent})
		k.challenge(proof{sent: x.sent, rev: x.result.AsOf, at: now})
	}
	k.match()
	if k.open != nil && k.open.hurried && k.feeds[x.topic].Revision() < k.open.rev {
		// The replica is behind what the platform has said already.
		k.feeds[x.topic].Doubt()
	}
}

func (k *keeper) apply(now time.Time, t topic, changes []change, source string) {
	for i := range changes {
		c := &changes[i]
		switch {
		case c.fault != nil:
			k.log(EventInvalid, stoatevent.F("object", c.name), stoatevent.F("revision", c.revision.String()), stoatevent.F("cause", c.fault.Error()))
		case c.declaration != nil:
			if k.book.Declare(*c.declaration, c.revision) {
				k.log(EventDeclared, stoatevent.F("version", c.declaration.Version.String()), stoatevent.F("revision", c.revision.String()),
					stoatevent.F("routes", countOf(len(c.declaration.Routes))), stoatevent.F("source", source))
			}
		case c.gone && t == upstreams:
			if k.book.Remove(now, stoatpaddle.UpstreamID(c.name), c.revision) {
				k.standing(stoatpaddle.UpstreamID(c.name), "registration ended")
			}
		case c.registration != nil:
			if k.book.Register(now, *c.registration, c.revision) {
				k.standing(c.registration.ID, source)
				k.clash(c.registration.ID)
			}
		}
	}
}

// standing logs what an upstream's standing is now, and why.
func (k *keeper) standing(id stoatpaddle.UpstreamID, why string) {
	u, _ := k.book.Registered(id)
	k.log(EventUpstream, stoatevent.F("upstream", string(id)), stoatevent.F("service", string(u.Service)),
		stoatevent.F("centre", string(u.DataCentre)), stoatevent.F("addr", u.Addr.String()),
		stoatevent.F("standing", u.Standing.String()), stoatevent.F("why", why))
}

// clash reports an upstream that cannot get flows because another has its cookie.
func (k *keeper) clash(id stoatpaddle.UpstreamID) {
	if other, ok := k.book.Clash(id); ok {
		k.log(EventClash, stoatevent.F("upstream", string(id)), stoatevent.F("holder", string(other)))
	}
}

func countOf(n int) string { return strconv.Itoa(n) }

// told takes in what a neighbour has in force. Versions decide what is later, so that a
// neighbour which is behind can take nothing back.
func (k *keeper) told(now time.Time, x told) {
	if x.cause != nil {
		k.log(EventNeighbour, stoatevent.F("neighbour", x.from), stoatevent.F("cause", x.cause.Error()))
		return
	}
	if k.failing().IsZero() && k.ready {
		return
	}
	k.log(EventNeighbour, stoatevent.F("neighbour", x.from), stoatevent.F("age", x.age.String()), stoatevent.F("objects", countOf(len(x.changes))))
	k.apply(now, upstreams, x.changes, x.from)
	k.book.Neighbour()
	k.hearsay = max(k.hearsay, x.known)
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
		k.log(EventReady, stoatevent.F("version", t.Declaration.Version.String()), stoatevent.F("upstreams", countOf(n[stoatroute.Serving])))
	}
}
