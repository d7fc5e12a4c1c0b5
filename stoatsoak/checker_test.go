package stoatsoak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const second = time.Second

func testLimits() TimeLimits {
	return TimeLimits{ApplyDelay: 3 * second, StableDelay: 4 * second, Slack: second, RecoveryTime: 12 * second}
}

// For each guarantee, the checker records what violates it, but not what is allowed or what a disturbance
// excuses.
func TestGuarantees(t *testing.T) {
	for name, test := range map[string]struct {
		observe func(c *checker)
		want    []Guarantee
	}{
		"a request is run by another service":         {func(c *checker) { c.requestRan(0, "r1", "intake", "app", true) }, []Guarantee{CorrectService}},
		"a request is run by its own service":         {func(c *checker) { c.requestRan(0, "r1", "app", "app", true) }, nil},
		"a caller gets the answer to another request": {func(c *checker) { c.gotAnswer(0, "r1", "r2") }, []Guarantee{CorrectAnswer}},
		"a caller gets the answer to its own request": {func(c *checker) { c.gotAnswer(0, "r1", "r1") }, nil},
		"a request that is not repeatable runs twice": {func(c *checker) {
			c.requestRan(0, "r1", "app", "app", false)
			c.requestRan(0, "r1", "app", "app", false)
		}, []Guarantee{AtMostOnce}},
		"a repeatable request runs twice": {func(c *checker) {
			c.requestRan(0, "r1", "app", "app", true)
			c.requestRan(0, "r1", "app", "app", true)
		}, nil},
		"a flow is reset": {func(c *checker) { c.flowReset(20*second, "f", "u", false) }, []Guarantee{FlowSurvives}},
		"a flow is reset during a disturbance": {func(c *checker) {
			c.beginDisturbance(19 * second)
			c.flowReset(20*second, "f", "u", false)
		}, nil},
		"a flow is reset just after a disturbance": {func(c *checker) {
			c.beginDisturbance(15 * second)(17 * second)
			c.flowReset(20*second, "f", "u", false)
		}, nil},
		"a flow is reset long after a disturbance": {func(c *checker) {
			c.beginDisturbance(10 * second)(12 * second)
			c.flowReset(20*second, "f", "u", false)
		}, []Guarantee{FlowSurvives}},
		"a flow is reset during a stall of the run": {func(c *checker) {
			c.tick(19 * second)
			c.tick(19*second + 20*time.Millisecond)
			c.flowReset(19*second+300*time.Millisecond, "f", "u", false)
		}, nil},
		"a flow is reset just after a stall of the run": {func(c *checker) {
			c.tick(19 * second)
			c.tick(19*second + 280*time.Millisecond)
			c.flowReset(19*second+290*time.Millisecond, "f", "u", false)
		}, nil},
		"a flow is reset long after a stall of the run": {func(c *checker) {
			c.tick(10 * second)
			c.tick(11 * second)
			for at := 11 * second; at < 20*second; at += 20 * time.Millisecond {
				c.tick(at)
			}
			c.flowReset(20*second, "f", "u", false)
		}, []Guarantee{FlowSurvives}},
		"a flow is reset without a stall of the run": {func(c *checker) {
			c.tick(19*second + 920*time.Millisecond)
			c.flowReset(20*second, "f", "u", false)
		}, []Guarantee{FlowSurvives}},
		"a leaving upstream gets a flow after the time limit":        {func(c *checker) { c.openedAtLeaving(15*second, 10*second, "u") }, []Guarantee{NoFlowToLeaving}},
		"a leaving upstream gets a flow within the time limit":       {func(c *checker) { c.openedAtLeaving(13*second, 10*second, "u") }, nil},
		"an evacuated data centre gets a flow after the time limit":  {func(c *checker) { c.openedAtEvacuated(15*second, 10*second, "u", "east") }, []Guarantee{NoFlowToEvacuated}},
		"an evacuated data centre gets a flow within the time limit": {func(c *checker) { c.openedAtEvacuated(13*second, 10*second, "u", "east") }, nil},
		"an evacuated data centre gets a flow during a disturbance": {func(c *checker) {
			c.beginDisturbance(11 * second)
			c.openedAtEvacuated(15*second, 10*second, "u", "east")
		}, nil},
		"a cold upstream gets too many flows at once": {func(c *checker) {
			for range 9 {
				c.openedAtCold(20*second, "u", 2)
			}
		}, []Guarantee{ColdLimit}},
		"a cold upstream gets as many flows within two seconds": {func(c *checker) {
			for i := range 9 {
				c.openedAtCold(20*second+time.Duration(i)*second/4, "u", 2)
			}
		}, nil},
		"a flow is reset during an overload": {func(c *checker) {
			c.beginOverload(19 * second)
			c.flowReset(20*second, "f", "u", false)
		}, []Guarantee{FlowSurvives}},
		"an added route refuses a flow after the time limit":  {func(c *checker) { c.routeProbed(15*second, probed(true, false)) }, []Guarantee{ConfigApplied}},
		"a removed route accepts a flow after the time limit": {func(c *checker) { c.routeProbed(15*second, probed(false, true)) }, []Guarantee{ConfigApplied}},
		"an added route refuses a flow within the time limit": {func(c *checker) { c.routeProbed(12*second, probed(true, false)) }, nil},
		"a route in force refuses a flow": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			c.routeProbed(15*second, probed(true, false))
		}, []Guarantee{AdmitsFlows}},
		"a route in force refuses a flow soon after an overload": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			c.beginOverload(12 * second)(14 * second)
			c.routeProbed(15*second, probed(true, false))
		}, nil},
		"a route in force refuses a flow long after an overload": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			c.beginOverload(12 * second)(14 * second)
			c.routeProbed(17*second, probed(true, false))
		}, []Guarantee{AdmitsFlows}},
		"a route in force refuses a flow while no upstream has room": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			p := probed(true, false)
			p.hasRoom = false
			c.routeProbed(15*second, p)
		}, nil},
		"a route is not in force during an overload": {func(c *checker) {
			c.beginOverload(12 * second)
			c.versionApplied(11*second, "e#1", 3)
			c.routeProbed(15*second, probed(true, false))
		}, []Guarantee{ConfigApplied}},
		"an entry process returns to an older configuration": {func(c *checker) {
			c.versionApplied(0, "e#1", 5)
			c.versionApplied(0, "e#1", 3)
		}, []Guarantee{ConfigNeverReverts}},
		"an older configuration is in force at another process": {func(c *checker) {
			c.versionApplied(0, "e#1", 5)
			c.versionApplied(0, "e#2", 3)
		}, nil},
		"a request is not served": {func(c *checker) { c.requestDone(33*second, 30*second, "feed", false, false) }, []Guarantee{Recovers}},
		"a request is not served soon after a disturbance": {func(c *checker) {
			c.beginDisturbance(10 * second)(20 * second)
			c.requestDone(33*second, 30*second, "feed", false, false)
		}, nil},
		"a request runs after it was refused": {func(c *checker) {
			c.requestRefused(0, 0, "r1.0", false)
			c.requestRan(0, "r1.0", "app", "app", true)
		}, []Guarantee{NotRun}},
		"a request is rejected after it ran": {func(c *checker) {
			c.requestRan(0, "r1.0", "app", "app", true)
			c.requestRefused(0, 0, "r1.0", true)
		}, []Guarantee{NotRun}},
		"a rejected request runs at its next attempt": {func(c *checker) {
			c.requestRefused(0, 0, "r1.0", true)
			c.requestRan(0, "r1.1", "app", "app", false)
		}, nil},
		"two attempts of a request that is not repeatable run": {func(c *checker) {
			c.requestRan(0, "r1.0", "app", "app", false)
			c.requestRan(0, "r1.1", "app", "app", false)
		}, []Guarantee{AtMostOnce}},
		"a refusal comes late":    {func(c *checker) { c.requestRefused(22*second, 20*second, "r1.0", false) }, []Guarantee{PromptRefusal}},
		"a rejection comes late":  {func(c *checker) { c.requestRefused(22*second, 20*second, "r1.0", true) }, []Guarantee{PromptRefusal}},
		"a refusal comes at once": {func(c *checker) { c.requestRefused(20*second+100*time.Millisecond, 20*second, "r1.0", false) }, nil},
		"a refusal comes late during an overload": {func(c *checker) {
			c.beginOverload(19 * second)
			c.requestRefused(22*second, 20*second, "r1.0", false)
		}, []Guarantee{PromptRefusal}},
		"a refusal comes late during a disturbance": {func(c *checker) {
			c.beginDisturbance(21 * second)
			c.requestRefused(22*second, 20*second, "r1.0", false)
		}, nil},
		"an opening gets no answer": {func(c *checker) { c.openingSilent(22*second, 20*second, "feed") }, []Guarantee{PromptRefusal}},
		"an opening gets no answer during a disturbance": {func(c *checker) {
			c.beginDisturbance(19 * second)
			c.openingSilent(22*second, 20*second, "feed")
		}, nil},
		"a flow within a data centre is reset during a cut": {func(c *checker) {
			c.beginCut(19 * second)
			c.flowReset(20*second, "f", "u", true)
		}, []Guarantee{FlowSurvives}},
		"a flow between data centres is reset during a cut": {func(c *checker) {
			c.beginCut(19 * second)
			c.flowReset(20*second, "f", "u", false)
		}, nil},
		"a request is not served long after a crowd": {func(c *checker) {
			c.beginOverload(10 * second)(17 * second)
			c.requestDone(33*second, 30*second, "feed", false, false)
		}, []Guarantee{Recovers}},
		"an entry exits": {func(c *checker) { c.entryExited(0, "e", "exit 1") }, []Guarantee{EntryRuns}},
	} {
		c := newChecker(testLimits())
		test.observe(c)
		_, breaches := c.result()
		var got []Guarantee
		for _, b := range breaches {
			got = append(got, b.Guarantee)
		}
		if len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
			t.Errorf("%s: %v, expected %v", name, got, test.want)
		}
	}
}

// probed returns the result of a probe of a route that version 4 added or removed at 10 s.
func probed(configured, opened bool) probeResult {
	return probeResult{entry: "e", process: "e#1", route: "x", configured: configured, version: 4, ackedAt: 10 * second, opened: opened, hasRoom: true}
}

// With SkipTimed, only the guarantees that do not depend on timing are checked.
func TestSkipTimed(t *testing.T) {
	limits := testLimits()
	limits.SkipTimed = true
	c := newChecker(limits)
	c.flowReset(20*second, "f", "u", false)
	c.requestDone(33*second, 30*second, "feed", false, false)
	c.gotAnswer(0, "r1", "r2")
	if _, breaches := c.result(); len(breaches) != 1 || breaches[0].Guarantee != CorrectAnswer {
		t.Error(breaches)
	}
}

// A seed always gives the same steps, all of which are within the run's time. Another seed gives other steps.
// The seeds together use all kinds.
func TestPlan(t *testing.T) {
	text := func(seed uint64) string {
		var b strings.Builder
		for _, s := range NewPlan(seed, time.Minute) {
			b.WriteString(s.String() + "\n")
			if s.At < warmUp || s.At > time.Minute-coolDown || s.For < second || s.For > maxStepDuration && !slices.Contains(overlappingKinds, s.Kind) || s.For > maxOverlappingDuration {
				t.Error(s)
			}
		}
		return b.String()
	}
	if text(1) != text(1) || text(1) == text(2) || strings.Count(text(1), "\n") < 10 {
		t.Error(text(1), text(2))
	}
	kinds := map[StepKind]bool{}
	for seed := range uint64(30) {
		for _, s := range NewPlan(seed, time.Minute) {
			kinds[s.Kind] = true
		}
	}
	if len(kinds) != len(plannedKinds)+len(overlappingKinds)+len(faultKinds) {
		t.Error("some kinds are never used:", kinds)
	}
}

// A seed always gives the same crowds. Each of them has a cut or the loss of a root in it, depending on the seed, and
// leaves time to recover before the next one and the end of the run.
func TestCrowdPlan(t *testing.T) {
	const length = 50 * second
	for seed := range uint64(30) {
		steps := NewCrowdPlan(seed, length)
		if !slices.Equal(steps, NewCrowdPlan(seed, length)) {
			t.Error(seed, steps)
		}
		var crowd Step
		crowds, faults := 0, 0
		for _, s := range steps {
			switch {
			case s.Kind == CrowdCentre:
				if crowds > 0 && s.At < crowd.At+crowd.For+testLimits().RecoveryTime || s.At+s.For+testLimits().RecoveryTime >= length {
					t.Error(seed, "no time to recover:", s)
				}
				crowds, crowd = crowds+1, s
			case !s.Kind.Planned():
				faults++
				if s.Kind != []StepKind{CutCentres, KillRoot}[seed%2] {
					t.Error(seed, s)
				}
			}
			if s.At < crowd.At || s.At+s.For > crowd.At+crowd.For+second {
				t.Error(seed, "not in a crowd:", s)
			}
		}
		if crowds != 2 || faults != crowds {
			t.Error(seed, crowds, faults)
		}
	}
}

// A report shows the steps before a breach, but not those after it.
func TestReport(t *testing.T) {
	var b strings.Builder
	r := Result{Seed: 7, Steps: []Step{{At: second, Kind: DrainUpstream}, {At: 9 * second, Kind: KillEntry}}, Breaches: []Breach{{At: 5 * second, Guarantee: NoFlowToLeaving, Description: "x"}}}
	if err := Report(&b, r, false); err != nil || !strings.Contains(b.String(), "after   1.00 s drain") || strings.Contains(b.String(), "kill") {
		t.Error(err, b.String())
	}
	b.Reset()
	if err := Report(&b, r, true); err != nil || !strings.Contains(b.String(), `"faults":{"drain":1,"kill":1}`) {
		t.Error(err, b.String())
	}
}

// Two runs with the same seed on one machine use different subnets.
func TestReserveSubnet(t *testing.T) {
	one, two := &harness{cfg: Config{Seed: 77}}, &harness{cfg: Config{Seed: 77}}
	for _, h := range []*harness{one, two} {
		if err := h.reserveSubnet(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = h.subnetLock.Close() })
	}
	if one.subnet == two.subnet {
		t.Error("both use", one.subnet)
	}
}

// After shutdown, some processes of a run may not have exited yet. Another run that took the same subnet now
// would find their ports in use, so the subnet stays reserved until all have exited.
func TestSubnetReservedUntilClosed(t *testing.T) {
	first := &harness{cfg: Config{Seed: 77}}
	if err := first.reserveSubnet(); err != nil {
		t.Fatal(err)
	}
	first.shutdown()
	second := &harness{cfg: Config{Seed: 77}}
	if err := second.reserveSubnet(); err != nil {
		t.Fatal(err)
	}
	if first.subnet == second.subnet {
		t.Error("both have 127.", first.subnet)
	}
	_, _ = first.subnetLock.Close(), second.subnetLock.Close()
}
