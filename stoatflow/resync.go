package stoatflow

import (
	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// peerSync is the progress of sending one peer every record that it should hold.
type peerSync struct {
	peer      stoatpaddle.InstanceID
	nextShard int
}

// Resync starts to send a peer every record that it should hold. Records are not acknowledged one by one;
// those that a broken connection lost are sent again over the next one.
func (e *Engine) Resync(peer stoatpaddle.InstanceID) {
	e.outbox.discard(peer)
	e.regMu.Lock()
	defer e.regMu.Unlock()
	for i := range e.resyncs {
		if e.resyncs[i].peer == peer {
			e.resyncs[i].nextShard = 0
			return
		}
	}
	e.resyncs = append(e.resyncs, peerSync{peer: peer})
}

// resync processes a few shards for each peer with a resync in progress.
func (e *Engine) resync(v *stoatview.View) {
	e.regMu.Lock()
	syncs := append([]peerSync(nil), e.resyncs...)
	remaining := e.resyncs[:0]
	for _, s := range e.resyncs {
		if s.nextShard += shardsPerAdvance; s.nextShard < shardCount {
			remaining = append(remaining, s)
		}
	}
	e.resyncs = remaining
	e.regMu.Unlock()
	for _, s := range syncs {
		for i := s.nextShard; i < min(s.nextShard+shardsPerAdvance, shardCount); i++ {
			e.resyncShard(v, &e.shards[i], s.peer)
		}
	}
}

// resyncShard queues the records of the tracked flows in the shard that the peer should hold.
func (e *Engine) resyncShard(v *stoatview.View, sh *shard, peer stoatpaddle.InstanceID) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r := e.reg.Load()
	for _, k := range sortedKeys(sh.flows) {
		f := sh.flows[k]
		if f.flags&closing != 0 {
			continue
		}
		sl := r.slots[f.slot]
		s := v.Service(sl.ref)
		if s == nil {
			continue
		}
		if pl := placementOf(v, s, k, sl); pl.tracked {
			e.resend(v, pl, k, sl, peer)
		}
	}
}

// resend queues the record of a flow if the peer is its owner or should hold a copy.
func (e *Engine) resend(v *stoatview.View, pl placement, k stoatpaddle.FlowHash, sl *slot, peer stoatpaddle.InstanceID) {
	r := Record{Key: k, Upstream: sl.key}
	isPeer := func(m *stoatview.Member) bool { return m != nil && m.ID == peer }
	switch {
	case !pl.owns(v.Self):
		if isPeer(pl.owner) {
			e.outbox.enqueueMove(peer, r)
		}
	case isPeer(pl.next) || isPeer(pl.local):
		e.outbox.enqueueCopy(peer, r)
	}
}
