package stoatsoak

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

const (
	// lostVersions is the number of configurations that a restore loses. storeDownDelay is the time from their
	// writing until the store goes down, which is enough for every entry to receive them.
	lostVersions     = 12
	storeDownDelay   = 700 * time.Millisecond
	snapshotInterval = time.Second
	maxSnapshots     = 3
	// rewriteDelay is the time after a restore at which operators and upstreams write their objects again.
	// removeDelay is the time after which the store expires the restored registrations of stopped upstreams,
	// which send no heartbeats.
	rewriteDelay = 700 * time.Millisecond
	removeDelay  = 2 * time.Second
)

// snapshotStore keeps the latest snapshots of the store. The oldest of them is some seconds old.
func (h *harness) snapshotStore() error {
	for h.sleep(snapshotInterval) {
		c := h.store.Snapshot()
		h.mu.Lock()
		h.snapshots = append(h.snapshots, c)
		h.snapshots = h.snapshots[max(0, len(h.snapshots)-maxSnapshots):]
		h.mu.Unlock()
	}
	return nil
}

// restoreStore restores the store from the oldest snapshot. Soon afterwards, operators and upstreams write their
// objects again. A route changes once the time limits apply again, so that probes check it.
func (h *harness) restoreStore(s Step) {
	h.mu.Lock()
	snapshots := h.snapshots
	h.snapshots = nil
	h.mu.Unlock()
	if len(snapshots) > 0 {
		h.store.Restore(snapshots[0])
	}
	h.store.SetFaults(stoatfake.Faults{})
	h.after(rewriteDelay, h.rewriteAll)
	h.after(removeDelay, h.removeStopped)
	h.after(h.cfg.Limits.StableDelay+h.cfg.Limits.Slack, func() { h.changeRoutes(s.Target) })
}

// rewriteAll makes operators and upstreams write their latest objects again.
func (h *harness) rewriteAll() {
	h.mu.Lock()
	h.writeConfig()
	evacuated := h.evacuated
	h.mu.Unlock()
	for n := range dataCentres {
		if centre := centreOf(n); centre == evacuated {
			h.store.Write(platform.KindEvacuation, centre, map[string]any{})
		} else {
			h.store.Remove(platform.KindEvacuation, centre)
		}
	}
	for _, u := range h.listUpstreams() {
		u.mu.Lock()
		left := u.leftAt
		u.mu.Unlock()
		if !u.dead.Load() {
			u.register(left > 0)
		}
	}
}

// removeStopped removes the restored registrations of upstreams that have stopped since the snapshot.
func (h *harness) removeStopped() {
	live := map[string]bool{}
	for _, u := range h.listUpstreams() {
		live[u.id] = true
	}
	for _, name := range h.store.Names(platform.KindUpstream) {
		if !live[name] {
			h.store.Remove(platform.KindUpstream, name)
		}
	}
}
