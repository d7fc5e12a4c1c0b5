package stoatecho

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// Detection of answers that are rejections.
//
// Under nine times the usual traffic, an upstream whose queue is full rejects a request at once, and its caller
// acknowledges that like any answer. Half of all answers are rejections and take five milliseconds, so that the
// mean is as low as on a quiet day, entries admit every flow, and a full upstream looks like the fastest one.
//
// Entries do not see the answers, only how many bytes of them callers acknowledge, and when. A rejection is
// shorter than the usual answers of its route and comes sooner than any real work could take.
const (
	// shortShare and quickShare are the parts of a route's usual answer size and of an upstream's minimum
	// answer time below which an answer counts as a rejection. Both must hold, since some answers are short and
	// others quick.
	shortShare = 0.5
	quickShare = 0.5
	// ackDelay is how long callers may delay the acknowledgement of a single packet (RFC 1122, 4.2.3.2). It is
	// part of the time of each answer of one packet, so only the rest of the time is compared.
	ackDelay = 45 * time.Millisecond
	// onePacket is the data of a full packet, in bytes; the first acknowledgement of a long answer may cover no
	// more.
	onePacket = 1200
	// sizeWeight is the weight of the newest answer in the usual size. The weight of a short answer is smaller, so
	// that rejections do not become usual within a burst; a route whose answers have become short for good is
	// followed within some thousands of answers.
	sizeWeight  = 1.0 / 32
	shortWeight = 1.0 / 2048
)

// answerSizes are the usual answer sizes of routes, in bytes.
type answerSizes map[netip.AddrPort]float64

// isShort records the size of an answer, and reports whether the answer is much shorter than usual.
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

// isRejection reports whether an answer of the given time and size is a rejection.
func (e *Engine) isRejection(r *stoatroute.Route, h *health, took time.Duration, bytes uint32) bool {
	least := h.answerTimes.floor
	if least == 0 {
		least = h.group.recentAnswers.mean
	}
	return e.answerSizes.isShort(r, bytes) && took < ackDelay+time.Duration(quickShare*float64(max(0, least-ackDelay)))
}

// noteRejection records that the upstream rejected a request. It counts as an answer that was as slow as the
// recent ones, since an upstream that rejects requests is full.
func (h *health) noteRejection(now time.Time) {
	h.lastAnswer = now
	slow := max(h.recentAnswers.mean, h.group.recentAnswers.mean)
	h.recentAnswers.add(now, slow)
	h.group.recentAnswers.add(now, slow)
}
