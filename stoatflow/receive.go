package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Receive applies a batch from another entry.
func (e *Engine) Receive(now time.Time, v *stoatview.View, from stoatpaddle.InstanceID, b Batch) {
	r := e.reg.Load()
	for _, rec := range b.Moves {
		e.receiveMove(now, v, r, rec)
	}
	for _, rec := range b.Copies {
		if sl, i := r.find(rec.Upstream); sl != nil {
			sh := e.shard(rec.Key)
			sh.mu.Lock()
			sh.copies[rec.Key] = flowCopy{slot: i}
			sh.mu.Unlock()
		}
	}
	for _, k := range b.Drops {
		sh := e.shard(k)
		sh.mu.Lock()
		delete(sh.copies, k)
		sh.mu.Unlock()
	}
	for _, l := range b.Loads {
		e.receiveLoad(r, from, l)
	}
}

// ReceiveNotice applies a KindNotice datagram, which gives the upstream of a flow that this entry owns.
func (e *Engine) ReceiveNotice(now time.Time, v *stoatview.View, r Record) {
	e.receiveMove(now, v, e.reg.Load(), r)
}

// receiveMove adds to the table a flow that another entry handed over.
func (e *Engine) receiveMove(now time.Time, v *stoatview.View, r *registry, rec Record) {
	sl, i := r.find(rec.Upstream)
	if sl == nil {
		return
	}
	s := v.Service(sl.ref)
	if s == nil {
		return
	}
	sh := e.shard(rec.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.copies, rec.Key)
	e.insertFromRecord(now, v, s, sh, rec.Key, sl, i)
}

// receivedReports holds the last report of each entry on each set, so that a new report replaces it.
type receivedReports map[stoatpaddle.InstanceID]map[SetDigest]LoadReport

// receiveLoad replaces the entry's earlier report on the set.
func (e *Engine) receiveLoad(r *registry, from stoatpaddle.InstanceID, l LoadReport) {
	e.regMu.Lock()
	defer e.regMu.Unlock()
	// A report on a set that is not current is of no use.
	set := r.setByDigest[l.Set]
	if set == nil || len(set.Upstreams) != len(l.Open) {
		return
	}
	if e.reports == nil {
		e.reports = receivedReports{}
	}
	if e.reports[from] == nil {
		e.reports[from] = map[SetDigest]LoadReport{}
	}
	if old, had := e.reports[from][l.Set]; had {
		r.addRemote(old, -1)
	}
	r.addRemote(l, 1)
	e.reports[from][l.Set] = l
}

// addRemote adds a report to the remote load on each upstream; with a sign of -1 it subtracts it.
func (r *registry) addRemote(l LoadReport, sign int64) {
	for i, sl := range r.slotsBySet[r.setByDigest[l.Set]] {
		sl.remote.Add(sign * int64(l.Open[i]))
	}
}

// pruneReports drops the reports of entries that left and those on sets that changed, and recomputes the
// remote loads. The flows of an entry that left are counted by the entries that own them now.
func (e *Engine) pruneReports(v *stoatview.View) {
	e.regMu.Lock()
	defer e.regMu.Unlock()
	r := e.reg.Load()
	for _, sl := range r.slots {
		sl.remote.Store(0)
	}
	for from, bySet := range e.reports {
		if v.Entries.Find(from) == nil {
			delete(e.reports, from)
			continue
		}
		for d, l := range bySet {
			if r.setByDigest[d] == nil {
				delete(bySet, d)
				continue
			}
			r.addRemote(l, 1)
		}
	}
}
