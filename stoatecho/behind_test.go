package stoatecho_test

import (
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/stoatecho"
)

// openMany opens so many flows, and returns those at the two upstreams of this data centre.
func (w *world) openMany(n int) (first, second []*caller) {
	for range n {
		switch f := w.caller(feed); f.open().Target {
		case 1:
			first = append(first, f)
		case 2:
			second = append(second, f)
		}
	}
	return first, second
}

// A burst of six times the traffic meets an entry with a twentieth of a core. It reads packets a
// quarter of a second after they came: callers' repeats of requests that were answered long ago,
// whose acknowledgements wait behind them. No upstream is ejected and no flow is reset for that.
// Once everything is handled, silence counts again.
func TestBehindItsOwnPackets(t *testing.T) {
	for name, c := range map[string]struct {
		behind time.Duration
		ejects bool
	}{
		"behind":  {250 * ms, false},
		"abreast": {20 * ms, true},
	} {
		w := newWorld(t)
		there, others := w.openMany(12)
		for _, f := range append(append([]*caller(nil), there...), others...) {
			f.ask()
		}
		ejected, reset := false, false
		for range 3 {
			w.after(220 * ms)
			for _, f := range others {
				f.done()
				f.ask()
			}
			w.e.NoteQueueEmpty(w.now.Add(-c.behind))
			for _, f := range there {
				a := f.again()
				ejected = ejected || a.Ejected != nil
				reset = reset || a.Verdict == stoatecho.Reset
			}
		}
		if ejected != c.ejects || reset {
			t.Errorf("%s: ejected %t, reset %t", name, ejected, reset)
		}
	}
}

// A burst fills the queues of all upstreams: they answer after 0.3 s, at full speed, and callers
// repeat after 0.2 s. An entry that hears little of each must not take one for dead, or its open
// flows would be reset while it serves. One that is silent three times as long is.
func TestFullQueueIsNoSilence(t *testing.T) {
	w := newWorld(t)
	there, others := w.openMany(24)
	for _, f := range append(append([]*caller(nil), there...), others...) {
		f.ask()
	}
	for n := range 5 {
		// All have an answer after 0.3 s, but for those of the upstream that is watched.
		w.after(300 * ms)
		for _, f := range others {
			f.done()
			f.ask()
		}
		ejected := false
		for _, f := range there {
			a := f.again()
			ejected = ejected || a.Ejected != nil || a.Verdict != stoatecho.Forward
		}
		if early := n < 2; ejected && early {
			t.Fatalf("taken for dead after %s", time.Duration(n+1)*300*ms)
		}
		if ejected {
			return
		}
	}
	t.Error("one that is dead is never ejected")
}
