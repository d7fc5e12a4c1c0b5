package stoatedge

import (
	"runtime/debug"
	"runtime/metrics"
)

const (
	// maxGCPercent is the growth of the heap, in per cent, that triggers a collection where there is enough
	// memory: a collection takes 10 ms and more at a tenth of a core, above all at a start.
	maxGCPercent = 400
	// minGCPercent is the lower limit of that growth: below it most processor time is spent on collections.
	minGCPercent = 40
	// heapShare is the share of the machine's memory that the heap may reach before it is collected. The rest
	// is for the program, sockets and bursts.
	heapShare = 1.0 / 8
	// limitShare is the share of the machine's memory at which the runtime collects at any cost, since a
	// process that needs more memory than its machine has is killed.
	limitShare = 0.75
	// If the memory is not known, a small heap is collected rarely, and a large one at the runtime's default.
	// The sizes are in bytes.
	smallHeapMax, mediumHeapMax, mediumHeapPercent, largeHeapPercent = 12 << 20, 48 << 20, 200, 100
)

// gcPercent returns the growth of the live heap, in per cent, that triggers a collection on a machine with
// that much memory; 0: not known.
func gcPercent(liveBytes, memoryBytes uint64) int {
	if memoryBytes > 0 {
		target := heapShare * float64(memoryBytes)
		return int(min(maxGCPercent, max(minGCPercent, 100*(target/float64(max(1, liveBytes))-1))))
	}
	switch {
	case liveBytes < smallHeapMax:
		return maxGCPercent
	case liveBytes < mediumHeapMax:
		return mediumHeapPercent
	}
	return largeHeapPercent
}

const liveMetric = "/gc/heap/live:bytes"

// limitMemory keeps the process within its machine's memory; 0: not known.
func limitMemory(memoryBytes uint64) {
	debug.SetGCPercent(gcPercent(0, memoryBytes))
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(limitShare * float64(memoryBytes)))
	}
}

// tuneGC adapts the trigger of collections to the size of the live heap.
func tuneGC(memoryBytes uint64) {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindUint64 {
		debug.SetGCPercent(gcPercent(sample[0].Value.Uint64(), memoryBytes))
	}
}
