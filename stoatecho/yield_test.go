package stoatecho_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
)

// overloadRound is the time of a round of playOverload: as long as an answer of a full upstream takes.
const overloadRound = 120 * ms

// playOverload plays requests on open flows to a full upstream, eight in each round, and in each round four openings
// for each of the addresses. Those requests that rejected selects are rejected, which callers acknowledge as late as
// they may acknowledge a single packet. It returns the admitted share of the openings in the second half of the rounds.
func (w *world) playOverload(rounds int, rejected func(i int) bool, addrs ...netip.AddrPort) map[netip.AddrPort]float64 {
	var flows []*caller
	for range 8 {
		f := w.caller(addrs[0])
		f.open()
		flows = append(flows, f)
	}
	admitted := map[netip.AddrPort]float64{}
	for n := range rounds {
		w.playRound(n, flows, rejected)
		for _, to := range addrs {
			for range 4 {
				if share := 1 / float64(4*(rounds-rounds/2)); w.tryOpening(to) && n >= rounds/2 {
					admitted[to] += share
				}
			}
		}
	}
	return admitted
}

// playRound plays the requests of a round.
func (w *world) playRound(n int, flows []*caller, rejected func(i int) bool) {
	for _, f := range flows {
		f.sendRequest()
	}
	w.after(47 * ms)
	for i, f := range flows {
		if rejected(n*len(flows) + i) {
			f.ackBytes(126)
		}
	}
	w.after(overloadRound - 47*ms)
	for i, f := range flows {
		if !rejected(n*len(flows) + i) {
			f.ackBytes(1200)
		}
	}
}

// tryOpening opens and ends a flow, and reports whether it was admitted.
func (w *world) tryOpening(to netip.AddrPort) bool {
	f := w.caller(to)
	a := f.syn(0)
	if a.Verdict != stoatecho.Forward {
		return false
	}
	f.cookie = a.Upstream.Key
	w.after(ms)
	f.send(stoatpacket.Packet{Ack: 1})
	f.send(stoatpacket.Packet{Ack: 1, Ends: true})
	return true
}

// newOverloadWorld returns a world with one upstream whose usual answers and their times are known. The objective is
// so long that answer times do not matter.
func newOverloadWorld(t *testing.T) *world {
	w := newSingleUpstreamWorld(t, 0)
	w.declareObjectives(20 * time.Second)
	w.rev++
	w.builder.MarkGone(w.now, "i-3", w.rev)
	w.playUsualAnswers(idempotentAddr)
	return w
}

func (w *world) playUsualAnswers(to netip.AddrPort) {
	for range 40 {
		w.after(100 * ms)
		f := w.caller(to)
		f.open()
		f.sendRequest()
		w.after(85 * ms)
		f.ackBytes(1200)
		f.send(stoatpacket.Packet{Ack: f.ack, Ends: true})
	}
}

// In an overload, chance must not decide who finds the queue full: while upstreams reject half of the requests,
// openings of the less urgent route are refused and those of the more urgent one admitted. Afterwards all are
// admitted.
func TestLessUrgentOpeningsYield(t *testing.T) {
	const rounds = 60
	for name, c := range map[string]struct {
		rejected                  func(i int) bool
		idempotent, nonIdempotent [2]float64 // bounds of the admitted share
	}{
		"no request is rejected":          {func(int) bool { return false }, [2]float64{1, 1}, [2]float64{1, 1}},
		"one in ten is rejected":          {func(i int) bool { return i%10 == 0 }, [2]float64{1, 1}, [2]float64{1, 1}},
		"half are rejected":               {func(i int) bool { return i%2 == 0 }, [2]float64{0, 0.1}, [2]float64{1, 1}},
		"nine in ten are rejected":        {func(i int) bool { return i%10 != 0 }, [2]float64{0, 0.05}, [2]float64{1, 1}},
		"half were rejected, a while ago": {func(i int) bool { return i < rounds/4*8 && i%2 == 0 }, [2]float64{1, 1}, [2]float64{1, 1}},
	} {
		w := newOverloadWorld(t)
		got := w.playOverload(rounds, c.rejected, idempotentAddr, nonIdempotentAddr)
		for route, want := range map[netip.AddrPort][2]float64{idempotentAddr: c.idempotent, nonIdempotentAddr: c.nonIdempotent} {
			const rounding = 1e-9
			if got[route] < want[0]-rounding || got[route] > want[1]+rounding {
				t.Errorf("%s: %.2f of %v are admitted, expected %.2f to %.2f", name, got[route], route, want[0], want[1])
			}
		}
	}
}

// A route without any traffic has the most urgent priority. The routes with traffic must not yield to it: the more
// urgent one of them, or the only one, is not refused.
func TestIdleUrgentRouteNeedsNoRoom(t *testing.T) {
	half := func(i int) bool { return i%2 == 0 }
	for name, addrs := range map[string][]netip.AddrPort{"one with traffic": {nonIdempotentAddr}, "two with traffic": {nonIdempotentAddr, idempotentAddr}} {
		w := newOverloadWorld(t)
		w.declareIdleRoute()
		if got := w.playOverload(60, half, addrs...)[nonIdempotentAddr]; got < 0.999 {
			t.Errorf("%s: %.2f of the openings are admitted", name, got)
		}
	}
}

// declareIdleRoute adds a route that is more urgent than the others and gets no traffic.
func (w *world) declareIdleRoute() {
	w.rev++
	to := []stoatpaddle.Backend{{Service: "app", Weight: 1}}
	w.builder.ApplyDeclaration(stoatpaddle.Declaration{Version: w.rev, Routes: []stoatpaddle.Route{
		{Listen: idempotentAddr, Backends: to, Idempotent: true, TargetLatency: 20 * time.Second, Priority: 2},
		{Listen: nonIdempotentAddr, Backends: to, TargetLatency: 20 * time.Second, Priority: 1},
		{Listen: intakeAddr, Backends: to, TargetLatency: 20 * time.Second},
	}}, w.rev)
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
