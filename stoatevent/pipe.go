package stoatevent

import (
	"io"
	"sync/atomic"
)

// Pipe is an io.Writer that never blocks: lines wait in a bounded queue, and one that finds
// it full is counted and lost. A log that nobody reads must not stop traffic.
type Pipe struct {
	queue   chan []byte
	dropped atomic.Int64
}

// queueLines is how many lines wait at most: a second of the busiest start.
const queueLines = 1024

// NewPipe returns a Pipe; Run has to be started for it.
func NewPipe() *Pipe { return &Pipe{queue: make(chan []byte, queueLines)} }

// Write queues a line.
func (p *Pipe) Write(line []byte) (int, error) {
	select {
	case p.queue <- append([]byte(nil), line...):
	default:
		p.dropped.Add(1)
	}
	return len(line), nil
}

// Lost returns how many lines were lost since the start.
func (p *Pipe) Lost() int64 { return p.dropped.Load() }

// maxBatch bounds what is written at once.
const maxBatch = 32 << 10

// Run writes the queued lines to w, those that wait together in one write, until Close.
func (p *Pipe) Run(w io.Writer) error {
	var batch []byte
	for line := range p.queue {
		batch = append(batch[:0], line...)
		for len(batch) < maxBatch && len(p.queue) > 0 {
			batch = append(batch, <-p.queue...)
		}
		if _, err := w.Write(batch); err != nil {
			return err
		}
	}
	return nil
}

// Close ends Run once it has written what is queued; no Write may follow.
func (p *Pipe) Close() { close(p.queue) }
