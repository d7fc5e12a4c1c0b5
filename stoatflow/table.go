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
	tracked    flag = 1 << iota // its upstream is not what a newcomer would compute
	opening                     // the caller has not answered the upstream yet
	closing                     // the caller sent FIN or RST
	owned                       // counted in this entry's load
	backedUp                    // its copy in the upstream's data centre was sent
	recordOnly                  // known from a record only; no packet came yet
)

// flow is what an entry remembers of one flow: 16 bytes.
type flow struct {
	lastSeen   tick   // last packet
	stuckSince tick   // first sight of the repeated segment
	seq        uint32 // last segment with payload, or the opening one
	slot       slotIndex
	flags      flag
	repeats    uint8
}

// flowCopy is a tracked flow that another entry owns.
type flowCopy struct {
	slot slotIndex
}

// claim tells which entry claimed a flow that was not known here. Without it, a packet
// that an entry with an older view sends here would be decided by hash a second time,
// perhaps for another upstream.
type claim struct {
	to      netip.AddrPort
	expires tick
}

// deferredFlow counts the packets of a flow that only entries beyond a cut may know.
type deferredFlow struct {
	firstSeen tick
	seen      tick
	packets   int
}

// shard is a part of the flow table with a lock of its own.
type shard struct {
	mu           sync.Mutex
	flows        map[stoatpaddle.FlowHash]flow
	copies       map[stoatpaddle.FlowHash]flowCopy
	claims       map[stoatpaddle.FlowHash]claim
	deferred     map[stoatpaddle.FlowHash]deferredFlow
	openingCount int
	scannedView  *stoatview.View // the last view that the flows were compared with
	rnd          *rand.Rand
}

func (sh *shard) init(seed uint64) {
	sh.flows = map[stoatpaddle.FlowHash]flow{}
	sh.copies = map[stoatpaddle.FlowHash]flowCopy{}
	sh.claims = map[stoatpaddle.FlowHash]claim{}
	sh.deferred = map[stoatpaddle.FlowHash]deferredFlow{}
	sh.rnd = newRand(seed)
}

// slotIndex is an upstream's place in the registry.
type slotIndex uint16

// slot counts the flows of one upstream.
type slot struct {
	upstream     atomic.Pointer[stoatview.Upstream]
	key          stoatpaddle.UpstreamKey
	ref          stoatpaddle.ServiceRef
	usage        *usage       // of the customer
	open         atomic.Int64 // flows this entry owns
	remote       atomic.Int64 // flows the other entries reported
	openRate     bucket       // new flows
	firstSeen    time.Time    // when it was first seen here, for slow start
	warm         bool         // it was there when this entry started, so it needs no slow start
	unanswered   atomic.Int64 // openings repeated unanswered since the last progress
	callers      atomic.Uint64
	ejectedUntil atomic.Int64 // tick until which it takes no new flows
}

func (s *slot) load() float64 { return float64(s.open.Load() + s.remote.Load()) }

// registry numbers the upstreams; an index is never used for another upstream.
type registry struct {
	slots       []*slot
	byKey       map[stoatpaddle.UpstreamKey]slotIndex
	slotsBySet  map[*stoatview.Set][]*slot // of the present sets, in their order
	setByDigest map[SetDigest]*stoatview.Set
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
				r.slots[i].upstream.Store(u)
				continue
			}
			sl := &slot{key: u.Key, ref: u.Ref, usage: e.usage.get(u.Ref.Customer), firstSeen: now, warm: len(old.slots) == 0}
			sl.upstream.Store(u)
			r.byKey[u.Key] = slotIndex(len(r.slots))
			r.slots = append(r.slots, sl)
		}
	}
	r.slotsBySet = make(map[*stoatview.Set][]*slot, len(v.Services))
	r.setByDigest = make(map[SetDigest]*stoatview.Set, len(v.Services))
	for _, s := range v.Services {
		r.setByDigest[digest(s.Set)] = s.Set
		for _, u := range s.Set.Upstreams {
			r.slotsBySet[s.Set] = append(r.slotsBySet[s.Set], r.slots[r.byKey[u.Key]])
		}
	}
	e.reg.Store(r)
}

// Flows returns how many flows the engine holds, owned ones and others.
func (e *Engine) Flows() (own, trackedFlows, copies int) {
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

// Claims returns how many flows the engine knows to be another entry's by its claim.
func (e *Engine) Claims() int {
	n := 0
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		n += len(sh.claims)
		sh.mu.Unlock()
	}
	return n
}

// Load is the number of flows that an entry owns on one upstream.
type Load struct {
	Upstream stoatpaddle.UpstreamKey
	Open     uint32
}

// Loads returns the engine's own load on each upstream, in the order they were first seen.
func (e *Engine) Loads() []Load {
	r := e.reg.Load()
	out := make([]Load, 0, len(r.slots))
	for _, s := range r.slots {
		if n := s.open.Load(); n > 0 {
			out = append(out, Load{Upstream: s.key, Open: uint32(n)})
		}
	}
	return out
}
