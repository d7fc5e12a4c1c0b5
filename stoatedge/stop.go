package stoatedge

import (
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

const (
	// stopLeast is how long the fabric needs to see that an entry is not ready: two checks
	// at half a second, and a little.
	stopLeast = 1500 * time.Millisecond
	// stopQuiet is how long no packet must have come: a caller repeats after 200 ms.
	stopQuiet = 400 * time.Millisecond
	// stopMargin is left of the deadline: whoever is late is killed.
	stopMargin = time.Second
)

// stopState is the planned stop: what came meanwhile decides when it is complete.
type stopState struct {
	mu       sync.Mutex
	since    time.Time
	deadline time.Duration
	last     time.Time // last packet
}

func (s *stopState) begin(now time.Time, deadline time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() {
		return false
	}
	s.since, s.deadline = now, deadline
	return true
}

func (s *stopState) asked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.since.IsZero()
}

func (s *stopState) packet(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
}

// done tells whether the entry may end, and for how long no packet had come.
func (s *stopState) done(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0, false
	}
	quiet := now.Sub(s.last)
	spent := now.Sub(s.since)
	return quiet, spent >= stopLeast && quiet >= stopQuiet || spent >= s.deadline-stopMargin
}

// Stop begins the planned stop; Wait returns when it is complete.
func (e *Edge) Stop() {
	now := clock() // house: the signal comes now
	deadline := e.settings().StopDeadline
	if e.stop.begin(now, deadline) {
		// Children look for another parent while this one still serves.
		e.place.bell.ring()
		e.log.emit(now, EventStopping, stoatevent.F("deadline", deadline.String()))
	}
}
