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

// phaseDuration is how long traffic flows after each change.
const phaseDuration = 1500 * time.Millisecond

// inForceWithin bounds the time until an accepted contract is in force at every entry.
const inForceWithin = 4 * time.Second

// GuaranteeError reports guarantees that the demo found violated.
type GuaranteeError struct{ Violations []string }

// Error lists the violations.
func (e *GuaranteeError) Error() string {
	text := "guarantees violated:"
	for _, p := range e.Violations {
		text += "\n  " + p
	}
	return text
}

// TimeoutError reports something that did not happen in time.
type TimeoutError struct{ What string }

// Error names what did not happen.
func (e *TimeoutError) Error() string { return "timeout: " + e.What }

// phase is one step of the demo.
type phase struct {
	name           string
	maxBrokenShare float64 // share of the flows that may break
	change         func(env *environment) (string, error)
}

var phases = []phase{
	{name: "steady", change: func(*environment) (string, error) { return "", nil }},
	{name: "two operators amend at once", change: (*environment).amendConcurrently},
	{name: "an upstream is drained", change: (*environment).drainUpstream},
	{name: "an upstream is added", change: (*environment).growService},
	{name: "a data centre is evacuated", change: (*environment).evacuateCentre},
	{name: "an entry is replaced", change: (*environment).replaceEntry},
	{name: "an entry dies", maxBrokenShare: 0.0005, change: (*environment).killEntry},
	{name: "platform down", change: (*environment).platformDown},
	{name: "platform up", change: (*environment).platformUp},
}

// Run runs the demo. It returns *GuaranteeError if a guarantee was violated.
func Run(ctx context.Context, cfg Config) error {
	log, err := openRunLog(cfg.Log)
	if err != nil {
		return err
	}
	err = runPhases(ctx, cfg, log)
	log.close(cfg.Out, err)
	return err
}

func runPhases(ctx context.Context, cfg Config, log *runLog) error {
	env, err := newEnvironment(ctx, cfg, log)
	defer env.close()
	if err != nil {
		return err
	}
	if err := env.start(); err != nil {
		return err
	}
	t := &table{out: cfg.Out}
	t.printHeader()
	var violations []string
	for _, p := range phases {
		log.beginPhase(p.name)
		before := env.measure()
		note, err := p.change(env)
		if err != nil {
			return err
		}
		env.settle(time.Now())
		env.sleep(phaseDuration)
		after := env.measure()
		t.printRow(p.name, before, after, note)
		violations = append(violations, violationsOf(p, before, after)...)
	}
	violations = append(violations, env.violations...)
	if env.drainedInTime != nil && !env.drainedInTime() {
		violations = append(violations, "a new flow reached the leaving upstream later than "+maxDrainDelay.String())
	}
	if len(violations) > 0 {
		return &GuaranteeError{Violations: violations}
	}
	t.printSummary(env.platform.Calls(), len(env.settings))
	return nil
}

// sleep waits for a duration or until the demo is cancelled.
func (env *environment) sleep(d time.Duration) {
	select {
	case <-env.ctx.Done():
	case <-time.After(d):
	}
}

// settleWithin bounds how long flows may await an answer after a change: a caller repeats a segment after a
// second, and again if the machine is busy.
const settleWithin = 6 * time.Second

// settle waits until no flow awaits an answer to a segment that it sent before a change was complete. Only the
// next answer to a flow shows that the change broke it. On a busy machine that answer comes in the next phase, to
// which the broken flow must not be attributed. Flows that stay without an answer are left to the following
// phases.
func (env *environment) settle(changed time.Time) {
	_, _ = env.waitUntil("answers", settleWithin, func() bool { return env.callers.Unanswered(changed) == 0 })
}

// startTimeout bounds the start of an entry, and the opening of all flows.
const startTimeout = 10 * time.Second

// waitUntil polls a condition and returns how long it took to hold.
func (env *environment) waitUntil(what string, within time.Duration, ok func() bool) (time.Duration, error) {
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > within || env.ctx.Err() != nil {
			return 0, &TimeoutError{What: what}
		}
		env.sleep(20 * time.Millisecond)
	}
	return time.Since(begin), nil
}

// start applies the contracts, starts the traffic and waits until the flows are open.
func (env *environment) start() error {
	_, err := env.waitUntil("entries ready", startTimeout, func() bool { return env.inForce("", 0) })
	if err != nil {
		return err
	}
	for i, c := range customers {
		version, err := env.apply(i, env.contracts[c.id], 0)
		if err != nil {
			return err
		}
		if _, err := env.waitUntil("contract in force", inForceWithin, func() bool { return env.inForce(c.id, version) }); err != nil {
			return err
		}
	}
	env.updateFabric()
	env.callers.Start(env.group)
	env.startClients()
	_, err = env.waitUntil("flows open", startTimeout, func() bool {
		return env.callers.Counts().Open >= env.cfg.Flows*99/100
	})
	return err
}

// inForce reports whether every entry is ready and has the customer's contract, at least at the given
// version. With an empty id, only readiness is checked.
func (env *environment) inForce(id stoatpaddle.CustomerID, version stoatpaddle.Version) bool {
	env.mu.Lock()
	entries := append(env.entries[:0:0], env.entries...)
	env.mu.Unlock()
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

// currentVersion returns the version of a customer's contract.
func (env *environment) currentVersion(id stoatpaddle.CustomerID) (stoatpaddle.Version, error) {
	list, err := env.admin(0).Contracts(env.ctx)
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

// amendConcurrently lets two operators amend the same version of a contract, through two entries. Only one of
// them may succeed.
func (env *environment) amendConcurrently() (string, error) {
	base, err := env.currentVersion(customers[0].id)
	if err != nil {
		return "", err
	}
	one, two := env.contracts[customers[0].id], env.contracts[customers[0].id]
	one.Limits.Flows++
	two.Limits.Flows += 2
	type result struct {
		version stoatpaddle.Version
		err     error
	}
	results := make(chan result, 2)
	for i, c := range []stoatpaddle.Contract{one, two} {
		env.group.Go(func() error {
			v, err := env.apply(i*4, c, base)
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
	took, err := env.waitUntil("amendment in force", inForceWithin, func() bool { return env.inForce(customers[0].id, won.version) })
	return fmt.Sprintf("one accepted, one %d; in force everywhere after %d ms", refused.Status, took.Milliseconds()), err
}

// drainUpstream marks an upstream as leaving, and checks that it gets no new flow after 3 s.
func (env *environment) drainUpstream() (string, error) {
	id := stoatpaddle.UpstreamID(string(customers[0].flow) + "-a")
	if _, err := env.admin(1).SetInstanceState(env.ctx, stoatpaddle.InstanceID(id), stoatpaddle.StateLeaving); err != nil {
		return "", err
	}
	marked := time.Now()
	u := env.upstreams[id]
	env.sleep(time.Second)
	last := u.LastOpened()
	env.sleep(2 * time.Second)
	env.drainedInTime = func() bool { return u.LastOpened().Sub(marked) < maxDrainDelay }
	return fmt.Sprintf("last new flow there after %d ms; %d flows still live on it", max(0, last.Sub(marked).Milliseconds()), u.OpenFlows()), nil
}

// growService adds an upstream to the contract of the other customer.
func (env *environment) growService() (string, error) {
	cust := customers[1]
	base, err := env.currentVersion(cust.id)
	if err != nil {
		return "", err
	}
	u, err := env.addUpstream(cust.flow, flowServers)
	if err != nil {
		return "", err
	}
	c := env.contracts[cust.id]
	c.Services[0].Upstreams = append(c.Services[0].Upstreams, u)
	env.contracts[cust.id] = c
	version, err := env.apply(2, c, base)
	if err != nil {
		return "", err
	}
	took, err := env.waitUntil("new upstream in force", inForceWithin, func() bool { return env.inForce(cust.id, version) })
	return fmt.Sprintf("in force everywhere after %d ms", took.Milliseconds()), err
}

// evacuateCentre evacuates a data centre, checks that its upstreams get no new flow after 3 s, and ends the
// evacuation.
func (env *environment) evacuateCentre() (string, error) {
	dc := centres[len(centres)-1]
	if _, err := env.admin(3).Evacuate(env.ctx, dc); err != nil {
		return "", err
	}
	began := time.Now()
	took, err := env.waitUntil("evacuation in force", inForceWithin, func() bool { return env.evacuated(dc) })
	if err != nil {
		return "", err
	}
	env.sleep(time.Second)
	var last time.Duration
	for _, c := range env.contracts {
		for _, u := range c.Services[0].Upstreams {
			if u.DataCentre == dc {
				last = max(last, env.upstreams[u.ID].LastOpened().Sub(began))
			}
		}
	}
	if last >= maxDrainDelay {
		env.violations = append(env.violations, "a new flow reached an evacuated data centre after "+last.String())
	}
	_, err = env.admin(0).EndEvacuation(env.ctx, dc)
	return fmt.Sprintf("in force everywhere after %d ms, last new flow there after %d ms", took.Milliseconds(), last.Milliseconds()), err
}

// evacuated reports whether all entries know of the evacuation.
func (env *environment) evacuated(dc stoatpaddle.DataCentreID) bool {
	env.mu.Lock()
	entries := append(env.entries[:0:0], env.entries...)
	env.mu.Unlock()
	for _, e := range entries {
		st, err := e.Status()
		if err != nil || !slices.Contains(st.Evacuated, dc) {
			return false
		}
	}
	return true
}

// replaceEntry starts a new entry and stops an old one as planned.
func (env *environment) replaceEntry() (string, error) {
	if err := env.addEntry(); err != nil {
		return "", err
	}
	if _, err := env.waitUntil("new entry ready", startTimeout, func() bool { return env.inForce("", 0) }); err != nil {
		return "", err
	}
	env.updateFabric()
	env.mu.Lock()
	old := env.entries[1]
	env.mu.Unlock()
	begin := time.Now()
	old.Stop()
	env.sleep(fabricLag)
	e := env.removeEntry(1)
	env.updateFabric()
	e.Wait()
	return fmt.Sprintf("planned stop took %d ms", time.Since(begin).Milliseconds()), nil
}

// killEntry ends an entry without notice.
func (env *environment) killEntry() (string, error) {
	e := env.removeEntry(2)
	e.Kill()
	e.Wait()
	env.sleep(time.Second)
	env.updateFabric()
	return "the fabric notices after 1 s", nil
}

// platformDown makes the platform answer nothing.
func (env *environment) platformDown() (string, error) {
	env.platform.SetFaults(faults{Down: true})
	return "", nil
}

// platformUp ends the outage of the platform.
func (env *environment) platformUp() (string, error) {
	env.platform.SetFaults(faults{})
	return "", nil
}

// measure reads all counters.
func (env *environment) measure() reading {
	r := reading{at: time.Now(), flows: env.callers.Counts(), calls: env.calls(), controlBytes: env.controlBytes(), entries: len(env.entries)}
	skip := stoatpaddle.UpstreamID("")
	if env.drainedInTime != nil {
		skip = stoatpaddle.UpstreamID(string(customers[0].flow) + "-a")
	}
	for _, c := range customers {
		r.maxImbalance = max(r.maxImbalance, env.imbalance(env.contracts[c.id], skip))
	}
	return r
}
