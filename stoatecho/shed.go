package stoatecho

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Answers that are refusals.
//
// The load: nine times the usual traffic. An upstream whose queue is full turns a request away at
// once, and its caller acknowledges that like any answer. Half of all answers are such and take
// five milliseconds: the mean is then that of a calm day, entries admit everybody, and a full
// upstream looks like the quickest one.
//
// What an answer says is not read here, only how many bytes of it callers acknowledge, and when. A
// refusal is shorter than what the route usually answers, and comes sooner than any work.
const (
	// shortShare and quickShare are the parts of a route's usual size and of an upstream's least
	// usual time below which an answer counts as a refusal: both, since some answers are short and
	// others quick.
	shortShare = 0.5
	quickShare = 0.5
	// ackDelay is how long callers may keep the acknowledgement of a single packet back (RFC 1122, 4.2.3.2), which
	// is in the time of each answer that is one packet: quick is what is left.
	ackDelay = 45 * time.Millisecond
	// onePacket is the data of a full packet: a first acknowledgement may cover no more of a long answer.
	onePacket = 1200
	// sizeWeight is the share of the newest answer in a route's usual size; that of a short one is
	// smaller, so that refusals do not become usual within a burst, and a route whose answers have
	// become short is followed within some thousands.
	sizeWeight  = 1.0 / 32
	shortWeight = 1.0 / 2048
)

// answerSizes are the usual sizes of routes' answers, bytes.
type answerSizes map[netip.AddrPort]float64

// isShort takes in an answer's size, and tells whether it is much shorter than usual.
func (s answerSizes) isShort(r *stoatroute.Route, bytes uint32) bool {
	bytes = min(bytes, onePacket)
	usual, known := s[r.Listen]
	if !known {
		s[r.Listen] = float64(bytes)
		return false
	}
	short, weight := float64(bytes) < shortShare*usual, sizeWeight
	if short {
		weight = shortWeight
	}
	s[r.Listen] = usual + weight*(float64(bytes)-usual)
	return short
}

// isRejection tells whether an answer of that size, which took so long, is a refusal.
func (e *Engine) isRejection(r *stoatroute.Route, h *health, took time.Duration, bytes uint32) bool {
	least := h.answerTimes.floor
	if least == 0 {
		least = h.group.recentAnswers.mean
	}
	return e.answerSizes.isShort(r, bytes) && took < ackDelay+time.Duration(quickShare*float64(max(0, least-ackDelay)))
}

// noteRejection notes that the upstream turned a request away: it is as full as its answers were slow.
func (h *health) noteRejection(now time.Time) {
	h.lastAnswer = now
	slow := max(h.recentAnswers.mean, h.group.recentAnswers.mean)
	h.recentAnswers.add(now, slow)
	h.group.recentAnswers.add(now, slow)
}
