package stoatspill

import (
	"math"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

const (
	// smoothing is the time constant with which the load is averaged, so that an entry that decides by its own few
	// answers does not follow single rejections. A load of manyRequests a second needs no average, which would only
	// delay the start and the end of a spill.
	smoothing    = 500 * time.Millisecond
	manyRequests = 50.0
	// minEvidence is the number of recent rejections or refusals without which no spill starts.
	minEvidence = 2.0
	// loopTime is how long a change of the spill takes to show in the load: up and down the relay tree, and the
	// averages. The share is corrected within this time, as a faster correction would overshoot.
	loopTime = time.Second
	// returnShare is the share of the openings that return home in a second while upstreams there reject hardly
	// any. It is slow, since each return that comes too early costs callers rejections. Openings for which there
	// is room at home return within loopTime.
	returnShare = 0.1
	// trialPause is the least time from the end of a spill to an overload for which trials are made, so that a trial
	// that fails does not lead to the next one.
	trialPause = 10 * time.Second
	// earlyShare is the rejected share above which an entry starts a spill on its own evidence. It is the usual one: the
	// openings that a burst has refused by the time at which the sum shows it are refused for good, as a caller's three
	// tries pass within milliseconds. entryEvidenceTime is the time over which the entry's load is averaged.
	earlyShare        = defaultStart
	entryEvidenceTime = 250 * time.Millisecond
	maxUpdateInterval = time.Second // the longest time between updates that counts
)

// Evidence is what a Decider knows of the loads.
type Evidence struct {
	Own     stoatload.GroupLoad // of the own data centre: the shared sum if it is fresh, else of this entry
	Entry   stoatload.GroupLoad // of the own data centre as this entry alone sees it; may be zero
	Entries int                 // number of entries in the own data centre; 0: Own.Entries
	Home    Capacity            // of the own data centre; Spillers and Spilling are not used
	Rooms   []Room              // of the other data centres
	// Seen are the loads of the service's groups in the other data centres as this entry alone sees them: a sum
	// would show too late that a data centre rejects requests.
	Seen []stoatload.GroupLoad
}

// Opening is an opening to decide on.
type Opening struct {
	Refused bool    // admission at home refuses it
	X       float64 // a uniform random number in [0,1)
	// Allowed reports whether the opening may go to the data centre: that is neither evacuated, cold nor excluded
	// by the regions of the route or by the settings. nil allows all.
	Allowed func(stoatpaddle.DataCentreID) bool
}

// Decider decides for one service at one entry. It is not safe for concurrent use.
type Decider struct {
	cfg     Config
	rooms   []Room
	seen    []stoatload.GroupLoad
	entries float64 // of the own data centre
	covered float64 // entries that the own load covers
	updated time.Time
	// The smoothed load at home, a second.
	answered, rejected, admitted, refused float64 // refused: beyond homeRoom
	homeRoom                              float64 // what the data centre could take, openings a second
	overSince                             time.Time
	onset                                 time.Time // the beginning of the overload for which trials are made
	underSince                            time.Time
	roomSince                             time.Time // when there was last a data centre with room
	spilling                              bool
	since                                 time.Time
	reason                                Reason
	share                                 float64 // of the openings that home admits, those that go elsewhere
	budgets                               map[stoatpaddle.DataCentreID]*budget
}

// New returns a Decider.
func New(cfg Config) *Decider {
	return &Decider{cfg: cfg.withDefaults(), budgets: map[stoatpaddle.DataCentreID]*budget{}}
}

// Spilling reports whether openings spill, so that the data centre has no room.
func (d *Decider) Spilling() bool { return d.spilling }

// Update replaces the evidence.
func (d *Decider) Update(now time.Time, e Evidence) Change {
	d.rooms, d.seen = slices.Clone(e.Rooms), slices.Clone(e.Seen)
	d.covered = float64(max(1, e.Own.Entries))
	d.entries = max(d.covered, float64(e.Entries))
	elapsed := min(max(0, now.Sub(d.updated)), maxUpdateInterval)
	d.updated = now
	home := e.Home
	home.Slots, home.Spillers, home.Spilling = home.Slots*int(d.covered)/int(d.entries), 1, false
	d.homeRoom = RoomOf(now, e.Own, home).PerSecond
	d.smooth(elapsed, &e.Own)
	d.dropBudgets()
	before := d.spilling
	d.decide(now)
	d.startEarly(now, &e.Entry)
	d.correct(now, elapsed)
	switch {
	case d.spilling == before:
		return Unchanged
	case d.spilling:
		return Started
	}
	return Ended
}

// smooth averages the load at home.
func (d *Decider) smooth(elapsed time.Duration, own *stoatload.GroupLoad) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
	if own.Answered+own.Rejected >= manyRequests || d.answered+d.rejected >= manyRequests {
		weight = 1
	}
	follow := func(mean *float64, x float64) { *mean += weight * (x - *mean) }
	arrived, admitted := openings(own)
	follow(&d.answered, own.Answered)
	follow(&d.rejected, own.Rejected)
	follow(&d.admitted, admitted)
	// Openings that admission refuses although there is room at home need no other data centre: they are admitted
	// when they return.
	follow(&d.refused, max(0, arrived-admitted-d.homeRoom))
}

func (d *Decider) rejectedShare() float64 { return share(d.rejected, d.answered) }

func (d *Decider) refusedShare() float64 { return share(d.refused, d.admitted) }

// share returns the part of a in a + b.
func share(a, b float64) float64 {
	if a <= 0 {
		return 0
	}
	return a / (a + b)
}

// decide starts or ends the spill.
func (d *Decider) decide(now time.Time) {
	reason := d.overload()
	if reason == ReasonNone {
		d.overSince = time.Time{}
	} else if d.overSince.IsZero() {
		d.overSince = now
		if !d.spilling && now.Sub(d.since) >= trialPause {
			d.onset = now
		}
	}
	hasRoom := d.hasTarget(now)
	if hasRoom {
		d.roomSince = now
	}
	switch {
	case d.spilling && now.Sub(d.roomSince) >= d.cfg.Hold:
		d.end(now, ReasonNoRoom)
	case d.spilling:
		d.endUnneeded(now, reason)
	case reason == ReasonNone:
		d.reason = ReasonNone
	case !hasRoom:
		d.reason = ReasonNoRoom
	case now.Sub(d.overSince) >= d.cfg.StartDelay:
		d.start(now, reason)
	}
}

// startEarly starts a spill on the evidence of this entry alone, before the shared sum shows the overload. It can
// only be one with trials, since the rooms are older.
func (d *Decider) startEarly(now time.Time, entry *stoatload.GroupLoad) {
	if d.cfg.Rule != RuleBoth || d.spilling || now.Sub(d.since) < trialPause || entry.RejectedShare() < earlyShare {
		return
	}
	if entry.Rejected < minEvidence/entryEvidenceTime.Seconds() {
		return
	}
	before := d.onset
	d.onset = now
	if !d.hasTarget(now) {
		d.onset = before
		return
	}
	d.start(now, ReasonRejected)
}

// overload returns why the data centre needs others, or ReasonNone.
func (d *Decider) overload() Reason {
	enough := minEvidence / smoothing.Seconds()
	switch {
	case d.refused >= enough && d.refusedShare() > d.cfg.Start:
		return ReasonRefused
	case d.rejected >= enough && d.rejectedShare() > d.cfg.Start:
		return ReasonRejected
	}
	return ReasonNone
}

// endUnneeded ends a spill that no opening has needed for some time.
func (d *Decider) endUnneeded(now time.Time, reason Reason) {
	if reason != ReasonNone {
		d.reason = reason
	}
	if d.share > 0 || d.rejectedShare() >= d.cfg.Stop || d.refusedShare() >= d.cfg.Stop {
		d.underSince = time.Time{}
		return
	}
	if d.underSince.IsZero() {
		d.underSince = now
	}
	if now.Sub(d.underSince) >= d.cfg.Hold {
		d.end(now, ReasonNone)
	}
}

func (d *Decider) start(now time.Time, reason Reason) {
	d.spilling, d.since, d.reason, d.share, d.underSince, d.roomSince = true, now, reason, 0, time.Time{}, now
}

func (d *Decider) end(now time.Time, reason Reason) {
	d.spilling, d.since, d.reason, d.share, d.overSince = false, now, reason, 0, time.Time{}
}

// correct moves the share of the admitted openings that go elsewhere towards what upstreams at home do not reject.
func (d *Decider) correct(now time.Time, elapsed time.Duration) {
	if !d.spilling || d.admitted <= 0 {
		return
	}
	steps := elapsed.Seconds() / loopTime.Seconds()
	switch tooMuch := d.rejected - d.cfg.Start*(d.answered+d.rejected); {
	case tooMuch > 0 && d.roomSince.Equal(now):
		d.share += steps * tooMuch / (d.answered + d.rejected)
	case d.homeRoom > 0:
		d.share -= steps * d.homeRoom / d.admitted
	case d.rejectedShare() < d.cfg.Stop:
		d.share -= elapsed.Seconds() * returnShare
	}
	d.share = min(1, max(0, d.share))
	if room := d.usableRoom(now, nil) * d.covered / d.entries; room > 0 {
		d.share = min(d.share, admittedPart(room, d.refused, d.admitted))
	}
}
