package stoatflow

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	scanAtOnce = 8 // shards compared with a new view in one Advance
	// sendEvery is how long records wait for company: a flow whose owner dies before its
	// copy left may break.
	sendEvery = 200 * time.Millisecond

	openingIdle = 10 * time.Second
	closingIdle = 2 * time.Second
	// tcpIdle is long, because a feed may be quiet for hours; it bounds the flows whose
	// callers vanished without a word.
	tcpIdle = 8 * time.Hour
	udpIdle = 5 * time.Minute
)

// Prepare makes the engine ready for packets under the view; call it before the view is published.
func (e *Engine) Prepare(now time.Time, v *stoatview.View) {
	e.syncRegistry(now, v)
	e.forgetReports(v)
	e.out.keep(v)
}

// Advance does the periodic work and returns what to send; call it from one goroutine
// about every 100 ms. What is for an entry without a connection waits.
func (e *Engine) Advance(now time.Time, v *stoatview.View, connected func(stoatpaddle.InstanceID) bool) []Batch {
	scanned := 0
	for i := range e.shards {
		if scanned == scanAtOnce {
			break
		}
		if e.shards[i].scanned != v {
			e.scan(now, v, &e.shards[i])
			scanned++
		}
	}
	e.resync(v)
	e.sweepShard(now, v, &e.shards[e.sweep%shardCount])
	e.sweep++
	if now.Sub(e.sent) < sendEvery {
		return nil
	}
	e.sent = now
	e.reportLoads(now, v)
	out := e.out.flush(now, e.cfg.ControlBudget, connected)
	for i := range out {
		e.stats.Bytes.Add(int64(out[i].Size()))
	}
	return out
}

// Drained tells whether nothing is left to scan or send, so that a leaving entry may go.
func (e *Engine) Drained(v *stoatview.View) bool {
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		done := sh.scanned == v
		sh.mu.Unlock()
		if !done {
			return false
		}
	}
	return e.out.sent()
}

// HandoverTime estimates how long the budget takes to hand over every tracked flow.
func (e *Engine) HandoverTime() time.Duration {
	_, trackedFlows, _ := e.FlowCounts()
	bytes := e.out.pending() + trackedFlows*RecordSize
	return time.Duration(bytes) * time.Second / time.Duration(e.cfg.ControlBudget)
}

// sweepShard removes flows that ended or went idle, and what only mattered while views differed.
func (e *Engine) sweepShard(now time.Time, v *stoatview.View, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t := e.tick(now)
	settled := now.Sub(v.ChangedAt) > e.cfg.Settle
	r := e.reg.Load()
	var late []stoatpaddle.FlowHash
	for k, f := range sh.flows {
		if t-f.seen > idleOf(f, v, r.slots[f.slot]) {
			e.forget(v, sh, k, f)
			continue
		}
		if f.flags&(tracked|owned|backed) == tracked|owned {
			late = append(late, k)
		}
		if settled && f.flags&owned == 0 && f.flags&closing == 0 {
			// Its owner knows it by now, if it is tracked, or computes it.
			if f.flags&opening != 0 {
				sh.opening--
			}
			delete(sh.flows, k)
		}
	}
	slices.Sort(late)
	for _, k := range late {
		e.backUp(v, sh, k)
	}
	for k, m := range sh.moved {
		if t >= m.until {
			delete(sh.moved, k)
		}
	}
	for k, w := range sh.waiting {
		if t-w.seen >= ticks(openingIdle) {
			delete(sh.waiting, k)
		}
	}
	if settled {
		e.sweepCopies(v, sh)
	}
}

func idleOf(f flow, v *stoatview.View, sl *slot) tick {
	switch {
	case f.flags&closing != 0:
		return ticks(closingIdle)
	case f.flags&opening != 0:
		return ticks(openingIdle)
	}
	if s := v.Service(sl.ref); s != nil && s.Protocol != tcp {
		return ticks(udpIdle)
	}
	return ticks(tcpIdle)
}

// sweepCopies removes the copies of which this entry is not a holder any more.
func (e *Engine) sweepCopies(v *stoatview.View, sh *shard) {
	r := e.reg.Load()
	for k, c := range sh.copies {
		sl := r.slots[c.slot]
		s := v.Service(sl.ref)
		if s == nil || !holds(v, s, k, sl) {
			delete(sh.copies, k)
		}
	}
}

// holds tells whether this entry keeps the copy of a flow on that upstream.
func holds(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) bool {
	owner, next := v.OwnerAndNext(s, k)
	if owner != nil && owner.ID == v.Self || next != nil && next.ID == v.Self {
		return true
	}
	m := v.Entries.Owner(k, sl.up.Load().DataCentre)
	return m != nil && m.ID == v.Self
}
