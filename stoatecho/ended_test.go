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
	w.builder.MarkGone(w.now, id, w.rev)
}

// flowsTo opens n flows to the upstream.
func (w *world) flowsTo(target stoatpaddle.TargetID, n int) []*caller {
	var out []*caller
	for len(out) < n {
		out = append(out, w.flowTo(target))
	}
	return out
}

// orphanedFlows returns the flows to reset after a read of the platform that begins now.
func (w *world) orphanedFlows() []stoatecho.OrphanedFlow {
	w.t.Helper()
	if list, _ := w.e.TakeOrphanedFlows(w.now, w.builder.Table()); len(list) != 0 {
		w.t.Errorf("returned before the end of the upstream is verified: %+v", list)
	}
	w.confirm()
	list, lastEnd := w.e.TakeOrphanedFlows(w.now, w.builder.Table())
	if !lastEnd.IsZero() {
		w.t.Error("an end is not verified after a read of the platform")
	}
	return list
}

// wantForward fails the test if a packet of an open flow was not forwarded.
func wantForward(t *testing.T, when string, a stoatecho.Action) {
	t.Helper()
	if a.Verdict != stoatecho.Forward {
		t.Errorf("%s: an open flow was reset while its upstream serves: %+v", when, a)
	}
}

// Large uploads in a burst of nine times the usual traffic: each has sixteen packets under way, and callers
// retransmit after 0.2 s what is not acknowledged. One upstream has a queue and answers after 0.6 s, while
// another one answers at once. The uploads are slow, but none of their flows may be reset.
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
				wantForward(t, "retransmission", c.retransmit())
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

// Two entries have requests in the queue of one full upstream, and hear from all others. Both report that they
// wait in vain, so that new flows go elsewhere. But both see the same queue, which does not prove that the
// upstream is dead: no open flow may be reset.
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
			wantForward(t, "retransmission", c.retransmit())
		}
		x.waitWithTraffic()
		x.exchangeReports()
	}
	if got := x.list[2].openFlows(20); got["i-1"] != 0 {
		t.Error("new flows still go to the silent upstream:", got)
	}
}

// In a burst, an entry with little CPU reads its socket 0.6 s late and does not know it yet: retransmissions of
// requests that were answered long ago come before the acknowledgements of the answers. None of those flows may
// be reset.
func TestEntryThatReadsLateResetsNothing(t *testing.T) {
	w := newWorld(t)
	watched, others := w.openAtBoth(12)
	for _, f := range append(append([]*caller(nil), watched...), others...) {
		f.sendRequest()
	}
	for range 3 {
		w.after(210 * ms)
		others[0].ackAnswer()
		others[0].sendRequest()
		for _, f := range watched {
			wantForward(t, "retransmission that was queued in the socket", f.retransmit())
		}
	}
	for _, f := range watched {
		wantForward(t, "acknowledgement", f.ackAnswer())
	}
}

// An upstream accepts requests and dies. Its callers have nothing to retransmit, or retransmit only 1.6 s
// later. When the platform says that the upstream has ended, the flows with pending requests are reset at once.
// Flows at other upstreams are not, and idle flows are reset with their next packet.
func TestPendingFlowsAreResetAfterEnd(t *testing.T) {
	w := newWorld(t)
	waiting, idle, other := w.flowsTo(1, 3), w.flowTo(1), w.flowTo(2)
	if list := w.orphanedFlows(); len(list) != 0 {
		t.Errorf("nothing has ended: %+v", list)
	}
	for _, c := range append(waiting, other) {
		c.sendRequest()
	}
	w.after(200 * ms).endRegistration("i-1")
	taken := map[stoatpacket.Tuple]bool{}
	for _, x := range w.orphanedFlows() {
		if x.Upstream.ID != "i-1" || x.Ack != 1 {
			t.Errorf("%+v", x)
		}
		taken[x.Tuple] = true
	}
	if len(taken) != 3 || taken[other.tuple] || taken[idle.tuple] {
		t.Errorf("returned: %v", taken)
	}
	if again := w.orphanedFlows(); len(again) != 0 {
		t.Errorf("returned twice: %+v", again)
	}
	wantReset(t, idle.sendRequest(), stoatpacket.DropUpstreamGone)
	wantForward(t, "elsewhere", other.retransmit())
}

// An upstream loses its connection to the platform, so that its registration ends, and answers a caller after
// that. It is alive, and its pending flows go on.
func TestEndedUpstreamThatAnsweredKeepsItsFlows(t *testing.T) {
	w := newWorld(t)
	one, two := w.flowTo(1), w.flowTo(1)
	one.sendRequest()
	w.after(10 * ms).endRegistration("i-1")
	w.after(10 * ms)
	one.ackAnswer()
	two.sendRequest()
	if list := w.orphanedFlows(); len(list) != 0 {
		t.Errorf("returned although the upstream answers: %+v", list)
	}
	wantForward(t, "after the end", two.retransmit())
}

// An upstream loses its connection to the platform, so that its registration ends, while it works on requests
// that are some milliseconds old. It is alive: their answers come, and none of their flows may be reset.
func TestRecentRequestsOutliveRegistration(t *testing.T) {
	w := newWorld(t)
	flows := w.flowsTo(1, 3)
	w.after(time.Second)
	for _, c := range flows {
		c.sendRequest()
		w.after(20 * ms)
	}
	w.endRegistration("i-1")
	if list := w.orphanedFlows(); len(list) != 0 {
		t.Errorf("returned while their upstream works on them: %+v", list)
	}
	w.after(10 * ms)
	for _, c := range flows {
		wantForward(t, "acknowledgement", c.ackAnswer())
	}
}
