package stoatflow

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Receive takes in what another entry told about flows.
func (e *Engine) Receive(now time.Time, v *stoatview.View, from stoatpaddle.InstanceID, b Batch) {
	r := e.reg.Load()
	for _, rec := range b.Moves {
		e.receiveMove(now, v, r, rec)
	}
	for _, rec := range b.Copies {
		if sl, i := r.find(rec.Upstream); sl != nil {
			sh := e.shard(rec.Key)
			sh.mu.Lock()
			sh.copies[rec.Key] = copied{slot: i}
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

// ReceiveNotice takes in where a flow goes that this entry asked about.
func (e *Engine) ReceiveNotice(now time.Time, v *stoatview.View, r Record) {
	e.receiveMove(now, v, e.reg.Load(), r)
}

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
	e.own(now, v, s, sh, rec.Key, sl, i)
}

// reports remembers what each entry last reported, so that a new report replaces it.
type reports map[stoatpaddle.InstanceID]map[SetDigest]LoadReport

func (e *Engine) receiveLoad(r *registry, from stoatpaddle.InstanceID, l LoadReport) {
	e.regMu.Lock()
	defer e.regMu.Unlock()
	// A report about another set than the present one is of no use.
	set := r.named[l.Set]
	if set == nil || len(set.Upstreams) != len(l.Open) {
		return
	}
	if e.reports == nil {
		e.reports = reports{}
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

// addRemote adds a report to what other entries hold on each upstream, or takes it away.
func (r *registry) addRemote(l LoadReport, sign int64) {
	for i, sl := range r.sets[r.named[l.Set]] {
		sl.remote.Add(sign * int64(l.Open[i]))
	}
}

// forgetReports drops the reports of entries that left and of sets that changed: their
// flows are counted by the entries that own them now.
func (e *Engine) forgetReports(v *stoatview.View) {
	e.regMu.Lock()
	defer e.regMu.Unlock()
	r := e.reg.Load()
	for _, sl := range r.slots {
		sl.remote.Store(0)
	}
	for from, byset := range e.reports {
		if v.Entries.Find(from) == nil {
			delete(e.reports, from)
			continue
		}
		for d, l := range byset {
			if r.named[d] == nil {
				delete(byset, d)
				continue
			}
			r.addRemote(l, 1)
		}
	}
}
