package stoatmeasure

import (
	"slices"
	"time"
)

// Outcomes counts the requests of one level. The names of its fields are part of the JSON output.
type Outcomes struct {
	Asked, InTime, Late int
	// Refused counts the requests whose callers have given up after their last try, and Rejected those of them
	// whose last try an upstream rejected or reset; an entry refused the last try of the others.
	Refused, Rejected int
	// Lost counts requests without an answer that may have run and must not run twice.
	Lost     int
	Openings int // of flows
}

func (o *Outcomes) add(x Outcomes) {
	o.Asked += x.Asked
	o.InTime += x.InTime
	o.Late += x.Late
	o.Refused += x.Refused
	o.Rejected += x.Rejected
	o.Lost += x.Lost
	o.Openings += x.Openings
}

// OverloadResult is the outcome of a run.
type OverloadResult struct {
	// Urgent has the most urgent level that has traffic, and Usual the sum of all others.
	Usual, Urgent Outcomes
	Levels        []Outcomes
	// Bound is the goodput that the slots can yield if the requests of the greatest weight are served first.
	Bound   float64
	goodput float64
	// Stages holds the outcomes by the stage in which a request was first tried, and by level.
	Stages [][]Outcomes
	// IdleShare is the share of the slot time that was idle in the periods of bursts in which entries refused openings.
	IdleShare float64
	// Readmission is the time from the end of a burst to the last opening that an entry refused, and Recovery
	// that to the last request which failed; of the slowest burst.
	Readmission, Recovery time.Duration
	// Starved counts the callers of whose requests, at least starvedFrom, none was answered.
	Starved int
}

// Goodput returns the number of answers in time, weighted by their levels.
func (o *OverloadResult) Goodput() float64 { return o.goodput }

// All returns the outcomes of all levels.
func (o *OverloadResult) All() Outcomes {
	var sum Outcomes
	for _, l := range o.Levels {
		sum.add(l)
	}
	return sum
}

// summarize computes the result from the outcomes of the stages.
func (m *overloadModel) summarize() {
	r := &m.result
	r.Levels = make([]Outcomes, len(m.cfg.Levels))
	urgent := m.cfg.mostUrgent()
	for _, stage := range r.Stages {
		for i, o := range stage {
			r.Levels[i].add(o)
		}
	}
	for i, o := range r.Levels {
		r.goodput += m.cfg.Levels[i].Weight * float64(o.InTime)
		if i == urgent {
			r.Urgent.add(o)
		} else {
			r.Usual.add(o)
		}
	}
	r.Bound = m.cfg.bound(r.Stages)
	r.IdleShare = m.idleSlots.share()
	for _, x := range m.recoveries {
		r.Readmission, r.Recovery = max(r.Readmission, x.readmission), max(r.Recovery, x.recovery)
	}
	for _, level := range m.callers {
		for _, c := range level {
			if c.asked >= starvedFrom && c.answered == 0 {
				r.Starved++
			}
		}
	}
}

// bound returns the goodput that the upstreams can yield for the requests of each stage. A request may still be
// answered within the objective after the end of its stage, so that this time is added to each stage.
func (c OverloadConfig) bound(stages [][]Outcomes) float64 {
	sum := 0.0
	for i, s := range c.Stages {
		capacity := c.capacity() * (s.Duration + overloadObjective).Seconds()
		for _, l := range c.byWeight() {
			n := min(capacity, float64(stages[i][l].Asked))
			sum += c.Levels[l].Weight * n
			capacity -= n
		}
	}
	return sum
}

// refusingPeriod is how finely idle slot time is attributed to refusals: about one service time.
const refusingPeriod = 50 * time.Millisecond

// span is a period of a run.
type span struct{ from, to time.Duration }

// burstsOf returns the stages whose load exceeds the capacity.
func burstsOf(stages []Stage) []span {
	var out []span
	at := time.Duration(0)
	for _, s := range stages {
		if s.Load > 1 {
			out = append(out, span{at, at + s.Duration})
		}
		at += s.Duration
	}
	return out
}

// idleMeter sums the idle slot time of the periods of bursts in which entries refused openings. After a burst, slots
// are idle since there is less to do; until when openings are refused is a figure of its own.
type idleMeter struct {
	slots, busy  int
	bursts       []span
	at           time.Duration
	refused      bool
	idle         time.Duration // slot time of the present period
	sumIdle, sum time.Duration // slot time of the periods with refusals
}

// advance accounts for the time up to now.
func (i *idleMeter) advance(now time.Duration) {
	for i.at < now {
		end := min(now, i.at.Truncate(refusingPeriod)+refusingPeriod)
		i.idle += time.Duration(i.slots-i.busy) * (end - i.at)
		if i.at = end; end%refusingPeriod == 0 {
			i.endPeriod()
		}
	}
}

func (i *idleMeter) endPeriod() {
	if i.refused {
		i.sumIdle += i.idle
		i.sum += time.Duration(i.slots) * refusingPeriod
	}
	i.idle, i.refused = 0, false
}

// noteBusy records that n more slots are busy.
func (i *idleMeter) noteBusy(now time.Duration, n int) {
	i.advance(now)
	i.busy += n
}

func (i *idleMeter) noteRefusal(now time.Duration) {
	i.advance(now)
	i.refused = i.refused || slices.ContainsFunc(i.bursts, func(s span) bool { return s.from <= now && now < s.to })
}

// share returns the share of the slot time of the periods with refusals that was idle.
func (i *idleMeter) share() float64 {
	if i.sum == 0 {
		return 0
	}
	return float64(i.sumIdle) / float64(i.sum)
}

// recovery is the time after a burst, up to the next one.
type recovery struct {
	from, to              time.Duration
	readmission, recovery time.Duration
}

// recoveriesOf returns the recoveries after the bursts of a load; a burst exceeds the capacity.
func recoveriesOf(stages []Stage) []recovery {
	var out []recovery
	at, burst := time.Duration(0), false
	for _, s := range stages {
		switch {
		case s.Load > 1 && len(out) > 0 && !burst:
			out[len(out)-1].to = at
		case s.Load <= 1 && burst:
			out = append(out, recovery{from: at, to: 1 << 62})
		}
		burst = s.Load > 1
		at += s.Duration
	}
	return out
}

// noteRefusal records that an entry refused an opening now.
func (m *overloadModel) noteRefusal() {
	m.idleSlots.noteRefusal(m.q.now)
	for i := range m.recoveries {
		if r := &m.recoveries[i]; r.from <= m.q.now && m.q.now < r.to {
			r.readmission = max(r.readmission, m.q.now-r.from)
		}
	}
}

// noteFailure records that a request failed which was first tried at the given time.
func (m *overloadModel) noteFailure(first time.Duration) {
	for i := range m.recoveries {
		if r := &m.recoveries[i]; r.from <= first && first < r.to {
			r.recovery = max(r.recovery, first-r.from)
		}
	}
}
