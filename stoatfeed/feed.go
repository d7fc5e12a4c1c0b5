package stoatfeed

import (
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// Config configures a Feed.
type Config struct {
	// MaxDelay is how soon a change has to be in force. A watch can go silent without a word;
	// a change that it hid is found by the next one, which has to be asked and answered
	// within the bound.
	MaxDelay time.Duration
	// AllowStale lets watches be answered from a replica: it costs a tenth and counts toward no
	// rate. Only for a feed that is checked against another feed's proof.
	AllowStale bool
	// AllowStaleStart lets the first list come from a replica: when all entries start at once,
	// exact lists would use up the platform's reads for as long as there are entries.
	AllowStaleStart bool
	// HasFollowers is set where others wait for this feed's proofs.
	HasFollowers bool
	Rand         *rand.Rand // of the pauses
}

const (
	// waitShare and hangShare split Bound: a watch waits for 0.65 of it, one that has not
	// answered 0.15 later is given up, and the rest is left to ask again. Each watch is paid for.
	waitShare = 0.65
	hangShare = 0.15
	// promptShare is waitShare where others are told what this feed learns: a proof of it
	// has to reach them, through some others, twice within the bound, so that one may be lost.
	promptShare = 0.45
	// reliefShare is how much of Bound a replica is watched after a refusal by rate.
	reliefShare = 0.2
	// gatherShare is how much of Bound passes between news and the next watch: changes come
	// in swarms, and each answer is paid for by each entry.
	gatherShare = 0.05
	// listTimeout bounds a page: 500 objects at 4 ms, and up to 60 times that when slow.
	listTimeout = 1500 * time.Millisecond
	// pauseLeast and pauseMost bound the pause after a failure. Each refused call is paid
	// for; a second more of an old view after an outage is well within the bounds.
	pauseLeast = 60 * time.Millisecond
	pauseMost  = time.Second
	// pauseRelayed is the least pause, and the same again at random, while another entry tells
	// when the platform is back: of 7,500 entries that ask every second each refused call is
	// paid for. What it costs is time only for an entry that the platform answers again while
	// it still refuses all that read for others.
	pauseRelayed = 2 * time.Second
	// awayAfter is the least outage in which a registration can lapse: three heartbeats of
	// a third of a second.
	awayAfter = time.Second
)

// Call is one question to the platform.
type Call struct {
	List       bool
	After      string // list: go on after this name
	From       stoatpaddle.Version
	Wait       time.Duration // watch: for the first change
	Timeout    time.Duration
	AllowStale bool
	Pause      time.Duration // before the call
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	Answered    Outcome = iota
	Forgotten           // the platform has no history from that revision on
	Refused             // by rate
	Failed              // no usable answer
	Interrupted         // given up here, to ask anew
)

// String returns the label used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "forgotten", "refused", "failed", "interrupted"}[o]
}

// Result is the end of a call.
type Result struct {
	Outcome Outcome
	AsOf    stoatpaddle.Position // its era alone where history is forgotten
	More    bool                 // list: there are further pages
	Last    string
	Changes int // watch: how many came
}

// Decision tells what an answer is worth.
type Decision struct {
	Apply       bool // its objects may be taken in
	Complete    bool // a list is complete with it
	AfterOutage bool // the list follows an outage in which registrations may have lapsed
	Current     bool // whatever was in force when the call was sent is known now
	Outdated    bool // it is older than what is known, and was put aside
	OutageBegan bool // the platform does not answer any more; said once
	OutageEnded bool // it answers again; said once
}

// Feed follows one kind of object.
type Feed struct {
	cfg      Config
	pos      stoatpaddle.Position // everything up to it is known
	era      stoatpaddle.Era      // the latest that is known to have begun; 0: none was said
	listed   bool
	begun    bool                 // there was a complete list, or another entry told as much
	after    string               // of the list that is under way
	listFrom stoatpaddle.Position // of its first page
	failures int
	oldRow   int       // so many answers in a row were put aside
	goneRow  int       // so many watches in a row met a history that is gone
	failing  time.Time // since when; zero: not
	down     time.Time // since when calls got no answer at all; zero: they did
	relief   bool      // the next call goes to a replica, since the last was refused by rate
	away     bool      // the next complete list follows an outage or a restore
	lost     bool
	exact    bool          // the next call must not be answered by a replica
	hurry    bool          // the next call must not wait for a change
	gather   bool          // the last watch brought news
	relayed  bool          // another entry tells when the platform is back
	age      time.Duration // of the last proof, when it came
}

// New returns a Feed that has heard nothing.
func New(cfg Config) *Feed { return &Feed{cfg: cfg} }

// SetMaxDelay changes the bound for the calls to come.
func (f *Feed) SetMaxDelay(d time.Duration) { f.cfg.MaxDelay = d }

// Position returns the position up to which everything is known.
func (f *Feed) Position() stoatpaddle.Position { return f.pos }

// Era returns the latest era that is known to have begun.
func (f *Feed) Era() stoatpaddle.Era { return f.era }

// BeginEra takes in that the platform came back from an older copy of itself, and tells whether that
// is news. A watch from a revision of before would leave out what is written under revisions that are
// given out again: only a list tells what there is. What it lacks may have been lost with the copy, and
// is given the same time to come back as after an outage.
func (f *Feed) BeginEra(era stoatpaddle.Era) bool {
	if era <= f.era {
		return false
	}
	first := f.era == 0
	f.era = era
	if first {
		// Nothing that is known is of an earlier history: no era was said before.
		f.pos.Era, f.listFrom.Era = era, era
		return false
	}
	f.relist()
	f.away = true
	return true
}

// Advance takes in that everything up to the position is known from elsewhere, by somebody
// who may be out of touch: the platform is asked as before.
func (f *Feed) Advance(pos stoatpaddle.Position) {
	f.BeginEra(pos.Era)
	f.pos = f.pos.Later(pos)
}

// Adopt takes in that everything up to the position is known from elsewhere, and that
// whoever told it answers for what happened before.
func (f *Feed) Adopt(pos stoatpaddle.Position) {
	f.BeginEra(pos.Era)
	f.pos = f.pos.Later(pos)
	if pos.Era < f.era {
		// Whoever told it is about to list what the present era has: a watch from here would skip that.
		return
	}
	f.listed, f.begun, f.after, f.away, f.lost, f.relief = true, true, "", false, false, false
	f.failures, f.failing, f.down = 0, time.Time{}, time.Time{}
}

// Unreachable tells whether the platform counts as not answering.
func (f *Feed) Unreachable() bool { return f.lost }

// FailingSince tells since when the platform has not answered; zero: it answers.
func (f *Feed) FailingSince() time.Time { return f.failing }

// Next returns the call to do now.
func (f *Feed) Next() Call {
	c := Call{Timeout: listTimeout, Pause: f.pause()}
	if !f.listed {
		c.List, c.After, c.AllowStale = true, f.after, f.relief || f.cfg.AllowStaleStart && !f.begun && !f.exact
		return c
	}
	c.From = f.pos.Revision
	c.Wait = f.wait()
	c.Timeout = c.Wait + Fraction(f.cfg.MaxDelay, hangShare)
	// A replica that is behind may not have the revision yet that it is asked to go on from.
	c.AllowStale = f.cfg.AllowStale && !f.exact && f.goneRow < 2
	switch {
	case f.relief:
		// News goes on while the exact question waits its turn.
		c.AllowStale, c.Wait = true, Fraction(f.cfg.MaxDelay, reliefShare)
	case f.exact || f.hurry || f.failures > 0:
		// It is wanted now, not when something changes.
		c.Wait = time.Millisecond
		c.Timeout = f.answerWithin(c.Timeout)
	}
	return c
}

// answerWithin is how long a question may take that waits for nothing: the connection that it
// takes may have gone silent while it was idle, and the next try gets a new one. A slow
// platform is given more time each time.
func (f *Feed) answerWithin(most time.Duration) time.Duration {
	return min(most, time.Duration(1+f.failures)*Fraction(f.cfg.MaxDelay, hangShare))
}

// wait is how long a watch waits for a change. Where others wait for proofs, one that was
// old when it came, since its watch was ended by news, is followed by the next one sooner.
func (f *Feed) wait() time.Duration {
	if !f.cfg.HasFollowers {
		return Fraction(f.cfg.MaxDelay, waitShare)
	}
	return max(Fraction(f.cfg.MaxDelay, promptShare)-f.age, Fraction(f.cfg.MaxDelay, gatherShare)).Truncate(time.Millisecond)
}

// AsOf returns the time as of which an answer, which came at now to a question sent at sent,
// says what the platform has: when it was sent, for nothing tells when in between it was
// made. A watch that waited to its end without a change was answered after the wait.
func (c *Call) AsOf(sent, now time.Time, r Result) time.Time {
	if end := sent.Add(c.Wait); c.Wait > time.Millisecond && r.Changes == 0 && !end.After(now) {
		return end
	}
	return sent
}

// Fraction returns a part of a bound, in whole milliseconds.
func Fraction(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part).Truncate(time.Millisecond)
}

// pause is random: nine entries that ask again in one moment would be refused by rate.
func (f *Feed) pause() time.Duration {
	switch {
	case f.failures == 0 && max(f.oldRow, f.goneRow) > 1:
		// The first one is made good at once. If that does not help, each question would be followed by
		// the next within milliseconds, and a few entries use up what the platform answers a second.
		return f.backoff(max(f.oldRow, f.goneRow))
	case f.failures == 0 && f.gather && !f.exact && !f.hurry:
		return Fraction(f.cfg.MaxDelay, gatherShare)
	case f.failures == 0:
		return 0
	}
	if f.relayed && f.failures >= 2 {
		return pauseRelayed + time.Duration(f.cfg.Rand.Int64N(int64(pauseRelayed)))
	}
	return f.backoff(f.failures)
}

// backoff is the pause before a try that follows so many in vain.
func (f *Feed) backoff(n int) time.Duration {
	most := pauseMost
	if n < 5 {
		most = min(pauseMost, pauseLeast<<n)
	}
	return pauseLeast/2 + time.Duration(f.cfg.Rand.Int64N(int64(most)))
}

// Done takes the end of a call in that was sent at that time.
func (f *Feed) Done(now, sent time.Time, c Call, r Result) Decision {
	f.relief, f.gather = false, r.Outcome == Answered && !c.List && r.Changes > 0
	if r.AsOf.Era == 0 {
		r.AsOf.Era = f.era
	}
	switch r.Outcome {
	case Forgotten:
		f.goneRow++
		if !f.BeginEra(r.AsOf.Era) {
			f.relist()
		}
		return Decision{}
	case Refused:
		f.relief = !c.AllowStale
		return f.failed(now)
	case Failed:
		if f.down.IsZero() {
			f.down = now
		}
		return f.failed(now)
	case Interrupted:
		return Decision{}
	case Answered:
	}
	if !c.List {
		f.goneRow = 0
	}
	v := f.answered(now, sent, c, r)
	f.oldRow++
	if !v.Outdated {
		f.oldRow = 0
	}
	return v
}

// answered takes in an answer.
func (f *Feed) answered(now, sent time.Time, c Call, r Result) Decision {
	v := Decision{OutageEnded: f.lost}
	// A platform that refuses by rate is there: nothing lapses meanwhile.
	outage := !f.down.IsZero() && now.Sub(f.down) >= awayAfter
	f.failures, f.failing, f.down, f.lost, f.hurry = 0, time.Time{}, time.Time{}, false, false
	if outage {
		f.away = true
	}
	if f.BeginEra(r.AsOf.Era) {
		return v
	}
	if outage && !c.List {
		// What ended meanwhile may have lapsed only, and a watch cannot tell: a list can,
		// since what lapsed is given time to come back.
		f.relist()
		return v
	}
	if c.List {
		return f.page(v, c, r)
	}
	if f.behind(r.AsOf) {
		// A replica that is behind this entry: nothing in it is news.
		f.exact, v.Outdated = true, true
		return v
	}
	f.pos = r.AsOf
	v.Apply, v.Current = true, !c.AllowStale
	if !c.AllowStale {
		f.exact, f.age = false, now.Sub(c.AsOf(sent, now, r))
	}
	return v
}

func (f *Feed) relist() { f.listed, f.after, f.listFrom = false, "", stoatpaddle.Position{} }

// behind tells whether an answer as of that position is older than what is known.
func (f *Feed) behind(asOf stoatpaddle.Position) bool { return asOf.Era < f.era || asOf.Before(f.pos) }

func (f *Feed) failed(now time.Time) Decision {
	f.failures++
	if f.failing.IsZero() {
		f.failing = now
	}
	// One failure is a connection that broke; two are an outage.
	if f.failures < 2 || f.lost {
		return Decision{}
	}
	f.lost = true
	return Decision{OutageBegan: true}
}

func (f *Feed) page(v Decision, c Call, r Result) Decision {
	if r.AsOf.Era < f.era {
		// Of a replica that has not heard of the restore.
		f.relist()
		f.exact, v.Outdated = true, true
		return v
	}
	v.Apply = true
	if c.After == "" {
		f.listFrom = r.AsOf
	}
	if r.More {
		f.after = r.Last
		return v
	}
	if f.listFrom.Before(f.pos) {
		// A replica that is behind: what its list lacks may be younger than the list.
		f.relist()
		f.exact, v.Outdated = true, true
		return v
	}
	// Pages are read one after the other: what changed meanwhile is in the watch from the
	// first page's revision on.
	v.Complete, v.Current, v.AfterOutage = true, !c.AllowStale, f.away
	f.pos = f.listFrom
	f.listed, f.begun, f.after, f.away, f.exact = true, true, "", false, false
	return v
}

// SetStartOptions tells whether the first list may come from a replica, and whether others wait
// for what this feed learns.
func (f *Feed) SetStartOptions(stale, prompt bool) {
	f.cfg.AllowStaleStart, f.cfg.HasFollowers = stale, prompt
}

// SetRecoveryRelayed tells whether another entry tells when the platform is back.
func (f *Feed) SetRecoveryRelayed(relayed bool) { f.relayed = relayed }

// RequestNow has the next call answered at once: another feed has proof of a later revision
// than this one has heard of.
func (f *Feed) RequestNow() { f.hurry = true }

// RequestExact has the next call answered at once and not by a replica: the replica is behind, or
// traffic met something that is not known here.
func (f *Feed) RequestExact() { f.exact = true }
