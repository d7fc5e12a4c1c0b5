package stoatflow

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// flag is a set of marks on a flow.
type flag uint8

const (
	tracked flag = 1 << iota // its upstream is not what a newcomer would compute
	opening                  // the caller has not answered the upstream yet
	closing                  // the caller sent FIN or RST
	owned                    // counted in this entry's load
	backed                   // its copy in the upstream's data centre was sent
	told                     // known from a record only; no packet came yet
)

// flow is what an entry remembers of one flow: 16 bytes.
type flow struct {
	seen    tick   // last packet
	stuck   tick   // first sight of the repeated segment
	seq     uint32 // last segment with payload, or the opening one
	slot    slotIndex
	flags   flag
	repeats uint8
}

// copied is a tracked flow that another entry owns.
type copied struct {
	slot slotIndex
}

// moved tells which entry claimed a flow that was not known here. Without it, a packet
// that an entry with an older view sends here would be decided by hash a second time,
// perhaps for another upstream.
type moved struct {
	to    netip.AddrPort
	until tick
}

// waiting counts the packets of a flow that only entries beyond a cut may know.
type waiting struct {
	since   tick
	seen    tick
	packets int
}

// shard is a part of the flow table with a lock of its own.
type shard struct {
	mu      sync.Mutex
	flows   map[stoatpaddle.FlowHash]flow
	copies  map[stoatpaddle.FlowHash]copied
	moved   map[stoatpaddle.FlowHash]moved
	waiting map[stoatpaddle.FlowHash]waiting
	opening int
	scanned *stoatview.View // the last view that the flows were compared with
	rnd     *rand.Rand
}

func (sh *shard) init(seed uint64) {
	sh.flows = map[stoatpaddle.FlowHash]flow{}
	sh.copies = map[stoatpaddle.FlowHash]copied{}
	sh.moved = map[stoatpaddle.FlowHash]moved{}
	sh.waiting = map[stoatpaddle.FlowHash]waiting{}
	sh.rnd = newRand(seed)
}

// slotIndex is an upstream's place in the registry.
type slotIndex uint16

// slot counts the flows of one upstream.
type slot struct {
	up      atomic.Pointer[stoatview.Upstream]
	key     stoatpaddle.UpstreamKey
	ref     stoatpaddle.ServiceRef
	use     *usage       // of the customer
	open    atomic.Int64 // flows this entry owns
	remote  atomic.Int64 // flows the other entries reported
	opens   bucket       // new flows
	since   time.Time    // when it was first seen here, for slow start
	warm    bool         // it was there when this entry started, so it needs no slow start
	unheard atomic.Int64 // openings repeated unanswered since the last progress
	callers atomic.Uint64
	ejected atomic.Int64 // tick until which it takes no new flows
}

func (s *slot) load() float64 { return float64(s.open.Load() + s.remote.Load()) }

// registry numbers the upstreams; an index is never used for another upstream.
type registry struct {
	slots []*slot
	byKey map[stoatpaddle.UpstreamKey]slotIndex
	sets  map[*stoatview.UpstreamSet][]*slot // of the present sets, in their order
	named map[SetDigest]*stoatview.UpstreamSet
}

func (r *registry) find(key stoatpaddle.UpstreamKey) (*slot, slotIndex) {
	i, ok := r.byKey[key]
	if !ok {
		return nil, 0
	}
	return r.slots[i], i
}

// syncRegistry adds the view's upstreams; it runs before the first packet of a view.
func (e *Engine) syncRegistry(now time.Time, v *stoatview.View) {
	e.regMu.Lock()
	defer e.regMu.Unlock()
	old := e.reg.Load()
	r := &registry{slots: append([]*slot(nil), old.slots...), byKey: make(map[stoatpaddle.UpstreamKey]slotIndex, len(old.byKey))}
	for k, i := range old.byKey {
		r.byKey[k] = i
	}
	for _, s := range v.Services {
		for _, u := range s.Upstreams() {
			if i, ok := r.byKey[u.Key]; ok {
				r.slots[i].up.Store(u)
				continue
			}
			sl := &slot{key: u.Key, ref: u.Ref, use: e.usage.get(u.Ref.Customer), since: now, warm: len(old.slots) == 0}
			sl.up.Store(u)
			r.byKey[u.Key] = slotIndex(len(r.slots))
			r.slots = append(r.slots, sl)
		}
	}
	r.sets = make(map[*stoatview.UpstreamSet][]*slot, len(v.Services))
	r.named = make(map[SetDigest]*stoatview.UpstreamSet, len(v.Services))
	for _, s := range v.Services {
		r.named[digest(s.Set)] = s.Set
		for _, u := range s.Set.Upstreams {
			r.sets[s.Set] = append(r.sets[s.Set], r.slots[r.byKey[u.Key]])
		}
	}
	e.reg.Store(r)
}

// FlowCounts returns how many flows the engine holds, owned ones and others.
func (e *Engine) FlowCounts() (own, trackedFlows, copies int) {
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		for _, f := range sh.flows {
			if f.flags&owned != 0 && f.flags&closing == 0 {
				own++
				if f.flags&tracked != 0 {
					trackedFlows++
				}
			}
		}
		copies += len(sh.copies)
		sh.mu.Unlock()
	}
	return own, trackedFlows, copies
}

// ClaimCount returns how many flows the engine knows to be another entry's by its claim.
func (e *Engine) ClaimCount() int {
	n := 0
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		n += len(sh.moved)
		sh.mu.Unlock()
	}
	return n
}

// UpstreamLoad is the number of flows that an entry owns on one upstream.
type UpstreamLoad struct {
	Upstream stoatpaddle.UpstreamKey
	Open     uint32
}

// Loads returns the engine's own load on each upstream, in the order they were first seen.
func (e *Engine) Loads() []UpstreamLoad {
	r := e.reg.Load()
	out := make([]UpstreamLoad, 0, len(r.slots))
	for _, s := range r.slots {
		if n := s.open.Load(); n > 0 {
			out = append(out, UpstreamLoad{Upstream: s.key, Open: uint32(n)})
		}
	}
	return out
}
