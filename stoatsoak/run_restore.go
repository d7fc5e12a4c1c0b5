package stoatsoak

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatfake"
)

const (
	// lostChanges is how many configurations a restore loses, beforeDown how long before the store goes down
	// they are confirmed: every entry has them.
	lostChanges = 12
	beforeDown  = 700 * time.Millisecond
	copyEvery   = time.Second
	copiesKept  = 3
	// writeAgainAfter is when operators and upstreams write again after a restore, and endAgainAfter when
	// the store has noticed that those which the copy has and which ended since are silent.
	writeAgainAfter = 700 * time.Millisecond
	endAgainAfter   = 2 * time.Second
)

// copyStore keeps copies of the store, of which the oldest is some seconds old.
func (w *world) copyStore() error {
	for w.pause(copyEvery) {
		c := w.store.Snapshot()
		w.mu.Lock()
		w.copies = append(w.copies, c)
		w.copies = w.copies[max(0, len(w.copies)-copiesKept):]
		w.mu.Unlock()
	}
	return nil
}

// restoreStore has the store come back from a copy. What was written since is written again soon; a route
// changes once the bounds hold again.
func (w *world) restoreStore(s Step) {
	w.mu.Lock()
	copies := w.copies
	w.copies = nil
	w.mu.Unlock()
	if len(copies) > 0 {
		w.store.Restore(copies[0])
	}
	w.store.SetFaults(stoatfake.Faults{})
	w.after(writeAgainAfter, w.writeAgain)
	w.after(endAgainAfter, w.endAgain)
	w.after(w.cfg.Limits.StableDelay+w.cfg.Limits.Slack, func() { w.changeRoutes(s.Target) })
}

// writeAgain has operators and upstreams write what they wrote last.
func (w *world) writeAgain() {
	w.mu.Lock()
	w.writeConfiguration()
	evacuated := w.evacuated
	w.mu.Unlock()
	for n := range dataCentres {
		if centre := centreOf(n); centre == evacuated {
			w.store.Write(platform.KindEvacuation, centre, map[string]any{})
		} else {
			w.store.Remove(platform.KindEvacuation, centre)
		}
	}
	for _, u := range w.living() {
		u.mu.Lock()
		left := u.left
		u.mu.Unlock()
		if !u.dead.Load() {
			u.register(left > 0)
		}
	}
}

// endAgain removes what the copy has of upstreams that ended since.
func (w *world) endAgain() {
	lives := map[string]bool{}
	for _, u := range w.living() {
		lives[u.id] = true
	}
	for _, name := range w.store.Names(platform.KindUpstream) {
		if !lives[name] {
			w.store.Remove(platform.KindUpstream, name)
		}
	}
}
