package stoatevent

import (
	"sort"
	"sync"
	"time"
)

// Sampler bounds how many lines an event may write a second and counts what it leaves out.
type Sampler struct {
	mu           sync.Mutex
	limits       map[Number]int // lines a second; an event without a bound is never left out
	admitted     map[Number]int
	omitted      map[Number]int64
	totalOmitted map[Number]int64
	windowStart  time.Time
}

// NewSampler returns a Sampler with the bounds.
func NewSampler(limits map[Number]int) *Sampler {
	return &Sampler{limits: limits, admitted: map[Number]int{}, omitted: map[Number]int64{}, totalOmitted: map[Number]int64{}}
}

// Admit tells whether a line of the event may be written now.
func (s *Sampler) Admit(now time.Time, e *Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, limited := s.limits[e.Number]
	if !limited {
		return true
	}
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		clear(s.admitted)
	}
	if s.admitted[e.Number] >= limit {
		s.omitted[e.Number]++
		s.totalOmitted[e.Number]++
		return false
	}
	s.admitted[e.Number]++
	return true
}

// LeftOut is how many lines of an event were left out.
type LeftOut struct {
	Number Number
	Count  int64
}

// Take returns what was left out since the last Take, ascending by number.
func (s *Sampler) Take() []LeftOut {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := sortedOmitted(s.omitted)
	clear(s.omitted)
	return out
}

// Total returns what was left out since the start, ascending by number.
func (s *Sampler) Total() []LeftOut {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedOmitted(s.totalOmitted)
}

func sortedOmitted(m map[Number]int64) []LeftOut {
	out := make([]LeftOut, 0, len(m))
	for n, c := range m {
		out = append(out, LeftOut{Number: n, Count: c})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
