package stoatflow

import "testing"

// A stopping entry has handed over everything but a few drops, which are only sent together with other
// records. At an entry that takes no flows any more those never come, so a stop that waited for the drops
// lasted until its deadline of 20 s. This happened in one of five runs of the demo.
func TestDropsDoNotDelayStop(t *testing.T) {
	var o outbox
	o.init()
	o.enqueueDrop("b", 7)
	if !o.drained() {
		t.Error("an outbox with a single drop is not drained")
	}
	o.enqueueCopy("b", Record{Key: 8})
	if o.drained() {
		t.Error("an outbox with a copy is drained")
	}
}
