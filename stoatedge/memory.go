package stoatedge

import (
	"runtime/debug"
	"runtime/metrics"
)

const (
	// A collection of a small heap costs a tenth of a core 10 ms and more, and a start that
	// reads a large configuration did several: 142 ms from the first line to ready with 489
	// routes, 53 ms with collections as rare as for a small heap. Memory at its peak rose
	// from 13.8 to 15.4 MB.
	smallHeap, smallPercent   = 12 << 20, 400
	middleHeap, middlePercent = 48 << 20, 200
	// largePercent is the runtime's own: a large heap must not grow to five times its size.
	largePercent = 100
)

// collectAt returns by how many per cent the heap may grow over what lives until it is collected.
func collectAt(live uint64) int {
	switch {
	case live < smallHeap:
		return smallPercent
	case live < middleHeap:
		return middlePercent
	}
	return largePercent
}

const liveMetric = "/gc/heap/live:bytes"

// tuneCollector follows what lives on the heap.
func tuneCollector() {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindUint64 {
		debug.SetGCPercent(collectAt(sample[0].Value.Uint64()))
	}
}
