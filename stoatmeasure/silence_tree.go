package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

const (
	treeWidth   = 4                       // children of an entry in the relay tree
	treeHop     = 3 * time.Millisecond    // from one entry to the next, with the time to read and write
	treeRefresh = 2 * time.Second         // a parent sends something at least so often
	treeHead    = 160                     // bytes of a message beside what it says of upstreams
	judgeEvery  = stoatecho.CheckInterval // as an entry does
	treePhase   = 250 * time.Millisecond  // entries begin their turns at random within
)

// silentEntry is an entry: its engine, and its place in the relay tree.
type silentEntry struct {
	m        *silenceModel
	index    int
	engine   *stoatecho.Engine
	pool     stoatoutlier.Aggregator
	parent   *silentEntry
	children []*silentEntry
	reports  bool                        // one is under way to the parent
	streams  []stoatoutlier.DeltaTracker // to the children
	due      bool
	pacer    stoatoutlier.Pacer
	next     time.Duration // when it may take its next turn
	followed time.Time     // when its parent last sent it something
}

func newSilentEntry(m *silenceModel, index int) *silentEntry {
	e := &silentEntry{m: m, index: index, engine: stoatecho.New(stoatecho.Config{
		DataCentre: "here", Start: silenceEpoch.Add(-time.Minute), Seed: m.cfg.Seed*1000 + uint64(index),
	})}
	if index > 0 {
		e.parent = m.entries[(index-1)/treeWidth]
		e.parent.children = append(e.parent.children, e)
		e.parent.streams = append(e.parent.streams, stoatoutlier.DeltaTracker{})
	}
	m.q.after(time.Duration(m.rnd.Float64()*float64(treePhase)), e.tick)
	return e
}

// addr names the entry to others.
func (e *silentEntry) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(e.index >> 8), byte(e.index)}), 8166)
}

// handle decides about a packet, and carries out what concerns other flows.
func (e *silentEntry) handle(p *stoatpacket.Packet) stoatecho.Action {
	a := e.engine.Handle(e.m.now(), e.m.book.Table(), p)
	if a.Ejected != nil {
		e.m.ejected(a.Ejected)
	}
	if e.engine.TakeReportChange() {
		e.notice()
	}
	return a
}

// tick takes a turn now and then, as an entry does without news.
func (e *silentEntry) tick() {
	e.notice()
	e.m.q.after(judgeEvery, e.tick)
}

// notice has the entry take a turn soon.
func (e *silentEntry) notice() {
	if e.due || e.m.way == Isolated {
		return
	}
	e.due = true
	wait := time.Duration(0)
	if e.m.way == Aggregated {
		wait = max(0, e.next-e.m.q.now)
	}
	e.m.q.after(wait, e.turn)
}

// hop is how long a message takes to the next entry.
func (e *silentEntry) hop() time.Duration {
	if e.m.way == Instant {
		return 0
	}
	return treeHop
}

// turn adds up, judges and passes on, as an entry's share goroutine does.
func (e *silentEntry) turn() {
	now := e.m.now()
	e.due, e.next = false, e.m.q.now+e.pacer.RecordRound(now)
	own := e.engine.Reports(now, e.pool.Suspects(now))
	sum, report, to := e.pool.Aggregate(now, own, e.reports)
	e.engine.SetDataCentreSums(now, sum)
	table := e.m.book.Table()
	e.engine.EjectFailing(now, table)
	if e.pool.Stable(now) {
		for _, s := range e.engine.EjectSilent(now, table, e.pool.PropagationDelay()) {
			e.m.ejected(s.Upstream)
		}
	}
	if to.IsValid() {
		e.report(report)
	}
	e.tellChildren(sum)
}

// report sends what the entry and those below it saw to its parent.
func (e *silentEntry) report(u stoatoutlier.Update) {
	e.reports = true
	wire := e.message(u.Reports)
	e.m.q.after(e.hop(), func() {
		now := e.m.now()
		if !e.parent.pool.HandleChildUpdate(now, e.addr(), stoatoutlier.Update{Full: u.Full, Reports: stoatoutlier.Decode(now, wire)}) {
			e.pool.ForceFullUpdate()
		}
		e.reports = false
		e.notice()
		e.parent.notice()
	})
}

// tellChildren sends each child what it lacks of the sum.
func (e *silentEntry) tellChildren(sum []stoatoutlier.Report) {
	now := e.m.now()
	for i, c := range e.children {
		u, due := e.streams[i].Next(now, sum, stoatoutlier.FirstWait)
		if !due && now.Sub(c.followed) < treeRefresh {
			continue
		}
		c.followed = now
		wire := e.message(u.Reports)
		e.m.q.after(e.hop(), func() {
			now := e.m.now()
			c.pool.HandleParentUpdate(now, e.addr(), stoatoutlier.Update{Full: u.Full, Reports: stoatoutlier.Decode(now, wire)})
			c.notice()
		})
	}
}

// message encodes reports as entries send them, and counts their bytes.
func (e *silentEntry) message(list []stoatoutlier.Report) []stoatoutlier.WireReport {
	wire := stoatoutlier.Encode(e.m.now(), list)
	// It fails on no report: the fields are numbers.
	body, _ := msgpack.Marshal(wire)
	e.m.bytes += len(body) + treeHead
	return wire
}
