package stoatecho_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// playAnswers plays answers of a full upstream on open flows. Those that rejected selects are rejections, which
// callers acknowledge as late as they may acknowledge a single packet.
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

// admittedShare returns the share of a route's openings that is admitted.
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

// In an overload, chance must not decide who finds the queue full: while upstreams reject half of the requests,
// openings of the less urgent route are refused and those of the more urgent one admitted. Afterwards all are
// admitted.
func TestLessUrgentOpeningsYield(t *testing.T) {
	for name, c := range map[string]struct {
		rejected                  func(i int) bool
		idempotent, nonIdempotent [2]float64 // bounds of the admitted share
	}{
		"no request is rejected":          {func(int) bool { return false }, [2]float64{1, 1}, [2]float64{1, 1}},
		"one in ten is rejected":          {func(i int) bool { return i%10 == 0 }, [2]float64{0.9, 1}, [2]float64{1, 1}},
		"half are rejected":               {func(i int) bool { return i%2 == 0 }, [2]float64{0, 0.1}, [2]float64{1, 1}},
		"nine in ten are rejected":        {func(i int) bool { return i%10 != 0 }, [2]float64{0, 0}, [2]float64{1, 1}},
		"half were rejected, a while ago": {func(i int) bool { return i < 100 && i%2 == 0 }, [2]float64{1, 1}, [2]float64{1, 1}},
	} {
		w := newSingleUpstreamWorld(t, 0)
		// The objective is so long that answer times do not matter here.
		w.declareObjectives(20 * time.Second)
		w.rev++
		w.book.MarkGone(w.now, "i-3", w.rev)
		for range 40 {
			w.after(100 * ms)
			f := w.caller(idempotentAddr)
			f.open()
			f.sendRequest()
			w.after(85 * ms)
			f.ackBytes(1200)
		}
		w.playAnswers(200, c.rejected)
		// By then, the times of the last answers no longer count.
		w.after(time.Second)
		for route, want := range map[netip.AddrPort][2]float64{idempotentAddr: c.idempotent, nonIdempotentAddr: c.nonIdempotent} {
			if got := w.admittedShare(route); got < want[0] || got > want[1] {
				t.Errorf("%s: %.2f of %v are admitted, expected %.2f to %.2f", name, got, route, want[0], want[1])
			}
		}
	}
}

// A long answer must not be taken for a rejection because the first acknowledgement covers only one packet of
// it, while those of other answers cover several.
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
	if n := w.e.Stats().Rejected; n > 0 {
		t.Error(n, "answers were taken for rejections")
	}
}

// An upstream that has just rejected a request has nothing in progress and answers fastest. New flows must go
// to others, and the upstream is tried again after a while.
func TestSaturatedUpstreamIsAvoided(t *testing.T) {
	w := newSixUpstreamWorld(t)
	w.declareObjectives(20 * time.Second)
	to := func(target int) int {
		n := 0
		for range 100 {
			f := w.caller(idempotentAddr)
			if f.open().Target == stoatpaddle.TargetID(target) {
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
		t.Fatal("it gets no flows even without rejections")
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
