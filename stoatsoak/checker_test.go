package stoatsoak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const second = time.Second

func testBounds() Bounds {
	return Bounds{Apply: 3 * second, Stable: 4 * second, Slack: second, Back: 12 * second}
}

// Each promise: what breaks it, what does not, and what a disturbance excuses.
func TestGuarantees(t *testing.T) {
	for name, test := range map[string]struct {
		observe func(c *checker)
		want    []Promise
	}{
		"another service runs a request": {func(c *checker) { c.requestRan(0, "r1", "intake", "app", true) }, []Promise{RightService}},
		"its own service does":           {func(c *checker) { c.requestRan(0, "r1", "app", "app", true) }, nil},
		"an answer to another request":   {func(c *checker) { c.gotAnswer(0, "r1", "r2") }, []Promise{WholeAnswer}},
		"its own answer":                 {func(c *checker) { c.gotAnswer(0, "r1", "r1") }, nil},
		"a pledge runs twice": {func(c *checker) {
			c.requestRan(0, "r1", "app", "app", false)
			c.requestRan(0, "r1", "app", "app", false)
		}, []Promise{Once}},
		"a feed request runs twice": {func(c *checker) {
			c.requestRan(0, "r1", "app", "app", true)
			c.requestRan(0, "r1", "app", "app", true)
		}, nil},
		"a flow is reset": {func(c *checker) { c.flowReset(20*second, "f", "u") }, []Promise{FlowLives}},
		"a flow is reset in a disturbance": {func(c *checker) {
			c.beginDisturbance(19 * second)
			c.flowReset(20*second, "f", "u")
		}, nil},
		"a flow is reset just after one": {func(c *checker) {
			c.beginDisturbance(15 * second)(17 * second)
			c.flowReset(20*second, "f", "u")
		}, nil},
		"a flow is reset long after one": {func(c *checker) {
			c.beginDisturbance(10 * second)(12 * second)
			c.flowReset(20*second, "f", "u")
		}, []Promise{FlowLives}},
		"a flow is reset while the run stands still": {func(c *checker) {
			c.tick(19 * second)
			c.tick(19*second + 20*time.Millisecond)
			c.flowReset(19*second+300*time.Millisecond, "f", "u")
		}, nil},
		"a flow is reset just after it stood still": {func(c *checker) {
			c.tick(19 * second)
			c.tick(19*second + 280*time.Millisecond)
			c.flowReset(19*second+290*time.Millisecond, "f", "u")
		}, nil},
		"a flow is reset long after it stood still": {func(c *checker) {
			c.tick(10 * second)
			c.tick(11 * second)
			for at := 11 * second; at < 20*second; at += 20 * time.Millisecond {
				c.tick(at)
			}
			c.flowReset(20*second, "f", "u")
		}, []Promise{FlowLives}},
		"a flow is reset while the run goes on": {func(c *checker) {
			c.tick(19*second + 920*time.Millisecond)
			c.flowReset(20*second, "f", "u")
		}, []Promise{FlowLives}},
		"a leaving upstream gets a flow":             {func(c *checker) { c.openedAtLeaving(15*second, 10*second, "u") }, []Promise{Drained}},
		"a leaving upstream gets one at first":       {func(c *checker) { c.openedAtLeaving(13*second, 10*second, "u") }, nil},
		"an evacuated data centre gets a flow":       {func(c *checker) { c.openedAtEvacuated(15*second, 10*second, "u", "east") }, []Promise{Evacuated}},
		"an evacuated data centre gets one at first": {func(c *checker) { c.openedAtEvacuated(13*second, 10*second, "u", "east") }, nil},
		"an evacuated one gets a flow in an outage": {func(c *checker) {
			c.beginDisturbance(11 * second)
			c.openedAtEvacuated(15*second, 10*second, "u", "east")
		}, nil},
		"a cold upstream gets too many flows": {func(c *checker) {
			for range 9 {
				c.openedAtCold(20*second, "u", 2)
			}
		}, []Promise{Spared}},
		"a cold upstream gets as many over a while": {func(c *checker) {
			for i := range 9 {
				c.openedAtCold(20*second+time.Duration(i)*second/4, "u", 2)
			}
		}, nil},
		"a flow is reset while upstreams are full": {func(c *checker) {
			c.beginOverload(19 * second)
			c.flowReset(20*second, "f", "u")
		}, []Promise{FlowLives}},
		"a new route is refused":          {func(c *checker) { c.routeProbed(15*second, probed(true, false)) }, []Promise{InForce}},
		"an old route opens":              {func(c *checker) { c.routeProbed(15*second, probed(false, true)) }, []Promise{InForce}},
		"a new route is refused at first": {func(c *checker) { c.routeProbed(12*second, probed(true, false)) }, nil},
		"a route in force refuses a flow": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			c.routeProbed(15*second, probed(true, false))
		}, []Promise{Admits}},
		"a route in force refuses a flow soon after a load": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			c.beginOverload(12 * second)(14 * second)
			c.routeProbed(15*second, probed(true, false))
		}, nil},
		"a route in force refuses a flow long after a load": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			c.beginOverload(12 * second)(14 * second)
			c.routeProbed(17*second, probed(true, false))
		}, []Promise{Admits}},
		"a route in force refuses a flow, and all upstreams are cold": {func(c *checker) {
			c.versionApplied(11*second, "e#1", 4)
			p := probed(true, false)
			p.hasRoom = false
			c.routeProbed(15*second, p)
		}, nil},
		"a route is not in force under a load": {func(c *checker) {
			c.beginOverload(12 * second)
			c.versionApplied(11*second, "e#1", 3)
			c.routeProbed(15*second, probed(true, false))
		}, []Promise{InForce}},
		"a configuration goes back": {func(c *checker) {
			c.versionApplied(0, "e#1", 5)
			c.versionApplied(0, "e#1", 3)
		}, []Promise{NeverBack}},
		"another life starts earlier": {func(c *checker) {
			c.versionApplied(0, "e#1", 5)
			c.versionApplied(0, "e#2", 3)
		}, nil},
		"nobody serves": {func(c *checker) { c.requestDone(33*second, 30*second, "feed", false, false) }, []Promise{Recovers}},
		"nobody serves soon after a disturbance": {func(c *checker) {
			c.beginDisturbance(10 * second)(20 * second)
			c.requestDone(33*second, 30*second, "feed", false, false)
		}, nil},
		"an entry ends": {func(c *checker) { c.entryExited(0, "e", "exit 1") }, []Promise{Runs}},
	} {
		c := newChecker(testBounds())
		test.observe(c)
		_, breaches := c.result()
		var got []Promise
		for _, b := range breaches {
			got = append(got, b.Promise)
		}
		if len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
			t.Errorf("%s: %v, expected %v", name, got, test.want)
		}
	}
}

// probed is what a look meets at a route that version 4 added or removed at 10 s.
func probed(allowed, opened bool) probeResult {
	return probeResult{entry: "e", process: "e#1", route: "x", allowed: allowed, version: 4, ackedAt: 10 * second, opened: opened, hasRoom: true}
}

// On a machine of unknown speed promises with a time are left out, the others are not.
func TestSkipTimed(t *testing.T) {
	bounds := testBounds()
	bounds.Untimed = true
	c := newChecker(bounds)
	c.flowReset(20*second, "f", "u")
	c.requestDone(33*second, 30*second, "feed", false, false)
	c.gotAnswer(0, "r1", "r2")
	if _, breaches := c.result(); len(breaches) != 1 || breaches[0].Promise != WholeAnswer {
		t.Error(breaches)
	}
}

// A seed always gives the same steps, inside the run; another one gives others.
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
	kinds := map[Kind]bool{}
	for seed := range uint64(30) {
		for _, s := range NewPlan(seed, time.Minute) {
			kinds[s.Kind] = true
		}
	}
	if len(kinds) != len(plannedKinds)+len(overlappingKinds)+len(disturbanceKinds) {
		t.Error("some kinds never come:", kinds)
	}
}

// What led to a breach is shown with it.
func TestReport(t *testing.T) {
	var b strings.Builder
	r := Result{Seed: 7, Steps: []Step{{At: second, Kind: Drain}, {At: 9 * second, Kind: Kill}}, Breaches: []Breach{{At: 5 * second, Promise: Drained, What: "x"}}}
	if err := Report(&b, r, false); err != nil || !strings.Contains(b.String(), "after   1.00 s drain") || strings.Contains(b.String(), "kill") {
		t.Error(err, b.String())
	}
	b.Reset()
	if err := Report(&b, r, true); err != nil || !strings.Contains(b.String(), `"faults":{"drain":1,"kill":1}`) {
		t.Error(err, b.String())
	}
}

// Two runs with one seed on one machine take addresses of their own.
func TestReserveSubnet(t *testing.T) {
	one, two := &harness{cfg: Config{Seed: 77}}, &harness{cfg: Config{Seed: 77}}
	for _, w := range []*harness{one, two} {
		if err := w.reserveSubnet(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = w.subnetLock.Close() })
	}
	if one.subnet == two.subnet {
		t.Error("both use", one.subnet)
	}
}

// A run has ended its processes and closed its sockets, and they may not have ended yet. Another run that
// took the same addresses now would find their ports in use: they are free only when all have ended.
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
