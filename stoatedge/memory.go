package stoatedge

import (
	"runtime/debug"
	"runtime/metrics"
)

const (
	// rarePercent is by how much the heap may grow until it is collected, where there is room: a collection
	// costs a tenth of a core 10 ms and more, most of all at a start.
	rarePercent = 400
	// oftenPercent is the least: below it most processor time goes to collections.
	oftenPercent = 40
	// heapPart is the part of the machine's memory that the heap may take until it is collected. The rest is the
	// program, sockets, and what a burst needs.
	heapPart = 1.0 / 8
	// limitPart is the part of it at which the runtime collects whatever it costs: a process that needs more than
	// its machine has is killed.
	limitPart = 0.75
	// Without a known memory: a small heap is collected rarely, a large one as the runtime does by itself.
	smallHeap, middleHeap, middlePercent, largePercent = 12 << 20, 48 << 20, 200, 100
)

// collectAt returns by how many per cent the heap may grow over what lives until it is collected; memory is what
// the machine has, bytes, 0: not known.
func collectAt(live, memory uint64) int {
	if memory > 0 {
		most := heapPart * float64(memory)
		return int(min(rarePercent, max(oftenPercent, 100*(most/float64(max(1, live))-1))))
	}
	switch {
	case live < smallHeap:
		return rarePercent
	case live < middleHeap:
		return middlePercent
	}
	return largePercent
}

const liveMetric = "/gc/heap/live:bytes"

// limitMemory keeps the process within its machine's memory, bytes; 0: not known.
func limitMemory(memory uint64) {
	debug.SetGCPercent(collectAt(0, memory))
	if memory > 0 {
		debug.SetMemoryLimit(int64(limitPart * float64(memory)))
	}
}

// tuneCollector follows what lives on the heap.
func tuneCollector(memory uint64) {
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindUint64 {
		debug.SetGCPercent(collectAt(sample[0].Value.Uint64(), memory))
	}
}
