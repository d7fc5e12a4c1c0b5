package stoatspill

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

const (
	worldStep  = 20 * time.Millisecond
	worldSlots = 80
	worldHold  = 50 * time.Millisecond
)

// centre is a data centre of the world.
type centre struct {
	name     stoatpaddle.DataCentreID
	deciders []*Decider
	demand   float64 // openings a second
	slots    int
	slow     float64 // factor on the work of its upstreams
	failed   bool    // its upstreams answer nothing, and it publishes nothing
	// Of the current step, by the data centre whose callers sent them.
	arrived map[stoatpaddle.DataCentreID]float64
	// Mean rates, by the data centre whose callers sent them.
	answered, rejected, admitted map[stoatpaddle.DataCentreID]float64
	use                          float64
}

// world is several data centres with upstreams that reject what they cannot serve, and a delay with which the loads
// are published.
type world struct {
	now       time.Time
	rnd       *rand.Rand
	centres   []*centre
	delay     time.Duration
	published []map[stoatpaddle.DataCentreID]stoatload.CentreLoad // one a step, the last is the youngest
	// partitioned entries of the first data centre see only their own load and no rooms.
	partitioned bool
	own, lost   map[stoatpaddle.DataCentreID]float64 // openings by the data centre of the caller: all, rejected
	spilled     map[[2]stoatpaddle.DataCentreID]float64
	cycles      int
}

func newWorld(rule Rule, entries int, demands ...float64) *world {
	w := &world{now: epoch, rnd: rand.New(rand.NewPCG(1, 2)), delay: 500 * time.Millisecond}
	for i, d := range demands {
		c := &centre{
			name: stoatpaddle.DataCentreID('a' + rune(i)), demand: d, slots: worldSlots, slow: 1,
			answered: map[stoatpaddle.DataCentreID]float64{}, rejected: map[stoatpaddle.DataCentreID]float64{}, admitted: map[stoatpaddle.DataCentreID]float64{},
		}
		for range entries {
			c.deciders = append(c.deciders, New(Config{Rule: rule}))
		}
		w.centres = append(w.centres, c)
	}
	w.reset()
	return w
}

// reset begins the counts anew.
func (w *world) reset() {
	w.own, w.lost = map[stoatpaddle.DataCentreID]float64{}, map[stoatpaddle.DataCentreID]float64{}
	w.spilled, w.cycles = map[[2]stoatpaddle.DataCentreID]float64{}, 0
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.step()
	}
}

func (w *world) step() {
	for _, c := range w.centres {
		c.arrived = map[stoatpaddle.DataCentreID]float64{}
	}
	for _, c := range w.centres {
		w.offer(c)
	}
	for _, c := range w.centres {
		w.serve(c)
	}
	w.publish()
	for i, c := range w.centres {
		w.update(c, i == 0 && w.partitioned)
	}
	w.countCycles()
}

// offer decides on the openings of the step.
func (w *world) offer(c *centre) {
	n := c.demand * worldStep.Seconds()
	count := int(n)
	if w.rnd.Float64() < n-float64(count) {
		count++
	}
	for range count {
		w.own[c.name]++
		to, spills := c.deciders[w.rnd.IntN(len(c.deciders))].Decide(w.now, Opening{X: w.rnd.Float64()})
		if !spills {
			to = c.name
		} else {
			w.spilled[[2]stoatpaddle.DataCentreID{c.name, to}]++
		}
		w.find(to).arrived[c.name]++
	}
}

func (w *world) find(name stoatpaddle.DataCentreID) *centre {
	for _, c := range w.centres {
		if c.name == name {
			return c
		}
	}
	return nil
}

// capacity returns the requests a second that the upstreams serve.
func (c *centre) capacity() float64 {
	if c.failed {
		return 0
	}
	return float64(c.slots) / worldHold.Seconds() / c.slow
}

// serve rejects what exceeds the capacity, the same share of the openings of each data centre.
func (w *world) serve(c *centre) {
	weight := 1 - math.Exp(-worldStep.Seconds()/0.25)
	sum := 0.0
	for _, n := range c.arrived {
		sum += n / worldStep.Seconds()
	}
	c.use += weight * (sum/max(1, c.capacity()) - c.use)
	served := min(1, 1/max(c.use, 1e-9))
	if c.failed {
		served = 0
	}
	for _, from := range w.centres {
		rate := c.arrived[from.name] / worldStep.Seconds()
		w.lost[from.name] += c.arrived[from.name] * (1 - served)
		c.answered[from.name] += weight * (rate*served - c.answered[from.name])
		c.rejected[from.name] += weight * (rate*(1-served) - c.rejected[from.name])
		c.admitted[from.name] += weight * (rate - c.admitted[from.name])
	}
}

// loadFrom returns the load of a group as the entries of a data centre see it.
func (c *centre) loadFrom(from stoatpaddle.DataCentreID, entries int) stoatload.GroupLoad {
	answer := time.Duration(float64(worldHold) * c.slow)
	if c.use > 0.9 {
		answer = time.Duration(float64(answer) * min(5, 1+20*(c.use-0.9)))
	}
	return stoatload.GroupLoad{
		Group: stoatload.GroupID{Service: "app", DataCentre: c.name}, Entries: entries,
		Answered: c.answered[from], Rejected: c.rejected[from], InProgress: c.answered[from] * answer.Seconds(),
		AnswerTime: answer, Unqueued: worldHold,
		Levels: []stoatload.LevelLoad{{Priority: 1, Arrived: c.admitted[from], Admitted: c.admitted[from]}},
	}
}

// publish records what each data centre publishes now.
func (w *world) publish() {
	loads := map[stoatpaddle.DataCentreID]stoatload.CentreLoad{}
	for _, c := range w.centres {
		if c.failed {
			continue
		}
		l := stoatload.CentreLoad{DataCentre: c.name, At: w.now}
		for _, to := range w.centres {
			l.Groups = append(l.Groups, to.loadFrom(c.name, len(c.deciders)))
		}
		loads[c.name] = l
	}
	w.published = append(w.published, loads)
}

// visible returns the loads that have arrived in a data centre; those of a data centre that failed are its last.
func (w *world) visible(own stoatpaddle.DataCentreID) []stoatload.CentreLoad {
	var out []stoatload.CentreLoad
	newest := len(w.published) - 1 - int(w.delay/worldStep)
	for _, c := range w.centres {
		for i := newest; i >= 0 && c.name != own; i-- {
			if l, found := w.published[i][c.name]; found {
				out = append(out, l)
				break
			}
		}
	}
	return out
}

// update gives the deciders of a data centre their evidence.
func (w *world) update(c *centre, half bool) {
	e := Evidence{
		Own: c.loadFrom(c.name, len(c.deciders)), Entries: len(c.deciders),
		Rooms: RoomsOf(c.name, "app", w.visible(c.name), func(stoatpaddle.DataCentreID) Capacity { return Capacity{Slots: worldSlots} }),
	}
	for _, to := range w.centres {
		if to != c {
			e.Seen = append(e.Seen, to.loadFrom(c.name, len(c.deciders)))
		}
	}
	alone := scale(e.Own, len(c.deciders))
	for i, d := range c.deciders {
		if half && i%2 == 0 {
			d.Update(w.now, Evidence{Own: alone, Entries: len(c.deciders), Seen: e.Seen})
			continue
		}
		d.Update(w.now, e)
	}
}

// scale returns the load that one of n entries sees.
func scale(g stoatload.GroupLoad, n int) stoatload.GroupLoad {
	k := 1 / float64(n)
	g.Entries, g.Answered, g.Rejected, g.InProgress = 1, g.Answered*k, g.Rejected*k, g.InProgress*k
	g.Levels = []stoatload.LevelLoad{{Priority: 1, Arrived: g.Levels[0].Arrived * k, Admitted: g.Levels[0].Admitted * k}}
	return g
}

// countCycles counts the steps in which two data centres send each other openings, or one that receives some passes
// on others.
func (w *world) countCycles() {
	for _, c := range w.centres {
		receives, sends := false, false
		for _, o := range w.centres {
			if o != c {
				receives = receives || c.arrived[o.name] > 0
				sends = sends || o.arrived[c.name] > 0
			}
		}
		if receives && sends {
			w.cycles++
		}
	}
}

// lostShare returns the share of the openings of a data centre's callers that were rejected.
func (w *world) lostShare(name stoatpaddle.DataCentreID) float64 {
	return w.lost[name] / max(1, w.own[name])
}
