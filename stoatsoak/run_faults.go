package stoatsoak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

// apply begins one step; what lasts goes on in the background.
func (w *world) apply(s Step) {
	if w.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintln(w.cfg.Progress, s)
	e := w.entries[s.Target%len(w.entries)]
	if s.Kind.Planned() {
		w.plan(s, e)
		return
	}
	ended := w.check.begin(w.now())
	w.disturb(s, e)
	w.after(s.For, func() {
		w.mend(s, e)
		ended(w.now())
	})
}

// plan begins planned work.
func (w *world) plan(s Step, e *entry) {
	switch s.Kind {
	case TerminateEntry:
		e.signal(syscall.SIGTERM, true)
	case RollingRestart:
		for i, e := range w.entries {
			w.after(time.Duration(i)*s.For, func() { e.signal(syscall.SIGTERM, true) })
		}
	case DrainUpstream:
		w.replace(s.Target)
	case RollingRelease:
		for i := range appUpstreams {
			w.after(time.Duration(i)*time.Second, func() { w.replace(0) })
		}
	case ChangeRoute:
		w.changeRoutes(s.Target)
	case ConfigStorm:
		for i := range 10 {
			w.after(time.Duration(i)*100*time.Millisecond, func() { w.changeRoutes(s.Target + i) })
		}
	case ForeignWrite:
		w.spoil(s)
	case EvacuateCentre:
		w.evacuate(s)
	case SlowUpstreams:
		w.fill(s)
	case ChangeSettings:
		e.mu.Lock()
		e.level++
		e.mu.Unlock()
		if _, err := e.configure(); err == nil && s.Target%2 == 0 {
			e.signal(syscall.SIGHUP, false)
		}
	}
}

// evacuate has operators evacuate a data centre, and take it back. Not while another one is, or while
// an upstream is cold: what is left then may not bear what callers ask.
func (w *world) evacuate(s Step) {
	centre := centreOf(s.Target)
	w.mu.Lock()
	busy := w.evacuated != "" || w.cold > 0
	if !busy {
		w.evacuated, w.evacuatedAt = centre, max(1, w.now())
	}
	w.mu.Unlock()
	if busy {
		return
	}
	w.store.Write(platform.KindEvacuation, centre, map[string]any{})
	w.after(s.For, func() {
		w.store.Remove(platform.KindEvacuation, centre)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.evacuated = ""
	})
}

// evacuatedSince tells since when a data centre is evacuated; 0: it is not.
func (w *world) evacuatedSince(centre string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuated != centre {
		return 0
	}
	return w.evacuatedAt
}

// fill has all upstreams answer late. New flows may be refused for it; open ones go on.
func (w *world) fill(s Step) {
	ended := w.check.load(w.now())
	w.queued.Add(1)
	w.after(s.For, func() {
		w.queued.Add(-1)
		ended(w.now())
	})
}

// leaveAfter is how much longer than the bound a leaving upstream serves.
const leaveAfter = 3 * time.Second

// replace has an upstream of the service leave once another one serves in its place, as
// planned releases do.
func (w *world) replace(target int) {
	u := w.pick(target)
	if u == nil {
		return
	}
	if _, err := w.newUpstream(u.service, u.centre, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		return
	}
	u.leave(w.now())
	w.after(w.cfg.Limits.ApplyDelay+leaveAfter, func() { w.endWhenIdle(u, 10) })
}

// endWhenIdle ends a leaving upstream once its flows have ended, or some time later.
func (w *world) endWhenIdle(u *upstream, times int) {
	if u.busy() && times > 0 {
		w.after(500*time.Millisecond, func() { w.endWhenIdle(u, times-1) })
		return
	}
	if u.busy() {
		// Callers who kept a flow open all the while lose it; that is no entry's doing.
		ended := w.check.begin(w.now())
		w.after(time.Second, func() { ended(w.now()) })
	}
	u.end()
}

// pick returns an upstream that serves, or nil.
func (w *world) pick(target int) *upstream {
	list := w.living()
	for i := range list {
		u := list[(target+i)%len(list)]
		u.mu.Lock()
		serves := u.left == 0 && !u.dead.Load()
		u.mu.Unlock()
		if serves {
			return u
		}
	}
	return nil
}

// changeRoutes adds a route, or removes the one with that name.
func (w *world) changeRoutes(n int) {
	name := fmt.Sprint("extra-", n%7)
	w.configure(func(routes map[string]routed) {
		listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(n % 7)}), 443)
		routes[name] = routed{listen: listen, allowed: !routes[name].allowed, acked: w.now(), version: w.version}
	})
}

// disturb begins a disturbance.
func (w *world) disturb(s Step, e *entry) {
	switch s.Kind {
	case KillEntry:
		e.signal(syscall.SIGKILL, true)
	case KillAllEntries:
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL, true)
		}
	case FreezeEntry:
		e.signal(syscall.SIGSTOP, false)
	case CrashUpstream:
		w.crash(s.Target)
	case RestartUpstream:
		w.restart(s.Target)
	case StoreRestore:
		// What the copy lacks: more than is written soon afterwards, so that revisions stay lower for long.
		for i := range lostChanges {
			w.changeRoutes(s.Target + i)
		}
		w.replace(s.Target)
		w.after(beforeDown, func() { w.store.SetFaults(stoatfake.Faults{Down: true}) })
	case StoreDown:
		w.store.SetFaults(stoatfake.Faults{Down: true})
		w.lapse()
	case StoreSlow:
		w.store.SetFaults(stoatfake.Faults{Delay: 200 * time.Millisecond})
	case StoreLag:
		w.store.SetFaults(stoatfake.Faults{StaleReplicas: true})
	case StoreSilentWatch:
		w.store.SetFaults(stoatfake.Faults{SilentWatches: true})
	case StoreCompact:
		w.store.CompactHistory()
	case RefuseConnections:
		e.store.setRefuse(true)
	case SilenceConnections:
		for _, l := range e.links() {
			l.silence()
		}
	case OneWayLoss:
		for _, l := range e.links() {
			l.setOneWay(true)
		}
	case PacketLoss:
		w.setLossy(true)
	}
}

// mend ends a disturbance.
func (w *world) mend(s Step, e *entry) {
	switch s.Kind {
	case FreezeEntry:
		e.signal(syscall.SIGCONT, false)
	case StoreRestore:
		w.after(beforeDown, func() { w.restoreStore(s) })
	case StoreDown:
		w.store.SetFaults(stoatfake.Faults{})
		w.after(time.Second, w.comeBack)
	case StoreSlow, StoreLag, StoreSilentWatch:
		w.store.SetFaults(stoatfake.Faults{})
	case RefuseConnections:
		e.store.setRefuse(false)
	case OneWayLoss:
		for _, l := range e.links() {
			l.setOneWay(false)
		}
	case PacketLoss:
		w.setLossy(false)
	}
}

func (w *world) setLossy(lossy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossy = lossy
}

// lapse removes half of the registrations, as a store does that is away.
func (w *world) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, u := range w.upstreams {
		if i%2 == 0 {
			w.store.Remove(platform.KindUpstream, u.id)
		}
	}
}

// comeBack has the upstreams register again.
func (w *world) comeBack() {
	for _, u := range w.living() {
		u.mu.Lock()
		left := u.left
		u.mu.Unlock()
		if left == 0 && !u.dead.Load() {
			u.register(false)
		}
	}
}

// crash ends an upstream at once; later another one serves in its place, and its address
// goes to a life of the other service.
func (w *world) crash(target int) {
	u := w.pick(target)
	if u == nil {
		return
	}
	u.dead.Store(true)
	_ = u.conn.Close()
	w.after(2*time.Second, func() {
		u.end()
		other := map[string]string{"app": "intake", "intake": "app"}[u.service]
		// Somebody may have taken the port meanwhile.
		_, _ = w.newUpstream(other, u.centre, u.addr)
		_, _ = w.newUpstream(u.service, u.centre, netip.MustParseAddrPort("127.0.0.1:0"))
	})
}

// Restarts take so long, soon and late: before an upstream's silence is noticed, and after.
const (
	restartSoon = 50 * time.Millisecond
	restartLate = 2500 * time.Millisecond
)

// restart ends an upstream at once and starts it again under its id; its entry stands meanwhile.
func (w *world) restart(target int) {
	u := w.pick(target)
	if u == nil {
		return
	}
	u.dead.Store(true)
	_ = u.conn.Close()
	pause, at := restartSoon, u.addr
	if target%2 == 0 {
		pause = restartLate
	}
	if target%3 == 0 {
		at = netip.MustParseAddrPort("127.0.0.1:0")
	}
	w.after(pause, func() {
		u.drop()
		// Somebody may have taken the port meanwhile.
		_, _ = w.startUpstream(u.target, u.service, u.centre, at, coldFor)
	})
}

// spoil writes over an upstream's entry, and adds an entry, with what names no server. The
// upstream writes its own again a while later, as the next heartbeat does.
func (w *world) spoil(s Step) {
	specs := []any{
		nil, "ready",
		map[string]any{"service": "app", "slots": "three"},
		map[string]any{"service": "app", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 3, "state": "resting", "cold_remaining_ms": 0, "seq": 1},
	}
	spec := specs[s.Target%len(specs)]
	w.store.Write(platform.KindUpstream, fmt.Sprintf("i-0bad%04x", s.Target), spec)
	u := w.pick(s.Target)
	if u == nil {
		return
	}
	w.store.Write(platform.KindUpstream, u.id, spec)
	w.after(s.For, func() {
		u.mu.Lock()
		left := u.left
		u.mu.Unlock()
		if !u.dead.Load() {
			u.register(left > 0)
		}
	})
}
