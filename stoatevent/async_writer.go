package stoatevent

import (
	"io"
	"sync/atomic"
)

// AsyncWriter is an io.Writer that never blocks. Lines wait in a bounded queue; lines that do not fit are
// dropped and counted. A log that nobody reads must not stop traffic.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
}

// queueLines is the capacity of the queue, enough for the lines of one second during an entry's busiest start.
const queueLines = 1024

// NewAsyncWriter returns an AsyncWriter. The caller has to start its Run method.
func NewAsyncWriter() *AsyncWriter { return &AsyncWriter{queue: make(chan []byte, queueLines)} }

// Write queues a line, or drops it if the queue is full.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// maxBatch is the size in bytes at which no further lines are added to a write.
const maxBatch = 32 << 10

// Run writes the queued lines to w until Close. Lines that are in the queue together go into one write.
func (a *AsyncWriter) Run(w io.Writer) error {
	var batch []byte
	for line := range a.queue {
		batch = append(batch[:0], line...)
		for len(batch) < maxBatch && len(a.queue) > 0 {
			batch = append(batch, <-a.queue...)
		}
		if _, err := w.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

// Close makes Run return after it has written the queued lines. Write must not be called afterwards.
func (a *AsyncWriter) Close() { close(a.queue) }
