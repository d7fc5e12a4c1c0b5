package stoatsoak

import "time"

const (
	// stallLeast is how long the soak's own process must have stood still for it to count: by
	// half of a caller's first repeat, requests look as if their upstream were silent.
	stallLeast = 100 * time.Millisecond
	stallTick  = 20 * time.Millisecond
)

// watchStalls notes when this process stood still.
//
// The failure: callers, the fabric and the upstreams of a run are one process. On a busy machine
// it got no processor for 0.28 s; then callers repeated themselves all at once, before the answers
// of that time came, and an entry that saw an upstream silent for so long ejected it. The upstream
// was silent indeed: the stall is a disturbance of the upstreams, of the run's own making.
func (w *world) watchStalls() error {
	for w.pause(stallTick) {
		w.check.ticked(w.now())
	}
	return nil
}

// ticked notes that the run goes on; a gap since the last time is a disturbance that has ended.
func (c *checker) ticked(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled(now) {
		c.troubles = append(c.troubles, &span{from: c.tick, to: now})
		c.counts.Stalls++
	}
	c.tick = now
}

// stalled tells whether the run stands still, or has not noticed yet that it goes on.
func (c *checker) stalled(now time.Duration) bool { return c.tick > 0 && now-c.tick > stallLeast }
