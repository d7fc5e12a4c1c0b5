package stoatcall

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// plainHandler decides as the handler did without priorities.
type plainHandler struct {
	rnd       *rand.Rand
	open      map[stoatpaddle.UpstreamKey]int
	customers map[stoatpaddle.CustomerID]*customerUsage
}

func (p *plainHandler) admit(now time.Time, svc *stoatview.Service) bool {
	c := p.customers[svc.Ref.Customer]
	rate := max(1, float64(svc.Limits.CallRate))
	if c == nil {
		c = &customerUsage{tokens: rate, refilledAt: now}
		p.customers[svc.Ref.Customer] = c
	}
	c.tokens = min(rate, c.tokens+rate*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
	if c.calls >= max(1, svc.Limits.Calls) || c.tokens < 1 {
		return false
	}
	c.tokens--
	c.calls++
	return true
}

func (p *plainHandler) acquire(svc *stoatview.Service, tried map[stoatpaddle.UpstreamKey]bool) *stoatview.Upstream {
	ups := svc.Set.Upstreams
	if len(ups) == 0 {
		return nil
	}
	var best *stoatview.Upstream
	start := p.rnd.IntN(len(ups))
	for i := range ups {
		u := ups[(start+i)%len(ups)]
		if tried[u.Key] || p.open[u.Key] >= u.Slots {
			continue
		}
		if best == nil || p.open[u.Key]*int(best.Weight) < p.open[best.Key]*int(u.Weight) {
			best = u
		}
	}
	if best != nil {
		p.open[best.Key]++
	}
	return best
}

// drawContracts draws contracts whose call services share no upstream, with and without priorities.
func drawContracts(t *rapid.T) []stoatpaddle.Contract {
	var out []stoatpaddle.Contract
	port := uint16(1)
	for i := range rapid.IntRange(1, 3).Draw(t, "customers") {
		name := string(rune('a' + i))
		s := stoatpaddle.Service{
			ID: stoatpaddle.ServiceID(name), Kind: stoatpaddle.KindCall, Host: name,
			HasPriority: rapid.Bool().Draw(t, "has priority"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		}
		for n := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
			s.Upstreams = append(s.Upstreams, stoatpaddle.Upstream{
				ID: stoatpaddle.UpstreamID(name + string(rune('a'+n))), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), port),
				Weight: stoatpaddle.Weight(rapid.IntRange(1, 3).Draw(t, "weight")), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			})
			port++
		}
		out = append(out, stoatpaddle.Contract{
			Customer: stoatpaddle.CustomerID(name), Services: []stoatpaddle.Service{s},
			Limits: stoatpaddle.Limits{Calls: rapid.IntRange(1, 8).Draw(t, "calls"), CallRate: rapid.IntRange(1, 50).Draw(t, "rate")},
		})
	}
	return out
}

// Services that share no upstream must be decided exactly as without priorities: which calls are admitted, and which
// upstreams they try, whatever the upstreams reject.
func TestUnsharedServicesAreDecidedAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1, 0)
		v := stoatview.Next(nil, now, stoatview.Input{Self: "e", Contracts: drawContracts(t)})
		seed := rapid.Uint64().Draw(t, "seed")
		h := New(Config{View: func() *stoatview.View { return v }, Clock: func() time.Time { return now }, Seed: seed})
		p := &plainHandler{rnd: rand.New(rand.NewPCG(seed, 2)), open: map[stoatpaddle.UpstreamKey]int{}, customers: map[stoatpaddle.CustomerID]*customerUsage{}}
		var running []func()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if len(running) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				running[0]()
				running = running[1:]
				continue
			}
			svc := rapid.SampledFrom(v.Services).Draw(t, "service")
			rule, _ := h.admitCall(v, svc)
			if (rule == ruleNone) != p.admit(now, svc) {
				t.Fatal("another decision on the customer's limits:", rule)
			}
			if rule == ruleNone {
				running = append(running, tryBoth(t, h, p, svc)...)
			}
		}
		if len(h.groups) > 0 {
			t.Fatal("a group without shared upstreams")
		}
	})
}

// tryBoth lets both handlers try upstreams for one call, and returns what ends the call.
func tryBoth(t *rapid.T, h *Handler, p *plainHandler, svc *stoatview.Service) []func() {
	release := func() { h.releaseCall(svc); p.customers[svc.Ref.Customer].calls-- }
	a := h.begin(svc)
	tried := map[stoatpaddle.UpstreamKey]bool{}
	for range maxAttempts {
		u, want := h.acquireUpstream(a), p.acquire(svc, tried)
		if u != want {
			t.Fatalf("upstream %+v, before %+v", u, want)
		}
		if u == nil {
			break
		}
		a.tried[u.Key], tried[u.Key] = true, true
		free := func() { h.releaseUpstream(slotOf(svc, u)); p.open[u.Key]-- }
		if rapid.Bool().Draw(t, "runs") {
			return []func(){func() { free(); release() }}
		}
		free()
	}
	h.recordNoRoom(a)
	if a.givesWay {
		t.Fatal("a call gives way although its service shares no upstream")
	}
	release()
	return nil
}
