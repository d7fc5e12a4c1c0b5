package stoatspill

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

const (
	// otherShareFactor is the greatest share of rejections of another data centre as seen from here, in relation
	// to the share here, with which openings go there.
	otherShareFactor = 0.5
	// minOtherShare is the share of rejections there that is no obstacle to RuleBoth, as a spill that suffices
	// leaves few rejections here to compare it with.
	minOtherShare = defaultStart
	// aim is the factor on the room with which the probability for refused openings is determined. The budgets keep
	// to the room; the probability has to make up for the openings that no longer return once others are spilled,
	// since the rates know of these only later.
	aim = 2
	// burstTime is the time whose budget may be spent at once, and minBurst the least number of openings. With one
	// opening, an entry that gets few of them could not use half of its part of the room.
	burstTime = 100 * time.Millisecond
	minBurst  = 2
)

// Decide returns the data centre that the opening goes to, if it goes elsewhere.
func (d *Decider) Decide(now time.Time, o Opening) (stoatpaddle.DataCentreID, bool) {
	switch d.cfg.Rule {
	case RuleNone:
		return "", false
	case RuleLocal:
		return d.leastRejecting(o)
	case RuleBoth, RuleRoom:
	}
	if !d.spilling {
		return "", false
	}
	total := d.usableRoom(now, o.Allowed)
	p, admitted := d.probabilities(total)
	if !o.Refused {
		p = admitted
	}
	if o.X >= p {
		return "", false
	}
	r := d.pick(now, o, o.X/p*total)
	if r == nil || !d.budgetOf(r.DataCentre).take(now, d.rate(r)/d.entries) {
		return "", false
	}
	return r.DataCentre, true
}

// probabilities returns with which probability an opening goes elsewhere that home refuses, and one that home admits,
// given the room for the whole data centre. Those that home refuses come first.
func (d *Decider) probabilities(room float64) (refused, admitted float64) {
	room *= d.covered / d.entries
	if room <= 0 {
		return 0, 0
	}
	refused = 1
	if d.refused > room*aim {
		refused = room * aim / d.refused
	}
	return refused, min(d.share, admittedPart(room, d.refused, d.admitted))
}

// admittedPart returns the greatest share of the admitted openings that fits into the room beside those refused.
func admittedPart(room, refused, admitted float64) float64 {
	if left := room - refused; left > 0 && admitted > 0 {
		return min(1, left/admitted)
	}
	return 0
}

// usableRoom returns the sum of the rooms that may be used.
func (d *Decider) usableRoom(now time.Time, allowed func(stoatpaddle.DataCentreID) bool) float64 {
	sum := 0.0
	for i := range d.rooms {
		if r := &d.rooms[i]; d.usable(now, r, allowed) {
			sum += d.rate(r)
		}
	}
	return sum
}

// hasTarget reports whether any data centre may get openings.
func (d *Decider) hasTarget(now time.Time) bool {
	switch d.cfg.Rule {
	case RuleNone:
		return false
	case RuleLocal:
		_, found := d.leastRejecting(Opening{})
		return found
	case RuleBoth, RuleRoom:
	}
	return d.usableRoom(now, nil) > 0
}

// usable reports whether a room may be used.
func (d *Decider) usable(now time.Time, r *Room, allowed func(stoatpaddle.DataCentreID) bool) bool {
	switch {
	case r.Spilling || !(d.rate(r) > 0) || now.Sub(r.At) > MaxRoomAge:
		return false
	case allowed != nil && !allowed(r.DataCentre):
		return false
	}
	return d.cfg.Rule != RuleBoth || d.seenShare(r.DataCentre) <= max(minOtherShare, otherShareFactor*d.rejectedShare())
}

// rate returns the openings a second that may go to a data centre: its room, or until the first room that it measured
// after the overload here began, its trial.
func (d *Decider) rate(r *Room) float64 {
	if d.cfg.Rule == RuleBoth && r.At.Before(d.onset) {
		return max(r.PerSecond, r.Trial)
	}
	return r.PerSecond
}

// seenShare returns the share of rejections in another data centre as seen from here.
func (d *Decider) seenShare(dc stoatpaddle.DataCentreID) float64 {
	for i := range d.seen {
		if d.seen[i].Group.DataCentre == dc {
			return d.seen[i].RejectedShare()
		}
	}
	return 0
}

// pick returns the usable room at the given position in the sum of all.
func (d *Decider) pick(now time.Time, o Opening, at float64) *Room {
	var last *Room
	for i := range d.rooms {
		r := &d.rooms[i]
		if !d.usable(now, r, o.Allowed) {
			continue
		}
		if last = r; at < d.rate(r) {
			return r
		}
		at -= d.rate(r)
	}
	return last
}

// leastRejecting returns the data centre that RuleLocal sends openings to.
func (d *Decider) leastRejecting(o Opening) (stoatpaddle.DataCentreID, bool) {
	here := d.rejectedShare()
	if d.overload() == ReasonNone {
		return "", false
	}
	var best []*stoatload.GroupLoad
	least := otherShareFactor * here
	for i := range d.seen {
		g := &d.seen[i]
		there := g.RejectedShare()
		if there > least || there >= otherShareFactor*here || o.Allowed != nil && !o.Allowed(g.Group.DataCentre) {
			continue
		}
		if there < least {
			best, least = best[:0], there
		}
		best = append(best, g)
	}
	if len(best) == 0 {
		return "", false
	}
	return best[min(len(best)-1, int(o.X*float64(len(best))))].Group.DataCentre, true
}

// Withdraw takes back the latest decision for a data centre, where no upstream took the opening.
func (d *Decider) Withdraw(dc stoatpaddle.DataCentreID) {
	if b := d.budgets[dc]; b != nil && b.spilled > 0 {
		b.tokens, b.spilled = b.tokens+1, b.spilled-1
	}
}

// budget is this entry's part of a room: a token bucket.
type budget struct {
	tokens  float64
	at      time.Time
	spilled int64
}

// budgetOf returns the budget for a data centre.
func (d *Decider) budgetOf(dc stoatpaddle.DataCentreID) *budget {
	b := d.budgets[dc]
	if b == nil {
		b = &budget{}
		d.budgets[dc] = b
	}
	return b
}

// dropBudgets drops the budgets of data centres that publish no room any more, which bounds their number.
func (d *Decider) dropBudgets() {
	for dc := range d.budgets {
		if !d.knows(dc) {
			delete(d.budgets, dc)
		}
	}
}

func (d *Decider) knows(dc stoatpaddle.DataCentreID) bool {
	for i := range d.rooms {
		if d.rooms[i].DataCentre == dc {
			return true
		}
	}
	return false
}

// take spends one token, if there is one, at a rate of tokens a second.
func (b *budget) take(now time.Time, perSecond float64) bool {
	most := max(minBurst, perSecond*burstTime.Seconds())
	if b.at.IsZero() {
		b.at, b.tokens = now, 1
	}
	b.tokens = min(most, b.tokens+perSecond*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.spilled++
	return true
}
