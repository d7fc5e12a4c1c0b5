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

// Admit tells whether a line of the event may be written now.
func (s *Sampler) Admit(now time.Time, e *Entry) bool {
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

// LeftOut is how many lines of an event were left out.
type LeftOut struct {
	Number Number
	Count  int64
}

// Take returns what was left out since the last Take, ascending by number.
func (s *Sampler) Take() []LeftOut {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := listLeft(s.left)
	clear(s.left)
	return out
}

// Total returns what was left out since the start, ascending by number.
func (s *Sampler) Total() []LeftOut {
	s.mu.Lock()
	defer s.mu.Unlock()
	return listLeft(s.total)
}

func listLeft(m map[Number]int64) []LeftOut {
	out := make([]LeftOut, 0, len(m))
	for n, c := range m {
		out = append(out, LeftOut{Number: n, Count: c})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}
