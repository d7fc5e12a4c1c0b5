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

// Record tells where one tracked flow goes.
type Record struct {
	Key      stoatpaddle.FlowHash
	Upstream stoatpaddle.UpstreamKey
}

// SetDigest names a set of upstreams, so that a load report need not name each.
type SetDigest uint32

// LoadReport is one entry's load on each upstream of a set, in the set's order.
type LoadReport struct {
	Set  SetDigest
	Open []uint32
}

// Batch is what one entry tells another about flows.
type Batch struct {
	To     stoatpaddle.InstanceID
	Moves  []Record // flows that the receiver owns from now on
	Copies []Record // flows that the receiver would own next
	Drops  []stoatpaddle.FlowHash
	Loads  []LoadReport
}

// The encoded sizes, bytes; a test of the codec holds them to what it sends.
const (
	RecordSize    = 10
	DropSize      = 6
	BatchOverhead = 14 // frame, kind and the lengths of short lists
	reportSize    = 7
)

// Size returns the encoded size, bytes.
func (b *Batch) Size() int {
	n := BatchOverhead + listSize(len(b.Moves)*RecordSize) + listSize(len(b.Copies)*RecordSize) + listSize(len(b.Drops)*DropSize)
	for _, l := range b.Loads {
		n += l.size()
	}
	return n
}

// listSize adds the two bytes that the length of a long list takes more.
func listSize(bytes int) int {
	if bytes >= 1<<8 {
		return bytes + 2
	}
	return bytes
}

func (l *LoadReport) size() int {
	n := reportSize
	for _, open := range l.Open {
		n += (max(1, bits.Len32(open)) + 6) / 7
	}
	return n
}

// leastRoom keeps a batch worth its own overhead.
const leastRoom = BatchOverhead + 4*RecordSize

// queue is what waits for one destination.
type queue struct {
	moves  []Record
	copies []Record
	drops  []stoatpaddle.FlowHash
	loads  []LoadReport
}

// dropsWait is how many drops wait for company, or for something else to go: they are in
// no hurry, and alone each would cost twice its own size.
const dropsWait = 32

// due tells whether a batch is worth sending now.
func (q *queue) due() bool {
	return len(q.moves)+len(q.copies)+len(q.loads) > 0 || len(q.drops) >= dropsWait
}

// outbox holds what waits for the byte budget.
type outbox struct {
	mu     sync.Mutex
	queues map[stoatpaddle.InstanceID]*queue
	tokens float64 // bytes that may be sent now
	filled time.Time
	turn   int
	eased  atomic.Uint64 // math.Float64bits of ease
}

func (o *outbox) init() {
	o.queues = map[stoatpaddle.InstanceID]*queue{}
	o.eased.Store(math.Float64bits(1))
}

// The gain is whole while less than easeFrom of copies waits, measured in the time that the
// budget takes to send them, and falls to leastEase at easeTo. In proportion, it settles
// where the budget is just used up; in steps it would swing, and the loads with it.
const (
	easeFrom  = 100 * time.Millisecond
	easeTo    = 400 * time.Millisecond
	leastEase = 0.02
)

// ease returns the part of the gain that the byte budget allows now, up to 1: it shrinks
// fast while copies wait and grows slowly while none do.
func (o *outbox) ease() float64 { return math.Float64frombits(o.eased.Load()) }

// adapt sets ease after a sending; it is called under the lock.
func (o *outbox) adapt(budget int) {
	waiting := 0
	for _, q := range o.queues {
		waiting += len(q.copies) + len(q.moves)
	}
	backlog := time.Duration(waiting*RecordSize) * time.Second / time.Duration(budget)
	ease := 1 - float64(backlog-easeFrom)/float64(easeTo-easeFrom)
	o.eased.Store(math.Float64bits(min(1, max(leastEase, ease))))
}

func (o *outbox) queue(to stoatpaddle.InstanceID) *queue {
	q := o.queues[to]
	if q == nil {
		q = &queue{}
		o.queues[to] = q
	}
	return q
}

func (o *outbox) copy(to stoatpaddle.InstanceID, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	q.copies = append(q.copies, r)
}

func (o *outbox) move(to stoatpaddle.InstanceID, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	q.moves = append(q.moves, r)
}

func (o *outbox) drop(to stoatpaddle.InstanceID, k stoatpaddle.FlowHash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	// A copy that has not left yet needs no drop: short flows cost nothing.
	for i := len(q.copies) - 1; i >= 0; i-- {
		if q.copies[i].Key == k {
			q.copies = append(q.copies[:i], q.copies[i+1:]...)
			return
		}
	}
	q.drops = append(q.drops, k)
}

func (o *outbox) load(to stoatpaddle.InstanceID, l LoadReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queue(to)
	q.loads = append(q.loads[:0:0], append(q.loads, l)...)
}

// clear forgets what waits for an entry.
func (o *outbox) clear(to stoatpaddle.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queues, to)
}

// pending returns the bytes that wait.
func (o *outbox) pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, q := range o.queues {
		n += RecordSize*(len(q.moves)+len(q.copies)) + DropSize*len(q.drops)
	}
	return n
}

// sent tells whether nothing is left that is worth sending: a few drops wait for company, and the copies
// that they end are forgotten where they are when they go idle.
func (o *outbox) sent() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, q := range o.queues {
		if q.due() {
			return false
		}
	}
	return true
}

// keep drops what waits for entries that are not in the view any more.
func (o *outbox) keep(v *stoatview.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.queues {
		if !v.Reachable(id) {
			delete(o.queues, id)
		}
	}
}

// flush takes as many bytes as the budget allows, the destinations in turn.
func (o *outbox) flush(now time.Time, budget int, connected func(stoatpaddle.InstanceID) bool) []Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fill(now, budget)
	ids := make([]stoatpaddle.InstanceID, 0, len(o.queues))
	for id, q := range o.queues {
		if q.due() && connected(id) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	var out []Batch
	o.turn++
	for i := range ids {
		id := ids[(i+o.turn)%len(ids)]
		// Each gets its part: a long queue for one must not hold up what is urgent for others.
		room := 0
		if o.tokens > BatchOverhead {
			room = max(int(o.tokens)/(len(ids)-i), leastRoom)
		}
		b := o.queues[id].take(room)
		if b.empty() {
			continue
		}
		b.To = id
		o.tokens -= float64(b.Size())
		out = append(out, b)
	}
	o.adapt(budget)
	return out
}

func (o *outbox) fill(now time.Time, budget int) {
	if o.filled.IsZero() {
		o.tokens = float64(budget)
	} else {
		o.tokens = min(float64(budget), o.tokens+float64(budget)*now.Sub(o.filled).Seconds())
	}
	o.filled = now
}

func (b *Batch) empty() bool { return len(b.Moves)+len(b.Copies)+len(b.Drops)+len(b.Loads) == 0 }

// take removes up to room bytes, the most urgent first; load reports go in any case, for
// with old ones the owners track more flows and need more room still.
func (q *queue) take(room int) Batch {
	var b Batch
	room -= BatchOverhead
	for _, l := range q.loads {
		room -= l.size()
	}
	b.Loads, q.loads = q.loads, nil
	b.Moves, q.moves = split(q.moves, &room, RecordSize)
	b.Copies, q.copies = split(q.copies, &room, RecordSize)
	// Drops come in the order of a map; sorted, the same run sends the same ones first.
	slices.Sort(q.drops)
	b.Drops, q.drops = split(q.drops, &room, DropSize)
	return b
}

func split[T any](list []T, room *int, size int) (head, tail []T) {
	n := min(len(list), max(0, *room/size))
	*room -= n * size
	head = append(head, list[:n]...)
	tail = append(tail, list[n:]...)
	return head, tail
}
