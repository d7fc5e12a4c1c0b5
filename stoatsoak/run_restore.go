package stoatsoak

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

const (
	// lostVersions is how many configurations a restore loses, beforeDown how long before the store goes down
	// they are confirmed: every entry has them.
	lostVersions     = 12
	snapshotDelay    = 700 * time.Millisecond
	snapshotInterval = time.Second
	maxSnapshots     = 3
	// rewriteDelay is when operators and upstreams write again after a restore, and endAgainAfter when
	// the store has noticed that those which the copy has and which ended since are silent.
	rewriteDelay = 700 * time.Millisecond
	removeDelay  = 2 * time.Second
)

// snapshotStore keeps copies of the store, of which the oldest is some seconds old.
func (h *harness) snapshotStore() error {
	for h.sleep(snapshotInterval) {
		c := h.store.Save()
		h.mu.Lock()
		h.snapshots = append(h.snapshots, c)
		h.snapshots = h.snapshots[max(0, len(h.snapshots)-maxSnapshots):]
		h.mu.Unlock()
	}
	return nil
}

// restoreStore has the store come back from a copy. What was written since is written again soon; a route
// changes once the bounds hold again.
func (h *harness) restoreStore(s Step) {
	h.mu.Lock()
	snapshots := h.snapshots
	h.snapshots = nil
	h.mu.Unlock()
	if len(snapshots) > 0 {
		h.store.Restore(snapshots[0])
	}
	h.store.Set(stoatfake.Trouble{})
	h.after(rewriteDelay, h.rewriteAll)
	h.after(removeDelay, h.removeStopped)
	h.after(h.cfg.Bounds.Stable+h.cfg.Bounds.Slack, func() { h.changeRoutes(s.Target) })
}

// rewriteAll has operators and upstreams write what they wrote last.
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
	for _, u := range h.liveUpstreams() {
		u.mu.Lock()
		left := u.leftAt
		u.mu.Unlock()
		if !u.dead.Load() {
			u.register(left > 0)
		}
	}
}

// removeStopped removes what the copy has of upstreams that ended since.
func (h *harness) removeStopped() {
	live := map[string]bool{}
	for _, u := range h.liveUpstreams() {
		live[u.id] = true
	}
	for _, name := range h.store.Names(platform.KindUpstream) {
		if !live[name] {
			h.store.Remove(platform.KindUpstream, name)
		}
	}
}
