package stoatload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// answerDecay is the time constant of the rates of answers and rejections. It spans several answers of one
	// upstream, and a change shows within half a second.
	answerDecay = 250 * time.Millisecond
	// arrivalDecay is the time constant of the rates of openings. The three tries of one request fall within a few
	// of it.
	arrivalDecay = 500 * time.Millisecond
	// unqueuedWindow is how long the shortest answer time is remembered at least. It outlives a burst in which
	// every request has to queue.
	unqueuedWindow = 30 * time.Second
)

// Meter measures the load of one group at one entry. The zero value is ready to use. It must not be used by several
// goroutines at once.
type Meter struct {
	answered      Rate
	rejected      Rate
	answerSeconds Rate // each answer counts as many times as it took seconds
	unqueued      shortest
	levels        []levelMeter // ascending by priority, at most MaxLevels
}

type levelMeter struct {
	priority int
	arrived  Rate
	admitted Rate
}

// Opening records an opening of a route with the given priority, and whether it was admitted.
func (m *Meter) Opening(now time.Time, priority int, admitted bool) {
	l := m.level(now, priority)
	if l == nil {
		return
	}
	l.arrived.Add(now, arrivalDecay)
	if admitted {
		l.admitted.Add(now, arrivalDecay)
	}
}

// Answer records a request that was answered after the given time.
func (m *Meter) Answer(now time.Time, took time.Duration) {
	took = min(max(took, time.Microsecond), maxAnswer)
	m.answered.Add(now, answerDecay)
	m.answerSeconds.addAmount(now, answerDecay, took.Seconds())
	m.unqueued.add(now, took)
}

// Rejection records a request that an upstream rejected.
func (m *Meter) Rejection(now time.Time) { m.rejected.Add(now, answerDecay) }

// Load returns the load of the group; inProgress is the number of pending requests and openings.
func (m *Meter) Load(now time.Time, group GroupID, inProgress float64) GroupLoad {
	g := GroupLoad{
		Group: group, Entries: 1, Answered: m.answered.PerSecond(now, answerDecay), Rejected: m.rejected.PerSecond(now, answerDecay),
		InProgress: bounded(inProgress),
	}
	if g.Answered >= trafficFloor {
		mean := m.answerSeconds.PerSecond(now, answerDecay) / g.Answered
		g.AnswerTime, g.Unqueued = time.Duration(mean*float64(time.Second)), m.unqueued.value(now)
	}
	for i := range m.levels {
		l := &m.levels[i]
		if arrived := l.arrived.PerSecond(now, arrivalDecay); arrived >= trafficFloor {
			g.Levels = append(g.Levels, LevelLoad{Priority: l.priority, Arrived: arrived, Admitted: l.admitted.PerSecond(now, arrivalDecay)})
		}
	}
	return g
}

// level returns the meter of a priority, or nil if MaxLevels more urgent levels have traffic.
func (m *Meter) level(now time.Time, priority int) *levelMeter {
	if i, found := m.find(priority); found {
		return &m.levels[i]
	}
	if len(m.levels) >= MaxLevels {
		m.levels = slices.DeleteFunc(m.levels, func(l levelMeter) bool { return l.arrived.PerSecond(now, arrivalDecay) < trafficFloor })
	}
	i, _ := m.find(priority)
	if i >= MaxLevels {
		return nil
	}
	m.levels = slices.Insert(m.levels[:min(len(m.levels), MaxLevels-1)], i, levelMeter{priority: priority})
	return &m.levels[i]
}

func (m *Meter) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(m.levels, priority, func(l levelMeter, p int) int { return cmp.Compare(l.priority, p) })
}

// shortest keeps the shortest answer time of the current and the previous unqueuedWindow.
type shortest struct {
	since    time.Time
	current  time.Duration // 0: none
	previous time.Duration // 0: none
}

func (s *shortest) add(now time.Time, took time.Duration) {
	s.advance(now)
	s.current = shorter(s.current, took)
}

func (s *shortest) value(now time.Time) time.Duration {
	s.advance(now)
	return shorter(s.current, s.previous)
}

// advance begins a new window when the current one has ended.
func (s *shortest) advance(now time.Time) {
	switch age := now.Sub(s.since); {
	case age >= 2*unqueuedWindow:
		*s = shortest{since: now}
	case age >= unqueuedWindow:
		*s = shortest{since: now, previous: s.current}
	}
}

// shorter returns the shorter of two durations, where 0 means that there is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
