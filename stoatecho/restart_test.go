package stoatecho_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// restarted registers a restart of an upstream under its id.
func (w *world) restarted(target stoatpaddle.TargetID, born stoatpaddle.Incarnation) {
	w.registerRestart(target, born, 0)
}

// restartedCold does the same for an upstream that is cold for five seconds.
func (w *world) restartedCold(target stoatpaddle.TargetID, born stoatpaddle.Incarnation) {
	w.registerRestart(target, born, 5*time.Second)
}

func (w *world) registerRestart(target stoatpaddle.TargetID, born stoatpaddle.Incarnation, cold time.Duration) {
	w.rev++
	w.book.Register(w.now, stoatpaddle.Registration{
		ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", target)), Target: target, Service: "app", DataCentre: "here", Slots: 3, Incarnation: born, ColdRemaining: cold,
	}, w.rev)
	w.e.Retain(w.now, w.book.Table())
}

func (w *world) inProgress(target stoatpaddle.TargetID) stoatecho.UpstreamState {
	for _, x := range w.e.UpstreamStates(w.now) {
		if x.Upstream == stoatroute.KeyOf(target) {
			return x
		}
	}
	return stoatecho.UpstreamState{}
}

// An upstream crashes with requests in progress, is ejected for its silence, and restarts under its id. What
// was counted before the restart must not make it look full or dead: it gets flows at once.
func TestRestartedUpstreamStartsFresh(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	pending, _ := w.openAtBoth(12)
	for _, c := range pending {
		c.sendRequest()
	}
	for range 3 {
		w.after(250 * ms)
		for _, c := range pending {
			c.retransmit()
		}
	}
	if x := w.inProgress(1); !x.Ejected {
		t.Fatalf("%+v of %d", x, len(pending))
	}
	w.restarted(1, 6)
	if x := w.inProgress(1); x.Ejected || x.PendingRequests != 0 || x.Flows != 0 || x.MeanAnswer != 0 {
		t.Errorf("%+v", x)
	}
	got := map[stoatpaddle.TargetID]int{}
	for range 8 {
		got[w.caller(idempotentAddr).open().Target]++
	}
	if got[1] == 0 {
		t.Error("no flow for the restarted upstream:", got)
	}
}

// An upstream restarted a second ago, and its registration arrives only now. Flows that opened since then carry
// the same cookie as flows from before the restart. None may be reset here, neither for the restart nor on
// evidence from before: the upstream resets the flows that it does not know.
func TestNoResetForARestart(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	flows, _ := w.openAtBoth(12)
	for _, c := range flows {
		c.sendRequest()
	}
	for range 2 {
		w.after(220 * ms)
		for _, c := range flows[1:] {
			c.retransmit() // evidence from before the restart
		}
	}
	pending := flows[0]
	w.restarted(1, 6)
	for range 4 {
		if a := pending.retransmit(); a.Verdict != stoatecho.Forward {
			t.Fatalf("%+v", a)
		}
		w.after(50 * ms)
	}
	if a := pending.ackAnswer(); a.Verdict != stoatecho.Forward {
		t.Errorf("%+v", a)
	}
}

// An upstream is cold after a restart, as its registration says. Callers retransmit while it works, which is
// not enough evidence to eject it, as with any cold upstream.
func TestRestartedColdUpstreamIsGivenTime(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	w.after(time.Minute)
	w.restartedCold(1, 6)
	pending, _ := w.openAtBoth(12)
	for _, c := range pending {
		c.sendRequest()
	}
	w.after(300 * ms)
	for range 2 {
		for _, c := range pending {
			if a := c.retransmit(); a.Verdict != stoatecho.Forward || a.Ejected != nil {
				t.Fatalf("%+v", a)
			}
		}
		w.after(160 * ms)
	}
}

// An opening is pending when the registration of the restarted upstream arrives. It still counts, and its
// retransmission goes to the same upstream: at another one the flow would open twice.
func TestOpeningOverARestart(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	var c *caller
	var to stoatpaddle.TargetID
	for to != 1 {
		c = w.caller(idempotentAddr)
		to = c.syn(0).Upstream.Target
	}
	w.after(100 * ms)
	w.restarted(1, 6)
	if a := c.syn(1); a.Verdict != stoatecho.Forward || a.Upstream.Target != 1 || a.Opened {
		t.Errorf("%+v", a)
	}
	c.cookie = stoatroute.KeyOf(1)
	c.send(stoatpacket.Packet{Ack: 1})
	if x := w.inProgress(1); x.Flows != 1 || x.PendingRequests != 0 {
		t.Errorf("%+v", x)
	}
}

// Entries counted failures of an upstream before it restarted, and their sums include these for some seconds
// after the restart. The restarted upstream must not be ejected for them.
func TestOldCountsDoNotJudgeANewLife(t *testing.T) {
	w := newWorld(t)
	w.register(4, "app", "here")
	w.register(5, "app", "here")
	w.restarted(1, 5)
	w.caller(idempotentAddr).open()
	bad := []stoatoutlier.Report{{Key: stoatroute.KeyOf(1), Counts: stoatoutlier.Counts{Answered: 4, Failed: 20}}}
	w.e.SetDataCentreSums(w.now, bad)
	w.after(time.Second)
	w.restarted(1, 6)
	w.e.SetDataCentreSums(w.now, bad)
	if got := w.e.EjectFailing(w.now, w.book.Table()); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	w.after(6 * time.Second)
	w.e.SetDataCentreSums(w.now, bad)
	if got := w.e.EjectFailing(w.now, w.book.Table()); len(got) != 1 {
		t.Error("failures after the restart do not count either")
	}
}
