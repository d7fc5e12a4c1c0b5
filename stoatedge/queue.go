package stoatedge

import "sync"

// eventQueue passes events to one goroutine in order, without ever blocking their senders: the traffic
// goroutine must not wait, and the control goroutine itself sends events while it performs effects. The
// queue's length is bounded by how often events come: a tick each tenth of a second, the end of each call, and
// a parent's messages.
//
// The project's components usually run on an actor library. Linked into this package, it made each start read
// descriptors of protocols that an entry never uses; docs/DESIGN.md has the figures.
type eventQueue struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	events   []any
	closed   bool
}

func newEventQueue() *eventQueue {
	q := &eventQueue{}
	q.notEmpty.L = &q.mu
	return q
}

// post appends an event; after close it does nothing.
func (q *eventQueue) post(ev any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.events = append(q.events, ev)
	q.notEmpty.Signal()
}

// take waits for events and returns all there are, oldest first; none once the queue is closed.
func (q *eventQueue) take() []any {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && !q.closed {
		q.notEmpty.Wait()
	}
	if q.closed {
		return nil
	}
	list := q.events
	q.events = nil
	return list
}

// close ends take. Events that were not taken are discarded.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notEmpty.Broadcast()
}
