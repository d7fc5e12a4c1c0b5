package stoatsoak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// startStep starts a step. A step that takes time continues in the background.
func (h *harness) startStep(s Step) {
	if h.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintln(h.cfg.Progress, s)
	e := h.entries[s.Target%len(h.entries)]
	if s.Kind.Planned() {
		h.startPlanned(s, e)
		return
	}
	begin := h.check.beginDisturbance
	if s.Kind == CutCentres {
		begin = h.check.beginCut
	}
	recordEnd := begin(h.now())
	h.startFault(s, e)
	h.after(s.For, func() {
		h.endFault(s, e)
		recordEnd(h.now())
	})
}

// startPlanned starts a step of planned work.
func (h *harness) startPlanned(s Step, e *entry) {
	switch s.Kind {
	case TerminateEntry:
		e.signal(syscall.SIGTERM, true)
	case RollingRestart:
		for i, e := range h.entries {
			h.after(time.Duration(i)*s.For, func() { e.signal(syscall.SIGTERM, true) })
		}
	case DrainUpstream:
		h.replaceUpstream(s.Target)
	case RollingRelease:
		for i := range appUpstreams {
			h.after(time.Duration(i)*time.Second, func() { h.replaceUpstream(0) })
		}
	case ChangeRoute:
		h.changeRoutes(s.Target)
	case ConfigStorm:
		for i := range 10 {
			h.after(time.Duration(i)*100*time.Millisecond, func() { h.changeRoutes(s.Target + i) })
		}
	case ForeignWrite:
		h.writeForeign(s)
	case EvacuateCentre:
		h.evacuateCentre(s)
	case SlowUpstreams:
		h.slowUpstreams(s)
	case CrowdCentre:
		h.crowdCentre(s)
	case ChangeSettings:
		e.mu.Lock()
		e.levelChanges++
		e.mu.Unlock()
		if _, err := e.writeSettings(); err == nil && s.Target%2 == 0 {
			e.signal(syscall.SIGHUP, false)
		}
	}
}

// evacuateCentre evacuates a data centre and withdraws the evacuation at the end of the step. It does nothing
// while a data centre is evacuated or an upstream is cold, as the remaining upstreams might lack the capacity for
// all requests.
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

// evacuatedSince returns the time since which a data centre is evacuated, or 0 if it is not.
func (h *harness) evacuatedSince(centre string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated != centre {
		return 0
	}
	return h.evacuatedAt
}

// slowUpstreams makes all upstreams answer slowly. Entries may refuse new flows because of it, but open flows
// must go on.
func (h *harness) slowUpstreams(s Step) {
	recordEnd := h.check.beginOverload(h.now())
	h.slowdowns.Add(1)
	h.after(s.For, func() {
		h.slowdowns.Add(-1)
		recordEnd(h.now())
	})
}

// extraServeTime is how long a leaving upstream serves beyond the time limit for leaving.
const extraServeTime = 3 * time.Second

// replaceUpstream starts an upstream and then lets another one of the same service leave, as planned releases do.
func (h *harness) replaceUpstream(target int) {
	u := h.pickServing(target)
	if u == nil {
		return
	}
	if _, err := h.newUpstream(u.service, u.centre, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		return
	}
	u.startLeaving(h.now())
	h.after(h.cfg.Limits.ApplyDelay+extraServeTime, func() { h.stopWhenIdle(u, 10) })
}

// stopWhenIdle stops a leaving upstream once it has no open flows, or after the given number of attempts, which
// are 0.5 s apart.
func (h *harness) stopWhenIdle(u *upstream, attempts int) {
	if u.hasOpenFlow() && attempts > 0 {
		h.after(500*time.Millisecond, func() { h.stopWhenIdle(u, attempts-1) })
		return
	}
	if u.hasOpenFlow() {
		// Stopping the upstream breaks the flows that callers still keep open, which is not the fault of an entry.
		recordEnd := h.check.beginDisturbance(h.now())
		h.after(time.Second, func() { recordEnd(h.now()) })
	}
	u.stop()
}

// pickServing returns an upstream that is alive and not leaving, or nil. The search begins at the target.
func (h *harness) pickServing(target int) *upstream {
	list := h.listUpstreams()
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

// changeRoutes adds one of seven routes, or removes it if the configuration has it.
func (h *harness) changeRoutes(n int) {
	name := fmt.Sprint("extra-", n%7)
	h.changeConfig(func(routes map[string]routeChange) {
		listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(n % 7)}), 443)
		routes[name] = routeChange{listen: listen, added: !routes[name].added, ackedAt: h.now(), version: h.version}
	})
}

// startFault starts a fault.
func (h *harness) startFault(s Step, e *entry) {
	switch s.Kind {
	case KillEntry:
		e.signal(syscall.SIGKILL, true)
	case KillAllEntries:
		for _, e := range h.entries {
			e.signal(syscall.SIGKILL, true)
		}
	case KillRoot:
		h.killRoot(centreOf(s.Target))
	case CutCentres:
		h.setCut(true)
	case FreezeEntry:
		e.signal(syscall.SIGSTOP, false)
	case CrashUpstream:
		h.crashUpstream(s.Target)
	case RestartUpstream:
		h.restartUpstream(s.Target)
	case StoreRestore:
		// The snapshot lacks these changes. They outnumber the writes that follow the restore, so that the
		// store's revisions stay lower than before for a long time.
		for i := range lostVersions {
			h.changeRoutes(s.Target + i)
		}
		h.replaceUpstream(s.Target)
		h.after(storeDownDelay, func() { h.store.SetFaults(stoatfake.Faults{Down: true}) })
	case StoreDown:
		h.store.SetFaults(stoatfake.Faults{Down: true})
		h.expireRegistrations()
	case StoreSlow:
		h.store.SetFaults(stoatfake.Faults{Delay: 200 * time.Millisecond})
	case StoreLag:
		h.store.SetFaults(stoatfake.Faults{StaleReplicas: true})
	case StoreSilentWatch:
		h.store.SetFaults(stoatfake.Faults{SilentWatches: true})
	case StoreCompact:
		h.store.CompactHistory()
	case RefuseConnections:
		e.storeProxy.setRefuse(true)
	case SilenceConnections:
		for _, p := range e.proxies() {
			p.silence()
		}
	case OneWayLoss:
		for _, p := range e.proxies() {
			p.setOneWay(true)
		}
	case PacketLoss:
		h.setLossy(true)
	}
}

// endFault ends a fault. Some faults, like a killed process, need no end.
func (h *harness) endFault(s Step, e *entry) {
	switch s.Kind {
	case CutCentres:
		h.setCut(false)
	case FreezeEntry:
		e.signal(syscall.SIGCONT, false)
	case StoreRestore:
		h.after(storeDownDelay, func() { h.restoreStore(s) })
	case StoreDown:
		h.store.SetFaults(stoatfake.Faults{})
		h.after(time.Second, h.registerAgain)
	case StoreSlow, StoreLag, StoreSilentWatch:
		h.store.SetFaults(stoatfake.Faults{})
	case RefuseConnections:
		e.storeProxy.setRefuse(false)
	case OneWayLoss:
		for _, p := range e.proxies() {
			p.setOneWay(false)
		}
	case PacketLoss:
		h.setLossy(false)
	}
}

func (h *harness) setLossy(lossy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lossy = lossy
}

// expireRegistrations removes half of the registrations, as a store does when upstreams could not renew them
// during an outage.
func (h *harness) expireRegistrations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, u := range h.upstreams {
		if i%2 == 0 {
			h.store.Remove(platform.KindUpstream, u.id)
		}
	}
}

// registerAgain makes all serving upstreams register again.
func (h *harness) registerAgain() {
	for _, u := range h.listUpstreams() {
		u.mu.Lock()
		left := u.leftAt
		u.mu.Unlock()
		if left == 0 && !u.dead.Load() {
			u.register(false)
		}
	}
}

// crashUpstream ends an upstream without warning. Later, a new upstream takes its place, and an upstream of the
// other service gets its address.
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
		// This fails if another process has taken the port meanwhile.
		_, _ = h.newUpstream(other, u.centre, u.addr)
		_, _ = h.newUpstream(u.service, u.centre, netip.MustParseAddrPort("127.0.0.1:0"))
	})
}

// An upstream restarts either before or after entries notice that it is silent.
const (
	shortRestart = 50 * time.Millisecond
	longRestart  = 2500 * time.Millisecond
)

// restartUpstream ends an upstream without warning and starts it again under its ID. Its registration stays in
// the store in between.
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
		// This fails if another process has taken the port meanwhile.
		_, _ = h.startUpstream(u.targetID, u.service, u.centre, at, coldDuration)
	})
}

// writeForeign overwrites an upstream's registration and adds another one, both with a value that is not a valid
// registration. The upstream registers again at the end of the step, as it would with its next heartbeat.
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
