package stoatfeed

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Config configures a Feed.
type Config struct {
	// MaxDelay is the time within which a change must be in force. A watch can go silent without an
	// error. A change that it missed is found by the next watch, which has to be sent and answered
	// within this time.
	MaxDelay time.Duration
	// AllowStale lets a replica answer watches, which costs a tenth of an exact answer and counts toward no
	// rate limit. It is only for a feed whose position is checked against that of an exact feed.
	AllowStale bool
	// AllowStaleStart lets a replica answer the first list. When all entries start at once, exact lists
	// would use up the platform's read rate for a time that grows with the number of entries.
	AllowStaleStart bool
	// HasFollowers is set where other entries wait for this feed to confirm that their view is current.
	HasFollowers bool
	Rand         *rand.Rand // for random pauses
}

const (
	// waitFraction and answerFraction divide MaxDelay: a watch waits for a change during 0.65 of it and is
	// given up if there is no answer another 0.15 later. The rest is left for the next call. The wait is
	// long because each watch is charged for.
	waitFraction   = 0.65
	answerFraction = 0.15
	// followedWaitFraction replaces waitFraction where other entries are told what this feed learns. A
	// confirmation has to reach them, through intermediate entries, twice within MaxDelay, so that one of
	// the two may be lost.
	followedWaitFraction = 0.45
	// replicaWaitFraction is the part of MaxDelay for which a replica is watched after a call was
	// refused because of the platform's rate limit.
	replicaWaitFraction = 0.2
	// batchFraction is the part of MaxDelay that passes between an answer with changes and the next watch.
	// Changes come in bursts, and each entry is charged for each answer.
	batchFraction = 0.05
	// listTimeout limits the call for one page. A page of 500 objects takes 4 ms, and up to 60 times as
	// long on a slow platform.
	listTimeout = 1500 * time.Millisecond
	// minPause and maxPause set the range of the random pause after a failed call; see backoff. The pause is
	// this long because refused calls are charged for as well, and an outdated view for one more second after
	// an outage is well within MaxDelay.
	minPause = 60 * time.Millisecond
	maxPause = time.Second
	// relayedPause is the minimum pause while another entry reports when the platform is back; up to the
	// same time is added at random. Otherwise 7,500 entries would call every second, and each refused call
	// is charged for. The pause delays recovery only at an entry that the platform answers again while it
	// still refuses all entries that read on behalf of others.
	relayedPause = 2 * time.Second
	// minLapseOutage is the shortest outage in which a registration can lapse: three heartbeats, which are
	// a third of a second apart.
	minLapseOutage = time.Second
)

// Call is one request to the platform, which is a list or a watch.
type Call struct {
	List       bool
	After      string              // list: continue after this name
	From       stoatpaddle.Version // watch: report changes after this revision
	Wait       time.Duration       // watch: how long to wait for the first change
	Timeout    time.Duration
	AllowStale bool          // a replica may answer
	Pause      time.Duration // how long to wait before the call
}

// IsRefresh reports whether the call asks a replica for its present state.
func (c *Call) IsRefresh() bool { return !c.List && c.AllowStale && c.Wait <= time.Millisecond }

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	Answered    Outcome = iota
	HistoryGone         // the platform no longer has the history from that revision on
	Refused             // the platform refused the call because of its rate limit
	Failed              // there was no usable answer
	Interrupted         // the caller cancelled the call in order to make a new one
)

// String returns the label used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "forgotten", "refused", "failed", "interrupted"}[o]
}

// Result is the result of a call.
type Result struct {
	Outcome Outcome
	AsOf    stoatpaddle.Position // position of the answer; if Outcome is HistoryGone, only the era is set
	More    bool                 // list: there are further pages
	Last    string               // list: name after which the next page continues
	Changes int                  // watch: number of changes in the answer
}

// Decision tells the caller what to do with an answer.
type Decision struct {
	Apply       bool // the objects in the answer may be applied
	Complete    bool // the answer completes a list
	AfterOutage bool // the list follows an outage or a restore, in which registrations may have lapsed
	Current     bool // everything that was in force at AsOf is known now
	Outdated    bool // the answer is older than what is known and was discarded
	OutageBegan bool // the platform stopped answering; reported once
	OutageEnded bool // the platform answers again; reported once
	// Position is that of a complete list: what the list lacks did not exist then, unless it is newer.
	Position stoatpaddle.Position
	// AsOf is the time as of which the answer, or with Complete the list, shows the platform's state; see Call.AsOf.
	AsOf time.Time
}

// Feed follows one kind of object.
type Feed struct {
	cfg              Config
	pos              stoatpaddle.Position // everything up to this position is known, from the platform or another entry
	read             stoatpaddle.Position // up to which the platform's answers, or an adopted state, are complete: watches start there
	era              stoatpaddle.Era      // latest era that is known to have begun; 0: no era was reported
	listed           bool                 // the next call is a watch
	started          bool                 // a list was completed, or another entry provided its equivalent
	after            string               // list in progress: name after which it continues
	list             listProgress         // list in progress
	failures         int                  // consecutive calls that failed or were refused
	outdatedInRow    int                  // consecutive answers that were discarded as outdated
	historyGoneInRow int                  // consecutive watches whose history the platform no longer had
	failingSince     time.Time            // when the first of the consecutive failures came; zero: there is none
	unansweredSince  time.Time            // since when calls have got no answer at all; zero: they get answers
	useReplica       bool                 // the next call may go to a replica, since the last one was refused because of the rate limit
	afterOutage      bool                 // the next complete list follows an outage or a restore
	unreachable      bool                 // the platform counts as not answering
	exact            bool                 // the next call must not be answered by a replica
	immediate        bool                 // the next call must not wait for a change
	replicaNow       bool                 // the next call goes to a replica and must not wait for a change
	gotChanges       bool                 // the last watch returned changes
	recoveryRelayed  bool                 // another entry reports when the platform is back
	answerAge        time.Duration        // age of the last exact watch answer when it came
}

// New returns a Feed that knows nothing yet.
func New(cfg Config) *Feed { return &Feed{cfg: cfg} }

// SetMaxDelay changes Config.MaxDelay for the following calls.
func (f *Feed) SetMaxDelay(d time.Duration) { f.cfg.MaxDelay = d }

// Position returns the position up to which everything is known.
func (f *Feed) Position() stoatpaddle.Position { return f.pos }

// ReadPosition returns the position up to which the platform's own answers are complete, or an adopted state is. It
// may be behind Position.
func (f *Feed) ReadPosition() stoatpaddle.Position { return f.read }

// Era returns the latest era that is known to have begun; 0 means that none was reported.
func (f *Feed) Era() stoatpaddle.Era { return f.era }

// BeginEra records that the platform was restored from an older copy of itself, and reports whether that
// restore is new to the feed. A watch from a revision of the earlier era would miss what is written
// under revisions that are assigned a second time, so only a list shows what exists. Objects that the list
// lacks may have been lost in the restore and get the same time to come back as after an outage.
func (f *Feed) BeginEra(era stoatpaddle.Era) bool {
	if era <= f.era {
		return false
	}
	first := f.era == 0
	f.era = era
	if first {
		// No era was reported before, so nothing that is known belongs to an earlier one.
		f.pos.Era, f.read.Era, f.list.pos.Era = era, era, era
		return false
	}
	f.relist()
	f.afterOutage = true
	return true
}

// Advance records that everything up to the position is known from another entry. That entry may have lost
// contact with the platform, so this feed goes on calling the platform as before. Its watches show again what the
// other entry sent, and also what that entry may have missed.
func (f *Feed) Advance(pos stoatpaddle.Position) {
	f.BeginEra(pos.Era)
	f.pos = f.pos.Max(pos)
}

// Adopt records that everything up to the position is known from another entry which is in contact with
// the platform. Its state takes the place of a complete list of this feed.
func (f *Feed) Adopt(pos stoatpaddle.Position) {
	f.BeginEra(pos.Era)
	f.pos = f.pos.Max(pos)
	f.read = f.read.Max(pos)
	if pos.Era < f.era {
		// The other entry has not listed the objects of the current era yet. A watch from its position
		// would miss them.
		return
	}
	f.listed, f.started, f.after, f.afterOutage, f.unreachable, f.useReplica = true, true, "", false, false, false
	f.failures, f.failingSince, f.unansweredSince = 0, time.Time{}, time.Time{}
}

// Unreachable reports whether the platform counts as not answering.
func (f *Feed) Unreachable() bool { return f.unreachable }

// FailingSince returns when calls began to fail or to be refused; the time is zero while they are answered.
func (f *Feed) FailingSince() time.Time { return f.failingSince }

// Next returns the call to make now.
func (f *Feed) Next() Call {
	c := Call{Timeout: listTimeout, Pause: f.pause()}
	if !f.listed {
		c.List, c.After, c.AllowStale = true, f.after, f.useReplica || f.cfg.AllowStaleStart && !f.started && !f.exact
		return c
	}
	c.From = f.read.Revision
	c.Wait = f.wait()
	c.Timeout = c.Wait + Fraction(f.cfg.MaxDelay, answerFraction)
	// A replica that is behind may not have reached the revision yet from which it should watch.
	c.AllowStale = f.cfg.AllowStale && !f.exact && f.historyGoneInRow < 2
	switch {
	case f.useReplica:
		// Changes still arrive from the replica until the exact call is made again.
		c.AllowStale, c.Wait = true, Fraction(f.cfg.MaxDelay, replicaWaitFraction)
	case f.replicaNow && !f.exact:
		c.AllowStale, c.Wait = true, time.Millisecond
		c.Timeout = f.answerWithin(c.Timeout)
	case f.exact || f.immediate || f.failures > 0:
		// The answer is needed now, not when something changes.
		c.Wait = time.Millisecond
		c.Timeout = f.answerWithin(c.Timeout)
	}
	return c
}

// answerWithin returns the timeout of a call that does not wait for a change, which is at most the given
// time. It is short because the idle connection that the call uses may have gone silent, and the next
// attempt uses a new one. It grows with each failure to give a slow platform more time.
func (f *Feed) answerWithin(limit time.Duration) time.Duration {
	return min(limit, time.Duration(1+f.failures)*Fraction(f.cfg.MaxDelay, answerFraction))
}

// wait returns how long a watch waits for a change. Where other entries wait for confirmations, the wait is
// shorter by the age of the last exact answer: the answer of a watch that a change ended early is only current
// as of the time when the watch was sent.
func (f *Feed) wait() time.Duration {
	if !f.cfg.HasFollowers {
		return Fraction(f.cfg.MaxDelay, waitFraction)
	}
	return max(Fraction(f.cfg.MaxDelay, followedWaitFraction)-f.answerAge, Fraction(f.cfg.MaxDelay, batchFraction)).Truncate(time.Millisecond)
}

// AsOf returns the time as of which an answer shows the state of the platform, if the call was sent at sent
// and answered at now. It is the time of sending, because the moment in between at which the platform made
// the answer is not known. A watch that waited to its end without a change was answered after the wait.
func (c *Call) AsOf(sent, now time.Time, r Result) time.Time {
	if end := sent.Add(c.Wait); c.Wait > time.Millisecond && r.Changes == 0 && !end.After(now) {
		return end
	}
	return sent
}

// Fraction returns the given part of a duration, in whole milliseconds.
func Fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part).Truncate(time.Millisecond)
}

// pause returns the pause before the next call. After failures it is random, because nine entries that call
// again at the same moment would exceed the rate limit.
func (f *Feed) pause() time.Duration {
	switch {
	case f.failures == 0 && max(f.outdatedInRow, f.historyGoneInRow) > 1:
		// The call is repeated at once after the first such answer. If repeating does not help, calls would
		// follow each other within milliseconds, and a few entries would use up the platform's rate.
		return f.backoff(max(f.outdatedInRow, f.historyGoneInRow))
	case f.failures == 0 && f.gotChanges && !f.exact && !f.immediate && !f.replicaNow:
		return Fraction(f.cfg.MaxDelay, batchFraction)
	case f.failures == 0:
		return 0
	}
	if f.recoveryRelayed && f.failures >= 2 {
		return relayedPause + time.Duration(f.cfg.Rand.Int64N(int64(relayedPause)))
	}
	return f.backoff(f.failures)
}

// backoff returns the random pause after n attempts without success.
func (f *Feed) backoff(n int) time.Duration {
	limit := maxPause
	if n < 5 {
		limit = min(maxPause, minPause<<n)
	}
	return minPause/2 + time.Duration(f.cfg.Rand.Int64N(int64(limit)))
}

// Done records the result of a call that was sent at sent, and decides what to do with the answer.
func (f *Feed) Done(now, sent time.Time, c Call, r Result) Decision {
	f.useReplica, f.gotChanges = false, r.Outcome == Answered && !c.List && r.Changes > 0
	if c.IsRefresh() {
		f.replicaNow = false
	}
	if r.AsOf.Era == 0 {
		r.AsOf.Era = f.era
	}
	switch r.Outcome {
	case HistoryGone:
		f.historyGoneInRow++
		if !f.BeginEra(r.AsOf.Era) {
			f.relist()
		}
		return Decision{}
	case Refused:
		f.useReplica = !c.AllowStale
		return f.recordFailure(now)
	case Failed:
		if f.unansweredSince.IsZero() {
			f.unansweredSince = now
		}
		return f.recordFailure(now)
	case Interrupted:
		return Decision{}
	case Answered:
	}
	if !c.List {
		f.historyGoneInRow = 0
	}
	d := f.recordAnswer(now, sent, c, r)
	f.outdatedInRow++
	if !d.Outdated {
		f.outdatedInRow = 0
	}
	return d
}

// recordAnswer records an answer and decides what to do with it.
func (f *Feed) recordAnswer(now, sent time.Time, c Call, r Result) Decision {
	d := Decision{OutageEnded: f.unreachable}
	// A platform that refuses calls because of its rate limit is running, so no registration lapses in that time.
	outage := !f.unansweredSince.IsZero() && now.Sub(f.unansweredSince) >= minLapseOutage
	f.failures, f.failingSince, f.unansweredSince, f.unreachable, f.immediate = 0, time.Time{}, time.Time{}, false, false
	if outage {
		f.afterOutage = true
	}
	if f.BeginEra(r.AsOf.Era) {
		return d
	}
	if outage && !c.List {
		// Registrations that ended in the outage may only have lapsed, which a watch does not distinguish.
		// After a list, those that it lacks are given time to come back.
		f.relist()
		return d
	}
	if c.List {
		return f.recordPage(sent, d, c, r)
	}
	if f.isOutdated(r.AsOf) {
		// The answer comes from a replica that is behind this entry, so it contains nothing new.
		f.exact, d.Outdated = true, true
		return d
	}
	f.advanceRead(r.AsOf)
	d.Apply, d.Current, d.AsOf = true, !c.AllowStale, c.AsOf(sent, now, r)
	if !c.AllowStale {
		f.exact, f.answerAge = false, now.Sub(d.AsOf)
	}
	return d
}

// advanceRead records that the platform's answers are complete up to the position.
func (f *Feed) advanceRead(pos stoatpaddle.Position) {
	f.read, f.pos = pos, f.pos.Max(pos)
}

// isOutdated reports whether an answer as of that position is older than what is known.
func (f *Feed) isOutdated(asOf stoatpaddle.Position) bool {
	return asOf.Era < f.era || asOf.Before(f.pos)
}

// recordFailure records a call that failed or was refused.
func (f *Feed) recordFailure(now time.Time) Decision {
	f.failures++
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	// A single failure may be a broken connection; two in a row are taken for an outage.
	if f.failures < 2 || f.unreachable {
		return Decision{}
	}
	f.unreachable = true
	return Decision{OutageBegan: true}
}

// SetRelayRole sets Config.AllowStaleStart and Config.HasFollowers.
func (f *Feed) SetRelayRole(allowStaleStart, hasFollowers bool) {
	f.cfg.AllowStaleStart, f.cfg.HasFollowers = allowStaleStart, hasFollowers
}

// SetRecoveryRelayed sets whether another entry reports when the platform is back.
func (f *Feed) SetRecoveryRelayed(relayed bool) { f.recoveryRelayed = relayed }

// RequestNow makes the next call return at once instead of waiting for a change. It is called when
// another feed has confirmed a later revision than this feed knows.
func (f *Feed) RequestNow() { f.immediate = true }

// RequestReplica makes the next call return at once and go to a replica, unless it has to be exact. It is called when a
// replica's state is recent enough, since the call costs a tenth.
func (f *Feed) RequestReplica() { f.replicaNow = true }

// RequestExact makes the next call return at once and go to the platform itself. It is called when the
// replica is behind or traffic refers to something unknown to this entry.
func (f *Feed) RequestExact() { f.exact = true }
