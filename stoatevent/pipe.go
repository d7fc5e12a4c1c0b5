package stoatevent

import (
	"io"
	"sync/atomic"
)

// AsyncWriter is an io.Writer that never blocks: lines wait in a bounded queue, and one that finds
// it full is counted and lost. A log that nobody reads must not stop traffic.
type AsyncWriter struct {
	lines chan []byte
	lost  atomic.Int64
}

// pipeLines is how many lines wait at most: a second of the busiest start.
const pipeLines = 1024

// NewAsyncWriter returns a Pipe; Run has to be started for it.
func NewAsyncWriter() *AsyncWriter { return &AsyncWriter{lines: make(chan []byte, pipeLines)} }

// Write queues a line.
func (p *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case p.lines <- append([]byte(nil), line...):
	default:
		p.lost.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost since the start.
func (p *AsyncWriter) Dropped() int64 { return p.lost.Load() }

// maxBatch bounds what is written at once.
const maxBatch = 32 << 10

// Run writes the queued lines to w, those that wait together in one write, until Close.
func (p *AsyncWriter) Run(w io.Writer) error {
	var batch []byte
	for line := range p.lines {
		batch = append(batch[:0], line...)
		for len(batch) < maxBatch && len(p.lines) > 0 {
			batch = append(batch, <-p.lines...)
		}
		if _, err := w.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

// Close ends Run once it has written what is queued; no Write may follow.
func (p *AsyncWriter) Close() { close(p.lines) }
