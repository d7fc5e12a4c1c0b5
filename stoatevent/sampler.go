package stoatevent

import (
	"sort"
	"sync"
	"time"
)

// Sampler bounds how many lines an event may write a second and counts what it leaves out.
type Sampler struct {
	mu     sync.Mutex
	bounds map[Number]int // lines a second; an event without a bound is never left out
	used   map[Number]int
	left   map[Number]int64
	total  map[Number]int64
	second time.Time
}

// NewSampler returns a Sampler with the bounds.
func NewSampler(bounds map[Number]int) *Sampler {
	return &Sampler{bounds: bounds, used: map[Number]int{}, left: map[Number]int64{}, total: map[Number]int64{}}
}

// Allow tells whether a line of the event may be written now.
func (s *Sampler) Allow(now time.Time, e *Definition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	bound, bounded := s.bounds[e.Number]
	if !bounded {
		return true
	}
	if now.Sub(s.second) >= time.Second {
		s.second = now
		clear(s.used)
	}
	if s.used[e.Number] >= bound {
		s.left[e.Number]++
		s.total[e.Number]++
		return false
	}
	s.used[e.Number]++
	return true
}

// OmittedLines is how many lines of an event were left out.
type OmittedLines struct {
	Number Number
	Count  int64
}

// TakeOmitted returns what was left out since the last TakeOmitted, ascending by number.
func (s *Sampler) TakeOmitted() []OmittedLines {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := listLeft(s.left)
	clear(s.left)
	return out
}

// TotalOmitted returns what was left out since the start, ascending by number.
func (s *Sampler) TotalOmitted() []OmittedLines {
	s.mu.Lock()
	defer s.mu.Unlock()
	return listLeft(s.total)
}

func listLeft(m map[Number]int64) []OmittedLines {
	out := make([]OmittedLines, 0, len(m))
	for n, c := range m {
		out = append(out, OmittedLines{Number: n, Count: c})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
