package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// end has the platform say that the upstream's registration has ended.
func (w *world) end(id stoatpaddle.UpstreamID) {
	w.rev++
	w.book.MarkGone(w.now, id, w.rev)
}

// flows opens so many flows to the upstream.
func (w *world) flowsTo(target stoatpaddle.Target, n int) []*caller {
	var out []*caller
	for len(out) < n {
		out = append(out, w.flowTo(target))
	}
	return out
}

// mustGoOn fails if a packet of an open flow was answered with a reset.
func mustGoOn(t *testing.T, when string, a stoatecho.Action) {
	t.Helper()
	if a.Verdict != stoatecho.Forward {
		t.Errorf("%s: an open flow was reset while its upstream serves: %+v", when, a)
	}
}

// A burst of nine times the traffic with large uploads. Each is sixteen packets on their way, of
// which callers repeat what is not acknowledged after 0.2 s; the upstream works off its queue and
// answers each after 0.6 s, while another one, without a queue, answers at once. Callers see slow
// uploads; none of their flows may be reset.
func TestUploadsThroughAQueueGoOn(t *testing.T) {
	w := newWorld(t)
	full, quick := w.flowsTo(1, 4), w.flowsTo(2, 2)
	w.after(time.Second)
	for range 5 {
		for _, c := range full {
			mustGoOn(t, "first packet", c.ask())
		}
		for n := range 3 {
			w.after(200 * ms)
			for _, c := range quick {
				c.ask()
				w.after(5 * ms)
				c.done()
			}
			for _, c := range full {
				mustGoOn(t, "repeat", c.again())
			}
			if n == 1 {
				mustGoOn(t, "next packet of an upload", full[3].ask())
			}
		}
		for _, c := range full {
			c.done()
		}
	}
}

// Two entries have requests in the queue of one upstream that is full, and hear from all others.
// Both wait for it in vain, and each tells the other: new flows go elsewhere, which is right. But a
// second entry sees the same queue, so that it is no proof of a death: no open flow is reset.
func TestTwoEntriesThatWaitForAFullUpstream(t *testing.T) {
	x := newEntries(t, 3)
	var waiting []*caller
	for _, w := range x.list[:2] {
		waiting = append(waiting, w.flowsTo(1, 2)...)
	}
	x.level()
	x.sign()
	for _, c := range waiting {
		mustGoOn(t, "request", c.ask())
	}
	for range 6 {
		x.after(210 * ms)
		x.sign()
		for _, c := range waiting {
			mustGoOn(t, "repeat", c.again())
		}
		x.wait()
		x.pool()
	}
	if got := x.list[2].opened(20); got["i-1"] != 0 {
		t.Error("new flows go on to the upstream that answers nobody:", got)
	}
}

// An entry with little of a core reads its socket 0.6 s late in a burst, and does not know it yet:
// repeats of requests that were answered long ago come before the packets that acknowledge the
// answers. No flow of theirs may be reset.
func TestEntryThatReadsLateResetsNothing(t *testing.T) {
	w := newWorld(t)
	there, others := w.openMany(12)
	for _, f := range append(append([]*caller(nil), there...), others...) {
		f.ask()
	}
	for range 3 {
		w.after(210 * ms)
		others[0].done()
		others[0].ask()
		for _, f := range there {
			mustGoOn(t, "repeat that waited in the socket", f.again())
		}
	}
	for _, f := range there {
		mustGoOn(t, "acknowledgement", f.done())
	}
}

// An upstream takes requests and dies. Its callers have nothing to repeat, so that no packet of
// theirs comes here, or only 1.6 s later. When the platform says that it has ended, all that wait
// there are told at once, whatever their requests; flows elsewhere are not, and idle ones are told
// with their next packet.
func TestWaitingFlowsAreToldOfTheEnd(t *testing.T) {
	w := newWorld(t)
	waiting, idle, other := w.flowsTo(1, 3), w.flowTo(1), w.flowTo(2)
	if list := w.e.TakeOrphanedFlows(w.now, w.book.Table()); len(list) != 0 {
		t.Errorf("nothing has ended: %+v", list)
	}
	for _, c := range append(waiting, other) {
		c.ask()
	}
	w.after(200 * ms).end("i-1")
	told := map[stoatpacket.Tuple]bool{}
	for _, x := range w.e.TakeOrphanedFlows(w.now, w.book.Table()) {
		if x.Upstream.ID != "i-1" || x.Ack != 1 {
			t.Errorf("%+v", x)
		}
		told[x.Tuple] = true
	}
	if len(told) != 3 || told[other.tuple] || told[idle.tuple] {
		t.Errorf("told: %v", told)
	}
	if again := w.e.TakeOrphanedFlows(w.now, w.book.Table()); len(again) != 0 {
		t.Errorf("told twice: %+v", again)
	}
	wantReset(t, idle.ask(), stoatpacket.DropUpstreamGone)
	mustGoOn(t, "elsewhere", other.again())
}

// The registration of an upstream ends, since it alone cannot reach the platform. It answers a
// caller after that: it lives, and whoever waits there goes on.
func TestEndedUpstreamThatAnsweredKeepsItsFlows(t *testing.T) {
	w := newWorld(t)
	one, two := w.flowTo(1), w.flowTo(1)
	one.ask()
	w.after(10 * ms).end("i-1")
	w.after(10 * ms)
	one.done()
	two.ask()
	if list := w.e.TakeOrphanedFlows(w.now, w.book.Table()); len(list) != 0 {
		t.Errorf("told although it answers: %+v", list)
	}
	mustGoOn(t, "after the end", two.again())
}

// The registration of an upstream ends, since it alone cannot reach the platform, while it is at work on
// requests of some milliseconds ago. It lives: their answers come, and none of their flows is reset.
func TestRequestsAtWorkOutliveARegistration(t *testing.T) {
	w := newWorld(t)
	flows := w.flowsTo(1, 3)
	w.after(time.Second)
	for _, c := range flows {
		c.ask()
		w.after(20 * ms)
	}
	w.end("i-1")
	if list := w.e.TakeOrphanedFlows(w.now, w.book.Table()); len(list) != 0 {
		t.Errorf("told while their upstream is at work: %+v", list)
	}
	w.after(10 * ms)
	for _, c := range flows {
		mustGoOn(t, "acknowledgement", c.done())
	}
}
