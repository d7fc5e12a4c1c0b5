package stoatcount

import (
	"io"
	"sync/atomic"
)

// Reader adds what is read from R to N, bytes.
type Reader struct {
	R io.Reader
	N *atomic.Int64
}

// Read implements io.Reader.
func (c *Reader) Read(p []byte) (int, error) {
	n, err := c.R.Read(p)
	c.N.Add(int64(n))
	return n, err
}

// Writer adds what is written to W to N, bytes.
type Writer struct {
	W io.Writer
	N *atomic.Int64
}

// Write implements io.Writer.
func (c *Writer) Write(p []byte) (int, error) {
	n, err := c.W.Write(p)
	c.N.Add(int64(n))
	return n, err
}
