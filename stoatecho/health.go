package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatfilter"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

const (
	// patienceLeast and patienceMost bound how long an opening may wait for its caller's
	// next packet before new flows avoid the upstream. A caller repeats its opening after
	// 200 ms, which is as late as a request may be.
	patienceLeast = 20 * time.Millisecond
	patienceMost  = 150 * time.Millisecond
	// avoidLeast and avoidMost bound how long an upstream that let an opening go unanswered
	// gets no flows while others can take them; each time doubles it, a sign ends it.
	avoidLeast = 400 * time.Millisecond
	avoidMost  = 3200 * time.Millisecond
	// answerPatience is the same for a request: twice the slowest usual one.
	answerPatience = 500 * time.Millisecond
	// repeatLeast is the least time between a packet and its copy that counts as a repeat:
	// callers repeat after 200 ms.
	repeatLeast = 150 * time.Millisecond
	// ejectRepeats and ejectSilence are the evidence that an upstream is dead: so many
	// packets were repeated, and nothing came back on any flow for so long.
	ejectRepeats = 2
	ejectSilence = 200 * time.Millisecond
	// coldSilence is how many times longer an upstream that has just started may be silent: it
	// works several times slower, so that its callers repeat themselves while it is at work.
	coldSilence = 4
	// queueSilence is how many mean answer times of its like an upstream may be silent: a queue
	// that is full takes two or three times as long as the mean one.
	queueSilence = 3
	// knownLeast is the weight of answers below which nothing is known of a queue, as after a start.
	knownLeast = 0.5
	// ejectLeast and ejectMost bound how long it gets no flows; each time doubles it.
	ejectLeast = time.Second
	ejectMost  = 8 * time.Second
	// ownSilence is how long another upstream must owe a sign for the trouble to be this
	// entry's: longer than a usual answer takes.
	ownSilence = 100 * time.Millisecond
	// latencyWeight is the share of the newest sample in the mean.
	latencyWeight = 0.2
	// latencyFloor keeps small differences from moving flows: below it all are alike.
	latencyFloor = 50 * time.Millisecond
)

// health is what this entry saw of one upstream: callers' packets only, for the answers
// go past it.
type health struct {
	flows        int       // open ones that this entry saw
	busy         int       // requests without an answer
	opening      int       // openings without their caller's next packet
	sign         time.Time // last proof of life: a caller acknowledged something new
	answer       time.Time // last answer to a request, the surest sign
	openFrom     time.Time // since when an opening waits, without a sign since
	busyFrom     time.Time // since when a request waits, without a sign since
	usual        leastMean // from a request to its answer
	full         full      // it turned requests away
	recent       recent    // the same, of answers of late
	beside       float64   // mean of requests in progress from here, itself included, when it was asked
	repeats      int       // repeated packets since the last sign
	ejection     backoff   // it gets no flows
	trial        bool      // it got a flow after an ejection and has not answered
	avoidance    backoff   // it gets no flows while others can take them
	window       window    // requests of late
	mark         mark      // it fails requests
	life         stoatroute.Identity
	waitFrom     time.Time // since when this entry waits for it in vain, as it reports; zero: it does not
	waitSeen     time.Time // when the latest unanswered packet was noted
	preferOthers time.Time // until when new flows prefer others, since another entry waits for it
	together     bool      // its ejection follows from what the data centre saw together
	group        *group    // of the upstreams that share a load with it
	met          time.Time // when it was first looked through; zero: it was not
	taken        time.Time // when it last got a flow from here
}

// latest is when something of the upstream was last seen, sent or decided.
func (h *health) latest() time.Time {
	latest := h.met
	for _, t := range [...]time.Time{h.sign, h.answer, h.taken, h.ejection.until, h.avoidance.until, h.mark.until, h.waitSeen, h.preferOthers} {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// heard notes a proof of life.
func (h *health) heard(now time.Time) {
	h.sign, h.openFrom, h.busyFrom = now, now, now
	h.repeats, h.trial, h.ejection, h.avoidance = 0, false, backoff{}, backoff{}
	h.waitFrom, h.preferOthers, h.together = time.Time{}, time.Time{}, false
}

// missed notes that an opening sent at that time went unanswered for good. A machine whose
// server crashed refuses openings towards the caller, past this entry; the caller is back
// within milliseconds, and would be sent there again.
func (h *health) missed(now, sent time.Time) {
	if h.sign.After(sent) {
		return
	}
	h.avoidance.begin(now, avoidLeast, avoidMost)
}

// silence is how long the upstream has owed an answer.
func (h *health) silence(now time.Time) time.Duration {
	var d time.Duration
	if h.opening > 0 {
		d = now.Sub(h.openFrom)
	}
	if h.busy > 0 {
		d = max(d, now.Sub(h.busyFrom))
	}
	return d
}

// ownTrouble tells whether the silence speaks of this entry rather than of the upstream: for
// as long as this one has been silent nobody gave a sign, although others owe one too.
//
// The load: an entry sends a large configuration on, its link is full for half a second, and
// callers' packets wait in it. A dozen upstreams look dead at once, and would get no new flows
// although they serve. A dead upstream among others that live is told by their signs.
//
// An entry that is behind with its own packets sees signs of others among them, as old as the
// repeats that look like evidence; so it takes none.
func (e *Engine) ownTrouble(now time.Time, h *health, silence time.Duration) bool {
	if e.behind(now) {
		return true
	}
	if e.sign.After(now.Add(-silence)) {
		return false
	}
	for _, other := range e.health {
		if other != h && other.silence(now) > ownSilence {
			return true
		}
	}
	return false
}

// slowToAnswer tells whether new flows should rather go elsewhere for now.
func (h *health) slowToAnswer(now time.Time, patience time.Duration) bool {
	return h.trial || h.group.silence.avoidance.active(now) || h.avoidance.active(now) || now.Before(h.preferOthers) || now.Before(h.mark.until) ||
		h.opening > 0 && now.Sub(h.openFrom) > patience || h.busy > 0 && now.Sub(h.busyFrom) > answerPatience
}

// handshake follows how long callers take from an opening to their next packet, which is
// their distance: mean and mean deviation, as TCP does for its timer (RFC 6298).
type handshake struct{ mean, deviation time.Duration }

const handshakeWeight = 8 // a new sample counts an eighth

func (x *handshake) took(d time.Duration) {
	if x.mean == 0 {
		x.mean, x.deviation = d, d/2
		return
	}
	x.deviation += ((x.mean - d).Abs() - x.deviation) / handshakeWeight
	x.mean += (d - x.mean) / handshakeWeight
}

// patience is how long an opening may wait before its upstream is suspected.
func (x *handshake) patience() time.Duration {
	if x.mean == 0 {
		return patienceMost
	}
	return min(patienceMost, max(patienceLeast, x.mean+4*x.deviation))
}

// suspected tells whether the upstream let packets go unanswered and gave no sign since.
func (h *health) suspected() bool { return h.ejection.begun() || h.avoidance.begun() }

func (h *health) isEjected(now time.Time) bool { return h.ejection.active(now) }

// silenceOf is how long the upstream may be silent: longer where its like take long to answer.
//
// The load: a burst of six times the traffic before 120 upstreams. Each has a dozen requests
// in its queue and answers after 0.3 s; callers repeat after 0.2 s, and one of sixteen entries
// hears of an answer of it three times a second. Upstreams that work at full speed would be
// ejected, and get no new flows.
func (e *Engine) silenceOf(now time.Time, u *stoatroute.Upstream) time.Duration {
	silence := ejectSilence
	if now.Before(u.WarmAt) {
		silence *= coldSilence
	}
	if g := e.groupOf(u); g.answers.weightAt(now) >= knownLeast {
		silence = max(silence, queueSilence*g.answers.mean)
	}
	return silence
}

// repeated notes that a caller repeated a packet, and tells whether that ejects the upstream,
// which may be silent for so long.
func (h *health) repeated(now time.Time, silent time.Duration) bool {
	h.repeats++
	if h.repeats < ejectRepeats || h.silence(now) < silent {
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
	h.ejection.begin(now, ejectLeast, ejectMost)
	h.trial = false
}

func (h *health) opened(now time.Time) {
	if h.opening == 0 {
		h.openFrom = now
	}
	h.opening++
	h.group.inProgress++
	h.trial = h.ejection.begun() && !h.isEjected(now)
}

func (h *health) asked(now time.Time) {
	if h.busy == 0 {
		h.busyFrom = now
	}
	h.busy++
	h.group.inProgress++
	h.group.load.asked(now)
}

// openingEnded notes that an opening does not wait any more.
func (h *health) openingEnded() {
	h.opening--
	h.group.inProgress--
}

// requestEnded notes that a request does not wait any more.
func (h *health) requestEnded() {
	h.busy--
	h.group.inProgress--
}

func (h *health) answered(now time.Time, took time.Duration, beside int) {
	h.answer = now
	h.window.add(now, stoatoutlier.Counts{Answered: 1})
	if h.usual.mean == 0 {
		h.beside = float64(beside)
	}
	h.beside += latencyWeight * (float64(beside) - h.beside)
	h.usual.add(took, latencyWeight)
}

// coldLoad is what a new flow would ask of the upstream, where a limit asks for it.
func (h *health) coldLoad(now time.Time, u *stoatroute.Upstream) stoatfilter.ColdLoad {
	if u.ColdRate == 0 || !now.Before(u.WarmAt) {
		return stoatfilter.ColdLoad{}
	}
	return stoatfilter.ColdLoad{RequestsPerFlow: h.group.load.perFlow(now), LastSent: h.taken}
}

// load is the part of the upstream's slots that this entry has taken.
func (h *health) load(u *stoatroute.Upstream) float64 {
	return float64(h.busy+h.opening) / float64(max(1, u.Slots))
}

const (
	// idleLoad is what an open flow without a request counts: a caller on a long flow asks
	// about once a second for 40 ms.
	idleLoad = 0.04
	// coldPenalty is how much longer a cold upstream takes, as its cost.
	coldPenalty = 1.6
	// slowPenalty keeps flows away from an upstream that owes an answer while others do not.
	slowPenalty = 20
)

// cost is the expected wait at the upstream, in units of a request alone there.
func (h *health) cost(now time.Time, u *stoatroute.Upstream, patience time.Duration) float64 {
	c := h.load(u) + (1+idleLoad*float64(h.flows))/float64(max(1, u.Slots))
	if h.usual.mean > latencyFloor {
		c *= float64(h.usual.mean) / float64(latencyFloor)
	}
	if now.Before(u.WarmAt) {
		c *= coldPenalty
	}
	c *= h.full.penalty(now)
	if h.slowToAnswer(now, patience) {
		c *= slowPenalty
	}
	return c
}

// healthOf returns the health of an upstream, which is kept for each one that this entry met.
func (e *Engine) healthOf(u *stoatroute.Upstream) *health {
	h := e.health[u.Key]
	if h == nil {
		h = e.newHealth(u)
		e.health[u.Key] = h
		e.unsettled[u.Key] = true
	}
	return h
}

func (e *Engine) newHealth(u *stoatroute.Upstream) *health {
	return &health{life: stoatroute.IdentityOf(&u.Registration), group: e.groupOf(u)}
}

// groupOf returns the group of an upstream.
func (e *Engine) groupOf(u *stoatroute.Upstream) *group {
	k := groupKey{service: u.Service, centre: u.DataCentre}
	g := e.groups[k]
	if g == nil {
		g = &group{}
		g.unmet.group = g
		e.groups[k] = g
	}
	return g
}
