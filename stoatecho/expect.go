package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

const (
	// openingTimeout and answerExpected are how long a flow may owe a packet before it
	// stops counting. A caller that still waited would have repeated itself, after 200 ms:
	// so the fabric gives its packets to another entry now. Without this bound, the flows of
	// half a data centre count as load here for seconds each time an entry joins or leaves,
	// and new flows flee to other data centres.
	openingTimeout = 300 * time.Millisecond
	requestTimeout = time.Second
)

// timeoutEntry is a packet that a flow owes since a time.
type timeoutEntry struct {
	tuple stoatpacket.Tuple
	since time.Time
}

// timeoutQueue are what flows owe, oldest first.
type timeoutQueue struct {
	list []timeoutEntry
	head int
}

func (x *timeoutQueue) add(t stoatpacket.Tuple, since time.Time) {
	x.list = append(x.list, timeoutEntry{tuple: t, since: since})
}

// due takes out the oldest expectation if it is older than bound.
func (x *timeoutQueue) due(now time.Time, timeout time.Duration) (timeoutEntry, bool) {
	if x.head == len(x.list) {
		x.list, x.head = x.list[:0], 0
		return timeoutEntry{}, false
	}
	e := x.list[x.head]
	if now.Sub(e.since) < timeout {
		return timeoutEntry{}, false
	}
	x.head++
	if x.head >= compactAt && 2*x.head >= len(x.list) {
		x.list = append(x.list[:0], x.list[x.head:]...)
		x.head = 0
	}
	return e, true
}

// compactAt is how many taken expectations may stand before the list is moved up.
const compactAt = 256

// startRequestTimeout expects an answer on the flow. A flow stands in the list once, however many
// requests it carries: an entry for each would be put back for as long as the flow is busy.
func (e *Engine) startRequestTimeout(now time.Time, t stoatpacket.Tuple, f *flow) {
	if !f.hasRequestTimeout {
		f.hasRequestTimeout = true
		e.requestTimeouts.add(t, now)
	}
}

// expire stops counting what flows owe for too long.
func (e *Engine) expire(now time.Time) {
	e.checkOpenings(now)
	for {
		x, due := e.openingTimeouts.due(now, openingTimeout)
		if !due {
			break
		}
		if f := e.flows[x.tuple]; f != nil && f.opening && f.lastSeen.Equal(x.since) {
			e.health[f.key].openingExpired(now, f.lastSeen)
			e.forget(x.tuple)
		}
	}
	e.countFailures(now)
	for {
		x, due := e.requestTimeouts.due(now, requestTimeout)
		if !due {
			return
		}
		f := e.flows[x.tuple]
		if f == nil {
			continue
		}
		f.hasRequestTimeout = false
		if f.requestStart.IsZero() {
			continue
		}
		if quiet := now.Sub(f.lastSeen); quiet < requestTimeout {
			// It goes on, as an upload or with repeats: look again a while after its last packet.
			e.startRequestTimeout(now, x.tuple, f)
			continue
		}
		e.health[f.key].requestEnded()
		f.requestStart = time.Time{}
	}
}

// startFailureTimeout expects an answer soon enough not to count as a failure; a flow stands in the list once.
func (e *Engine) startFailureTimeout(now time.Time, t stoatpacket.Tuple, f *flow) {
	if !f.hasFailureTimeout {
		f.hasFailureTimeout = true
		e.failureTimeouts.add(t, now)
	}
}

// countFailures counts requests that owe their answer for too long. One whose flow sends on,
// such as an upload, is not asked yet.
func (e *Engine) countFailures(now time.Time) {
	for {
		x, due := e.failureTimeouts.due(now, failureTimeout)
		if !due {
			return
		}
		f := e.flows[x.tuple]
		if f == nil {
			continue
		}
		f.hasFailureTimeout = false
		switch {
		case f.requestStart.IsZero():
		case now.Sub(f.lastProgress) < failureTimeout || e.behind(now):
			e.startFailureTimeout(now, x.tuple, f)
		default:
			e.health[f.key].window.add(now, stoatoutlier.Counts{Failed: 1})
		}
	}
}
