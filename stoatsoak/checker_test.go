package stoatsoak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const second = time.Second

func testBounds() TimeLimits {
	return TimeLimits{ApplyDelay: 3 * second, StableDelay: 4 * second, Slack: second, RecoveryTime: 12 * second}
}

// Each promise: what breaks it, what does not, and what a disturbance excuses.
func TestPromises(t *testing.T) {
	for name, try := range map[string]struct {
		see  func(c *checker)
		want []Guarantee
	}{
		"another service runs a request": {func(c *checker) { c.ran(0, "r1", "intake", "app", true) }, []Guarantee{CorrectService}},
		"its own service does":           {func(c *checker) { c.ran(0, "r1", "app", "app", true) }, nil},
		"an answer to another request":   {func(c *checker) { c.answered(0, "r1", "r2") }, []Guarantee{CorrectAnswer}},
		"its own answer":                 {func(c *checker) { c.answered(0, "r1", "r1") }, nil},
		"a pledge runs twice": {func(c *checker) {
			c.ran(0, "r1", "app", "app", false)
			c.ran(0, "r1", "app", "app", false)
		}, []Guarantee{AtMostOnce}},
		"a feed request runs twice": {func(c *checker) {
			c.ran(0, "r1", "app", "app", true)
			c.ran(0, "r1", "app", "app", true)
		}, nil},
		"a flow is reset": {func(c *checker) { c.wasReset(20*second, "f", "u") }, []Guarantee{FlowSurvives}},
		"a flow is reset in a disturbance": {func(c *checker) {
			c.begin(19 * second)
			c.wasReset(20*second, "f", "u")
		}, nil},
		"a flow is reset just after one": {func(c *checker) {
			c.begin(15 * second)(17 * second)
			c.wasReset(20*second, "f", "u")
		}, nil},
		"a flow is reset long after one": {func(c *checker) {
			c.begin(10 * second)(12 * second)
			c.wasReset(20*second, "f", "u")
		}, []Guarantee{FlowSurvives}},
		"a flow is reset while the run stands still": {func(c *checker) {
			c.ticked(19 * second)
			c.ticked(19*second + 20*time.Millisecond)
			c.wasReset(19*second+300*time.Millisecond, "f", "u")
		}, nil},
		"a flow is reset just after it stood still": {func(c *checker) {
			c.ticked(19 * second)
			c.ticked(19*second + 280*time.Millisecond)
			c.wasReset(19*second+290*time.Millisecond, "f", "u")
		}, nil},
		"a flow is reset long after it stood still": {func(c *checker) {
			c.ticked(10 * second)
			c.ticked(11 * second)
			for at := 11 * second; at < 20*second; at += 20 * time.Millisecond {
				c.ticked(at)
			}
			c.wasReset(20*second, "f", "u")
		}, []Guarantee{FlowSurvives}},
		"a flow is reset while the run goes on": {func(c *checker) {
			c.ticked(19*second + 920*time.Millisecond)
			c.wasReset(20*second, "f", "u")
		}, []Guarantee{FlowSurvives}},
		"a leaving upstream gets a flow":             {func(c *checker) { c.openedAt(15*second, 10*second, "u") }, []Guarantee{NoFlowToLeaving}},
		"a leaving upstream gets one at first":       {func(c *checker) { c.openedAt(13*second, 10*second, "u") }, nil},
		"an evacuated data centre gets a flow":       {func(c *checker) { c.openedThere(15*second, 10*second, "u", "east") }, []Guarantee{NoFlowToEvacuated}},
		"an evacuated data centre gets one at first": {func(c *checker) { c.openedThere(13*second, 10*second, "u", "east") }, nil},
		"an evacuated one gets a flow in an outage": {func(c *checker) {
			c.begin(11 * second)
			c.openedThere(15*second, 10*second, "u", "east")
		}, nil},
		"a cold upstream gets too many flows": {func(c *checker) {
			for range 9 {
				c.openedCold(20*second, "u", 2)
			}
		}, []Guarantee{ColdLimit}},
		"a cold upstream gets as many over a while": {func(c *checker) {
			for i := range 9 {
				c.openedCold(20*second+time.Duration(i)*second/4, "u", 2)
			}
		}, nil},
		"a flow is reset while upstreams are full": {func(c *checker) {
			c.load(19 * second)
			c.wasReset(20*second, "f", "u")
		}, []Guarantee{FlowSurvives}},
		"a new route is refused":          {func(c *checker) { c.looked(15*second, seen(true, false)) }, []Guarantee{ConfigApplied}},
		"an old route opens":              {func(c *checker) { c.looked(15*second, seen(false, true)) }, []Guarantee{ConfigApplied}},
		"a new route is refused at first": {func(c *checker) { c.looked(12*second, seen(true, false)) }, nil},
		"a route in force refuses a flow": {func(c *checker) {
			c.inForce(11*second, "e#1", 4)
			c.looked(15*second, seen(true, false))
		}, []Guarantee{AdmitsFlows}},
		"a route in force refuses a flow soon after a load": {func(c *checker) {
			c.inForce(11*second, "e#1", 4)
			c.load(12 * second)(14 * second)
			c.looked(15*second, seen(true, false))
		}, nil},
		"a route in force refuses a flow long after a load": {func(c *checker) {
			c.inForce(11*second, "e#1", 4)
			c.load(12 * second)(14 * second)
			c.looked(17*second, seen(true, false))
		}, []Guarantee{AdmitsFlows}},
		"a route in force refuses a flow, and all upstreams are cold": {func(c *checker) {
			c.inForce(11*second, "e#1", 4)
			l := seen(true, false)
			l.room = false
			c.looked(15*second, l)
		}, nil},
		"a route is not in force under a load": {func(c *checker) {
			c.load(12 * second)
			c.inForce(11*second, "e#1", 3)
			c.looked(15*second, seen(true, false))
		}, []Guarantee{ConfigApplied}},
		"a configuration goes back": {func(c *checker) {
			c.inForce(0, "e#1", 5)
			c.inForce(0, "e#1", 3)
		}, []Guarantee{ConfigNeverReverts}},
		"another life starts earlier": {func(c *checker) {
			c.inForce(0, "e#1", 5)
			c.inForce(0, "e#2", 3)
		}, nil},
		"nobody serves": {func(c *checker) { c.tried(33*second, 30*second, "feed", false, false) }, []Guarantee{Recovers}},
		"nobody serves soon after a disturbance": {func(c *checker) {
			c.begin(10 * second)(20 * second)
			c.tried(33*second, 30*second, "feed", false, false)
		}, nil},
		"an entry ends": {func(c *checker) { c.ended(0, "e", "exit 1") }, []Guarantee{EntryRuns}},
	} {
		c := newChecker(testBounds())
		try.see(c)
		_, breaches := c.result()
		var got []Guarantee
		for _, b := range breaches {
			got = append(got, b.Guarantee)
		}
		if len(got) != len(try.want) || len(got) > 0 && got[0] != try.want[0] {
			t.Errorf("%s: %v, expected %v", name, got, try.want)
		}
	}
}

// seen is what a look meets at a route that version 4 added or removed at 10 s.
func seen(allowed, opened bool) look {
	return look{entry: "e", life: "e#1", route: "x", allowed: allowed, version: 4, acked: 10 * second, opened: opened, room: true}
}

// On a machine of unknown speed promises with a time are left out, the others are not.
func TestUntimed(t *testing.T) {
	bounds := testBounds()
	bounds.SkipTimed = true
	c := newChecker(bounds)
	c.wasReset(20*second, "f", "u")
	c.tried(33*second, 30*second, "feed", false, false)
	c.answered(0, "r1", "r2")
	if _, breaches := c.result(); len(breaches) != 1 || breaches[0].Guarantee != CorrectAnswer {
		t.Error(breaches)
	}
}

// A seed always gives the same steps, inside the run; another one gives others.
func TestPlan(t *testing.T) {
	text := func(seed uint64) string {
		var b strings.Builder
		for _, s := range NewPlan(seed, time.Minute) {
			b.WriteString(s.String() + "\n")
			if s.At < warmUp || s.At > time.Minute-coolDown || s.For < second || s.For > longest && !slices.Contains(beside, s.Kind) || s.For > besideLongest {
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
	if len(kinds) != len(planned)+len(beside)+len(disturbances) {
		t.Error("some kinds never come:", kinds)
	}
}

// What led to a breach is shown with it.
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

// Two runs with one seed on one machine take addresses of their own.
func TestClaim(t *testing.T) {
	one, two := &world{cfg: Config{Seed: 77}}, &world{cfg: Config{Seed: 77}}
	for _, w := range []*world{one, two} {
		if err := w.claim(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = w.claimed.Close() })
	}
	if one.net == two.net {
		t.Error("both use", one.net)
	}
}

// A run has ended its processes and closed its sockets, and they may not have ended yet. Another run that
// took the same addresses now would find their ports in use: they are free only when all have ended.
func TestClaimOutlivesSockets(t *testing.T) {
	first := &world{cfg: Config{Seed: 77}}
	if err := first.claim(); err != nil {
		t.Fatal(err)
	}
	first.shut()
	second := &world{cfg: Config{Seed: 77}}
	if err := second.claim(); err != nil {
		t.Fatal(err)
	}
	if first.net == second.net {
		t.Error("both have 127.", first.net)
	}
	_, _ = first.claimed.Close(), second.claimed.Close()
}
