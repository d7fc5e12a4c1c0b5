package stoatflow

import (
	"math"
	"math/bits"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// Record is the upstream of one tracked flow.
type Record struct {
	Key      stoatpaddle.FlowHash
	Upstream stoatpaddle.UpstreamKey
}

// SetDigest identifies a set of upstreams, so that a load report need not list them.
type SetDigest uint32

// LoadReport is one entry's load on each upstream of a set, in the set's order.
type LoadReport struct {
	Set  SetDigest
	Open []uint32
}

// Batch is a message from one entry to another about flows.
type Batch struct {
	To     stoatpaddle.InstanceID
	Moves  []Record               // flows that the receiver owns from now on
	Copies []Record               // flows of which the receiver is to hold a copy
	Drops  []stoatpaddle.FlowHash // flows whose copies the receiver is to drop
	Loads  []LoadReport
}

// The encoded sizes in bytes. A test of the codec checks them against what it sends.
const (
	RecordSize    = 10
	DropSize      = 6
	BatchOverhead = 14 // frame, kind and the lengths of short lists
	reportSize    = 7
)

// Size returns the encoded size in bytes.
func (b *Batch) Size() int {
	n := BatchOverhead + encodedListSize(len(b.Moves)*RecordSize) + encodedListSize(len(b.Copies)*RecordSize) + encodedListSize(len(b.Drops)*DropSize)
	for _, l := range b.Loads {
		n += l.size()
	}
	return n
}

// encodedListSize returns the size of a list's elements plus the two extra bytes that the length of a long
// list takes.
func encodedListSize(bytes int) int {
	if bytes >= 1<<8 {
		return bytes + 2
	}
	return bytes
}

// size returns the encoded size in bytes.
func (l *LoadReport) size() int {
	n := reportSize
	for _, open := range l.Open {
		n += (max(1, bits.Len32(open)) + 6) / 7
	}
	return n
}

// minBatchRoom is the least room in bytes that a batch gets, so that its fixed overhead pays off.
const minBatchRoom = BatchOverhead + 4*RecordSize

// queue holds the records that wait to be sent to one entry.
type queue struct {
	moves  []Record
	copies []Record
	drops  []stoatpaddle.FlowHash
	loads  []LoadReport
}

// minDrops is the least number of drops that are sent without other records. Drops are not urgent, and the
// overhead of one sent alone is twice its own size.
const minDrops = 32

// due reports whether the queue holds enough to be sent now.
func (q *queue) due() bool {
	return len(q.moves)+len(q.copies)+len(q.loads) > 0 || len(q.drops) >= minDrops
}

// outbox holds the records that wait for the byte budget.
type outbox struct {
	mu             sync.Mutex
	queues         map[stoatpaddle.InstanceID]*queue
	tokens         float64 // bytes that may be sent now
	refilledAt     time.Time
	rotation       int           // number of flushes; determines which destination comes first
	gainFactorBits atomic.Uint64 // math.Float64bits of gainFactor
}

func (o *outbox) init() {
	o.queues = map[stoatpaddle.InstanceID]*queue{}
	o.gainFactorBits.Store(math.Float64bits(1))
}

// The gain applies in full while the backlog of copies and moves, measured as the time that the budget
// takes to send it, is below fullGainBacklog. It falls linearly to minGainFactor at minGainBacklog. The
// gain thus settles where the budget is just used up; a stepwise rule would make the gain and the loads
// oscillate.
const (
	fullGainBacklog = 100 * time.Millisecond
	minGainBacklog  = 400 * time.Millisecond
	minGainFactor   = 0.02
)

// gainFactor returns the part of the gain that the byte budget allows now, at most 1.
func (o *outbox) gainFactor() float64 { return math.Float64frombits(o.gainFactorBits.Load()) }

// updateGainFactor sets gainFactor by the backlog after a flush. The caller holds mu.
func (o *outbox) updateGainFactor(budget int) {
	waiting := 0
	for _, q := range o.queues {
		waiting += len(q.copies) + len(q.moves)
	}
	backlog := time.Duration(waiting*RecordSize) * time.Second / time.Duration(budget)
	factor := 1 - float64(backlog-fullGainBacklog)/float64(minGainBacklog-fullGainBacklog)
	o.gainFactorBits.Store(math.Float64bits(min(1, max(minGainFactor, factor))))
}

func (o *outbox) queue(to stoatpaddle.InstanceID) *queue {
	q := o.queues[to]
	if q == nil {
		q = &queue{}
		o.queues[to] = q
	}
	return q
}

func (o *outbox) enqueueCopy(to stoatpaddle.InstanceID, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	q.copies = append(q.copies, r)
}

func (o *outbox) enqueueMove(to stoatpaddle.InstanceID, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	q.moves = append(q.moves, r)
}

func (o *outbox) enqueueDrop(to stoatpaddle.InstanceID, k stoatpaddle.FlowHash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	// A copy that has not been sent yet needs no drop, so that short flows cost no control traffic.
	for i := len(q.copies) - 1; i >= 0; i-- {
		if q.copies[i].Key == k {
			q.copies = append(q.copies[:i], q.copies[i+1:]...)
			return
		}
	}
	q.drops = append(q.drops, k)
}

func (o *outbox) enqueueLoads(to stoatpaddle.InstanceID, l LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	q.loads = append(q.loads[:0:0], append(q.loads, l)...)
}

// discard removes what waits for an entry.
func (o *outbox) discard(to stoatpaddle.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queues, to)
}

// pendingBytes returns the encoded size of the records that wait.
func (o *outbox) pendingBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, q := range o.queues {
		n += RecordSize*(len(q.moves)+len(q.copies)) + DropSize*len(q.drops)
	}
	return n
}

// drained reports whether nothing is left that is due. A few drops may remain, since they wait for other
// records. The stop need not wait for them: an entry that takes over a flow from its copy removes the flow
// once it is idle.
func (o *outbox) drained() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.queues {
		if q.due() {
			return false
		}
	}
	return true
}

// discardUnreachable removes what waits for entries that are not reachable under the view.
func (o *outbox) discardUnreachable(v *stoatview.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.queues {
		if !v.Reachable(id) {
			delete(o.queues, id)
		}
	}
}

// flush removes as many records as the budget allows and returns them in batches, starting with another
// destination each time.
func (o *outbox) flush(now time.Time, budget int, connected func(stoatpaddle.InstanceID) bool) []Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refill(now, budget)
	ids := make([]stoatpaddle.InstanceID, 0, len(o.queues))
	for id, q := range o.queues {
		if q.due() && connected(id) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	var out []Batch
	o.rotation++
	for i := range ids {
		id := ids[(i+o.rotation)%len(ids)]
		// Each destination gets an equal part: a long queue for one must not delay urgent records for
		// others.
		room := 0
		if o.tokens > BatchOverhead {
			room = max(int(o.tokens)/(len(ids)-i), minBatchRoom)
		}
		b := o.queues[id].take(room)
		if b.empty() {
			continue
		}
		b.To = id
		o.tokens -= float64(b.Size())
		out = append(out, b)
	}
	o.updateGainFactor(budget)
	return out
}

// refill adds the tokens for the time since the last refill, up to the budget of one second.
func (o *outbox) refill(now time.Time, budget int) {
	if o.refilledAt.IsZero() {
		o.tokens = float64(budget)
	} else {
		o.tokens = min(float64(budget), o.tokens+float64(budget)*now.Sub(o.refilledAt).Seconds())
	}
	o.refilledAt = now
}

func (b *Batch) empty() bool { return len(b.Moves)+len(b.Copies)+len(b.Drops)+len(b.Loads) == 0 }

// take removes up to room bytes from the queue, the most urgent records first. Load reports are always
// sent, because owners with old reports track more flows and need even more room.
func (q *queue) take(room int) Batch {
	var b Batch
	room -= BatchOverhead
	for _, l := range q.loads {
		room -= l.size()
	}
	b.Loads, q.loads = q.loads, nil
	b.Moves, q.moves = takeHead(q.moves, &room, RecordSize)
	b.Copies, q.copies = takeHead(q.copies, &room, RecordSize)
	// Drops are queued in the order of a map. They are sorted so that a repeated run sends the same ones
	// first.
	slices.Sort(q.drops)
	b.Drops, q.drops = takeHead(q.drops, &room, DropSize)
	return b
}

// takeHead splits off the records that fit into the room and subtracts their size from it.
func takeHead[T any](list []T, room *int, size int) (head, tail []T) {
	n := min(len(list), max(0, *room/size))
	*room -= n * size
	head = append(head, list[:n]...)
	tail = append(tail, list[n:]...)
	return head, tail
}
