package stoatcount

import (
	"io"
	"sync/atomic"
)

// Reader adds what is read from R to N, bytes.
type Reader struct {
	R     io.Reader
	Count *atomic.Int64
}

// Read implements io.Reader.
func (c *Reader) Read(p []byte) (int, error) {
	n, err := c.R.Read(p)
	c.Count.Add(int64(n))
	return n, err
}

// Writer adds what is written to W to N, bytes.
type Writer struct {
	W     io.Writer
	Count *atomic.Int64
}

// Write implements io.Writer.
func (c *Writer) Write(p []byte) (int, error) {
	n, err := c.W.Write(p)
	c.Count.Add(int64(n))
	return n, err
}
