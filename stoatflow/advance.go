package stoatflow

import (
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

const (
	shardsPerAdvance = 8 // shards that one Advance compares with a new view
	// flushInterval is how long records wait to be sent in one batch. A flow breaks if its owner dies
	// before its copy was sent.
	flushInterval = 200 * time.Millisecond

	openingIdleTimeout = 10 * time.Second
	closingIdleTimeout = 2 * time.Second
	// tcpIdleTimeout is long because a data feed may be idle for hours. It limits the number of flows whose
	// callers vanished without closing them.
	tcpIdleTimeout = 8 * time.Hour
	udpIdleTimeout = 5 * time.Minute
)

// Prepare makes the engine ready for packets under the view. It must be called before the view is
// published.
func (e *Engine) Prepare(now time.Time, v *stoatview.View) {
	e.syncRegistry(now, v)
	e.pruneReports(v)
	e.outbox.discardUnreachable(v)
}

// Advance does the periodic work and returns the batches to send. It must be called from one goroutine
// about every 100 ms. Records for an entry without a connection remain queued.
func (e *Engine) Advance(now time.Time, v *stoatview.View, connected func(stoatpaddle.InstanceID) bool) []Batch {
	scanned := 0
	for i := range e.shards {
		if scanned == shardsPerAdvance {
			break
		}
		if e.shards[i].scannedView != v {
			e.scanShard(now, v, &e.shards[i])
			scanned++
		}
	}
	e.resync(v)
	e.sweepShard(now, v, &e.shards[e.nextSweep%shardCount])
	e.nextSweep++
	if now.Sub(e.lastFlush) < flushInterval {
		return nil
	}
	e.lastFlush = now
	e.reportLoads(now, v)
	out := e.outbox.flush(now, e.cfg.ControlBudget, connected)
	for i := range out {
		e.stats.Bytes.Add(int64(out[i].Size()))
	}
	return out
}

// Drained reports whether nothing is left to scan or send, so that a leaving entry may stop.
func (e *Engine) Drained(v *stoatview.View) bool {
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		done := sh.scannedView == v
		sh.mu.Unlock()
		if !done {
			return false
		}
	}
	return e.outbox.drained()
}

// HandoverTime estimates how long it takes to hand over every tracked flow within the byte budget.
func (e *Engine) HandoverTime() time.Duration {
	_, trackedFlows, _ := e.FlowCounts()
	bytes := e.outbox.pendingBytes() + trackedFlows*RecordSize
	return time.Duration(bytes) * time.Second / time.Duration(e.cfg.ControlBudget)
}

// sweepShard removes flows that ended or are idle, expired claims, and, once the view is settled, the flows
// and copies that this entry does not need to keep any more.
func (e *Engine) sweepShard(now time.Time, v *stoatview.View, sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	t := e.tick(now)
	settled := now.Sub(v.ChangedAt) > e.cfg.Settle
	r := e.reg.Load()
	var unbacked []stoatpaddle.FlowHash
	for k, f := range sh.flows {
		if t-f.lastSeen > idleTimeout(f, v, r.slots[f.slot]) {
			e.removeFlow(v, sh, k, f)
			continue
		}
		if f.flags&(tracked|owned|backedUp) == tracked|owned {
			unbacked = append(unbacked, k)
		}
		if settled && f.flags&owned == 0 && f.flags&closing == 0 {
			// Its owner knows the flow by now if it is tracked, and otherwise computes its upstream.
			if f.flags&opening != 0 {
				sh.openingCount--
			}
			delete(sh.flows, k)
		}
	}
	slices.Sort(unbacked)
	for _, k := range unbacked {
		e.enqueueBackup(v, sh, k)
	}
	for k, c := range sh.claims {
		if t >= c.expires {
			delete(sh.claims, k)
		}
	}
	for k, d := range sh.deferred {
		if t-d.lastSeen >= ticks(openingIdleTimeout) {
			delete(sh.deferred, k)
		}
	}
	if settled {
		e.sweepCopies(v, sh)
	}
}

// idleTimeout returns after how long without a packet the flow is removed.
func idleTimeout(f flow, v *stoatview.View, sl *slot) tick {
	switch {
	case f.flags&closing != 0:
		return ticks(closingIdleTimeout)
	case f.flags&opening != 0:
		return ticks(openingIdleTimeout)
	}
	if s := v.Service(sl.ref); s != nil && s.Protocol != tcp {
		return ticks(udpIdleTimeout)
	}
	return ticks(tcpIdleTimeout)
}

// sweepCopies removes the copies that this entry does not need to hold any more.
func (e *Engine) sweepCopies(v *stoatview.View, sh *shard) {
	r := e.reg.Load()
	for k, c := range sh.copies {
		sl := r.slots[c.slot]
		s := v.Service(sl.ref)
		if s == nil || !holdsCopy(v, s, k, sl) {
			delete(sh.copies, k)
		}
	}
}

// holdsCopy reports whether this entry is one of those that keep a copy of the flow.
func holdsCopy(v *stoatview.View, s *stoatview.Service, k stoatpaddle.FlowHash, sl *slot) bool {
	owner, next := v.OwnerAndNext(s, k)
	if owner != nil && owner.ID == v.Self || next != nil && next.ID == v.Self {
		return true
	}
	m := v.Entries.Owner(k, sl.upstream.Load().DataCentre)
	return m != nil && m.ID == v.Self
}
