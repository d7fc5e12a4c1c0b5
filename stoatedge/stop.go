package stoatedge

import (
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

const (
	// minStopTime is how long the fabric needs to see that an entry is not ready: two checks, half a second
	// apart, and a margin.
	minStopTime = 1500 * time.Millisecond
	// minQuietTime is how long an entry waits after the last packet: a caller repeats a packet after 200 ms.
	minQuietTime = 400 * time.Millisecond
	// deadlineMargin is left before the deadline, at which the process would be killed.
	deadlineMargin = time.Second
)

// stopState is the state of a planned stop. The packets that still come decide when it is complete.
type stopState struct {
	mu         sync.Mutex
	startedAt  time.Time
	deadline   time.Duration
	lastPacket time.Time
}

func (s *stopState) begin(now time.Time, deadline time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.startedAt.IsZero() {
		return false
	}
	s.startedAt, s.deadline = now, deadline
	return true
}

func (s *stopState) requested() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.startedAt.IsZero()
}

func (s *stopState) notePacket(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPacket = now
}

// complete returns for how long no packet has come, and whether the entry may exit.
func (s *stopState) complete(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		return 0, false
	}
	quiet := now.Sub(s.lastPacket)
	elapsed := now.Sub(s.startedAt)
	return quiet, elapsed >= minStopTime && quiet >= minQuietTime || elapsed >= s.deadline-deadlineMargin
}

// Stop begins the planned stop; Wait returns when it is complete.
func (e *Edge) Stop() {
	now := clock() // house: the signal comes now
	deadline := e.settings().StopDeadline
	if e.stop.begin(now, deadline) {
		// Children look for another parent while this entry still serves.
		e.relay.notifier.notify()
		e.log.emit(now, EventStopping, stoatevent.F("deadline", deadline.String()))
	}
}
