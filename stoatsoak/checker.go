package stoatsoak

import (
	"fmt"
	"sync"
	"time"
)

// Guarantee is one thing that must hold.
type Guarantee string

// The promises.
const (
	CorrectService     Guarantee = "route"    // a request is run by a service that its route has or had
	CorrectAnswer      Guarantee = "mixed"    // an answer belongs to its request and is whole
	AtMostOnce         Guarantee = "twice"    // a request that may not be repeated runs once at most
	FlowSurvives       Guarantee = "flow"     // no open flow is reset while its upstream lives
	NoFlowToEvacuated  Guarantee = "evacuate" // an evacuated data centre gets no new flows after the bound
	ColdLimit          Guarantee = "cold"     // a cold upstream gets no more new flows than it bears
	NoFlowToLeaving    Guarantee = "drain"    // a leaving upstream gets no new flows after the bound
	ConfigApplied      Guarantee = "config"   // a configuration is in force after the bound
	AdmitsFlows        Guarantee = "admit"    // a route that is in force refuses nobody while upstreams have room
	ConfigNeverReverts Guarantee = "back"     // what is in force never goes back
	Recovers           Guarantee = "recover"  // requests are served some time after a disturbance
	EntryRuns          Guarantee = "runs"     // an entry does not end by itself
)

// timed tells whether a promise speaks of time: a machine that is slow enough breaks it.
func (p Guarantee) timed() bool {
	return p == FlowSurvives || p == NoFlowToEvacuated || p == ColdLimit || p == NoFlowToLeaving || p == ConfigApplied || p == AdmitsFlows || p == Recovers
}

// Breach is a promise that was broken.
type Breach struct {
	At          time.Duration
	Guarantee   Guarantee
	Description string
}

// String says what was broken when.
func (b Breach) String() string {
	return fmt.Sprintf("%6.2f s %s: %s", b.At.Seconds(), b.Guarantee, b.Description)
}

// span is a disturbance; to is 0 while it goes on.
type span struct {
	from, to time.Duration
	load     bool // callers wait longer, or are refused, and nothing else changes
}

// checker gathers what callers and upstreams see. Times count from the start of the run.
type checker struct {
	mu       sync.Mutex
	bounds   TimeLimits
	troubles []*span
	tick     time.Duration              // when the run last noted that it goes on; 0: it is not watched
	runs     map[string]int             // of requests that may not be repeated, by id
	versions map[string]int             // the highest configuration an entry's life said to be in force
	colds    map[string][]time.Duration // when a cold upstream got new flows
	full     time.Duration              // when no upstream last had room; 0: always one did
	breaches []Breach
	counts   Counts
	noticed  func(p Guarantee) // called at each breach, or nil
}

// TimeLimits are what the promises with a time say.
type TimeLimits struct {
	ApplyDelay   time.Duration // of a configuration, and of a leaving upstream
	StableDelay  time.Duration // how long after a disturbance the promises hold again
	Slack        time.Duration // for the machine that the run is on
	RecoveryTime time.Duration // how long after a disturbance requests are served again
	// SkipTimed leaves out the promises that speak of time, on a machine whose speed is not known.
	SkipTimed bool
}

// Counts are what a run did.
type Counts struct {
	Requests, ServedInTime, ServedLate, Failed int
	FlowsOpened, FlowsReset                    int
	Stalls                                     int // the run's own process stood still
}

func newChecker(b TimeLimits) *checker {
	return &checker{bounds: b, runs: map[string]int{}, versions: map[string]int{}, colds: map[string][]time.Duration{}}
}

func (c *checker) breach(now time.Duration, p Guarantee, format string, args ...any) {
	if c.bounds.SkipTimed && p.timed() {
		return
	}
	c.breaches = append(c.breaches, Breach{At: now, Guarantee: p, Description: fmt.Sprintf(format, args...)})
	if c.noticed != nil {
		c.noticed(p)
	}
}

// begin notes a disturbance and returns what ends it.
func (c *checker) begin(now time.Duration) func(now time.Duration) {
	return c.note(&span{from: now})
}

// load notes that upstreams are loaded, and returns what ends it.
func (c *checker) load(now time.Duration) func(now time.Duration) {
	return c.note(&span{from: now, load: true})
}

func (c *checker) note(s *span) func(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubles = append(c.troubles, s)
	return func(now time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = now
	}
}

// calm tells whether nothing disturbed the system from some time before since until now.
func (c *checker) calm(since, now time.Duration) bool {
	if c.stalled(now) {
		return false
	}
	for _, s := range c.troubles {
		if !s.load && s.from <= now && (s.to == 0 || s.to+c.bounds.StableDelay >= since) {
			return false
		}
	}
	return true
}

// ran notes that an upstream of a service began a request for a route of another, or the same.
func (c *checker) ran(now time.Duration, id, service, wanted string, repeatable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service != wanted {
		c.breach(now, CorrectService, "request %s for %s was run by %s", id, wanted, service)
	}
	if repeatable {
		return
	}
	if c.runs[id]++; c.runs[id] == 2 {
		c.breach(now, AtMostOnce, "request %s ran twice", id)
	}
}

// answered notes an answer.
func (c *checker) answered(now time.Duration, id, got string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != got {
		c.breach(now, CorrectAnswer, "request %s got the answer %q", id, got)
	}
}

// wasReset notes that an entry reset an open flow, whose upstream lives all the while.
func (c *checker) wasReset(now time.Duration, flow, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.FlowsReset++
	if c.calm(now, now) {
		c.breach(now, FlowSurvives, "flow %s was reset while %s lives", flow, upstream)
	}
}

// openedAt notes an opening at an upstream that was marked as leaving at that time.
func (c *checker) openedAt(now, left time.Duration, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if late := now - left; late > c.bounds.ApplyDelay+c.bounds.Slack && c.calm(left, now) {
		c.breach(now, NoFlowToLeaving, "%s got a new flow %s after it was marked as leaving", upstream, late)
	}
}

// openedThere notes an opening at an upstream of a data centre that was evacuated at that time.
func (c *checker) openedThere(now, since time.Duration, upstream, centre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if late := now - since; late > c.bounds.ApplyDelay+c.bounds.Slack && c.calm(since, now) {
		c.breach(now, NoFlowToEvacuated, "%s got a new flow %s after %s was evacuated", upstream, late, centre)
	}
}

// Of what a cold upstream bears, as its service says it, so much more may come in a second: copies of
// openings, and flows that were under way when it said that it is cold.
const (
	coldOver  = 1.5
	coldSlack = 5
)

// openedCold notes a new flow at an upstream that is cold and bears so many a second.
func (c *checker) openedCold(now time.Duration, upstream string, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := []time.Duration{now}
	for _, at := range c.colds[upstream] {
		if now-at < time.Second {
			recent = append(recent, at)
		}
	}
	c.colds[upstream] = recent
	if most := coldOver*rate + coldSlack; float64(len(recent)) > most && !c.stalled(now) {
		c.breach(now, ColdLimit, "%s is cold and got %d new flows within a second, %g are allowed", upstream, len(recent), most)
	}
}

// look is what a new flow to a route met at one entry.
type look struct {
	entry, life string
	route       string
	allowed     bool // by the configuration
	version     int  // of it
	acked       time.Duration
	opened      bool
	room        bool // an upstream of the route's service serves, is warm and may get flows
}

// loadTail is how long after a load an entry may go on refusing: its answers of late were slow.
const loadTail = time.Second

// looked checks what a new flow met. One that is refused although its route is in force there was refused for
// want of room, which only a load excuses.
func (c *checker) looked(now time.Duration, l look) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.room {
		c.full = max(1, now)
	}
	if now-l.acked <= c.bounds.ApplyDelay+c.bounds.Slack || !c.calm(l.acked, now) || l.allowed == l.opened {
		return
	}
	if l.allowed && c.versions[l.life] >= l.version {
		if !c.loaded(now) {
			c.breach(now, AdmitsFlows, "%s: route %s is in force and refuses a flow, with room at upstreams", l.entry, l.route)
		}
		return
	}
	c.breach(now, ConfigApplied, "%s: route %s: allowed %t, opened %t, %s after the change", l.entry, l.route, l.allowed, l.opened, now-l.acked)
}

// loaded tells whether upstreams are loaded, or were a moment ago.
func (c *checker) loaded(now time.Duration) bool {
	if c.full > 0 && c.full+loadTail+c.bounds.Slack >= now {
		return true
	}
	for _, s := range c.troubles {
		if s.load && s.from <= now && (s.to == 0 || s.to+loadTail+c.bounds.Slack >= now) {
			return true
		}
	}
	return false
}

// inForce notes the version that a life of an entry says to be in force.
func (c *checker) inForce(now time.Duration, life string, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.versions[life] {
		c.breach(now, ConfigNeverReverts, "%s went back from version %d to %d", life, c.versions[life], version)
	}
	c.versions[life] = max(c.versions[life], version)
}

// ended notes that an entry ended by itself.
func (c *checker) ended(now time.Duration, entry, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breach(now, EntryRuns, "%s ended by itself: %s", entry, how)
}

// tried counts a request, and checks that it was served if it may be expected.
func (c *checker) tried(now, began time.Duration, route string, served, late bool) {
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
		if c.quiet(began, now) {
			c.breach(now, Recovers, "a request to %s begun at %.2f s was not served", route, began.Seconds())
		}
	}
}

// quiet tells whether a request had nothing against it: no disturbance for longer than
// recovery may take.
func (c *checker) quiet(since, now time.Duration) bool {
	for _, s := range c.troubles {
		if s.from <= now && (s.to == 0 || s.to+c.bounds.RecoveryTime >= since) {
			return false
		}
	}
	return true
}

func (c *checker) opened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.FlowsOpened++
}

func (c *checker) result() (Counts, []Breach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts, append([]Breach(nil), c.breaches...)
}
