package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
)

// openAtBoth opens n flows, and returns those at each of the two upstreams of this data centre.
func (w *world) openAtBoth(n int) (first, second []*caller) {
	for range n {
		switch f := w.caller(idempotentAddr); f.open().Target {
		case 1:
			first = append(first, f)
		case 2:
			second = append(second, f)
		}
	}
	return first, second
}

// In a burst of six times the usual traffic, an entry with a twentieth of a core handles packets a quarter of a
// second late. It sees retransmissions of requests that were answered long ago, as the acknowledgements are
// still queued. No upstream may be ejected and no flow reset for that. Once the queue is empty, silence counts
// again.
func TestDelayedPacketProcessing(t *testing.T) {
	for name, c := range map[string]struct {
		behind time.Duration
		ejects bool
	}{
		"behind":     {250 * ms, false},
		"up to date": {20 * ms, true},
	} {
		w := newWorld(t)
		watched, others := w.openAtBoth(12)
		for _, f := range append(append([]*caller(nil), watched...), others...) {
			f.sendRequest()
		}
		ejected, reset := false, false
		for range 3 {
			w.after(220 * ms)
			for _, f := range others {
				f.ackAnswer()
				f.sendRequest()
			}
			w.e.NoteQueueEmpty(w.now.Add(-c.behind))
			for _, f := range watched {
				a := f.retransmit()
				ejected = ejected || a.Ejected != nil
				reset = reset || a.Verdict == stoatecho.Reset
			}
		}
		if ejected != c.ejects || reset {
			t.Errorf("%s: ejected %t, reset %t", name, ejected, reset)
		}
	}
}

// A burst fills the queues of all upstreams: they work at full speed and answer after 0.3 s, but callers
// retransmit after 0.2 s. An entry that hears little from each must not take one for dead. An upstream that is
// silent three times as long is ejected.
func TestFullQueueIsNotSilence(t *testing.T) {
	w := newWorld(t)
	watched, others := w.openAtBoth(24)
	for _, f := range append(append([]*caller(nil), watched...), others...) {
		f.sendRequest()
	}
	for n := range 5 {
		// All requests are answered after 0.3 s, except those to the upstream under test.
		w.after(300 * ms)
		for _, f := range others {
			f.ackAnswer()
			f.sendRequest()
		}
		ejected := false
		for _, f := range watched {
			a := f.retransmit()
			ejected = ejected || a.Ejected != nil || a.Verdict != stoatecho.Forward
		}
		if early := n < 2; ejected && early {
			t.Fatalf("ejected after %s", time.Duration(n+1)*300*ms)
		}
		if ejected {
			return
		}
	}
	t.Error("a dead upstream is never ejected")
}
