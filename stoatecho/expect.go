package stoatecho

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

const (
	// openingExpected and answerExpected are how long a flow may owe a packet before it
	// stops counting. A caller that still waited would have repeated itself, after 200 ms:
	// so the fabric gives its packets to another entry now. Without this bound, the flows of
	// half a data centre count as load here for seconds each time an entry joins or leaves,
	// and new flows flee to other data centres.
	openingExpected = 300 * time.Millisecond
	answerExpected  = time.Second
)

// expected is a packet that a flow owes since a time.
type expected struct {
	tuple stoatpacket.Tuple
	since time.Time
}

// expectations are what flows owe, oldest first.
type expectations struct {
	list []expected
	head int
}

func (x *expectations) add(t stoatpacket.Tuple, since time.Time) {
	x.list = append(x.list, expected{tuple: t, since: since})
}

// due takes out the oldest expectation if it is older than bound.
func (x *expectations) due(now time.Time, bound time.Duration) (expected, bool) {
	if x.head == len(x.list) {
		x.list, x.head = x.list[:0], 0
		return expected{}, false
	}
	e := x.list[x.head]
	if now.Sub(e.since) < bound {
		return expected{}, false
	}
	x.head++
	if x.head >= compactAt && 2*x.head >= len(x.list) {
		x.list = append(x.list[:0], x.list[x.head:]...)
		x.head = 0
	}
	return e, true
}

// compactAt is how many taken expectations may stand before the list is moved up.
const compactAt = 256

// await expects an answer on the flow. A flow stands in the list once, however many
// requests it carries: an entry for each would be put back for as long as the flow is busy.
func (e *Engine) await(now time.Time, t stoatpacket.Tuple, f *flow) {
	if !f.awaited {
		f.awaited = true
		e.answers.add(t, now)
	}
}

// expire stops counting what flows owe for too long.
func (e *Engine) expire(now time.Time) {
	e.noteWaits(now)
	for {
		x, due := e.openings.due(now, openingExpected)
		if !due {
			break
		}
		if f := e.flows[x.tuple]; f != nil && f.opening && f.seen.Equal(x.since) {
			e.health[f.key].missed(now, f.seen)
			e.forget(x.tuple)
		}
	}
	e.expireOwed(now)
	for {
		x, due := e.answers.due(now, answerExpected)
		if !due {
			return
		}
		f := e.flows[x.tuple]
		if f == nil {
			continue
		}
		f.awaited = false
		if f.asked.IsZero() {
			continue
		}
		if quiet := now.Sub(f.seen); quiet < answerExpected {
			// It goes on, as an upload or with repeats: look again a while after its last packet.
			e.await(now, x.tuple, f)
			continue
		}
		e.health[f.key].requestEnded()
		f.asked = time.Time{}
	}
}

// owe expects an answer soon enough not to count as a failure; a flow stands in the list once.
func (e *Engine) owe(now time.Time, t stoatpacket.Tuple, f *flow) {
	if !f.owes {
		f.owes = true
		e.owed.add(t, now)
	}
}

// expireOwed counts requests that owe their answer for too long. One whose flow sends on,
// such as an upload, is not asked yet.
func (e *Engine) expireOwed(now time.Time) {
	for {
		x, due := e.owed.due(now, owedFor)
		if !due {
			return
		}
		f := e.flows[x.tuple]
		if f == nil {
			continue
		}
		f.owes = false
		switch {
		case f.asked.IsZero():
		case now.Sub(f.progress) < owedFor || e.behind(now):
			e.owe(now, x.tuple, f)
		default:
			e.health[f.key].window.add(now, stoatoutlier.Counts{Failed: 1})
		}
	}
}
