package stoatsoak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// startStep begins one step; what lasts goes on in the background.
func (h *harness) startStep(s Step) {
	if h.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintln(h.cfg.Out, s)
	e := h.entries[s.Target%len(h.entries)]
	if s.Kind.Planned() {
		h.startPlanned(s, e)
		return
	}
	ended := h.check.beginDisturbance(h.now())
	h.startDisturbance(s, e)
	h.after(s.For, func() {
		h.endDisturbance(s, e)
		ended(h.now())
	})
}

// startPlanned begins planned work.
func (h *harness) startPlanned(s Step, e *entry) {
	switch s.Kind {
	case Terminate:
		e.signal(syscall.SIGTERM, true)
	case Rolling:
		for i, e := range h.entries {
			h.after(time.Duration(i)*s.For, func() { e.signal(syscall.SIGTERM, true) })
		}
	case Drain:
		h.replaceUpstream(s.Target)
	case Release:
		for i := range appUpstreams {
			h.after(time.Duration(i)*time.Second, func() { h.replaceUpstream(0) })
		}
	case Routes:
		h.changeRoutes(s.Target)
	case Storm:
		for i := range 10 {
			h.after(time.Duration(i)*100*time.Millisecond, func() { h.changeRoutes(s.Target + i) })
		}
	case Foreign:
		h.writeForeign(s)
	case Evacuate:
		h.evacuateCentre(s)
	case Queue:
		h.slowUpstreams(s)
	case Settings:
		e.mu.Lock()
		e.levelChanges++
		e.mu.Unlock()
		if _, err := e.writeSettings(); err == nil && s.Target%2 == 0 {
			e.signal(syscall.SIGHUP, false)
		}
	}
}

// evacuateCentre has operators evacuateCentre a data centre, and take it back. Not while another one is, or while
// an upstream is cold: what is left then may not bear what callers ask.
func (h *harness) evacuateCentre(s Step) {
	centre := centreOf(s.Target)
	h.mu.Lock()
	busy := h.evacuated != "" || h.coldUpstreams > 0
	if !busy {
		h.evacuated, h.evacuatedAt = centre, max(1, h.now())
	}
	h.mu.Unlock()
	if busy {
		return
	}
	h.store.Write(platform.KindEvacuation, centre, map[string]any{})
	h.after(s.For, func() {
		h.store.Remove(platform.KindEvacuation, centre)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.evacuated = ""
	})
}

// evacuatedSince tells since when a data centre is evacuated; 0: it is not.
func (h *harness) evacuatedSince(centre string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated != centre {
		return 0
	}
	return h.evacuatedAt
}

// slowUpstreams has all upstreams answer late. New flows may be refused for it; open ones go on.
func (h *harness) slowUpstreams(s Step) {
	ended := h.check.beginOverload(h.now())
	h.slowdowns.Add(1)
	h.after(s.For, func() {
		h.slowdowns.Add(-1)
		ended(h.now())
	})
}

// extraServeTime is how much longer than the bound a leaving upstream serves.
const extraServeTime = 3 * time.Second

// replaceUpstream has an upstream of the service leave once another one serves in its place, as
// planned releases do.
func (h *harness) replaceUpstream(target int) {
	u := h.pickServing(target)
	if u == nil {
		return
	}
	if _, err := h.newUpstream(u.service, u.centre, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		return
	}
	u.startLeaving(h.now())
	h.after(h.cfg.Bounds.Apply+extraServeTime, func() { h.stopWhenIdle(u, 10) })
}

// stopWhenIdle ends a leaving upstream once its flows have ended, or some time later.
func (h *harness) stopWhenIdle(u *upstream, attempts int) {
	if u.hasOpenFlow() && attempts > 0 {
		h.after(500*time.Millisecond, func() { h.stopWhenIdle(u, attempts-1) })
		return
	}
	if u.hasOpenFlow() {
		// Callers who kept a flow open all the while lose it; that is no entry's doing.
		ended := h.check.beginDisturbance(h.now())
		h.after(time.Second, func() { ended(h.now()) })
	}
	u.stop()
}

// pickServing returns an upstream that serves, or nil.
func (h *harness) pickServing(target int) *upstream {
	list := h.liveUpstreams()
	for i := range list {
		u := list[(target+i)%len(list)]
		u.mu.Lock()
		serves := u.leftAt == 0 && !u.dead.Load()
		u.mu.Unlock()
		if serves {
			return u
		}
	}
	return nil
}

// changeRoutes adds a route, or removes the one with that name.
func (h *harness) changeRoutes(n int) {
	name := fmt.Sprint("extra-", n%7)
	h.changeConfig(func(routes map[string]routeChange) {
		listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(n % 7)}), 443)
		routes[name] = routeChange{listen: listen, allowed: !routes[name].allowed, ackedAt: h.now(), version: h.version}
	})
}

// startDisturbance begins a disturbance.
func (h *harness) startDisturbance(s Step, e *entry) {
	switch s.Kind {
	case Kill:
		e.signal(syscall.SIGKILL, true)
	case KillAll:
		for _, e := range h.entries {
			e.signal(syscall.SIGKILL, true)
		}
	case Freeze:
		e.signal(syscall.SIGSTOP, false)
	case Crash:
		h.crashUpstream(s.Target)
	case Restart:
		h.restartUpstream(s.Target)
	case Restore:
		// What the copy lacks: more than is written soon afterwards, so that revisions stay lower for long.
		for i := range lostVersions {
			h.changeRoutes(s.Target + i)
		}
		h.replaceUpstream(s.Target)
		h.after(snapshotDelay, func() { h.store.Set(stoatfake.Trouble{Down: true}) })
	case StoreDown:
		h.store.Set(stoatfake.Trouble{Down: true})
		h.expireRegistrations()
	case StoreSlow:
		h.store.Set(stoatfake.Trouble{Slow: 200 * time.Millisecond})
	case StoreLag:
		h.store.Set(stoatfake.Trouble{Lagging: true})
	case StoreMute:
		h.store.Set(stoatfake.Trouble{SilentWatch: true})
	case Forget:
		h.store.Forget()
	case Refuse:
		e.storeProxy.setRefuse(true)
	case Silence:
		for _, p := range e.proxies() {
			p.silence()
		}
	case OneWay:
		for _, p := range e.proxies() {
			p.setOneWay(true)
		}
	case Lossy:
		h.setLossy(true)
	}
}

// endDisturbance ends a disturbance.
func (h *harness) endDisturbance(s Step, e *entry) {
	switch s.Kind {
	case Freeze:
		e.signal(syscall.SIGCONT, false)
	case Restore:
		h.after(snapshotDelay, func() { h.restoreStore(s) })
	case StoreDown:
		h.store.Set(stoatfake.Trouble{})
		h.after(time.Second, h.registerAgain)
	case StoreSlow, StoreLag, StoreMute:
		h.store.Set(stoatfake.Trouble{})
	case Refuse:
		e.storeProxy.setRefuse(false)
	case OneWay:
		for _, p := range e.proxies() {
			p.setOneWay(false)
		}
	case Lossy:
		h.setLossy(false)
	}
}

func (h *harness) setLossy(lossy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lossy = lossy
}

// expireRegistrations removes half of the registrations, as a store does that is away.
func (h *harness) expireRegistrations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, u := range h.upstreams {
		if i%2 == 0 {
			h.store.Remove(platform.KindUpstream, u.id)
		}
	}
}

// registerAgain has the upstreams register again.
func (h *harness) registerAgain() {
	for _, u := range h.liveUpstreams() {
		u.mu.Lock()
		left := u.leftAt
		u.mu.Unlock()
		if left == 0 && !u.dead.Load() {
			u.register(false)
		}
	}
}

// crashUpstream ends an upstream at once; later another one serves in its place, and its address
// goes to a life of the other service.
func (h *harness) crashUpstream(target int) {
	u := h.pickServing(target)
	if u == nil {
		return
	}
	u.dead.Store(true)
	_ = u.conn.Close()
	h.after(2*time.Second, func() {
		u.stop()
		other := map[string]string{"app": "intake", "intake": "app"}[u.service]
		// Somebody may have taken the port meanwhile.
		_, _ = h.newUpstream(other, u.centre, u.addr)
		_, _ = h.newUpstream(u.service, u.centre, netip.MustParseAddrPort("127.0.0.1:0"))
	})
}

// Restarts take so long, soon and late: before an upstream's silence is noticed, and after.
const (
	shortRestart = 50 * time.Millisecond
	longRestart  = 2500 * time.Millisecond
)

// restartUpstream ends an upstream at once and starts it again under its id; its entry stands meanwhile.
func (h *harness) restartUpstream(target int) {
	u := h.pickServing(target)
	if u == nil {
		return
	}
	u.dead.Store(true)
	_ = u.conn.Close()
	delay, at := shortRestart, u.addr
	if target%2 == 0 {
		delay = longRestart
	}
	if target%3 == 0 {
		at = netip.MustParseAddrPort("127.0.0.1:0")
	}
	h.after(delay, func() {
		u.removeFromHarness()
		// Somebody may have taken the port meanwhile.
		_, _ = h.startUpstream(u.targetID, u.service, u.centre, at, coldDuration)
	})
}

// writeForeign writes over an upstream's entry, and adds an entry, with what names no server. The
// upstream writes its own again a while later, as the next heartbeat does.
func (h *harness) writeForeign(s Step) {
	specs := []any{
		nil, "ready",
		map[string]any{"service": "app", "slots": "three"},
		map[string]any{"service": "app", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 3, "state": "resting", "cold_remaining_ms": 0, "seq": 1},
	}
	spec := specs[s.Target%len(specs)]
	h.store.Write(platform.KindUpstream, fmt.Sprintf("i-0bad%04x", s.Target), spec)
	u := h.pickServing(s.Target)
	if u == nil {
		return
	}
	h.store.Write(platform.KindUpstream, u.id, spec)
	h.after(s.For, func() {
		u.mu.Lock()
		left := u.leftAt
		u.mu.Unlock()
		if !u.dead.Load() {
			u.register(left > 0)
		}
	})
}
