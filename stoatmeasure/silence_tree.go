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
	treeHopDelay    = 3 * time.Millisecond    // from one entry to the next, including the time to read and write
	refreshInterval = 2 * time.Second         // after which a parent sends an update at the latest
	messageOverhead = 160                     // bytes of a message besides the reports
	checkInterval   = stoatecho.CheckInterval // as in a real entry
	maxStartDelay   = 250 * time.Millisecond  // each entry runs its first round at a random time within this
)

// silenceEntry is an entry: its engine and its place in the relay tree.
type silenceEntry struct {
	m           *silenceModel
	index       int
	engine      *stoatecho.Engine
	aggregator  stoatoutlier.Aggregator
	parent      *silenceEntry
	children    []*silenceEntry
	reporting   bool                        // a report to the parent is in transit
	childDeltas []stoatoutlier.DeltaTracker // one per child
	roundDue    bool                        // a round is scheduled
	pacer       stoatoutlier.Pacer
	nextRound   time.Duration // when the next round may run
	lastUpdate  time.Time     // when the parent last sent an update
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

// addr returns the address that identifies the entry to others.
func (e *silenceEntry) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(e.index >> 8), byte(e.index)}), 8166)
}

// handle decides about a packet. It counts an ejection that results, and schedules a round if the entry's
// reports have changed.
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

// tick schedules a round in each interval, as a real entry does even if nothing has changed.
func (e *silenceEntry) tick() {
	e.scheduleRound()
	e.m.q.after(checkInterval, e.tick)
}

// scheduleRound schedules a round as soon as one may run. Entries that share nothing run none.
func (e *silenceEntry) scheduleRound() {
	if e.roundDue || e.m.sharing == Isolated {
		return
	}
	e.roundDue = true
	wait := time.Duration(0)
	if e.m.sharing == Aggregated {
		wait = max(0, e.nextRound-e.m.q.now)
	}
	e.m.q.after(wait, e.runRound)
}

// hopDelay returns how long a message takes to the next entry.
func (e *silenceEntry) hopDelay() time.Duration {
	if e.m.sharing == Instant {
		return 0
	}
	return treeHopDelay
}

// runRound aggregates the reports, ejects upstreams and sends updates, as checkUpstreams of stoatedge does in a
// real entry.
func (e *silenceEntry) runRound() {
	now := e.m.now()
	e.roundDue, e.nextRound = false, e.m.q.now+e.pacer.RecordRound(now)
	own := e.engine.Reports(now, e.aggregator.Suspects(now))
	sum, report, to := e.aggregator.Aggregate(now, own, e.reporting)
	e.engine.SetDataCentreSums(now, sum)
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

// reportToParent sends what this entry and those below it observed to the parent.
func (e *silenceEntry) reportToParent(u stoatoutlier.Update) {
	e.reporting = true
	wire := e.encode(u.Reports)
	e.m.q.after(e.hopDelay(), func() {
		now := e.m.now()
		if !e.parent.aggregator.HandleChildUpdate(now, e.addr(), stoatoutlier.Update{Full: u.Full, Reports: stoatoutlier.Decode(now, wire)}) {
			e.aggregator.ForceFullUpdate()
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

// encode returns reports in their wire form, and counts their bytes.
func (e *silenceEntry) encode(list []stoatoutlier.Report) []stoatoutlier.WireReport {
	wire := stoatoutlier.Encode(e.m.now(), list)
	// Marshal cannot fail here: all fields are numbers.
	body, _ := msgpack.Marshal(wire)
	e.m.bytes += len(body) + messageOverhead
	return wire
}
