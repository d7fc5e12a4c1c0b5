package stoatmeasure

import "time"

// slowFactor is how much longer a slow upstream takes for a request.
const slowFactor = 2.0

// overloadServer is an upstream. One that hangs leaves a share of its requests without an answer.
type overloadServer struct {
	hangs, slow bool
	running     int
	outstanding int // requests that run, wait or are being rejected
	queue       []func()
}

// response is how an upstream ends a request.
type response uint8

const (
	answered response = iota
	rejected          // not run
	reset             // the connection was reset
	unanswered
)

// releaseSlot frees a slot and starts the next request of the queue.
func (m *overloadModel) releaseSlot(s *overloadServer) {
	s.running--
	s.outstanding--
	m.idleSlots.noteBusy(m.q.now, -1)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// serve runs a request, now or from the queue, or rejects it, or resets its connection.
func (m *overloadModel) serve(s *overloadServer, done func(response)) {
	if m.cfg.MaxOutstanding > 0 && s.outstanding >= m.cfg.MaxOutstanding {
		m.q.after(overloadRTT, func() { done(reset) })
		return
	}
	s.outstanding++
	begin := func() { m.begin(s, done) }
	switch {
	case s.running < m.cfg.slots():
		begin()
	case len(s.queue) < m.cfg.queue():
		s.queue = append(s.queue, begin)
	default:
		m.q.after(overloadRTT, func() {
			s.outstanding--
			done(rejected)
		})
	}
}

// begin runs a request in a free slot.
func (m *overloadModel) begin(s *overloadServer, done func(response)) {
	s.running++
	m.idleSlots.noteBusy(m.q.now, 1)
	if s.hangs && m.rnd.Float64() < hangShare {
		// The request gets no answer; its slot is free when the caller gives up.
		m.q.after(longDeadline, func() {
			m.releaseSlot(s)
			done(unanswered)
		})
		return
	}
	took := float64(overloadServiceTime) * (0.5 + m.rnd.Float64())
	if s.slow {
		took *= slowFactor
	}
	m.q.after(time.Duration(took), func() {
		m.releaseSlot(s)
		done(answered)
	})
}
