package stoatmeasure

import (
	"container/heap"
	"time"
)

// queue is a discrete-event queue in virtual time. It calls functions in the order of their times, and those
// of the same time in the order in which they were added.
type queue struct {
	now     time.Duration
	lastSeq uint64
	pending events
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) {
	e, _ := x.(event)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules a call at the given delay from now.
func (q *queue) after(d time.Duration, do func()) {
	q.lastSeq++
	heap.Push(&q.pending, event{at: q.now + d, seq: q.lastSeq, do: do})
}

// runUntil makes all calls that are due up to a time, and sets the clock to it.
func (q *queue) runUntil(until time.Duration) {
	for len(q.pending) > 0 && q.pending[0].at <= until {
		e, _ := heap.Pop(&q.pending).(event)
		q.now = e.at
		e.do()
	}
	q.now = until
}
