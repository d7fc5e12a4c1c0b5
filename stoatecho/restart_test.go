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

// restarted registers an upstream's start under the id that it has.
func (w *world) restarted(target stoatpaddle.Target, born stoatpaddle.Incarnation) {
	w.startAgain(target, born, 0)
}

// startCold does the same for one that is slow for some seconds.
func (w *world) startCold(target stoatpaddle.Target, born stoatpaddle.Incarnation) {
	w.startAgain(target, born, 5*time.Second)
}

func (w *world) startAgain(target stoatpaddle.Target, born stoatpaddle.Incarnation, cold time.Duration) {
	w.rev++
	w.book.Register(w.now, stoatpaddle.Registration{
		ID: stoatpaddle.UpstreamID(fmt.Sprintf("i-%d", target)), Target: target, Service: "app", DataCentre: "here", Slots: 3, Incarnation: born, Cold: cold,
	}, w.rev)
	w.e.Retain(w.now, w.book.Table())
}

func (w *world) inProgress(target stoatpaddle.Target) stoatecho.UpstreamState {
	for _, x := range w.e.UpstreamStates(w.now) {
		if x.Upstream == stoatroute.KeyOf(target) {
			return x
		}
	}
	return stoatecho.UpstreamState{}
}

// An upstream crashes with requests in progress, is ejected for its silence, and starts again
// under its id. What was counted of the earlier life must not make the new one look full, or
// dead: it takes flows at once, and as many as another.
func TestRestartedUpstreamStartsFresh(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	there, _ := w.openMany(12)
	for _, c := range there {
		c.ask()
	}
	for range 3 {
		w.after(250 * ms)
		for _, c := range there {
			c.again()
		}
	}
	if x := w.inProgress(1); !x.Ejected {
		t.Fatalf("%+v of %d", x, len(there))
	}
	w.restarted(1, 6)
	if x := w.inProgress(1); x.Ejected || x.PendingRequests != 0 || x.Flows != 0 || x.MeanAnswer != 0 {
		t.Errorf("%+v", x)
	}
	got := map[stoatpaddle.Target]int{}
	for range 8 {
		got[w.caller(feed).open().Target]++
	}
	if got[1] == 0 {
		t.Error("no flow for the upstream that is back:", got)
	}
}

// An upstream started again a second ago; its registration arrives only now. Flows that opened
// there since carry the cookie that flows of the earlier life carry. None is reset here: not for
// the restart, and not on evidence against the earlier life. The upstream resets what it lacks.
func TestNoResetForARestart(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	flows, _ := w.openMany(12)
	for _, c := range flows {
		c.ask()
	}
	for range 2 {
		w.after(220 * ms)
		for _, c := range flows[1:] {
			c.again() // evidence against the earlier life
		}
	}
	lives := flows[0]
	w.restarted(1, 6)
	for range 4 {
		if a := lives.again(); a.Verdict != stoatecho.Forward {
			t.Fatalf("%+v", a)
		}
		w.after(50 * ms)
	}
	if a := lives.done(); a.Verdict != stoatecho.Forward {
		t.Errorf("%+v", a)
	}
}

// The upstream is slow after its start, and says so. Its callers repeat themselves while it
// works; that is no evidence yet, as with any upstream that has just started.
func TestRestartedColdUpstreamIsGivenTime(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	w.after(time.Minute)
	w.startCold(1, 6)
	there, _ := w.openMany(12)
	for _, c := range there {
		c.ask()
	}
	w.after(300 * ms)
	for range 2 {
		for _, c := range there {
			if a := c.again(); a.Verdict != stoatecho.Forward || a.Ejected != nil {
				t.Fatalf("%+v", a)
			}
		}
		w.after(160 * ms)
	}
}

// An opening was under way when the registration of the new life arrived. It still counts, and
// its copy goes where it went: at another upstream the flow would open twice.
func TestOpeningOverARestart(t *testing.T) {
	w := newWorld(t)
	w.restarted(1, 5)
	var c *caller
	var to stoatpaddle.Target
	for to != 1 {
		c = w.caller(feed)
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

// Entries of the data centre counted failures at the earlier life; their sums go on to say so
// for some seconds after the start. They are no reason to keep flows from the new life.
func TestOldCountsDoNotJudgeANewLife(t *testing.T) {
	w := newWorld(t)
	w.register(4, "app", "here")
	w.register(5, "app", "here")
	w.restarted(1, 5)
	w.caller(feed).open()
	bad := []stoatoutlier.Report{{Key: stoatroute.KeyOf(1), Counts: stoatoutlier.Counts{Answered: 4, Failed: 20}}}
	w.e.SetSums(w.now, bad)
	w.after(time.Second)
	w.restarted(1, 6)
	w.e.SetSums(w.now, bad)
	if got := w.e.EjectFailing(w.now, w.book.Table()); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	w.after(6 * time.Second)
	w.e.SetSums(w.now, bad)
	if got := w.e.EjectFailing(w.now, w.book.Table()); len(got) != 1 {
		t.Error("failures of the new life do not count either")
	}
}
