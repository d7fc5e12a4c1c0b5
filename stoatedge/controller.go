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
	// tickInterval is the pause between two checks of everything that depends on time alone: a tenth of the
	// shortest time that matters here, which is an outage of one second.
	tickInterval = 100 * time.Millisecond
	// answerWait is how long a replica may take to reach a read barrier before it is asked again, and how long
	// the platform may take to answer an entry that has just started before the entry asks others. An answer
	// usually takes 4 ms.
	answerWait = 150 * time.Millisecond
	// firstWatchDelay is how long an entry that has just started and has its lists delays its first watches
	// while it looks for a parent. The search takes some tens of milliseconds, and a watch that is cancelled
	// then is paid for like any other. The lists are older by this delay at most, once after a start.
	firstWatchDelay = time.Second
	// pagesWithoutParent is how many pages of a list an entry reads before it has a parent. With them, a
	// deployment of hundreds of upstreams is known some tens of milliseconds after a start, even if no other
	// entry is left to ask.
	pagesWithoutParent = 2
	// pageHold is how long an entry waits for a parent before it reads the other pages; up to three times as
	// much is added at random. A thousand entries that list 10,000 upstreams at once saturate the platform's
	// link for 24 s, which delays the answers to the seeds too. The entries whose wait ends first read all
	// pages.
	pageHold = 2 * time.Second
)

// controller computes the state of routes and upstreams from what the platform and the parent report. It does
// no I/O: step takes an event and returns effects. One goroutine uses it.
type controller struct {
	state  *stoatroute.Builder
	topics []topic // the kinds of objects that are followed
	// evacuations is set if evacuations are among the topics.
	evacuations bool
	feeds       [topicCount]*stoatfeed.Feed
	reading     bool             // the platform is called; otherwise the parent sends updates
	pending     [topicCount]bool // a call is in progress
	discard     [topicCount]bool // the result of the call in progress is not wanted any more
	watching    [topicCount]bool // the call in progress is a watch that waits for a change
	// unwatched is set from when this entry starts to read again until the first answer about upstreams: a
	// registration that ended meanwhile may have lapsed in an outage that this entry did not notice.
	unwatched       bool
	status          platformStatus      // as last reported
	statusKnown     bool                // status was reported since this entry became ready
	deferred        [topicCount]bool    // no call is made until a call about the configuration is answered
	behind          [topicCount]bool    // the last answer was older than what is known
	restoreGraceEnd time.Time           // a registration that ends before may have lapsed because of a restore
	rejected        stoatpaddle.Version // the last configuration that was read and rejected
	upstreamPages   pages[stoatpaddle.UpstreamID]
	evacuationPages pages[stoatpaddle.DataCentreID]
	follower        follower
	maxDelay        time.Duration // how soon a change has to be in force
	gracePeriod     time.Duration // how long a lapsed registration may take to come back
	// verifyingSince is when the verification of a topic was last requested that no answer has completed yet.
	verifyingSince [topicCount]time.Time
	lacking        [topicCount]bool // parts of the parent's messages could not be read; the platform has not answered since
	// contradictedAt is when another entry last contradicted what this one had of a topic; zero: no list has to follow.
	contradictedAt [topicCount]time.Time
	// sentEvacuations has the data centres about which the parent has sent something, or about which the platform was asked.
	sentEvacuations map[stoatpaddle.DataCentreID]bool
	pendingBarrier  *readBarrier // the read barrier that some topics have not reached yet; nil: none
	rand            *rand.Rand
	known           stoatpaddle.Position // up to it all topics are known, once ready
	startedAt       time.Time            // when the entry started
	lastAnswer      time.Time            // when the platform last answered; at first the start
	ready           bool
	table           *stoatroute.Table
	announced       announcement // as last emitted
	lastWake        wakeState
	pagesRead       [topicCount]int            // pages of the list in progress, read so far
	pagesHeldUntil  time.Time                  // until when further pages wait for a parent
	former          []stoatroute.FormerService // as saved at the platform when this entry started
	changes         []standingChange           // of the present step, to be logged
	effects         []any                      // of the present step
}

type controllerConfig struct {
	MaxDelay time.Duration
	// Evacuations reports whether the platform has evacuations to follow.
	Evacuations  bool
	GracePeriod  time.Duration
	FlowLifetime time.Duration
	Seeds        seedRole
	Seed         uint64
}

func newController(cfg controllerConfig) *controller {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	ctl := &controller{
		maxDelay: cfg.MaxDelay, rand: rnd, reading: true, topics: []topic{declarations, upstreams},
		gracePeriod: cfg.GracePeriod,
		state:       stoatroute.NewBuilder(stoatroute.Config{GracePeriod: cfg.GracePeriod, Retention: cfg.FlowLifetime, RequireEvacuations: cfg.Evacuations}),
		evacuations: cfg.Evacuations,
	}
	if cfg.Evacuations {
		ctl.topics = append(ctl.topics, evacuations)
	}
	ctl.feeds[declarations] = stoatfeed.New(stoatfeed.Config{MaxDelay: cfg.MaxDelay, Rand: rnd})
	ctl.feeds[upstreams] = stoatfeed.New(stoatfeed.Config{MaxDelay: cfg.MaxDelay, Rand: rnd, AllowStale: true})
	ctl.feeds[evacuations] = stoatfeed.New(stoatfeed.Config{MaxDelay: cfg.MaxDelay, Rand: rnd, AllowStale: true})
	ctl.setSeedRole(time.Time{}, cfg.Seeds)
	return ctl
}

// step processes one event and returns the effects to perform.
func (ctl *controller) step(now time.Time, ev any) []any {
	ctl.effects = nil
	switch x := ev.(type) {
	case started:
		ctl.startedAt, ctl.lastAnswer = now, now
		ctl.pagesHeldUntil = now.Add(pageHold + time.Duration(ctl.rand.Int64N(int64(3*pageHold))))
		for _, t := range ctl.topics {
			ctl.startCall(now, t)
		}
		ctl.emit(loadFormer{})
		if ctl.wantsParent(now) {
			ctl.findParent(now)
		}
	case formerLoaded:
		ctl.former = x.former
		ctl.state.RestoreFormerServices(now, ctl.former)
	case ticked:
		ctl.tick(now)
	case callEnded:
		ctl.handleCallEnd(now, x)
	case parentUpdate:
		ctl.handleUpdate(now, x)
	case parentLost:
		ctl.handleParentLost(now, x)
	case resumed:
		ctl.handleResumed(now, x.gap)
	case verificationRequested:
		ctl.log(EventVerification, stoatevent.F("topics", x.parts.String()), stoatevent.F("waiting", countText(x.waiting)), stoatevent.F("parent", ctl.follower.parent))
		for _, t := range ctl.topics {
			switch {
			case x.parts&t.part() != 0:
				ctl.verifyingSince[t] = now
				ctl.verify(now, t)
			case x.parts&t.part().OfReplica() != 0:
				ctl.refresh(now, t)
			}
		}
	case settingsChanged:
		ctl.maxDelay, ctl.gracePeriod = x.maxDelay, x.gracePeriod
		ctl.setSeedRole(now, x.seeds)
		ctl.state.SetConfig(stoatroute.Config{GracePeriod: x.gracePeriod, Retention: x.flowLifetime, RequireEvacuations: ctl.evacuations})
		for _, t := range ctl.topics {
			ctl.feeds[t].SetMaxDelay(x.maxDelay)
		}
	}
	ctl.logStandings()
	ctl.publish()
	ctl.announce()
	ctl.wakeChildrenIfDue(now)
	return ctl.effects
}

func (ctl *controller) emit(effect any) { ctl.effects = append(ctl.effects, effect) }

func (ctl *controller) log(e *stoatevent.Definition, fields ...stoatevent.Field) {
	ctl.emit(logEvent{definition: e, fields: fields})
}

func (ctl *controller) startCall(now time.Time, t topic) {
	ctl.feeds[t].SetRecoveryRelayed(ctl.follower.mayRely && ctl.follower.parent != "")
	c := ctl.feeds[t].Next()
	if !c.List && c.Wait > time.Millisecond && ctl.follower.mayRely && ctl.follower.parent == "" {
		c.Pause = max(c.Pause, ctl.startedAt.Add(firstWatchDelay).Sub(now))
	}
	if c.List && c.After != "" && ctl.waitsForParent(t) {
		c.Pause = max(c.Pause, ctl.pagesHeldUntil.Sub(now))
	}
	ctl.watching[t], ctl.pending[t] = !c.List && c.Wait > time.Millisecond, true
	ctl.emit(startCall{topic: t, call: c})
}

// waitsForParent reports whether the next page of a list can wait for a parent, which sends the whole list.
func (ctl *controller) waitsForParent(t topic) bool {
	return !ctl.ready && ctl.follower.mayRely && ctl.pagesRead[t] >= pagesWithoutParent
}

// verify asks the platform itself, not a replica, about a topic at once.
func (ctl *controller) verify(now time.Time, t topic) {
	ctl.feeds[t].RequestExact()
	if !ctl.reading && !ctl.pending[t] {
		ctl.startCall(now, t)
		return
	}
	ctl.interruptWatch(t)
}

// refresh asks a replica about a topic at once. An entry that reads the platform asks the platform itself: it has had no
// exact answer yet, or it would not need this one.
func (ctl *controller) refresh(now time.Time, t topic) {
	if ctl.reading {
		ctl.verify(now, t)
		return
	}
	ctl.feeds[t].RequestReplica()
	if !ctl.pending[t] {
		ctl.startCall(now, t)
	}
}

func (ctl *controller) interruptWatch(t topic) {
	if ctl.watching[t] {
		ctl.watching[t] = false
		ctl.emit(cancelCall{topic: t})
	}
}

func (ctl *controller) tick(now time.Time) {
	for _, id := range ctl.state.Expire(now) {
		ctl.noteStanding(id, "did not register again in time")
	}
	ctl.expireEvacuations(now)
	ctl.retryBarrier(now)
	ctl.listContradicted(now)
	ctl.checkParent(now)
}

// failingSince returns since when one of the feeds has got no answer; zero: all get answers.
func (ctl *controller) failingSince() time.Time {
	for _, t := range ctl.topics {
		if f := ctl.feeds[t]; !f.FailingSince().IsZero() {
			return f.FailingSince()
		}
	}
	return time.Time{}
}

func (ctl *controller) handleCallEnd(now time.Time, x callEnded) {
	ctl.watching[x.topic], ctl.pending[x.topic] = false, false
	if ctl.discard[x.topic] {
		ctl.discard[x.topic] = false
		ctl.callNext(now, x.topic)
		return
	}
	if x.result.Outcome == stoatfeed.Answered {
		ctl.lastAnswer = now
		ctl.countPage(&x)
	}
	f := ctl.feeds[x.topic]
	failing := f.FailingSince()
	v := f.Done(now, x.sent, x.call, x.result)
	if era := f.Era(); era > ctl.state.Era() {
		ctl.handleRestore(now, era, "platform")
	}
	ctl.noteBehind(x, v)
	if v.OutageBegan {
		cause := "refused by the rate limit"
		if x.cause != nil {
			cause = x.cause.Error()
		}
		ctl.log(EventPlatformLost, stoatevent.F("topic", x.topic.String()), stoatevent.F("cause", cause))
	}
	if v.OutageEnded {
		ctl.log(EventPlatformBack, stoatevent.F("topic", x.topic.String()), stoatevent.F("away", now.Sub(failing).String()))
	}
	ctl.continueVerification(x, v)
	if x.result.Outcome == stoatfeed.Failed && x.topic == upstreams {
		ctl.state.RestartGracePeriod(now)
	}
	if v.Apply {
		ctl.apply(now, x.topic, x.changes, x.result.AsOf.Revision, "platform")
		ctl.compareList(now, x, v)
		if x.topic == upstreams && (v.Complete || !x.call.List) {
			ctl.unwatched = false
		}
		ctl.updateAsOf(now, x, v)
		if v.Current {
			ctl.reviewParent(now)
		}
	}
	ctl.callNext(now, x.topic)
	if !ctl.reading && !ctl.pending[x.topic] && !ctl.verifyingSince[x.topic].IsZero() && x.sent.Before(ctl.verifyingSince[x.topic]) {
		ctl.startCall(now, x.topic)
	}
}

// continueVerification completes the verification of a topic, or requests another exact call if this one was sent
// before the verification was requested. A replica that is behind what is known shows nothing that could change an
// answer.
func (ctl *controller) continueVerification(x callEnded, v stoatfeed.Decision) {
	if x.call.IsRefresh() && (v.Apply || v.Outdated) {
		ctl.state.MarkPartsRead(x.topic.part(), x.sent)
	}
	since := ctl.verifyingSince[x.topic]
	switch {
	case since.IsZero():
	case x.sent.Before(since) || v.Complete && (!v.Current || v.AsOf.Before(since)):
		ctl.feeds[x.topic].RequestExact()
	case v.Current:
		ctl.verifyingSince[x.topic] = time.Time{}
	}
}

// noteBehind logs once that answers are older than what is known.
func (ctl *controller) noteBehind(x callEnded, v stoatfeed.Decision) {
	if x.result.Outcome != stoatfeed.Answered || v.Outdated == ctl.behind[x.topic] || x.result.More {
		return
	}
	ctl.behind[x.topic] = v.Outdated
	if v.Outdated {
		ctl.log(EventStaleAnswer, stoatevent.F("topic", x.topic.String()), stoatevent.F("known", ctl.feeds[x.topic].Position().String()),
			stoatevent.F("answered", x.result.AsOf.String()),
			stoatevent.F("list", strconv.FormatBool(x.call.List)), stoatevent.F("exact", strconv.FormatBool(!x.call.AllowStale)))
	}
}

// callNext makes the next call about a topic. While the platform answers no call, a single call at a time
// finds out when the platform is back, since each call is paid for.
func (ctl *controller) callNext(now time.Time, t topic) {
	if !ctl.reading {
		return
	}
	if t != declarations && (ctl.deferred[t] || ctl.outage(t) && ctl.outage(declarations)) {
		ctl.deferred[t] = true
		return
	}
	ctl.startCall(now, t)
	if !ctl.feeds[declarations].FailingSince().IsZero() {
		return
	}
	for _, t := range ctl.topics {
		if !ctl.deferred[t] {
			continue
		}
		ctl.deferred[t] = false
		if !ctl.pending[t] {
			ctl.startCall(now, t)
		}
	}
}

func (ctl *controller) outage(t topic) bool { return ctl.feeds[t].Unreachable() }

// updateAsOf updates the times as of which the state is known to be current, after an answer. An exact answer
// shows that for its own topic. An exact answer about the configuration also sets a read barrier: once the
// replicas' answers about the other topics have reached it, the whole state is known to be current.
func (ctl *controller) updateAsOf(now time.Time, x callEnded, v stoatfeed.Decision) {
	if v.Current {
		ctl.lacking[x.topic] = false
		ctl.state.MarkPartsCurrent(x.topic.part(), v.AsOf)
	}
	if x.topic == declarations && v.Current {
		ctl.setBarrier(readBarrier{asOf: v.AsOf, pos: ctl.feeds[x.topic].ReadPosition(), receivedAt: now})
	}
	ctl.checkBarrier()
	if ctl.pendingBarrier != nil && ctl.pendingBarrier.retried && ctl.feeds[x.topic].ReadPosition().Before(ctl.pendingBarrier.pos) {
		// The replica was asked again and is still behind a position that the platform has reported.
		ctl.feeds[x.topic].RequestExact()
	}
}

func (ctl *controller) publish() {
	t := ctl.state.Table()
	if t == ctl.table {
		return
	}
	ctl.table = t
	ctl.emit(publishTable{table: t})
	if t.Ready() && !ctl.ready {
		ctl.ready = true
		_, n := t.Counts()
		ctl.log(EventReady, stoatevent.F("version", t.Declaration.Version.String()), stoatevent.F("upstreams", countText(n[stoatroute.Serving])),
			stoatevent.F("leaving", countText(n[stoatroute.Leaving])), stoatevent.F("names", namesOf(t)))
	}
}
