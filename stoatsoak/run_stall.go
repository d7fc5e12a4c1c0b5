package stoatsoak

import "time"

const (
	// minStall is the shortest pause of the soak's own process that counts as a stall. It is half of a caller's
	// first retransmission delay. After that delay, the upstream of a request can look silent.
	minStall           = 100 * time.Millisecond
	stallCheckInterval = 20 * time.Millisecond
)

// watchStalls records when this process did not run.
//
// Callers, the fabric and the upstreams of a run share this process. On a busy machine the process got no CPU
// time for 0.28 s. Then all callers retransmitted at once, before the delayed answers arrived, and an entry
// ejected an upstream that had been silent for that long. As the upstream was in fact silent, the entry was not
// at fault, so a stall counts as a disturbance that the run itself caused.
func (h *harness) watchStalls() error {
	for h.sleep(stallCheckInterval) {
		h.check.tick(h.now())
	}
	return nil
}

// tick records that the process is running. A gap since the last call is recorded as a disturbance that has
// ended.
func (c *checker) tick(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled(now) {
		c.disturbances = append(c.disturbances, &disturbance{from: c.lastTick, to: now})
		c.counts.Stalls++
	}
	c.lastTick = now
}

// stalled reports whether the last call of tick is too long ago, as the process did not run or has only just
// resumed.
func (c *checker) stalled(now time.Duration) bool { return c.lastTick > 0 && now-c.lastTick > minStall }
