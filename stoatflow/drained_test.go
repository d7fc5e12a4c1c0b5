package stoatflow

import "testing"

// An entry stops as planned and has handed everything over but two flows that ended, whose copies elsewhere
// are to be dropped. Drops wait for company, and at an entry that takes no flows any more none comes: the
// stop went on to its deadline, twenty seconds with nothing to do, in one demo of five:
//
//	06:48:57.144 SP1202 handing over, estimate 1.515s
//	06:49:17.299 SP1011 planned stop hit its deadline, calls 0
//	pending 12, ruwi-1: drops 1, ruwi-2: drops 1
func TestDropsDoNotHoldUpAStop(t *testing.T) {
	var o outbox
	o.init()
	o.enqueueDrop("b", 7)
	if !o.drained() {
		t.Error("a drop that waits for company counts as something to hand over")
	}
	o.enqueueCopy("b", Record{Key: 8})
	if o.drained() {
		t.Error("a copy does not")
	}
}
