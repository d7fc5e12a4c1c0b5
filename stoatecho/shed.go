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
// shorter than the usual answers of its route, and mostly comes sooner than any real work could take. On a flow
// that has just opened, a full upstream reads the request only after those before it, so that its rejection takes as
// long as an answer does; such rejections are recognised by their size.
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
	if !e.answerSizes.isShort(r, bytes) {
		return false
	}
	least := h.answerTimes.floor
	if least == 0 {
		least = h.group.recentAnswers.mean
	}
	if took < ackDelay+time.Duration(quickShare*float64(max(0, least-ackDelay))) {
		h.group.rejectionSizes.add(bytes)
		return true
	}
	return h.group.rejectionSizes.contains(bytes)
}

// minSizeSamples is how many quick rejections of the same size make a slow short answer of that size a rejection. A
// single one may be a short answer that happened to be quick.
const minSizeSamples = 2

// rejectionSizes counts the sizes of quick rejections, in bytes. It holds the most frequent ones: if there is no
// room for another size, all counts fall by one (Misra and Gries 1982).
type rejectionSizes [4]struct {
	bytes uint32
	count int
}

func (s *rejectionSizes) add(bytes uint32) {
	free := -1
	for i := range s {
		switch {
		case s[i].count > 0 && s[i].bytes == bytes:
			s[i].count++
			return
		case s[i].count == 0:
			free = i
		}
	}
	if free >= 0 {
		s[free].bytes, s[free].count = bytes, 1
		return
	}
	for i := range s {
		s[i].count--
	}
}

func (s *rejectionSizes) contains(bytes uint32) bool {
	for i := range s {
		if s[i].bytes == bytes && s[i].count >= minSizeSamples {
			return true
		}
	}
	return false
}

// noteRejection records that the upstream rejected a request. It counts as an answer that was as slow as the
// recent ones, since an upstream that rejects requests is full.
func (h *health) noteRejection(now time.Time) {
	h.lastAnswer = now
	slow := max(h.recentAnswers.mean, h.group.recentAnswers.mean)
	h.recentAnswers.add(now, slow)
	h.group.recentAnswers.add(now, slow)
}
