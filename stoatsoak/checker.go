package stoatsoak

import (
	"fmt"
	"sync"
	"time"
)

// Promise is one thing that must hold.
type Promise string

// The promises.
const (
	RightService Promise = "route"    // a request is run by a service that its route has or had
	WholeAnswer  Promise = "mixed"    // an answer belongs to its request and is whole
	Once         Promise = "twice"    // a request that may not be repeated runs once at most
	FlowLives    Promise = "flow"     // no open flow is reset while its upstream lives
	Evacuated    Promise = "evacuate" // an evacuated data centre gets no new flows after the bound
	Spared       Promise = "cold"     // a cold upstream gets no more new flows than it bears
	Drained      Promise = "drain"    // a leaving upstream gets no new flows after the bound
	InForce      Promise = "config"   // a configuration is in force after the bound
	Admits       Promise = "admit"    // a route that is in force refuses nobody while upstreams have room
	NeverBack    Promise = "back"     // what is in force never goes back
	Recovers     Promise = "recover"  // requests are served some time after a disturbance
	Runs         Promise = "runs"     // an entry does not end by itself
)

// timed tells whether a promise speaks of time: a machine that is slow enough breaks it.
func (g Promise) timed() bool {
	return g == FlowLives || g == Evacuated || g == Spared || g == Drained || g == InForce || g == Admits || g == Recovers
}

// Breach is a promise that was broken.
type Breach struct {
	At      time.Duration
	Promise Promise
	What    string
}

// String says what was broken when.
func (b Breach) String() string {
	return fmt.Sprintf("%6.2f s %s: %s", b.At.Seconds(), b.Promise, b.What)
}

// disturbance is a disturbance; to is 0 while it goes on.
type disturbance struct {
	from, to time.Duration
	overload bool // callers wait longer, or are refused, and nothing else changes
}

// checker gathers what callers and upstreams see. Times count from the start of the run.
type checker struct {
	mu           sync.Mutex
	limits       Bounds
	disturbances []*disturbance
	lastTick     time.Duration              // when the run last noted that it goes on; 0: it is not watched
	runCounts    map[string]int             // of requests that may not be repeated, by id
	maxVersions  map[string]int             // the highest configuration an entry's life said to be in force
	coldOpens    map[string][]time.Duration // when a cold upstream got new flows
	noRoomAt     time.Duration              // when no upstream last had room; 0: always one did
	breaches     []Breach
	counts       Counts
	onBreach     func(p Promise) // called at each breach, or nil
}

// Bounds are what the promises with a time say.
type Bounds struct {
	Apply  time.Duration // of a configuration, and of a leaving upstream
	Stable time.Duration // how long after a disturbance the promises hold again
	Slack  time.Duration // for the machine that the run is on
	Back   time.Duration // how long after a disturbance requests are served again
	// Untimed leaves out the promises that speak of time, on a machine whose speed is not known.
	Untimed bool
}

// Counts are what a run did.
type Counts struct {
	Asked, Served, Late, Failed int
	Flows, Resets               int
	Stalls                      int // the run's own process stood still
}

func newChecker(b Bounds) *checker {
	return &checker{limits: b, runCounts: map[string]int{}, maxVersions: map[string]int{}, coldOpens: map[string][]time.Duration{}}
}

func (c *checker) breach(now time.Duration, g Promise, format string, args ...any) {
	if c.limits.Untimed && g.timed() {
		return
	}
	c.breaches = append(c.breaches, Breach{At: now, Promise: g, What: fmt.Sprintf(format, args...)})
	if c.onBreach != nil {
		c.onBreach(g)
	}
}

// beginDisturbance notes a disturbance and returns what ends it.
func (c *checker) beginDisturbance(now time.Duration) func(now time.Duration) {
	return c.addDisturbance(&disturbance{from: now})
}

// beginOverload notes that upstreams are loaded, and returns what ends it.
func (c *checker) beginOverload(now time.Duration) func(now time.Duration) {
	return c.addDisturbance(&disturbance{from: now, overload: true})
}

func (c *checker) addDisturbance(d *disturbance) func(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances = append(c.disturbances, d)
	return func(now time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.to = now
	}
}

// undisturbed tells whether nothing disturbed the system from some time before since until now.
func (c *checker) undisturbed(since, now time.Duration) bool {
	if c.stalled(now) {
		return false
	}
	for _, d := range c.disturbances {
		if !d.overload && d.from <= now && (d.to == 0 || d.to+c.limits.Stable >= since) {
			return false
		}
	}
	return true
}

// requestRan notes that an upstream of a service began a request for a route of another, or the same.
func (c *checker) requestRan(now time.Duration, id, service, wanted string, repeatable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service != wanted {
		c.breach(now, RightService, "request %s for %s was run by %s", id, wanted, service)
	}
	if repeatable {
		return
	}
	if c.runCounts[id]++; c.runCounts[id] == 2 {
		c.breach(now, Once, "request %s ran twice", id)
	}
}

// gotAnswer notes an answer.
func (c *checker) gotAnswer(now time.Duration, id, got string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != got {
		c.breach(now, WholeAnswer, "request %s got the answer %q", id, got)
	}
}

// flowReset notes that an entry reset an open flow, whose upstream lives all the while.
func (c *checker) flowReset(now time.Duration, flow, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Resets++
	if c.undisturbed(now, now) {
		c.breach(now, FlowLives, "flow %s was reset while %s lives", flow, upstream)
	}
}

// openedAtLeaving notes an opening at an upstream that was marked as leaving at that time.
func (c *checker) openedAtLeaving(now, leftAt time.Duration, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delay := now - leftAt; delay > c.limits.Apply+c.limits.Slack && c.undisturbed(leftAt, now) {
		c.breach(now, Drained, "%s got a new flow %s after it was marked as leaving", upstream, delay)
	}
}

// openedAtEvacuated notes an opening at an upstream of a data centre that was evacuated at that time.
func (c *checker) openedAtEvacuated(now, since time.Duration, upstream, centre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delay := now - since; delay > c.limits.Apply+c.limits.Slack && c.undisturbed(since, now) {
		c.breach(now, Evacuated, "%s got a new flow %s after %s was evacuated", upstream, delay, centre)
	}
}

// Of what a cold upstream bears, as its service says it, so much more may come in a second: copies of
// openings, and flows that were under way when it said that it is cold.
const (
	coldFactor = 1.5
	coldSlack  = 5
)

// openedAtCold notes a new flow at an upstream that is cold and bears so many a second.
func (c *checker) openedAtCold(now time.Duration, upstream string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := []time.Duration{now}
	for _, at := range c.coldOpens[upstream] {
		if now-at < time.Second {
			recent = append(recent, at)
		}
	}
	c.coldOpens[upstream] = recent
	if limit := coldFactor*rate + coldSlack; float64(len(recent)) > limit && !c.stalled(now) {
		c.breach(now, Spared, "%s is cold and got %d new flows within a second, %g are allowed", upstream, len(recent), limit)
	}
}

// probeResult is what a new flow to a route met at one entry.
type probeResult struct {
	entry, process string
	route          string
	allowed        bool // by the configuration
	version        int  // of it
	ackedAt        time.Duration
	opened         bool
	hasRoom        bool // an upstream of the route's service serves, is warm and may get flows
}

// overloadTail is how long after a load an entry may go on refusing: its answers of late were slow.
const overloadTail = time.Second

// routeProbed checks what a new flow met. One that is refused although its route is in force there was refused for
// want of room, which only a load excuses.
func (c *checker) routeProbed(now time.Duration, p probeResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.hasRoom {
		c.noRoomAt = max(1, now)
	}
	if now-p.ackedAt <= c.limits.Apply+c.limits.Slack || !c.undisturbed(p.ackedAt, now) || p.allowed == p.opened {
		return
	}
	if p.allowed && c.maxVersions[p.process] >= p.version {
		if !c.overloaded(now) {
			c.breach(now, Admits, "%s: route %s is in force and refuses a flow, with room at upstreams", p.entry, p.route)
		}
		return
	}
	c.breach(now, InForce, "%s: route %s: allowed %t, opened %t, %s after the change", p.entry, p.route, p.allowed, p.opened, now-p.ackedAt)
}

// overloaded tells whether upstreams are overloaded, or were a moment ago.
func (c *checker) overloaded(now time.Duration) bool {
	if c.noRoomAt > 0 && c.noRoomAt+overloadTail+c.limits.Slack >= now {
		return true
	}
	for _, d := range c.disturbances {
		if d.overload && d.from <= now && (d.to == 0 || d.to+overloadTail+c.limits.Slack >= now) {
			return true
		}
	}
	return false
}

// versionApplied notes the version that a life of an entry says to be in force.
func (c *checker) versionApplied(now time.Duration, life string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.maxVersions[life] {
		c.breach(now, NeverBack, "%s went back from version %d to %d", life, c.maxVersions[life], version)
	}
	c.maxVersions[life] = max(c.maxVersions[life], version)
}

// entryExited notes that an entry entryExited by itself.
func (c *checker) entryExited(now time.Duration, entry, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breach(now, Runs, "%s ended by itself: %s", entry, status)
}

// requestDone counts a request, and checks that it was served if it may be expected.
func (c *checker) requestDone(now, start time.Duration, route string, served, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Asked++
	switch {
	case served && late:
		c.counts.Late++
	case served:
		c.counts.Served++
	default:
		c.counts.Failed++
		if c.shouldServe(start, now) {
			c.breach(now, Recovers, "a request to %s begun at %.2f s was not served", route, start.Seconds())
		}
	}
}

// shouldServe tells whether a request had nothing against it: no disturbance for longer than
// recovery may take.
func (c *checker) shouldServe(start, now time.Duration) bool {
	for _, d := range c.disturbances {
		if d.from <= now && (d.to == 0 || d.to+c.limits.Back >= start) {
			return false
		}
	}
	return true
}

func (c *checker) flowOpened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Flows++
}

func (c *checker) result() (Counts, []Breach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, append([]Breach(nil), c.breaches...)
}
