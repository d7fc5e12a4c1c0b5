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

// flag is a bit set of the properties of a flow.
type flag uint8

const (
	tracked    flag = 1 << iota // the flow goes to an upstream other than the preferred one
	opening                     // the caller has not replied to the upstream yet
	closing                     // the caller sent FIN or RST, or this entry reset the flow
	owned                       // counted in this entry's load
	backedUp                    // its copy was queued for the upstream's data centre
	recordOnly                  // known from a record; no packet has arrived yet
)

// flow is the state of one flow in the table. It takes 16 bytes.
type flow struct {
	lastSeen   tick   // time of the last packet
	stuckSince tick   // first time that the repeated segment was seen
	seq        uint32 // of the last segment with payload, or of the opening packet
	slot       slotIndex
	flags      flag
	repeats    uint8 // of the segment with seq
}

// flowCopy is the record of a tracked flow that another entry owns.
type flowCopy struct {
	slot slotIndex
}

// claim records which entry decided for a flow that was not known here. Without it, a packet of the flow
// that an entry with an older view relays here would be placed by hash a second time, perhaps at another
// upstream.
type claim struct {
	to      netip.AddrPort
	expires tick
}

// deferredFlow counts the dropped packets of a flow that only entries beyond a partition may know.
type deferredFlow struct {
	firstSeen tick
	lastSeen  tick
	packets   int
}

// shard is a part of the flow table with its own lock.
type shard struct {
	mu           sync.Mutex
	flows        map[stoatpaddle.FlowHash]flow
	copies       map[stoatpaddle.FlowHash]flowCopy
	claims       map[stoatpaddle.FlowHash]claim
	deferred     map[stoatpaddle.FlowHash]deferredFlow
	openingCount int             // flows with the opening flag
	scannedView  *stoatview.View // the last view with which the flows were compared
	rnd          *rand.Rand
}

func (sh *shard) init(seed uint64) {
	sh.flows = map[stoatpaddle.FlowHash]flow{}
	sh.copies = map[stoatpaddle.FlowHash]flowCopy{}
	sh.claims = map[stoatpaddle.FlowHash]claim{}
	sh.deferred = map[stoatpaddle.FlowHash]deferredFlow{}
	sh.rnd = newRand(seed)
}

// slotIndex is the index of an upstream in registry.slots.
type slotIndex uint16

// slot holds the load and the health of one upstream.
type slot struct {
	upstream     atomic.Pointer[stoatview.Upstream]
	key          stoatpaddle.UpstreamKey
	ref          stoatpaddle.ServiceRef
	usage        *usage        // of the customer
	open         atomic.Int64  // flows that this entry owns
	remote       atomic.Int64  // flows that the other entries reported
	openRate     bucket        // limits new flows
	firstSeen    time.Time     // by this entry; slow start counts from it
	warm         bool          // present when this entry started, so that it needs no slow start
	unanswered   atomic.Int64  // repeated opening packets since a flow last proceeded
	callers      atomic.Uint64 // bit set of hashes of the callers that repeated them
	ejectedUntil atomic.Int64  // tick until which it takes no new flows
}

func (s *slot) load() float64 { return float64(s.open.Load() + s.remote.Load()) }

// registry assigns an index to each upstream. An index is never reused for another upstream.
type registry struct {
	slots       []*slot
	byKey       map[stoatpaddle.UpstreamKey]slotIndex
	slotsBySet  map[*stoatview.UpstreamSet][]*slot // of the current sets, in the order of their upstreams
	setByDigest map[SetDigest]*stoatview.UpstreamSet
}

// find returns the slot and the index of an upstream, or nil.
func (r *registry) find(key stoatpaddle.UpstreamKey) (*slot, slotIndex) {
	i, ok := r.byKey[key]
	if !ok {
		return nil, 0
	}
	return r.slots[i], i
}

// syncRegistry adds the view's upstreams. It runs before the first packet is handled under the view.
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
	r.slotsBySet = make(map[*stoatview.UpstreamSet][]*slot, len(v.Services))
	r.setByDigest = make(map[SetDigest]*stoatview.UpstreamSet, len(v.Services))
	for _, s := range v.Services {
		r.setByDigest[digest(s.Set)] = s.Set
		for _, u := range s.Set.Upstreams {
			r.slotsBySet[s.Set] = append(r.slotsBySet[s.Set], r.slots[r.byKey[u.Key]])
		}
	}
	e.reg.Store(r)
}

// FlowCounts returns the number of open flows that this entry owns, the number of tracked flows among
// them, and the number of copies of other flows.
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

// ClaimCount returns how many flows are recorded as claimed by another entry.
func (e *Engine) ClaimCount() int {
	n := 0
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		n += len(sh.claims)
		sh.mu.Unlock()
	}
	return n
}

// UpstreamLoad is the number of flows that an entry owns on one upstream.
type UpstreamLoad struct {
	Upstream stoatpaddle.UpstreamKey
	Open     uint32
}

// Loads returns the engine's own load on each upstream that has any, in the order in which the upstreams
// were first seen.
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
