package stoatsoak

import "time"

const (
	// minStall is how long the soak's own process must have stood still for it to count: by
	// half of a caller's first repeat, requests look as if their upstream were silent.
	minStall           = 100 * time.Millisecond
	stallCheckInterval = 20 * time.Millisecond
)

// watchStalls notes when this process stood still.
//
// The failure: callers, the fabric and the upstreams of a run are one process. On a busy machine
// it got no processor for 0.28 s; then callers repeated themselves all at once, before the answers
// of that time came, and an entry that saw an upstream silent for so long ejected it. The upstream
// was silent indeed: the stall is a disturbance of the upstreams, of the run's own making.
func (h *harness) watchStalls() error {
	for h.sleep(stallCheckInterval) {
		h.check.tick(h.now())
	}
	return nil
}

// tick notes that the run goes on; a gap since the last time is a disturbance that has ended.
func (c *checker) tick(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled(now) {
		c.disturbances = append(c.disturbances, &disturbance{from: c.lastTick, to: now})
		c.counts.Stalls++
	}
	c.lastTick = now
}

// stalled tells whether the run stands still, or has not noticed yet that it goes on.
func (c *checker) stalled(now time.Duration) bool { return c.lastTick > 0 && now-c.lastTick > minStall }
