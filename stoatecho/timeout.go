package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

const (
	// openingTimeout and requestTimeout are how long an opening or a request without an answer counts as
	// pending. A caller that still waited would have retransmitted it after 200 ms, so its packets now reach
	// another entry. Without this bound, the flows of half a data centre would count as load here for seconds
	// each time an entry joins or leaves, and new flows would go to other data centres.
	openingTimeout = 300 * time.Millisecond
	requestTimeout = time.Second
)

// timeoutItem is a packet of a flow that has been unanswered since the given time.
type timeoutItem struct {
	tuple stoatpacket.Tuple
	since time.Time
}

// timeoutQueue is a FIFO queue of unanswered packets.
type timeoutQueue struct {
	list []timeoutItem
	head int
}

func (x *timeoutQueue) add(t stoatpacket.Tuple, since time.Time) {
	x.list = append(x.list, timeoutItem{tuple: t, since: since})
}

// due removes and returns the oldest item if it has reached the timeout.
func (x *timeoutQueue) due(now time.Time, timeout time.Duration) (timeoutItem, bool) {
	if x.head == len(x.list) {
		x.list, x.head = x.list[:0], 0
		return timeoutItem{}, false
	}
	item := x.list[x.head]
	if now.Sub(item.since) < timeout {
		return timeoutItem{}, false
	}
	x.head++
	if x.head >= compactAt && 2*x.head >= len(x.list) {
		x.list = append(x.list[:0], x.list[x.head:]...)
		x.head = 0
	}
	return item, true
}

// compactAt is the number of removed items from which the list is compacted.
const compactAt = 256

// startRequestTimeout queues a pending request. A flow is in the queue at most once, whatever the number of its
// requests: an item for each of them would be queued again for as long as the flow is busy.
func (e *Engine) startRequestTimeout(now time.Time, t stoatpacket.Tuple, f *flow) {
	if !f.hasRequestTimeout {
		f.hasRequestTimeout = true
		e.requestTimeouts.add(t, now)
	}
}

// expire handles the openings and requests that have reached a timeout.
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
			// The flow still sends, as with an upload or retransmissions: check again some time after its last
			// packet.
			e.startRequestTimeout(now, x.tuple, f)
			continue
		}
		e.health[f.key].requestEnded()
		f.requestStart = time.Time{}
	}
}

// startFailureTimeout queues a pending request that counts as failed if it is not answered in time. A flow is
// in the queue at most once.
func (e *Engine) startFailureTimeout(now time.Time, t stoatpacket.Tuple, f *flow) {
	if !f.hasFailureTimeout {
		f.hasFailureTimeout = true
		e.failureTimeouts.add(t, now)
	}
}

// countFailures counts the requests that have been pending for too long as failed. A request whose caller still
// sends new data, such as an upload, is not complete yet.
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
