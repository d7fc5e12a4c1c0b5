package stoatevent

import (
	"sort"
	"sync"
	"time"
)

// Sampler limits the number of lines a second that are written for each event, and counts the omitted ones.
type Sampler struct {
	mu           sync.Mutex
	limits       map[Number]int // lines a second; an event without a limit is never omitted
	admitted     map[Number]int
	omitted      map[Number]int64
	totalOmitted map[Number]int64
	windowStart  time.Time
}

// NewSampler returns a Sampler with the limits, in lines a second. Events without a limit are never omitted.
func NewSampler(limits map[Number]int) *Sampler {
	return &Sampler{limits: limits, admitted: map[Number]int{}, omitted: map[Number]int64{}, totalOmitted: map[Number]int64{}}
}

// Allow reports whether a line of the event may be written at time now, and counts the line as omitted if not.
func (s *Sampler) Allow(now time.Time, e *Definition) bool {
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

// OmittedLines is the number of omitted lines of one event.
type OmittedLines struct {
	Number Number
	Count  int64
}

// TakeOmitted returns the omitted lines since the last TakeOmitted, ascending by number.
func (s *Sampler) TakeOmitted() []OmittedLines {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := sortedOmitted(s.omitted)
	clear(s.omitted)
	return out
}

// TotalOmitted returns the omitted lines since the start, ascending by number.
func (s *Sampler) TotalOmitted() []OmittedLines {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedOmitted(s.totalOmitted)
}

func sortedOmitted(m map[Number]int64) []OmittedLines {
	out := make([]OmittedLines, 0, len(m))
	for n, c := range m {
		out = append(out, OmittedLines{Number: n, Count: c})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
