package stoatload

import (
	"math"
	"slices"
	"time"
)

// Pace says how often entries exchange loads.
type Pace uint8

// The paces, in ascending order of frequency.
const (
	Silent  Pace = iota // nothing is sent
	Steady              // every SteadyInterval
	Pressed             // every PressedInterval
)

const (
	// PressedInterval is the interval between two reports while a group is under pressure. With four levels of
	// entries below the root, a report is less than a second old when it is in the sum.
	PressedInterval = 200 * time.Millisecond
	// SteadyInterval is the interval between two reports otherwise.
	SteadyInterval = time.Second
	// unchangedInterval is the interval between two messages to another data centre while its content changes by
	// less than minChange.
	unchangedInterval = 2 * time.Second
	// timerSlack is how much earlier than its interval a message may be sent. A timer of PressedInterval otherwise
	// misses each interval by the time that a round takes, and doubles it.
	timerSlack = 20 * time.Millisecond
)

// interval returns the interval between two messages; false: none are sent.
func (p Pace) interval() (time.Duration, bool) {
	switch p {
	case Steady:
		return SteadyInterval, true
	case Pressed:
		return PressedInterval, true
	}
	return 0, false
}

// PaceOf returns the pace that the groups need.
func PaceOf(groups []GroupLoad) Pace {
	pace := Silent
	for i := range groups {
		switch g := &groups[i]; {
		case g.UnderPressure():
			return Pressed
		case g.Contended():
			pace = Steady
		}
	}
	return pace
}

// Pacer decides when a message within a data centre is due. The zero value is ready to use.
type Pacer struct{ sentAt time.Time }

// Next reports whether a message is due, and records it as sent if it is.
func (p *Pacer) Next(now time.Time, pace Pace) bool {
	interval, needed := pace.interval()
	if !needed || !elapsed(now, p.sentAt, interval) {
		return false
	}
	p.sentAt = now
	return true
}

// Record records a message that was sent for another reason.
func (p *Pacer) Record(now time.Time) { p.sentAt = now }

// ChildPacer decides when children have to be sent the data centre's sum. The zero value is ready to use.
type ChildPacer struct {
	pacer Pacer
	sumAt time.Time // of the sum that was last sent
}

// Next reports whether the sum as of sumAt has to be sent, and records it as sent if it has. The sum of the topmost
// entry is as of now, and is sent at the pace. An entry below passes each sum of its parent on at once.
func (p *ChildPacer) Next(now time.Time, pace Pace, sumAt time.Time) bool {
	if sumAt.Sub(p.sumAt) < PressedInterval/2 {
		return false
	}
	if sumAt.Equal(now) && !p.pacer.Next(now, pace) {
		return false
	}
	p.sumAt = sumAt
	return true
}

// elapsed reports whether the interval has passed since then; zero: there is no such time.
func elapsed(now, then time.Time, interval time.Duration) bool {
	return then.IsZero() || now.Sub(then) >= interval-timerSlack
}

// CentrePacer decides when a message to an entry of another data centre is due: at most every SteadyInterval, and
// less often while little changes. The zero value is ready to use.
type CentrePacer struct {
	sentAt time.Time
	sent   []Part
}

// Next reports whether a message with these parts is due, and records it as sent if it is.
func (p *CentrePacer) Next(now time.Time, pace Pace, parts []Part) bool {
	if pace == Silent || !elapsed(now, p.sentAt, SteadyInterval) {
		return false
	}
	if !elapsed(now, p.sentAt, unchangedInterval) && !partsChanged(p.sent, parts) {
		return false
	}
	p.sentAt, p.sent = now, parts
	return true
}

// Record records a message that was sent for another reason.
func (p *CentrePacer) Record(now time.Time, parts []Part) { p.sentAt, p.sent = now, parts }

const (
	// minChange is the relative change of a figure that is worth a message.
	minChange = 0.1
	// minFigure is the figure below which changes are not worth a message: an event a second, or a request.
	minFigure = 1.0
)

func partsChanged(a, b []Part) bool {
	return !slices.EqualFunc(a, b, func(x, y Part) bool {
		return x.Origin == y.Origin && x.Wanted == y.Wanted && x.Load.DataCentre == y.Load.DataCentre &&
			slices.EqualFunc(x.Load.Groups, y.Load.Groups, similarGroups)
	})
}

func similarGroups(a, b GroupLoad) bool {
	return a.Group == b.Group && similar(a.Answered, b.Answered) && similar(a.Rejected, b.Rejected) && similar(a.InProgress, b.InProgress) &&
		similar(a.AnswerTime.Seconds()*a.Answered, b.AnswerTime.Seconds()*b.Answered) &&
		slices.EqualFunc(a.Levels, b.Levels, func(x, y LevelLoad) bool {
			return x.Priority == y.Priority && similar(x.Arrived, y.Arrived) && similar(x.Admitted, y.Admitted)
		})
}

func similar(a, b float64) bool {
	return math.Abs(a-b) <= minChange*max(a, b, minFigure)
}
