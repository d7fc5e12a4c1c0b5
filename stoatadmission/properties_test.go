package stoatadmission_test

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle/stoatadmission"
	"github.com/stoatpaddle/stoatpaddle/stoatload"
)

func callerAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

func drawConfig(t *rapid.T) stoatadmission.Config {
	return stoatadmission.Config{
		Method: rapid.SampledFrom([]stoatadmission.Method{stoatadmission.ByBudget, stoatadmission.ByThreshold}).Draw(t, "method"),
		Order:  rapid.SampledFrom([]stoatadmission.Order{stoatadmission.ByCaller, stoatadmission.AtRandom}).Draw(t, "order"),
		Source: rapid.SampledFrom([]stoatadmission.Source{stoatadmission.SharedEvidence, stoatadmission.OwnEvidence}).Draw(t, "source"),
	}
}

// step feeds a limiter one event of any kind.
func step(t *rapid.T, l *stoatadmission.Limiter, now time.Time) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		l.Answered(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms, time.Duration(rapid.IntRange(0, 60).Draw(t, "unqueued"))*ms)
	case 2, 3, 4:
		for range rapid.IntRange(1, 30).Draw(t, "rejections") {
			l.Rejected(now)
		}
	case 5:
		e := stoatadmission.Evidence{At: now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * ms), Entries: 3}
		e.Answered, e.Rejected = rapid.Float64Range(0, 1e4).Draw(t, "answered"), rapid.Float64Range(0, 1e4).Draw(t, "rejected")
		for p := range rapid.IntRange(0, 20).Draw(t, "levels") {
			e.Levels = append(e.Levels, stoatload.LevelLoad{Priority: p, Arrived: rapid.Float64Range(0, 1e3).Draw(t, "arrived")})
		}
		l.SetShared(e)
	default:
		p := rapid.IntRange(0, 24).Draw(t, "priority")
		for range rapid.IntRange(1, 20).Draw(t, "openings") {
			l.Decide(now, stoatadmission.Opening{
				Priority: p, Route: simRoute(rapid.IntRange(0, 200).Draw(t, "route")), Caller: callerAddr(rapid.Int().Draw(t, "caller")),
				Late: rapid.IntRange(0, 5).Draw(t, "late") == 0,
			})
		}
	}
}

// After any events, a level would be limited more than a less urgent one, the most urgent one with traffic be limited,
// or a share not be one.
func TestMonotoneInUrgency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := stoatadmission.New(drawConfig(t)), simStart
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms)
			step(t, l, now)
			now = now.Add(25 * ms)
			checkShares(t, l.State(now))
		}
	})
}

// checkShares checks the admitted shares of the levels that have recent traffic here.
func checkShares(t *rapid.T, s stoatadmission.State) {
	before := 1.0
	for i, v := range s.Levels {
		if !(v.Share >= 0 && v.Share <= 1) {
			t.Fatalf("level %d: a share of %v is admitted", v.Priority, v.Share)
		}
		if i == 0 && s.Limiting && v.Arrived > 1 && v.Share < 1 {
			t.Fatalf("the most urgent level is limited: %+v", v)
		}
		if v.Arrived < 1 {
			continue // a level without recent traffic is not limited
		}
		if v.Share > before {
			t.Fatalf("level %d: %.3f are admitted, of a more urgent one %.3f", v.Priority, v.Share, before)
		}
		before = v.Share
	}
}

// A limiter would leave slots idle while openings are refused. Whatever the levels and their loads, the slots are in use
// as far as there is load for them.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams []stream
		total := 0.0
		for range rapid.IntRange(2, 5).Draw(t, "streams") {
			load := rapid.Float64Range(0.1, 1.5).Draw(t, "load")
			total += load
			streams = append(streams, stream{priority: rapid.IntRange(0, 9).Draw(t, "priority"), load: steady(load)})
		}
		cfg := simConfig{entries: rapid.IntRange(1, 8).Draw(t, "entries"), slots: 20, queue: 80, duration: 3500 * ms, streams: streams}
		cfg.shared = rapid.Bool().Draw(t, "shared")
		s := runSim(cfg)
		used := s.used(1500*ms, cfg.duration) // by then the limit is found
		const idle = 0.1                      // a tenth of the load may be missed
		if want := (1 - idle) * min(1, total); used < want-idle/2 {
			t.Fatalf("%.3f of the slots are in use, the load is %.2f of the capacity", used, total)
		}
		if total < 0.8 {
			for i := range streams {
				if n := s.sum(i, 0, cfg.duration).refused; n > 0 {
					t.Fatalf("%d openings are refused at %.2f of the capacity", n, total)
				}
			}
		}
	})
}

// Callers, routes and priorities without end would fill the memory.
func TestBoundedMemory(t *testing.T) {
	l := stoatadmission.New(stoatadmission.Config{})
	now := simStart
	fill := func(n int) uint64 {
		for i := range n {
			now = now.Add(200 * time.Microsecond)
			l.Rejected(now)
			l.Decide(now, stoatadmission.Opening{Priority: i % 1000, Route: netip.AddrPortFrom(callerAddr(i), uint16(i)), Caller: callerAddr(i * 7)})
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := fill(50_000)
	const most = 256 << 10
	if after := fill(200_000); after > before+most {
		t.Errorf("%d bytes more after 200,000 openings", after-before)
	}
	if n := len(l.State(now).Levels); n > 16 {
		t.Error(n, "levels are remembered")
	}
	if n := len(l.TakeChanges()); n > 64 {
		t.Error(n, "changes are kept")
	}
}
