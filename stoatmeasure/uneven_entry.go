package stoatmeasure

import (
	"math"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatspill"
)

// unevenEntry is an entry: an engine and a meter for each data centre, and the decider beside them.
type unevenEntry struct {
	home    *unevenCentre
	engines [unevenCentres]*stoatecho.Engine
	meters  [unevenCentres]unevenMeter
	decider *stoatspill.Decider
}

func (m *unevenModel) newEntry(home *unevenCentre, seed uint64) *unevenEntry {
	e := &unevenEntry{home: home, decider: stoatspill.New(stoatspill.Config{Rule: m.cfg.Way.rule()})}
	for i := range e.engines {
		e.engines[i] = stoatecho.New(stoatecho.Config{DataCentre: unevenCentreID(i), Start: overloadEpoch.Add(-time.Minute), Seed: seed})
	}
	return e
}

// table returns the table of the engine for a data centre: only with the engine's own rule may it send openings
// elsewhere.
func (e *unevenEntry) table(m *unevenModel, group int) *stoatroute.Table {
	if m.cfg.Way == WayEngine {
		return m.all.Table()
	}
	return m.centres[group].routes.Table()
}

// handle passes a packet to the engine for a data centre and measures what the engine infers.
func (e *unevenEntry) handle(m *unevenModel, group int, p *stoatpacket.Packet) stoatecho.Action {
	engine, meter := e.engines[group], &e.meters[group]
	before := engine.Stats()
	a := engine.Handle(m.now(), e.table(m, group), p)
	after := engine.Stats()
	switch {
	case after.Rejected > before.Rejected:
		meter.rejection(m.now())
	case after.Answered > before.Answered:
		meter.answer(m.now(), a.AnswerTime)
	}
	return a
}

// open places a flow at home or elsewhere, or returns nil if it is refused.
func (e *unevenEntry) open(m *unevenModel, tuple stoatpacket.Tuple) *unevenFlow {
	home := e.home.index
	if to, spills := e.decider.Decide(m.now(), stoatspill.Opening{X: m.rnd.Float64()}); spills {
		e.meters[home].opening(m.now(), tuple, true)
		return e.place(m, e.groupOf(m, to), tuple)
	}
	f := e.place(m, home, tuple)
	if f != nil {
		return f
	}
	if to, spills := e.decider.Decide(m.now(), stoatspill.Opening{Refused: true, X: m.rnd.Float64()}); spills {
		return e.place(m, e.groupOf(m, to), tuple)
	}
	return nil
}

// place lets the engine for a data centre place a flow.
func (e *unevenEntry) place(m *unevenModel, group int, tuple stoatpacket.Tuple) *unevenFlow {
	a := e.handle(m, group, &stoatpacket.Packet{Tuple: tuple, Opens: true})
	admitted := a.Verdict == stoatecho.Forward
	e.meters[group].opening(m.now(), tuple, admitted)
	if !admitted {
		return nil
	}
	return &unevenFlow{entry: e, group: group, tuple: tuple, upstream: a.Upstream}
}

func (e *unevenEntry) groupOf(m *unevenModel, id stoatpaddle.DataCentreID) int {
	for i, c := range m.centres {
		if c.id == id {
			return i
		}
	}
	return e.home.index
}

// load returns what the entry observed of a group.
func (e *unevenEntry) load(m *unevenModel, group int) stoatload.GroupLoad {
	inProgress := 0
	for _, u := range e.engines[group].UpstreamStates(m.now()) {
		inProgress += u.PendingRequests
	}
	return e.meters[group].load(m.now(), stoatload.GroupID{Service: "app", DataCentre: unevenCentreID(group)}, inProgress)
}

const (
	answerRateDecay, arrivalRateDecay = 250 * time.Millisecond, 500 * time.Millisecond
	// meanAnswerWeight is the weight of the newest answer in the mean answer time.
	meanAnswerWeight = 0.05
	// unqueuedGrowth is the factor by which the answer time without a queue may rise with each answer.
	unqueuedGrowth = 1.0005
)

// unevenMeter measures the load of one group at one entry.
type unevenMeter struct {
	answered, rejected stoatload.Rate
	arrived, admitted  [2]stoatload.Rate // usual, urgent
	smooth, unqueued   float64           // answer times in seconds: a mean of twenty, and its least value
	times              float64           // sum of the recent answer times, with decaying weights
	at                 time.Time
	weight             float64
}

func (r *unevenMeter) opening(now time.Time, tuple stoatpacket.Tuple, admitted bool) {
	class := 0
	if tuple.Dst == urgentListen {
		class = 1
	}
	r.arrived[class].Add(now, arrivalRateDecay)
	if admitted {
		r.admitted[class].Add(now, arrivalRateDecay)
	}
}

func (r *unevenMeter) rejection(now time.Time) { r.rejected.Add(now, answerRateDecay) }

func (r *unevenMeter) answer(now time.Time, took time.Duration) {
	r.answered.Add(now, answerRateDecay)
	decay := math.Exp(-float64(now.Sub(r.at)) / float64(answerRateDecay))
	r.times, r.weight, r.at = r.times*decay+took.Seconds(), r.weight*decay+1, now
	if r.smooth == 0 {
		r.smooth, r.unqueued = took.Seconds(), took.Seconds()
	}
	r.smooth += meanAnswerWeight * (took.Seconds() - r.smooth)
	r.unqueued = min(r.smooth, r.unqueued*unqueuedGrowth)
}

// mean returns the mean of the recent answer times.
func (r *unevenMeter) mean() float64 {
	if r.weight == 0 {
		return 0
	}
	return r.times / r.weight
}

// load returns the load of the group.
func (r *unevenMeter) load(now time.Time, id stoatload.GroupID, inProgress int) stoatload.GroupLoad {
	g := stoatload.GroupLoad{
		Group: id, Entries: 1, Answered: r.answered.PerSecond(now, answerRateDecay), Rejected: r.rejected.PerSecond(now, answerRateDecay),
		InProgress: float64(inProgress), AnswerTime: seconds(r.mean()), Unqueued: seconds(r.unqueued),
	}
	for class, priority := range [2]int{2, 1} {
		arrived := r.arrived[class].PerSecond(now, arrivalRateDecay)
		if arrived > 0 {
			g.Levels = append(g.Levels, stoatload.LevelLoad{Priority: priority, Arrived: arrived, Admitted: r.admitted[class].PerSecond(now, arrivalRateDecay)})
		}
	}
	if len(g.Levels) == 2 {
		g.Levels[0], g.Levels[1] = g.Levels[1], g.Levels[0]
	}
	return g
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scheduleSums adds up the loads of each data centre until the end of the day, and hands them out.
func (m *unevenModel) scheduleSums() {
	if m.cfg.Way.rule() == stoatspill.RuleNone {
		return
	}
	for at := sumInterval; at <= m.length; at += sumInterval {
		m.q.after(at, func() {
			for _, c := range m.centres {
				m.addUp(c, m.q.now%m.cfg.PublishInterval == 0)
			}
			for _, c := range m.centres {
				m.updateDeciders(c)
			}
		})
	}
}

// addUp adds up the load of a data centre; the sum arrives later.
func (m *unevenModel) addUp(c *unevenCentre, publish bool) {
	sum := stoatload.CentreLoad{DataCentre: c.id, At: m.now()}
	for group := range m.centres {
		g := c.entries[0].load(m, group)
		for _, e := range c.entries[1:] {
			g = g.Add(e.load(m, group))
		}
		sum.Groups = append(sum.Groups, g)
	}
	m.q.after(sumDelay, func() { c.sum = sum })
	if publish {
		m.q.after(sumDelay+centreDelay, func() { m.published[c.index] = sum })
	}
}

// updateDeciders gives the entries of a data centre their evidence.
func (m *unevenModel) updateDeciders(c *unevenCentre) {
	var loads []stoatload.CentreLoad
	for _, l := range m.published {
		if !l.At.IsZero() {
			loads = append(loads, l)
		}
	}
	rooms := stoatspill.RoomsOf(c.id, "app", loads, func(id stoatpaddle.DataCentreID) stoatspill.Capacity {
		for _, o := range m.centres {
			if o.id == id {
				return stoatspill.Capacity{Slots: o.slots, RoundTrip: overloadRTT}
			}
		}
		return stoatspill.Capacity{}
	})
	for _, e := range c.entries {
		e.decider.Update(m.now(), m.evidence(c, e, rooms))
	}
}

// evidence returns what an entry decides by: the sums of its data centre, or with the local rule its own load.
func (m *unevenModel) evidence(c *unevenCentre, e *unevenEntry, rooms []stoatspill.Room) stoatspill.Evidence {
	v := stoatspill.Evidence{Entry: e.load(m, c.index), Entries: len(c.entries), Rooms: rooms, Home: stoatspill.Capacity{Slots: c.slots, RoundTrip: overloadRTT}}
	for i := range m.centres {
		if i != c.index {
			v.Seen = append(v.Seen, e.load(m, i))
		}
	}
	if v.Own = v.Entry; m.cfg.Way != WayLocal && len(c.sum.Groups) > 0 {
		v.Own = c.sum.Groups[c.index]
	}
	return v
}
