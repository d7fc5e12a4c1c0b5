package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const (
	// minPatience and maxPatience bound how long an opening may wait for its caller's next packet before new flows
	// avoid the upstream. A caller retransmits its opening after 200 ms, which is all the time that a request may take.
	minPatience = 20 * time.Millisecond
	maxPatience = 150 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long an upstream that left an opening unanswered gets no flows while
	// others can take them; the time doubles with each such opening, and a sign of life ends it.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 3200 * time.Millisecond
	// requestPatience is how long a request may wait before new flows avoid the upstream: twice the slowest usual
	// answer time.
	requestPatience = 500 * time.Millisecond
	// minRetransmitInterval is the least time between a packet and its copy for the copy to count as a
	// retransmission by the caller, which happens after 200 ms.
	minRetransmitInterval = 150 * time.Millisecond
	// ejectRetransmissions and ejectSilence are the evidence on which an upstream is ejected: that many
	// retransmissions, and no sign of life on any flow for that long.
	ejectRetransmissions = 2
	ejectSilence         = 200 * time.Millisecond
	// coldSilenceFactor is how many times longer an upstream that has just started may be silent: it works several
	// times slower, so that callers retransmit while it works.
	coldSilenceFactor = 4
	// queueSilenceFactor is how many mean answer times of its group an upstream may be silent: a full queue
	// takes two or three times as long as the mean one.
	queueSilenceFactor = 3
	// minKnownWeight is the weight of recent answers below which the length of the queue is unknown, as after a
	// start.
	minKnownWeight = 0.5
	// minEjection and maxEjection bound how long an ejected upstream gets no flows; the time doubles with each
	// ejection.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// localFaultSilence is how long another upstream must be silent too for the fault to be this entry's:
	// longer than a usual answer takes.
	localFaultSilence = 100 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the mean.
	latencyWeight = 0.2
	// latencyFloor is the mean answer time below which differences do not matter, so that small ones do not move
	// flows.
	latencyFloor = 50 * time.Millisecond
)

// health is what this entry has seen of one upstream. The entry sees only the callers' packets, as answers do not
// pass through it.
type health struct {
	flows              int            // open flows seen here
	pendingRequests    int            // requests without an answer
	pendingOpenings    int            // openings without the caller's next packet
	lastAlive          time.Time      // last sign of life: a caller acknowledged something new
	lastAnswer         time.Time      // last answer to a request, the most reliable sign of life
	openingsSince      time.Time      // since when an opening has been pending without a sign of life
	requestsSince      time.Time      // since when a request has been pending without a sign of life
	answerTimes        meanWithFloor  // from a request to its answer
	saturation         rejectionRate  // requests that it rejected
	recentAnswers      decayingMean   // answer times of recent requests
	concurrency        float64        // mean number of requests in progress from here when one was sent, itself included
	retransmissions    int            // since the last sign of life
	ejection           backoff        // it gets no flows
	onTrial            bool           // it got a flow after an ejection and has not answered
	avoidance          backoff        // it gets no flows while others can take them
	window             window         // recent requests
	failing            failureBackoff // no new flows, since it fails requests
	identity           stoatroute.Identity
	unansweredSince    time.Time // since when this entry reports that it waits in vain; zero: it does not
	unansweredSeen     time.Time // when the latest unanswered packet was noted
	deprioritizedUntil time.Time // new flows prefer others until then, since another entry waits for it
	jointlyEjected     bool      // its ejection follows from the reports of all entries of the data centre
	group              *group    // upstreams that share a load with it
	firstSwept         time.Time // when forgetIdle first saw it; zero: it has not
	lastPlaced         time.Time // when it last got a flow from here
}

// latest returns when something of the upstream was last seen, sent or decided.
func (h *health) latest() time.Time {
	latest := h.firstSwept
	for _, t := range [...]time.Time{h.lastAlive, h.lastAnswer, h.lastPlaced, h.ejection.until, h.avoidance.until, h.failing.until, h.unansweredSeen, h.deprioritizedUntil} {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// noteAlive records a sign of life.
func (h *health) noteAlive(now time.Time) {
	h.lastAlive, h.openingsSince, h.requestsSince = now, now, now
	h.retransmissions, h.onTrial, h.ejection, h.avoidance = 0, false, backoff{}, backoff{}
	h.unansweredSince, h.deprioritizedUntil, h.jointlyEjected = time.Time{}, time.Time{}, false
}

// openingExpired records that an opening sent at the given time was not answered at all. A machine whose server
// has crashed refuses openings directly towards the caller, past this entry; the caller is back within
// milliseconds, and would be sent there again.
func (h *health) openingExpired(now, sent time.Time) {
	if h.lastAlive.After(sent) {
		return
	}
	h.avoidance.begin(now, minAvoidance, maxAvoidance)
}

// silence returns how long the upstream has left a packet unanswered.
func (h *health) silence(now time.Time) time.Duration {
	var d time.Duration
	if h.pendingOpenings > 0 {
		d = now.Sub(h.openingsSince)
	}
	if h.pendingRequests > 0 {
		d = max(d, now.Sub(h.requestsSince))
	}
	return d
}

// isLocalFault reports whether the silence of an upstream is likely to be this entry's fault: no upstream has
// given a sign of life for as long, and another one has left a packet unanswered too.
//
// When an entry forwards a large configuration, its link may be full for half a second and delay the callers'
// packets. A dozen upstreams then look dead at once and would get no new flows although they serve. A dead
// upstream among live ones is recognized by the signs of life of the others.
//
// An entry that lags behind with its own packets uses no such evidence: among the packets that it handles late,
// signs of life of other upstreams are as old as the retransmissions that seem to be evidence.
func (e *Engine) isLocalFault(now time.Time, h *health, silence time.Duration) bool {
	if e.behind(now) {
		return true
	}
	if e.lastAlive.After(now.Add(-silence)) {
		return false
	}
	for _, other := range e.health {
		if other != h && other.silence(now) > localFaultSilence {
			return true
		}
	}
	return false
}

// slowToAnswer reports whether new flows should prefer other upstreams for now.
func (h *health) slowToAnswer(now time.Time, patience time.Duration) bool {
	return h.onTrial || h.group.silence.avoidance.active(now) || h.avoidance.active(now) || now.Before(h.deprioritizedUntil) || now.Before(h.failing.until) ||
		h.pendingOpenings > 0 && now.Sub(h.openingsSince) > patience || h.pendingRequests > 0 && now.Sub(h.requestsSince) > requestPatience
}

// handshake tracks how long callers take from an opening to their next packet, which reflects their distance:
// mean and mean deviation, as TCP does for its retransmission timer (RFC 6298).
type handshake struct{ mean, deviation time.Duration }

const handshakeDivisor = 8 // a new sample has a weight of one eighth

func (x *handshake) add(d time.Duration) {
	if x.mean == 0 {
		x.mean, x.deviation = d, d/2
		return
	}
	x.deviation += ((x.mean - d).Abs() - x.deviation) / handshakeDivisor
	x.mean += (d - x.mean) / handshakeDivisor
}

// patience returns how long an opening may wait before its upstream is suspected.
func (x *handshake) patience() time.Duration {
	if x.mean == 0 {
		return maxPatience
	}
	return min(maxPatience, max(minPatience, x.mean+4*x.deviation))
}

// suspected reports whether the upstream left packets unanswered and has given no sign of life since.
func (h *health) suspected() bool { return h.ejection.begun() || h.avoidance.begun() }

func (h *health) isEjected(now time.Time) bool { return h.ejection.active(now) }

// allowedSilence returns how long the upstream may be silent before it is ejected: longer if its group takes
// long to answer.
//
// In a burst of six times the usual traffic to 120 upstreams, each has a dozen requests in its queue and
// answers after 0.3 s, callers retransmit after 0.2 s, and each of sixteen entries sees three answers a second
// of an upstream. With a fixed bound, upstreams that work at full speed would be ejected.
func (e *Engine) allowedSilence(now time.Time, u *stoatroute.Upstream) time.Duration {
	silence := ejectSilence
	if now.Before(u.WarmAt) {
		silence *= coldSilenceFactor
	}
	if g := e.groupOf(u); g.recentAnswers.weightAt(now) >= minKnownWeight {
		silence = max(silence, queueSilenceFactor*g.recentAnswers.mean)
	}
	return silence
}

// noteRetransmission records a retransmission by a caller, and reports whether that ejects the upstream; allowed
// is how long the upstream may be silent.
func (h *health) noteRetransmission(now time.Time, allowed time.Duration) bool {
	h.retransmissions++
	if h.retransmissions < ejectRetransmissions || h.silence(now) < allowed {
		return false
	}
	if h.isEjected(now) {
		return false
	}
	h.eject(now)
	return true
}

// eject keeps new flows away, for longer each time.
func (h *health) eject(now time.Time) {
	h.ejection.begin(now, minEjection, maxEjection)
	h.onTrial = false
}

func (h *health) openingStarted(now time.Time) {
	if h.pendingOpenings == 0 {
		h.openingsSince = now
	}
	h.pendingOpenings++
	h.group.inProgress++
	h.onTrial = h.ejection.begun() && !h.isEjected(now)
}

func (h *health) requestStarted(now time.Time) {
	if h.pendingRequests == 0 {
		h.requestsSince = now
	}
	h.pendingRequests++
	h.group.inProgress++
	h.group.requestsPerFlow.requestStarted(now)
}

// openingEnded records that an opening is no longer pending.
func (h *health) openingEnded() {
	h.pendingOpenings--
	h.group.inProgress--
}

// requestEnded records that a request is no longer pending.
func (h *health) requestEnded() {
	h.pendingRequests--
	h.group.inProgress--
}

func (h *health) answered(now time.Time, took time.Duration, concurrency int) {
	h.lastAnswer = now
	h.window.add(now, stoatoutlier.Counts{Answered: 1})
	if h.answerTimes.mean == 0 {
		h.concurrency = float64(concurrency)
	}
	h.concurrency += latencyWeight * (float64(concurrency) - h.concurrency)
	h.answerTimes.add(took, latencyWeight)
}

// coldLoad returns the load that a new flow would put on the upstream while it is cold and has a rate limit.
func (h *health) coldLoad(now time.Time, u *stoatroute.Upstream) stoatfilter.ColdLoad {
	if u.ColdRate == 0 || !now.Before(u.WarmAt) {
		return stoatfilter.ColdLoad{}
	}
	return stoatfilter.ColdLoad{RequestsPerFlow: h.group.requestsPerFlow.perFlow(now), LastSent: h.lastPlaced}
}

// load returns the part of the upstream's slots that this entry uses.
func (h *health) load(u *stoatroute.Upstream) float64 {
	return float64(h.pendingRequests+h.pendingOpenings) / float64(max(1, u.Slots))
}

const (
	// idleLoad is the load of an open flow without a request, as a share of one in progress: a caller on a long
	// flow sends a request of 40 ms about once a second.
	idleLoad = 0.04
	// coldPenalty is the factor on the cost of a cold upstream, which takes that much longer.
	coldPenalty = 1.6
	// slowPenalty is the factor on the cost of an upstream that is slow to answer, so that flows prefer others.
	slowPenalty = 20
)

// cost returns the expected wait at the upstream, relative to a single request there.
func (h *health) cost(now time.Time, u *stoatroute.Upstream, patience time.Duration) float64 {
	c := h.load(u) + (1+idleLoad*float64(h.flows))/float64(max(1, u.Slots))
	if h.answerTimes.mean > latencyFloor {
		c *= float64(h.answerTimes.mean) / float64(latencyFloor)
	}
	if now.Before(u.WarmAt) {
		c *= coldPenalty
	}
	c *= h.saturation.penalty(now)
	if h.slowToAnswer(now, patience) {
		c *= slowPenalty
	}
	return c
}

// healthOf returns the health of an upstream, and starts to track it if this entry has not seen it yet.
func (e *Engine) healthOf(u *stoatroute.Upstream) *health {
	h := e.health[u.Key]
	if h == nil {
		h = e.newHealth(u)
		e.health[u.Key] = h
		e.recheck[u.Key] = true
	}
	return h
}

func (e *Engine) newHealth(u *stoatroute.Upstream) *health {
	return &health{identity: stoatroute.IdentityOf(&u.Registration), group: e.groupOf(u)}
}

// groupOf returns the group of an upstream, and creates it if it is new.
func (e *Engine) groupOf(u *stoatroute.Upstream) *group {
	k := groupKey{service: u.Service, centre: u.DataCentre}
	g := e.groups[k]
	if g == nil {
		g = &group{key: k, limiter: e.newLimiter(k)}
		g.unseen.group = g
		e.groups[k] = g
	}
	return g
}
