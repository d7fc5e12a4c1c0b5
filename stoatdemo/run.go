package stoatdemo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatadmin"
)

// The defaults of Config.
const (
	DefaultFlows   = 3000
	DefaultEntries = 9
	DefaultSeed    = 1
)

// phaseTime is how long traffic flows after each change.
const phaseTime = 1500 * time.Millisecond

// inForceWithin is the promise about an accepted contract.
const inForceWithin = 4 * time.Second

// GuaranteeError reports promises that the demo saw broken.
type GuaranteeError struct{ Violations []string }

// Error lists the promises.
func (e *GuaranteeError) Error() string {
	text := "promises broken:"
	for _, p := range e.Violations {
		text += "\n  " + p
	}
	return text
}

// TimeoutError reports something that did not come about in time.
type TimeoutError struct{ What string }

// Error names it.
func (e *TimeoutError) Error() string { return "timeout: " + e.What }

// phase is one step of the demo.
type phase struct {
	name    string
	allowed float64 // part of the flows that may break
	act     func(w *world) (string, error)
}

var phases = []phase{
	{name: "steady", act: func(*world) (string, error) { return "", nil }},
	{name: "two operators amend at once", act: (*world).amend},
	{name: "an upstream is drained", act: (*world).drain},
	{name: "an upstream is added", act: (*world).grow},
	{name: "a data centre is evacuated", act: (*world).evacuate},
	{name: "an entry is replaced", act: (*world).replace},
	{name: "an entry dies", allowed: 0.0005, act: (*world).kill},
	{name: "platform down", act: (*world).platformDown},
	{name: "platform up", act: (*world).platformUp},
}

// Run runs the demo and returns *BrokenError if a promise was broken.
func Run(ctx context.Context, cfg Config) error {
	w, err := newWorld(ctx, cfg)
	defer w.close()
	if err != nil {
		return err
	}
	if err := w.start(); err != nil {
		return err
	}
	t := &table{out: cfg.Out}
	t.head()
	var broken []string
	for _, p := range phases {
		before := w.measure()
		note, err := p.act(w)
		if err != nil {
			return err
		}
		w.settle(time.Now())
		w.wait(phaseTime)
		after := w.measure()
		t.row(p.name, before, after, note)
		broken = append(broken, judge(p, before, after)...)
	}
	broken = append(broken, w.broken...)
	if w.drained != nil && !w.drained() {
		broken = append(broken, "a new flow reached the leaving upstream later than "+leavingWithin.String())
	}
	if len(broken) > 0 {
		return &GuaranteeError{Violations: broken}
	}
	t.end(w.platform.Calls(), len(w.sets))
	return nil
}

func (w *world) wait(d time.Duration) {
	select {
	case <-w.ctx.Done():
	case <-time.After(d):
	}
}

// settleWithin bounds how long flows may wait for an answer after a change: a caller repeats after a
// second, and again if the machine is busy.
const settleWithin = 6 * time.Second

// settle waits until no flow waits for what it sent before a change was complete. A flow that the
// change broke is noticed with its next answer: on a busy machine in the next phase, to which it does not
// belong. Flows that stay without an answer are left to the phases that follow.
func (w *world) settle(changed time.Time) {
	_, _ = w.until("answers", settleWithin, func() bool { return w.callers.Unanswered(changed) == 0 })
}

const startTimeout = 10 * time.Second

// until polls a condition.
func (w *world) until(what string, within time.Duration, ok func() bool) (time.Duration, error) {
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > within || w.ctx.Err() != nil {
			return 0, &TimeoutError{What: what}
		}
		w.wait(20 * time.Millisecond)
	}
	return time.Since(begin), nil
}

// start writes the contracts and waits until all flows are open.
func (w *world) start() error {
	_, err := w.until("entries ready", startTimeout, func() bool { return w.inForce("", 0) })
	if err != nil {
		return err
	}
	for i, c := range customers {
		version, err := w.apply(i, w.contracts[c.id], 0)
		if err != nil {
			return err
		}
		if _, err := w.until("contract in force", inForceWithin, func() bool { return w.inForce(c.id, version) }); err != nil {
			return err
		}
	}
	w.forward()
	w.callers.Start(w.group)
	w.startClients()
	_, err = w.until("flows open", startTimeout, func() bool {
		return w.callers.Counts().Open >= w.cfg.Flows*99/100
	})
	return err
}

// inForce tells whether every entry serves and holds the customer's contract at least at the version.
func (w *world) inForce(id stoatpaddle.CustomerID, version stoatpaddle.Version) bool {
	w.mu.Lock()
	entries := append(w.entries[:0:0], w.entries...)
	w.mu.Unlock()
	for _, e := range entries {
		st, err := e.Status()
		if err != nil || !st.Ready {
			return false
		}
		found := id == ""
		for _, c := range st.Contracts {
			found = found || c.Customer == id && c.Version >= version
		}
		if !found {
			return false
		}
	}
	return true
}

func (w *world) version(id stoatpaddle.CustomerID) (stoatpaddle.Version, error) {
	list, err := w.admin(0).Contracts(w.ctx)
	if err != nil {
		return 0, err
	}
	for _, c := range list {
		if c.Customer == string(id) {
			return stoatpaddle.Version(c.Version), nil
		}
	}
	return 0, &TimeoutError{What: "contract " + string(id)}
}

// amend has two operators amend one contract from the same version through two entries.
func (w *world) amend() (string, error) {
	base, err := w.version(customers[0].id)
	if err != nil {
		return "", err
	}
	one, two := w.contracts[customers[0].id], w.contracts[customers[0].id]
	one.Limits.Flows++
	two.Limits.Flows += 2
	type result struct {
		version stoatpaddle.Version
		err     error
	}
	results := make(chan result, 2)
	for i, c := range []stoatpaddle.Contract{one, two} {
		w.group.Go(func() error {
			v, err := w.apply(i*4, c, base)
			results <- result{v, err}
			return nil
		})
	}
	won, lost := <-results, <-results
	if won.err != nil {
		won, lost = lost, won
	}
	var refused *stoatadmin.RefusedError
	if won.err != nil {
		return "", won.err
	}
	if !errors.As(lost.err, &refused) {
		return "", &TimeoutError{What: "refusal of the second amendment"}
	}
	took, err := w.until("amendment in force", inForceWithin, func() bool { return w.inForce(customers[0].id, won.version) })
	return fmt.Sprintf("one accepted, one %d; in force everywhere after %d ms", refused.Status, took.Milliseconds()), err
}

// drain marks an upstream as leaving and checks that it gets no new flow after 3 s.
func (w *world) drain() (string, error) {
	id := stoatpaddle.UpstreamID(string(customers[0].flow) + "-a")
	if _, err := w.admin(1).SetInstanceState(w.ctx, stoatpaddle.InstanceID(id), stoatpaddle.StateLeaving); err != nil {
		return "", err
	}
	marked := time.Now()
	u := w.upstreams[id]
	w.wait(time.Second)
	last := u.LastOpened()
	w.wait(2 * time.Second)
	w.drained = func() bool { return u.LastOpened().Sub(marked) < leavingWithin }
	return fmt.Sprintf("last new flow there after %d ms; %d flows still live on it", max(0, last.Sub(marked).Milliseconds()), u.OpenFlows()), nil
}

// grow adds an upstream to the contract of the other customer.
func (w *world) grow() (string, error) {
	cust := customers[1]
	base, err := w.version(cust.id)
	if err != nil {
		return "", err
	}
	u, err := w.addUpstream(cust.flow, flowServers)
	if err != nil {
		return "", err
	}
	c := w.contracts[cust.id]
	c.Services[0].Upstreams = append(c.Services[0].Upstreams, u)
	w.contracts[cust.id] = c
	version, err := w.apply(2, c, base)
	if err != nil {
		return "", err
	}
	took, err := w.until("new upstream in force", inForceWithin, func() bool { return w.inForce(cust.id, version) })
	return fmt.Sprintf("in force everywhere after %d ms", took.Milliseconds()), err
}

// evacuate has a data centre evacuated, checks that its upstreams get no new flow after 3 s, and takes it back.
func (w *world) evacuate() (string, error) {
	dc := centres[len(centres)-1]
	if _, err := w.admin(3).Evacuate(w.ctx, dc); err != nil {
		return "", err
	}
	began := time.Now()
	took, err := w.until("evacuation in force", inForceWithin, func() bool { return w.evacuated(dc) })
	if err != nil {
		return "", err
	}
	w.wait(time.Second)
	var last time.Duration
	for _, c := range w.contracts {
		for _, u := range c.Services[0].Upstreams {
			if u.DataCentre == dc {
				last = max(last, w.upstreams[u.ID].LastOpened().Sub(began))
			}
		}
	}
	if last >= leavingWithin {
		w.broken = append(w.broken, "a new flow reached an evacuated data centre after "+last.String())
	}
	_, err = w.admin(0).EndEvacuation(w.ctx, dc)
	return fmt.Sprintf("in force everywhere after %d ms, last new flow there after %d ms", took.Milliseconds(), last.Milliseconds()), err
}

// evacuated tells whether all entries know of the evacuation.
func (w *world) evacuated(dc stoatpaddle.DataCentreID) bool {
	w.mu.Lock()
	entries := append(w.entries[:0:0], w.entries...)
	w.mu.Unlock()
	for _, e := range entries {
		st, err := e.Status()
		if err != nil || !slices.Contains(st.Evacuated, dc) {
			return false
		}
	}
	return true
}

// replace starts a new entry and stops an old one gracefully.
func (w *world) replace() (string, error) {
	if err := w.addEntry(); err != nil {
		return "", err
	}
	if _, err := w.until("new entry ready", startTimeout, func() bool { return w.inForce("", 0) }); err != nil {
		return "", err
	}
	w.forward()
	w.mu.Lock()
	old := w.entries[1]
	w.mu.Unlock()
	begin := time.Now()
	old.Stop()
	w.wait(fabricLag)
	e := w.forget(1)
	w.forward()
	e.Wait()
	return fmt.Sprintf("planned stop took %d ms", time.Since(begin).Milliseconds()), nil
}

// kill ends an entry without a word.
func (w *world) kill() (string, error) {
	e := w.forget(2)
	e.Kill()
	e.Wait()
	w.wait(time.Second)
	w.forward()
	return "the fabric notices after 1 s", nil
}

func (w *world) platformDown() (string, error) {
	w.platform.SetFaults(trouble{Down: true})
	return "", nil
}

func (w *world) platformUp() (string, error) {
	w.platform.SetFaults(trouble{})
	return "", nil
}

// measure reads all counters.
func (w *world) measure() reading {
	r := reading{at: time.Now(), flows: w.callers.Counts(), calls: w.calls(), control: w.controlBytes(), entries: len(w.entries)}
	skip := stoatpaddle.UpstreamID("")
	if w.drained != nil {
		skip = stoatpaddle.UpstreamID(string(customers[0].flow) + "-a")
	}
	for _, c := range customers {
		r.worst = max(r.worst, w.imbalance(w.contracts[c.id], skip))
	}
	return r
}
