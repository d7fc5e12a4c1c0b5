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
	treeWidth       = 4                       // children of an entry in the relay tree
	treeHopDelay    = 3 * time.Millisecond    // from one entry to the next, with the time to read and write
	refreshInterval = 2 * time.Second         // a parent sends something at least so often
	messageOverhead = 160                     // bytes of a message beside what it says of upstreams
	judgeInterval   = stoatecho.CheckInterval // as an entry does
	maxStartDelay   = 250 * time.Millisecond  // entries begin their turns at random within
)

// silenceEntry is an entry: its engine, and its place in the relay tree.
type silenceEntry struct {
	m           *silenceModel
	index       int
	engine      *stoatecho.Engine
	aggregator  stoatoutlier.Aggregator
	parent      *silenceEntry
	children    []*silenceEntry
	reporting   bool                        // one is under way to the parent
	childDeltas []stoatoutlier.DeltaTracker // to the children
	roundDue    bool
	pacer       stoatoutlier.Pacer
	nextRound   time.Duration // when it may take its next turn
	lastUpdate  time.Time     // when its parent last sent it something
}

func newSilenceEntry(m *silenceModel, index int) *silenceEntry {
	e := &silenceEntry{m: m, index: index, engine: stoatecho.New(stoatecho.Config{
		DataCentre: "here", Start: silenceEpoch.Add(-time.Minute), Seed: m.cfg.Seed*1000 + uint64(index),
	})}
	if index > 0 {
		e.parent = m.entries[(index-1)/treeWidth]
		e.parent.children = append(e.parent.children, e)
		e.parent.childDeltas = append(e.parent.childDeltas, stoatoutlier.DeltaTracker{})
	}
	m.q.after(time.Duration(m.rnd.Float64()*float64(maxStartDelay)), e.tick)
	return e
}

// addr names the entry to others.
func (e *silenceEntry) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(e.index >> 8), byte(e.index)}), 8166)
}

// handle decides about a packet, and carries out what concerns other flows.
func (e *silenceEntry) handle(p *stoatpacket.Packet) stoatecho.Action {
	a := e.engine.Handle(e.m.now(), e.m.routes.Table(), p)
	if a.Ejected != nil {
		e.m.countEjection(a.Ejected)
	}
	if e.engine.TakeReportChange() {
		e.scheduleRound()
	}
	return a
}

// tick takes a turn now and then, as an entry does without news.
func (e *silenceEntry) tick() {
	e.scheduleRound()
	e.m.q.after(judgeInterval, e.tick)
}

// scheduleRound has the entry take a turn soon.
func (e *silenceEntry) scheduleRound() {
	if e.roundDue || e.m.sharing == Alone {
		return
	}
	e.roundDue = true
	wait := time.Duration(0)
	if e.m.sharing == Pooled {
		wait = max(0, e.nextRound-e.m.q.now)
	}
	e.m.q.after(wait, e.runRound)
}

// hopDelay is how long a message takes to the next entry.
func (e *silenceEntry) hopDelay() time.Duration {
	if e.m.sharing == AtOnce {
		return 0
	}
	return treeHopDelay
}

// runRound adds up, judges and passes on, as an entry's share goroutine does.
func (e *silenceEntry) runRound() {
	now := e.m.now()
	e.roundDue, e.nextRound = false, e.m.q.now+e.pacer.RecordRound(now)
	own := e.engine.Reports(now, e.aggregator.Suspects(now))
	sum, report, to := e.aggregator.Aggregate(now, own, e.reporting)
	e.engine.SetSums(now, sum)
	table := e.m.routes.Table()
	e.engine.EjectFailing(now, table)
	if e.aggregator.Stable(now) {
		for _, s := range e.engine.EjectSilent(now, table, e.aggregator.PropagationDelay()) {
			e.m.countEjection(s.Upstream)
		}
	}
	if to.IsValid() {
		e.reportToParent(report)
	}
	e.updateChildren(sum)
}

// reportToParent sends what the entry and those below it saw to its parent.
func (e *silenceEntry) reportToParent(u stoatoutlier.Update) {
	e.reporting = true
	wire := e.encode(u.Reports)
	e.m.q.after(e.hopDelay(), func() {
		now := e.m.now()
		if !e.parent.aggregator.HandleChildUpdate(now, e.addr(), stoatoutlier.Update{Full: u.Full, Reports: stoatoutlier.Decode(now, wire)}) {
			e.aggregator.ResetParentStream()
		}
		e.reporting = false
		e.scheduleRound()
		e.parent.scheduleRound()
	})
}

// updateChildren sends each child what it lacks of the sum.
func (e *silenceEntry) updateChildren(sum []stoatoutlier.Report) {
	now := e.m.now()
	for i, c := range e.children {
		u, due := e.childDeltas[i].Next(now, sum, stoatoutlier.FirstWait)
		if !due && now.Sub(c.lastUpdate) < refreshInterval {
			continue
		}
		c.lastUpdate = now
		wire := e.encode(u.Reports)
		e.m.q.after(e.hopDelay(), func() {
			now := e.m.now()
			c.aggregator.HandleParentUpdate(now, e.addr(), stoatoutlier.Update{Full: u.Full, Reports: stoatoutlier.Decode(now, wire)})
			c.scheduleRound()
		})
	}
}

// encode encodes reports as entries send them, and counts their bytes.
func (e *silenceEntry) encode(list []stoatoutlier.Report) []stoatoutlier.WireReport {
	wire := stoatoutlier.Encode(e.m.now(), list)
	// It fails on no report: the fields are numbers.
	body, _ := msgpack.Marshal(wire)
	e.m.bytes += len(body) + messageOverhead
	return wire
}
