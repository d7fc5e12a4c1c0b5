package stoatecho_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// turnAway plays answers of a full upstream on open flows of the feed, half of them refusals, each acknowledged
// as late as a single packet may be.
func (w *world) turnAway(rounds int, refused func(i int) bool) {
	var flows []*caller
	for range 4 {
		f := w.caller(feed)
		f.open()
		flows = append(flows, f)
	}
	for i := range rounds {
		f := flows[i%len(flows)]
		f.ask()
		if refused(i) {
			w.after(47 * ms)
			f.answer(126)
			continue
		}
		w.after(120 * ms)
		f.answer(1200)
	}
}

// placed tells which part of openings of a route is let in.
func (w *world) placed(to netip.AddrPort) float64 {
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
		refused      func(i int) bool
		feed, pledge [2]float64 // least and most part that is let in
	}{
		"nobody is turned away":  {func(int) bool { return false }, [2]float64{1, 1}, [2]float64{1, 1}},
		"one in ten is":          {func(i int) bool { return i%10 == 0 }, [2]float64{0.9, 1}, [2]float64{1, 1}},
		"half are":               {func(i int) bool { return i%2 == 0 }, [2]float64{0, 0.1}, [2]float64{1, 1}},
		"nine in ten are":        {func(i int) bool { return i%10 != 0 }, [2]float64{0, 0}, [2]float64{1, 1}},
		"half were, a while ago": {func(i int) bool { return i < 100 && i%2 == 0 }, [2]float64{1, 1}, [2]float64{1, 1}},
	} {
		w := newLoneWorld(t, 0)
		// The objective is far: it is not the time of answers that decides here.
		w.objectives(20 * time.Second)
		w.rev++
		w.book.MarkGone(w.now, "i-3", w.rev)
		for range 40 {
			w.after(100 * ms)
			f := w.caller(feed)
			f.open()
			f.ask()
			w.after(85 * ms)
			f.answer(1200)
		}
		w.turnAway(200, c.refused)
		// The times of the last answers are of no account any more.
		w.after(time.Second)
		for route, want := range map[netip.AddrPort][2]float64{feed: c.feed, pledge: c.pledge} {
			if got := w.placed(route); got < want[0] || got > want[1] {
				t.Errorf("%s: %.2f of %v are let in, expected %.2f to %.2f", name, got, route, want[0], want[1])
			}
		}
	}
}

// Guards against a long answer that is taken for a refusal since the first acknowledgement covers one packet of it,
// where others cover several.
func TestFirstPacketIsNoRefusal(t *testing.T) {
	w := newLoneWorld(t, 0)
	w.objectives(20 * time.Second)
	for i := range 100 {
		f := w.caller(feed)
		f.open()
		f.ask()
		w.after(48 * ms)
		f.answer([]uint32{4800, 1200}[i%2])
	}
	if n := w.e.Stats().Rejected; n > 0 {
		t.Error(n, "answers were taken for refusals")
	}
}

// Guards against flows that are sent to an upstream which has just turned one away, since it has nothing in
// progress and answers fastest: the next ones go to others, and after a while it is tried again.
func TestFullUpstreamIsPassedOver(t *testing.T) {
	w := six(t)
	w.objectives(20 * time.Second)
	to := func(target int) int {
		n := 0
		for range 100 {
			f := w.caller(feed)
			if f.open().Target == stoatpaddle.Target(target) {
				n++
			}
			f.send(stoatpacket.Packet{Ack: 1, Ends: true})
		}
		return n
	}
	for range 60 {
		f := w.caller(feed)
		f.open()
		f.ask()
		w.after(100 * ms)
		f.answer(1200)
		f.send(stoatpacket.Packet{Ack: f.ack, Ends: true})
	}
	if to(1) == 0 {
		t.Fatal("it gets no flows as it is")
	}
	full := w.flowTo(1)
	full.ask()
	w.after(47 * ms)
	full.answer(126)
	full.send(stoatpacket.Packet{Ack: full.ack, Ends: true})
	if n := to(1); n > 0 {
		t.Error(n, "of 100 flows went to the upstream that is full")
	}
	w.after(4 * time.Second)
	if to(1) == 0 {
		t.Error("it is not tried again")
	}
}
