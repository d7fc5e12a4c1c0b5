package stoatmeasure

import (
	"maps"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// learn has every living entry but one learn of a change, each at its own moment.
func (f *fleet) learn(except *entry, base, spread time.Duration, change func(e *entry)) {
	for _, e := range f.entries {
		if e == except {
			continue
		}
		f.q.after(base+time.Duration(f.rnd.Int64N(int64(spread))), func() {
			if e.alive {
				change(e)
				f.rebuild(e)
			}
		})
	}
}

// know sets what an entry knows of an instance.
func know(e *entry, i stoatpaddle.Instance) {
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

func forget(e *entry, id stoatpaddle.InstanceID) {
	var list []stoatpaddle.Instance
	for _, i := range e.input.Instances {
		if i.ID != id {
			list = append(list, i)
		}
	}
	e.input.Instances = list
}

func with(m map[stoatpaddle.InstanceID]bool, id stoatpaddle.InstanceID) map[stoatpaddle.InstanceID]bool {
	out := map[stoatpaddle.InstanceID]bool{id: true}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// entryLeaves begins a planned stop.
func (f *fleet) entryLeaves(e *entry) {
	e.leaving, e.since = true, f.q.now
	e.inst.State = stoatpaddle.StateLeaving
	f.instance[e.inst.ID] = e.inst
	know(e, e.inst)
	f.rebuild(e)
	f.learn(e, 0, learnWithin, func(o *entry) { know(o, e.inst) })
}

// gone is the end of a planned stop: the entry's object is removed.
func (f *fleet) gone(e *entry) {
	delete(f.instance, e.inst.ID)
	f.learn(e, 0, learnWithin, func(o *entry) { forget(o, e.inst.ID) })
}

// entryJoins starts one more entry.
func (f *fleet) entryJoins() *entry {
	e := f.declareEntry()
	e.alive = true
	f.boot(e)
	f.learn(e, 0, learnWithin, func(o *entry) {
		know(o, e.inst)
		if !f.reach(o, e) {
			f.notice(o, e, true)
		}
	})
	for _, o := range f.entries {
		if o != e && o.alive && !f.reach(e, o) {
			f.notice(e, o, true)
		}
	}
	return e
}

// entryDies ends an entry without a word; the others notice by its silence.
func (f *fleet) entryDies(e *entry) {
	e.alive = false
	f.learn(e, deadAfter, deadJitter, func(o *entry) { o.input.Dead = with(o.input.Dead, e.inst.ID) })
}

// upstreamLeaves marks an upstream as leaving.
func (f *fleet) upstreamLeaves(n int) {
	id := stoatpaddle.InstanceID(f.contract.Services[0].Upstreams[n].ID)
	f.instance[id] = stoatpaddle.Instance{ID: id, Role: stoatpaddle.RoleUpstream, Incarnation: stoatpaddle.Incarnation(f.q.now)}
	f.learn(nil, 0, learnWithin, func(o *entry) { o.input.Leaving = with(o.input.Leaving, id) })
}

func (f *fleet) leftAt(id stoatpaddle.UpstreamID) time.Duration {
	return time.Duration(f.instance[stoatpaddle.InstanceID(id)].Incarnation)
}

// amend has every entry learn of the present contract.
func (f *fleet) amend() {
	c := f.contract
	c.Services = append([]stoatpaddle.Service(nil), c.Services...)
	f.learn(nil, 0, learnWithin, func(o *entry) { o.input.Contracts = []stoatpaddle.Contract{c} })
}

func (f *fleet) upstreamJoins() {
	f.addUpstream()
	f.amend()
}

// reweigh changes the weights of some upstreams.
func (f *fleet) reweigh(weights ...stoatpaddle.Weight) {
	s := &f.contract.Services[0]
	ups := append([]stoatpaddle.Upstream(nil), s.Upstreams...)
	for i, w := range weights {
		ups[i].Weight = w
	}
	s.Upstreams = ups
	f.amend()
}

// partition cuts data centre 0 off; each side notices the other's silence.
func (f *fleet) partition() {
	f.cut = true
	for _, id := range slices.Sorted(maps.Keys(f.live)) {
		f.place(f.live[id])
	}
	for _, o := range f.entries {
		for _, e := range f.entries {
			if e.alive && o.alive && !f.reach(e, o) {
				f.notice(e, o, true)
			}
		}
	}
}

// heal joins the network again.
func (f *fleet) heal() {
	f.cut = false
	f.healed = f.q.now
	for _, o := range f.entries {
		for _, e := range f.entries {
			if e != o && o.alive && e.alive && f.sideOf(e.inst.DataCentre) != f.sideOf(o.inst.DataCentre) {
				f.notice(e, o, false)
				e.engine.Resync(o.inst.ID)
			}
		}
	}
}

// notice has e find out that o is silent, or heard again.
func (f *fleet) notice(e, o *entry, dead bool) {
	base := time.Duration(0)
	if dead {
		base = deadAfter
	}
	f.q.after(base+time.Duration(f.rnd.Int64N(int64(deadJitter))), func() {
		if !e.alive || f.cut != dead {
			return
		}
		m := with(e.input.Dead, o.inst.ID)
		if !dead {
			delete(m, o.inst.ID)
		}
		e.input.Dead = m
		e.input.Partitioned = cutCentres(e)
		f.rebuild(e)
	})
}

// cutCentres returns the data centres none of whose entries answers.
func cutCentres(e *entry) map[stoatpaddle.DataCentreID]bool {
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
