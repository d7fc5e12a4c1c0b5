package stoatadmission

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

// The control law. Rejections show that no slot is idle, so some of them are wanted; the target bounds them by what
// callers can bear.
const (
	// rejectedTarget is the wanted share of rejections. With three independent tries, 0.25^3 = 1.6% of the most
	// urgent requests still fail.
	rejectedTarget = 0.25
	// budgetGain is how fast the budget falls, in openings a second per second, for each rejection a second above
	// the target.
	budgetGain = 3.0
	// promptGain is the part of the rejections above the target that is taken off the admitted openings at once, and given
	// back as they cease. The budget alone follows too late for a burst on long flows: each opening admitted in its
	// first tenths of a second brings requests for as long as the burst lasts.
	promptGain = 1.0
	// budgetGrowth is how fast the budget grows without rejections, as a share of the requests a second.
	budgetGrowth = 2.0
	// The budget grows fully while answers take up to promptAnswer times as long as without a queue, since slots may be
	// idle then, and by the factor queuedGrowth while they take more than queuedAnswer times as long, when none is.
	promptAnswer = 2.0
	queuedAnswer = 3.0
	queuedGrowth = 0.2
	// lateTarget is the share of late openings, of those that the levels admit, at which the budget grows no more: it
	// is not what limits the openings then.
	lateTarget = 0.1
	// surplus is the ratio of budget to arrivals at which limiting ends.
	surplus = 1.2
	// guaranteedShare is the share of each level that is always admitted, so that no level starves. With the order by
	// caller, a caller that tries again each second is admitted within guaranteedEpochs.
	guaranteedShare = 0.01
	// beginEvidence and keepEvidence are the answers and rejections in the rates with which limiting may begin, and
	// below which it ends. Fewer say little.
	beginEvidence = 6
	keepEvidence  = 3
	// sufficientEvidence is the number of answers and rejections with which an entry knows the share of rejections of
	// its data centre to about a tenth.
	sufficientEvidence = 30
)

const (
	evidenceDecay  = 200 * time.Millisecond // of answers and rejections: about as long as a queue takes to fill
	arrivalDecay   = 500 * time.Millisecond
	updateInterval = 25 * time.Millisecond
	// maxStep bounds the time that one update of the budget accounts for, as after a pause without openings.
	maxStep = 100 * time.Millisecond
	// levelIdle is how long after its last opening a level or a route counts.
	levelIdle = 2 * time.Second
	// maxSharedAge is the age at which the evidence of the data centre is replaced by this entry's own.
	maxSharedAge = time.Second
	// agreementTime is the time in which the budget of an entry approaches what all entries together admit, so that
	// entries that began at different times come to refuse the same share.
	agreementTime = 2 * time.Second
	// endedAfter is how long a level must be admitted completely for its limiting to count as ended.
	endedAfter = 500 * time.Millisecond
)

// Bounds of memory.
const (
	maxLevels  = 16
	maxRoutes  = 64 // of one level; further ones get the share of the level
	maxChanges = 64
)

// Method selects how the admitted share of each level is found.
type Method uint8

// The methods.
const (
	ByBudget    Method = iota // a budget of openings a second that follows the rejections
	ByThreshold               // a threshold on levels that moves by fixed steps, as in DAGOR
	Unlimited                 // nothing is refused for rejections
)

// Source selects the evidence that decides.
type Source uint8

// The sources of evidence.
const (
	SharedEvidence Source = iota // of the data centre while it is fresh, else of this entry
	OwnEvidence                  // of this entry only
)

// Order selects which openings of a level are admitted first.
type Order uint8

// The orders.
const (
	// ByCaller places all openings of a caller's address at one position for a second, at all entries. A caller that
	// was refused once is refused at its next tries too, instead of being admitted in place of another one. If each
	// opening were a new draw, most callers would need several tries, and arrivals would be up to three times as
	// many for the same number of requests served.
	ByCaller Order = iota
	// AtRandom draws a position for each opening.
	AtRandom
)

// Config configures a Limiter; zero values take the defaults.
type Config struct {
	Method Method
	Source Source
	Order  Order
	Seed   uint64    // of this entry's random numbers
	Key    [2]uint64 // of the hash of callers; the same at all entries of a data centre
}

// Evidence is what the entries of a data centre together observed of the group.
type Evidence struct {
	At         time.Time
	Entries    int
	Answered   float64 // requests a second
	Rejected   float64 // requests a second that upstreams rejected
	AnswerTime time.Duration
	Unqueued   time.Duration // answer time without a queue; 0: not known
	Levels     []stoatload.LevelLoad
}

// Opening is a request to open a flow.
type Opening struct {
	Priority int // 0 is the most urgent
	Route    netip.AddrPort
	Caller   netip.Addr
	Away     bool // it was spilled from another data centre
	Late     bool // its answer would be late, so that it is refused in any case
}

// Reason says which rule decided about an opening.
type Reason uint8

// The reasons.
const (
	Admitted           Reason = iota
	RefusedByLevel            // a more urgent level needs the room
	RefusedByFairShare        // other routes of its level need the room
	RefusedAway               // spilled, and the data centre's own callers leave no room
	RefusedLate               // its answer would be late
	ReasonCount               // the number of reasons
)

// String returns the label used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"admitted", "level", "fairness", "away", "late"}[r]
}

// Decision is the decision about an opening.
type Decision struct {
	Admitted      bool
	Reason        Reason
	Share         float64 // of the openings of the level that are admitted
	RejectedShare float64 // share of the recent requests that upstreams rejected
	Budget        float64 // openings a second; 0: nothing is limited
	Shared        bool    // whether the evidence of the data centre decided
	Limiting      bool    // whether any level is limited
}
