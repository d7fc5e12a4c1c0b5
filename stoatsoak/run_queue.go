package stoatsoak

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
)

// job is a complete request at an upstream.
type job struct {
	flow             *upstreamFlow
	last             platform.Segment // the packet that completed the request
	id, routeService string
	repeatable       bool
	firstSeq, endSeq uint32
}

const (
	// crowdedWorkTime and maxWaiting let a few callers fill the slots and the queues of a data centre.
	crowdedWorkTime = 100 * time.Millisecond
	maxWaiting      = 2
	// The sizes of answers in sequence numbers. A rejection is much shorter than an answer.
	answerSize    = 1000
	rejectionSize = 100
	notRunAnswer  = "not run"
)

// enqueue runs a request if a slot is free, lets it wait if the queue has room, and rejects it otherwise. Only in
// a run with crowds are slots limited; in the others, the kept plans rely on requests that run at once.
func (u *upstream) enqueue(j *job) {
	switch {
	case !u.h.crowds || u.busySlots < upstreamSlots:
		u.startJob(j)
	case len(u.waiting) < maxWaiting:
		u.waiting = append(u.waiting, j)
	default:
		u.finishRequest(j, rejectionSize, notRunAnswer)
	}
}

func (u *upstream) startJob(j *job) {
	u.busySlots++
	u.h.check.requestRan(u.h.now(), j.id, u.service, j.routeService, j.repeatable)
	duration := workTime
	switch {
	case u.h.slowdowns.Load() > 0:
		duration = slowWorkTime
	case u.h.crowds:
		duration = crowdedWorkTime
	}
	u.h.after(duration, func() { u.endJob(j) })
}

// endJob answers a request after its work time and starts the next one.
func (u *upstream) endJob(j *job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busySlots--
	u.finishRequest(j, answerSize, u.id)
	if len(u.waiting) > 0 && !u.dead.Load() {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.startJob(next)
	}
}
