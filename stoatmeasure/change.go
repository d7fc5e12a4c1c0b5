package stoatmeasure

import (
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// propagate changes what each running entry except one knows, after a random delay for each from base to
// base + spread. A nil exception leaves no entry out.
func (f *fleet) propagate(except *entry, base, spread time.Duration, change func(e *entry)) {
	for _, e := range f.entries {
		if e == except {
			continue
		}
		f.q.after(base+time.Duration(f.rnd.Int64N(int64(spread))), func() {
			if e.alive {
				change(e)
				f.rebuildView(e)
			}
		})
	}
}

// setInstance adds an instance to those that an entry knows, or replaces it there.
func setInstance(e *entry, i stoatpaddle.Instance) {
	list := append([]stoatpaddle.Instance(nil), e.input.Instances...)
	for n := range list {
		if list[n].ID == i.ID {
			list[n] = i
			e.input.Instances = list
			return
		}
	}
	e.input.Instances = append(list, i)
}

func removeInstance(e *entry, id stoatpaddle.InstanceID) {
	var list []stoatpaddle.Instance
	for _, i := range e.input.Instances {
		if i.ID != id {
			list = append(list, i)
		}
	}
	e.input.Instances = list
}

func withInstance(m map[stoatpaddle.InstanceID]bool, id stoatpaddle.InstanceID) map[stoatpaddle.InstanceID]bool {
	out := map[stoatpaddle.InstanceID]bool{id: true}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// beginEntryStop begins a planned stop of an entry.
func (f *fleet) beginEntryStop(e *entry) {
	e.leaving, e.leavingSince = true, f.q.now
	e.instance.State = stoatpaddle.StateLeaving
	f.instances[e.instance.ID] = e.instance
	setInstance(e, e.instance)
	f.rebuildView(e)
	f.propagate(e, 0, maxPropagationDelay, func(o *entry) { setInstance(o, e.instance) })
}

// finishEntryStop ends a planned stop: the entry's object is removed.
func (f *fleet) finishEntryStop(e *entry) {
	delete(f.instances, e.instance.ID)
	f.propagate(e, 0, maxPropagationDelay, func(o *entry) { removeInstance(o, e.instance.ID) })
}

// addEntry starts one more entry.
func (f *fleet) addEntry() *entry {
	e := f.declareEntry()
	e.alive = true
	f.boot(e)
	f.propagate(e, 0, maxPropagationDelay, func(o *entry) {
		setInstance(o, e.instance)
		if !f.connected(o, e) {
			f.scheduleDetection(o, e, true)
		}
	})
	for _, o := range f.entries {
		if o != e && o.alive && !f.connected(e, o) {
			f.scheduleDetection(e, o, true)
		}
	}
	return e
}

// killEntry ends an entry without notice; the others detect its silence.
func (f *fleet) killEntry(e *entry) {
	e.alive = false
	f.propagate(e, detectionDelay, detectionJitter, func(o *entry) { o.input.Dead = withInstance(o.input.Dead, e.instance.ID) })
}

// markUpstreamLeaving marks an upstream as leaving. The time of the mark serves as its incarnation.
func (f *fleet) markUpstreamLeaving(n int) {
	id := stoatpaddle.InstanceID(f.contract.Services[0].Upstreams[n].ID)
	f.instances[id] = stoatpaddle.Instance{ID: id, Role: stoatpaddle.RoleUpstream, Incarnation: stoatpaddle.Incarnation(f.q.now)}
	f.propagate(nil, 0, maxPropagationDelay, func(o *entry) { o.input.Leaving = withInstance(o.input.Leaving, id) })
}

// leftAt returns when an upstream was marked as leaving.
func (f *fleet) leftAt(id stoatpaddle.UpstreamID) time.Duration {
	return time.Duration(f.instances[stoatpaddle.InstanceID(id)].Incarnation)
}

// propagateContract makes every entry learn the current contract.
func (f *fleet) propagateContract() {
	c := f.contract
	c.Services = append([]stoatpaddle.Service(nil), c.Services...)
	f.propagate(nil, 0, maxPropagationDelay, func(o *entry) { o.input.Contracts = []stoatpaddle.Contract{c} })
}

func (f *fleet) addUpstream() {
	f.declareUpstream()
	f.propagateContract()
}

// setWeights changes the weights of the first upstreams.
func (f *fleet) setWeights(weights ...stoatpaddle.Weight) {
	s := &f.contract.Services[0]
	upstreams := append([]stoatpaddle.Upstream(nil), s.Upstreams...)
	for i, w := range weights {
		upstreams[i].Weight = w
	}
	s.Upstreams = upstreams
	f.propagateContract()
}

// partition disconnects data centre 0 from the others; entries on each side detect that the other is silent.
func (f *fleet) partition() {
	f.partitioned = true
	for _, id := range slices.Sorted(maps.Keys(f.live)) {
		f.assignSide(f.live[id])
	}
	for _, o := range f.entries {
		for _, e := range f.entries {
			if e.alive && o.alive && !f.connected(e, o) {
				f.scheduleDetection(e, o, true)
			}
		}
	}
}

// heal reconnects data centre 0.
func (f *fleet) heal() {
	f.partitioned = false
	f.healedAt = f.q.now
	for _, o := range f.entries {
		for _, e := range f.entries {
			if e != o && o.alive && e.alive && f.sideOf(e.instance.DataCentre) != f.sideOf(o.instance.DataCentre) {
				f.scheduleDetection(e, o, false)
				e.engine.Resync(o.instance.ID)
			}
		}
	}
}

// scheduleDetection makes e detect that o is silent (dead) or answers again, unless the partition has ended or
// begun by then.
func (f *fleet) scheduleDetection(e, o *entry, dead bool) {
	base := time.Duration(0)
	if dead {
		base = detectionDelay
	}
	f.q.after(base+time.Duration(f.rnd.Int64N(int64(detectionJitter))), func() {
		if !e.alive || f.partitioned != dead {
			return
		}
		m := withInstance(e.input.Dead, o.instance.ID)
		if !dead {
			delete(m, o.instance.ID)
		}
		e.input.Dead = m
		e.input.Partitioned = partitionedCentres(e)
		f.rebuildView(e)
	})
}

// partitionedCentres returns the data centres in which no entry answers.
func partitionedCentres(e *entry) map[stoatpaddle.DataCentreID]bool {
	alive := map[stoatpaddle.DataCentreID]bool{}
	out := map[stoatpaddle.DataCentreID]bool{}
	for _, i := range e.input.Instances {
		if !e.input.Dead[i.ID] {
			alive[i.DataCentre] = true
		}
	}
	for _, i := range e.input.Instances {
		if !alive[i.DataCentre] {
			out[i.DataCentre] = true
		}
	}
	return out
}
