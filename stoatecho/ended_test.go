package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// endRegistration has the platform say that the upstream's registration has ended.
func (w *world) endRegistration(id stoatpaddle.UpstreamID) {
	w.rev++
	w.book.Remove(w.now, id, w.rev)
}

// flows opens so many flows to the upstream.
func (w *world) flowsTo(target stoatpaddle.Target, n int) []*caller {
	var out []*caller
	for len(out) < n {
		out = append(out, w.flowTo(target))
	}
	return out
}

// wantForward fails if a packet of an open flow was answered with a reset.
func wantForward(t *testing.T, when string, a stoatecho.Action) {
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
			wantForward(t, "first packet", c.sendRequest())
		}
		for n := range 3 {
			w.after(200 * ms)
			for _, c := range quick {
				c.sendRequest()
				w.after(5 * ms)
				c.ackAnswer()
			}
			for _, c := range full {
				wantForward(t, "repeat", c.retransmit())
			}
			if n == 1 {
				wantForward(t, "next packet of an upload", full[3].sendRequest())
			}
		}
		for _, c := range full {
			c.ackAnswer()
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
	x.syncClocks()
	x.hearFromHealthy()
	for _, c := range waiting {
		wantForward(t, "request", c.sendRequest())
	}
	for range 6 {
		x.after(210 * ms)
		x.hearFromHealthy()
		for _, c := range waiting {
			wantForward(t, "repeat", c.retransmit())
		}
		x.waitWithTraffic()
		x.exchangeReports()
	}
	if got := x.list[2].openFlows(20); got["i-1"] != 0 {
		t.Error("new flows go on to the upstream that answers nobody:", got)
	}
}

// An entry with little of a core reads its socket 0.6 s late in a burst, and does not know it yet:
// repeats of requests that were answered long ago come before the packets that acknowledge the
// answers. No flow of theirs may be reset.
func TestEntryThatReadsLateResetsNothing(t *testing.T) {
	w := newWorld(t)
	there, others := w.openAtBoth(12)
	for _, f := range append(append([]*caller(nil), there...), others...) {
		f.sendRequest()
	}
	for range 3 {
		w.after(210 * ms)
		others[0].ackAnswer()
		others[0].sendRequest()
		for _, f := range there {
			wantForward(t, "repeat that waited in the socket", f.retransmit())
		}
	}
	for _, f := range there {
		wantForward(t, "acknowledgement", f.ackAnswer())
	}
}

// An upstream takes requests and dies. Its callers have nothing to repeat, so that no packet of
// theirs comes here, or only 1.6 s later. When the platform says that it has ended, all that wait
// there are told at once, whatever their requests; flows elsewhere are not, and idle ones are told
// with their next packet.
func TestPendingFlowsAreResetAfterEnd(t *testing.T) {
	w := newWorld(t)
	waiting, idle, other := w.flowsTo(1, 3), w.flowTo(1), w.flowTo(2)
	if list := w.e.TakeEnded(w.now, w.book.Table()); len(list) != 0 {
		t.Errorf("nothing has ended: %+v", list)
	}
	for _, c := range append(waiting, other) {
		c.sendRequest()
	}
	w.after(200 * ms).endRegistration("i-1")
	taken := map[stoatpacket.Tuple]bool{}
	for _, x := range w.e.TakeEnded(w.now, w.book.Table()) {
		if x.Upstream.ID != "i-1" || x.Ack != 1 {
			t.Errorf("%+v", x)
		}
		taken[x.Tuple] = true
	}
	if len(taken) != 3 || taken[other.tuple] || taken[idle.tuple] {
		t.Errorf("told: %v", taken)
	}
	if again := w.e.TakeEnded(w.now, w.book.Table()); len(again) != 0 {
		t.Errorf("told twice: %+v", again)
	}
	wantReset(t, idle.sendRequest(), stoatpacket.DropGone)
	wantForward(t, "elsewhere", other.retransmit())
}

// The registration of an upstream ends, since it alone cannot reach the platform. It answers a
// caller after that: it lives, and whoever waits there goes on.
func TestEndedUpstreamThatAnsweredKeepsItsFlows(t *testing.T) {
	w := newWorld(t)
	one, two := w.flowTo(1), w.flowTo(1)
	one.sendRequest()
	w.after(10 * ms).endRegistration("i-1")
	w.after(10 * ms)
	one.ackAnswer()
	two.sendRequest()
	if list := w.e.TakeEnded(w.now, w.book.Table()); len(list) != 0 {
		t.Errorf("told although it answers: %+v", list)
	}
	wantForward(t, "after the end", two.retransmit())
}

// The registration of an upstream ends, since it alone cannot reach the platform, while it is at work on
// requests of some milliseconds ago. It lives: their answers come, and none of their flows is reset.
func TestRecentRequestsOutliveRegistration(t *testing.T) {
	w := newWorld(t)
	flows := w.flowsTo(1, 3)
	w.after(time.Second)
	for _, c := range flows {
		c.sendRequest()
		w.after(20 * ms)
	}
	w.endRegistration("i-1")
	if list := w.e.TakeEnded(w.now, w.book.Table()); len(list) != 0 {
		t.Errorf("told while their upstream is at work: %+v", list)
	}
	w.after(10 * ms)
	for _, c := range flows {
		wantForward(t, "acknowledgement", c.ackAnswer())
	}
}
