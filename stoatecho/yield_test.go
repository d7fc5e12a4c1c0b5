package stoatecho_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// playAnswers plays answers of a full upstream on open flows of the feed, half of them refusals, each acknowledged
// as late as a single packet may be.
func (w *world) playAnswers(rounds int, rejected func(i int) bool) {
	var flows []*caller
	for range 4 {
		f := w.caller(idempotentAddr)
		f.open()
		flows = append(flows, f)
	}
	for i := range rounds {
		f := flows[i%len(flows)]
		f.sendRequest()
		if rejected(i) {
			w.after(47 * ms)
			f.ackBytes(126)
			continue
		}
		w.after(120 * ms)
		f.ackBytes(1200)
	}
}

// admittedShare tells which part of openings of a route is let in.
func (w *world) admittedShare(to netip.AddrPort) float64 {
	const tries = 200
	n := 0
	for range tries {
		f := w.caller(to)
		a := f.syn(0)
		if a.Verdict != stoatecho.Forward {
			continue
		}
		n++
		f.cookie = a.Upstream.Key
		w.after(7 * ms)
		f.send(stoatpacket.Packet{Ack: 1})
		f.send(stoatpacket.Packet{Ack: 1, Ends: true})
	}
	return float64(n) / tries
}

// Guards against an overload in which who finds the queue full decides: where upstreams turn half of the requests
// away, openings of the less urgent route give way, and those of the more urgent one go in. Afterwards all do.
func TestLessUrgentOpeningsYield(t *testing.T) {
	for name, c := range map[string]struct {
		rejected     func(i int) bool
		feed, pledge [2]float64 // least and most part that is let in
	}{
		"nobody is turned away":  {func(int) bool { return false }, [2]float64{1, 1}, [2]float64{1, 1}},
		"one in ten is":          {func(i int) bool { return i%10 == 0 }, [2]float64{0.9, 1}, [2]float64{1, 1}},
		"half are":               {func(i int) bool { return i%2 == 0 }, [2]float64{0, 0.1}, [2]float64{1, 1}},
		"nine in ten are":        {func(i int) bool { return i%10 != 0 }, [2]float64{0, 0}, [2]float64{1, 1}},
		"half were, a while ago": {func(i int) bool { return i < 100 && i%2 == 0 }, [2]float64{1, 1}, [2]float64{1, 1}},
	} {
		w := newSingleUpstreamWorld(t, 0)
		// The objective is far: it is not the time of answers that decides here.
		w.declareObjectives(20 * time.Second)
		w.rev++
		w.book.Remove(w.now, "i-3", w.rev)
		for range 40 {
			w.after(100 * ms)
			f := w.caller(idempotentAddr)
			f.open()
			f.sendRequest()
			w.after(85 * ms)
			f.ackBytes(1200)
		}
		w.playAnswers(200, c.rejected)
		// The times of the last answers are of no account any more.
		w.after(time.Second)
		for route, want := range map[netip.AddrPort][2]float64{idempotentAddr: c.feed, nonIdempotentAddr: c.pledge} {
			if got := w.admittedShare(route); got < want[0] || got > want[1] {
				t.Errorf("%s: %.2f of %v are let in, expected %.2f to %.2f", name, got, route, want[0], want[1])
			}
		}
	}
}

// Guards against a long answer that is taken for a refusal since the first acknowledgement covers one packet of it,
// where others cover several.
func TestFirstPacketIsNotARejection(t *testing.T) {
	w := newSingleUpstreamWorld(t, 0)
	w.declareObjectives(20 * time.Second)
	for i := range 100 {
		f := w.caller(idempotentAddr)
		f.open()
		f.sendRequest()
		w.after(48 * ms)
		f.ackBytes([]uint32{4800, 1200}[i%2])
	}
	if n := w.e.Stats().TurnedAway; n > 0 {
		t.Error(n, "answers were taken for refusals")
	}
}

// Guards against flows that are sent to an upstream which has just turned one away, since it has nothing in
// progress and answers fastest: the next ones go to others, and after a while it is tried again.
func TestSaturatedUpstreamIsAvoided(t *testing.T) {
	w := newSixUpstreamWorld(t)
	w.declareObjectives(20 * time.Second)
	to := func(target int) int {
		n := 0
		for range 100 {
			f := w.caller(idempotentAddr)
			if f.open().Target == stoatpaddle.Target(target) {
				n++
			}
			f.send(stoatpacket.Packet{Ack: 1, Ends: true})
		}
		return n
	}
	for range 60 {
		f := w.caller(idempotentAddr)
		f.open()
		f.sendRequest()
		w.after(100 * ms)
		f.ackBytes(1200)
		f.send(stoatpacket.Packet{Ack: f.ack, Ends: true})
	}
	if to(1) == 0 {
		t.Fatal("it gets no flows as it is")
	}
	full := w.flowTo(1)
	full.sendRequest()
	w.after(47 * ms)
	full.ackBytes(126)
	full.send(stoatpacket.Packet{Ack: full.ack, Ends: true})
	if n := to(1); n > 0 {
		t.Error(n, "of 100 flows went to the upstream that is full")
	}
	w.after(4 * time.Second)
	if to(1) == 0 {
		t.Error("it is not tried again")
	}
}
