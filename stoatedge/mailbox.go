package stoatedge

import "sync"

// mailbox hands events to one goroutine in the order in which they came, without ever blocking
// those that post them: the traffic goroutine must not wait, and the control goroutine itself
// posts while it performs effects. What waits is bounded by who posts: a tick each tenth of a
// second, the end of each call, a parent's messages.
//
// The house hosts parts on an actor library. Linked here, it made each start read descriptors
// of protocols that an entry never speaks; docs/DESIGN.md has the figures.
type mailbox struct {
	mu     sync.Mutex
	more   sync.Cond
	events []any
	closed bool
}

func newMailbox() *mailbox {
	m := &mailbox{}
	m.more.L = &m.mu
	return m
}

// post appends an event; after close it does nothing.
func (m *mailbox) post(ev any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.events = append(m.events, ev)
	m.more.Signal()
}

// take waits for events and returns all there are, oldest first; none once it is closed.
func (m *mailbox) take() []any {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.events) == 0 && !m.closed {
		m.more.Wait()
	}
	if m.closed {
		return nil
	}
	list := m.events
	m.events = nil
	return list
}

// close ends take; what was not taken is not needed any more.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.more.Broadcast()
}
