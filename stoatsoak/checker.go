package stoatsoak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Guarantee is a guarantee of the system that the checker verifies.
type Guarantee string

// The guarantees.
const (
	CorrectService     Guarantee = "route"    // A request is run by a service that its route has or had.
	CorrectAnswer      Guarantee = "mixed"    // A caller gets the complete answer to its own request.
	AtMostOnce         Guarantee = "twice"    // A request that is not repeatable runs at most once.
	FlowSurvives       Guarantee = "flow"     // No entry resets an open flow while its upstream is alive.
	NoFlowToEvacuated  Guarantee = "evacuate" // An evacuated data centre gets no new flows after the time limit.
	ColdLimit          Guarantee = "cold"     // A cold upstream gets no more new flows than its cold rate allows.
	NoFlowToLeaving    Guarantee = "drain"    // A leaving upstream gets no new flows after the time limit.
	ConfigApplied      Guarantee = "config"   // A configuration is in force after the time limit.
	AdmitsFlows        Guarantee = "admit"    // A route in force refuses no flow while upstreams have room.
	ConfigNeverReverts Guarantee = "back"     // An entry process never returns to an older configuration.
	NotRun             Guarantee = "notrun"   // A request that was refused or rejected as not run does not run.
	PromptRefusal      Guarantee = "refusal"  // An opening is answered, and a request refused, well before the deadline.
	Recovers           Guarantee = "recover"  // Requests are served again some time after a disturbance.
	EntryRuns          Guarantee = "runs"     // An entry process does not exit unless the harness ends it.
)

// timed reports whether the guarantee depends on timing, so that a machine that is slow enough violates it.
func (g Guarantee) timed() bool {
	return g == FlowSurvives || g == NoFlowToEvacuated || g == ColdLimit || g == NoFlowToLeaving || g == ConfigApplied || g == AdmitsFlows || g == PromptRefusal || g == Recovers
}

// Breach is a violation of a guarantee.
type Breach struct {
	At          time.Duration // since the start of the run
	Guarantee   Guarantee
	Description string
}

// String returns the time, the guarantee and the description.
func (b Breach) String() string {
	return fmt.Sprintf("%6.2f s %s: %s", b.At.Seconds(), b.Guarantee, b.Description)
}

// disturbance is a period for which some guarantees are suspended. While it lasts, to is 0.
type disturbance struct {
	from, to time.Duration
	// overload marks a disturbance in which upstreams merely answer slowly, so that callers may wait longer or be
	// refused. An overload suspends AdmitsFlows and Recovers, and no other guarantee.
	overload bool
	// cut marks a cut between data centres. It does not excuse what happens to a flow within one of them.
	cut bool
}

// checker collects what callers and upstreams observe, and records breaches. All times count from the start of
// the run.
type checker struct {
	mu           sync.Mutex
	limits       TimeLimits
	disturbances []*disturbance
	lastTick     time.Duration              // the last call of tick; 0 means that stalls are not watched
	runCounts    map[string]int             // by ID of a request that is not repeatable, without the attempt
	ranAttempts  map[string]bool            // by ID of a request with the attempt
	refused      map[string]bool            // by ID of a request with the attempt
	maxVersions  map[string]int             // highest version reported to be in force, by entry process
	coldOpens    map[string][]time.Duration // times of the recent new flows, by cold upstream
	noRoomAt     time.Duration              // when a probe last found that no upstream had room; 0 means never
	breaches     []Breach
	counts       Counts
	onBreach     func(g Guarantee) // called at each breach if not nil
}

// TimeLimits are the time limits of the guarantees.
type TimeLimits struct {
	ApplyDelay   time.Duration // until a configuration, an evacuation or an upstream's leaving takes effect
	StableDelay  time.Duration // from the end of a disturbance until the guarantees hold again
	Slack        time.Duration // allowance for the speed of the machine that the run is on
	RecoveryTime time.Duration // from the end of a disturbance until requests are served again
	// SkipTimed omits the guarantees that depend on timing, for a machine of unknown speed.
	SkipTimed bool
}

// Counts are the totals of a run.
type Counts struct {
	Requests, ServedInTime, ServedLate, Failed int // numbers of requests
	Refused, Rejected                          int // openings refused by entries, requests rejected by upstreams
	FlowsOpened, FlowsReset                    int
	Stalls                                     int // periods in which the soak's own process did not run
}

func newChecker(limits TimeLimits) *checker {
	return &checker{limits: limits, runCounts: map[string]int{}, ranAttempts: map[string]bool{}, refused: map[string]bool{}, maxVersions: map[string]int{}, coldOpens: map[string][]time.Duration{}}
}

func (c *checker) breach(now time.Duration, g Guarantee, format string, args ...any) {
	if c.limits.SkipTimed && g.timed() {
		return
	}
	c.breaches = append(c.breaches, Breach{At: now, Guarantee: g, Description: fmt.Sprintf(format, args...)})
	if c.onBreach != nil {
		c.onBreach(g)
	}
}

// beginDisturbance records the start of a disturbance and returns the function that records its end.
func (c *checker) beginDisturbance(now time.Duration) func(now time.Duration) {
	return c.addDisturbance(&disturbance{from: now})
}

// beginOverload records that upstreams begin to answer slowly, and returns the function that records the end.
func (c *checker) beginOverload(now time.Duration) func(now time.Duration) {
	return c.addDisturbance(&disturbance{from: now, overload: true})
}

// beginCut records the start of a cut between data centres, and returns the function that records the end.
func (c *checker) beginCut(now time.Duration) func(now time.Duration) {
	return c.addDisturbance(&disturbance{from: now, cut: true})
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

// undisturbed reports whether no disturbance suspended the guarantees at any time from since until now. A
// disturbance suspends them until StableDelay after its end. Overloads don't count.
func (c *checker) undisturbed(since, now time.Duration) bool {
	return c.undisturbedBut(since, now, func(*disturbance) bool { return false })
}

// undisturbedBut is like undisturbed, and does not count the disturbances that are exempt.
func (c *checker) undisturbedBut(since, now time.Duration, exempt func(*disturbance) bool) bool {
	if c.stalled(now) {
		return false
	}
	for _, d := range c.disturbances {
		if !d.overload && !exempt(d) && d.from <= now && (d.to == 0 || d.to+c.limits.StableDelay >= since) {
			return false
		}
	}
	return true
}

// requestRan checks a request that an upstream of the given service began to run. The route of the request
// belongs to routeService.
func (c *checker) requestRan(now time.Duration, id, service, routeService string, repeatable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service != routeService {
		c.breach(now, CorrectService, "request %s for %s was run by %s", id, routeService, service)
	}
	c.ranAttempts[id] = true
	if c.refused[id] {
		c.breach(now, NotRun, "request %s was refused and ran afterwards", id)
	}
	if repeatable {
		return
	}
	request, _, _ := strings.Cut(id, ".")
	if c.runCounts[request]++; c.runCounts[request] == 2 {
		c.breach(now, AtMostOnce, "request %s ran twice", id)
	}
}

// requestRefused checks a request, sent at the given time, that an entry refused by a reset of its opening, or that
// an upstream rejected as not run.
func (c *checker) requestRefused(now, sent time.Duration, id string, byUpstream bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if byUpstream {
		c.counts.Rejected++
	} else {
		c.counts.Refused++
	}
	c.refused[id] = true
	if c.ranAttempts[id] {
		c.breach(now, NotRun, "request %s ran and was refused afterwards", id)
	}
	if delay := now - sent; delay > firstRetransmitDelay+c.limits.Slack && c.undisturbed(sent, now) {
		c.breach(now, PromptRefusal, "request %s was refused only after %s", id, delay)
	}
}

// openingSilent checks an opening that got no answer.
func (c *checker) openingSilent(now, sent time.Duration, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.undisturbed(sent, now) {
		c.breach(now, PromptRefusal, "an opening to %s got no answer within %s", route, now-sent)
	}
}

// gotAnswer checks that the answer to request id carries that ID; got is the ID that it carries.
func (c *checker) gotAnswer(now time.Duration, id, got string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != got {
		c.breach(now, CorrectAnswer, "request %s got the answer %q", id, got)
	}
}

// flowReset counts an open flow that an entry reset although its upstream is alive. The flow is local if its caller
// and its upstream are in the same data centre.
func (c *checker) flowReset(now time.Duration, flow, upstream string, local bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.FlowsReset++
	if c.undisturbedBut(now, now, func(d *disturbance) bool { return local && d.cut }) {
		c.breach(now, FlowSurvives, "flow %s was reset while %s is alive", flow, upstream)
	}
}

// openedAtLeaving checks a new flow to an upstream that was marked as leaving at leftAt.
func (c *checker) openedAtLeaving(now, leftAt time.Duration, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delay := now - leftAt; delay > c.limits.ApplyDelay+c.limits.Slack && c.undisturbed(leftAt, now) {
		c.breach(now, NoFlowToLeaving, "%s got a new flow %s after it was marked as leaving", upstream, delay)
	}
}

// openedAtEvacuated checks a new flow to an upstream whose data centre is evacuated since the given time.
func (c *checker) openedAtEvacuated(now, since time.Duration, upstream, centre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delay := now - since; delay > c.limits.ApplyDelay+c.limits.Slack && c.undisturbed(since, now) {
		c.breach(now, NoFlowToEvacuated, "%s got a new flow %s after %s was evacuated", upstream, delay, centre)
	}
}

// A cold upstream may get coldFactor times its cold rate plus coldSlack new flows within a second. The excess
// allows for retransmitted openings and for flows that were being opened when the upstream registered as cold.
const (
	coldFactor = 1.5
	coldSlack  = 5
)

// openedAtCold checks a new flow to a cold upstream. The rate is the number of requests per second that the
// upstream can handle while it is cold.
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
		c.breach(now, ColdLimit, "%s is cold and got %d new flows within a second, %g are allowed", upstream, len(recent), limit)
	}
}

// probeResult is the outcome of an attempt to open a flow to a route through one entry.
type probeResult struct {
	entry, process string
	route          string
	configured     bool          // whether the configuration has the route
	version        int           // of the configuration that added or removed the route
	ackedAt        time.Duration // when the store acknowledged that configuration
	opened         bool
	hasRoom        bool // an upstream of the route's service serves, is not cold and may get flows
}

// overloadTail is how long after an overload an entry may still refuse flows, because recent answers were slow.
const overloadTail = time.Second

// routeProbed checks the outcome of a probe. If a flow was refused although its route is in force at the entry,
// the entry refused it for lack of room, which only an overload excuses.
func (c *checker) routeProbed(now time.Duration, p probeResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.hasRoom {
		c.noRoomAt = max(1, now)
	}
	if now-p.ackedAt <= c.limits.ApplyDelay+c.limits.Slack || !c.undisturbed(p.ackedAt, now) || p.configured == p.opened {
		return
	}
	if p.configured && c.maxVersions[p.process] >= p.version {
		if !c.overloaded(now) {
			c.breach(now, AdmitsFlows, "%s: route %s is in force and refuses a flow, with room at upstreams", p.entry, p.route)
		}
		return
	}
	c.breach(now, ConfigApplied, "%s: route %s: configured %t, opened %t, %s after the change", p.entry, p.route, p.configured, p.opened, now-p.ackedAt)
}

// overloaded reports whether upstreams are overloaded or have no room, or were so a moment ago.
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

// versionApplied records the version that an entry process reports to be in force.
func (c *checker) versionApplied(now time.Duration, process string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.maxVersions[process] {
		c.breach(now, ConfigNeverReverts, "%s went back from version %d to %d", process, c.maxVersions[process], version)
	}
	c.maxVersions[process] = max(c.maxVersions[process], version)
}

// entryExited records that an entry process exited without the harness having ended it.
func (c *checker) entryExited(now time.Duration, entry, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breach(now, EntryRuns, "%s ended by itself: %s", entry, status)
}

// requestDone counts a request and checks that it was served, unless a disturbance excuses a failure.
func (c *checker) requestDone(now, start time.Duration, route string, served, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Requests++
	switch {
	case served && late:
		c.counts.ServedLate++
	case served:
		c.counts.ServedInTime++
	default:
		c.counts.Failed++
		if c.shouldServe(start, now) {
			c.breach(now, Recovers, "a request to %s begun at %.2f s was not served", route, start.Seconds())
		}
	}
}

// shouldServe reports whether a request from start until now must be served: no disturbance, overload included,
// was within RecoveryTime before it or during it.
func (c *checker) shouldServe(start, now time.Duration) bool {
	for _, d := range c.disturbances {
		if d.from <= now && (d.to == 0 || d.to+c.limits.RecoveryTime >= start) {
			return false
		}
	}
	return true
}

func (c *checker) flowOpened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.FlowsOpened++
}

func (c *checker) result() (Counts, []Breach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, append([]Breach(nil), c.breaches...)
}
