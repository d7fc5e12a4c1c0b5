package stoatcount

import (
	"io"
	"sync/atomic"
)

// Reader reads from R and counts the bytes.
type Reader struct {
	R     io.Reader
	Count *atomic.Int64 // the number of bytes read is added here
}

// Read implements io.Reader.
func (c *Reader) Read(p []byte) (int, error) {
	n, err := c.R.Read(p)
	c.Count.Add(int64(n))
	return n, err
}

// Writer writes to W and counts the bytes.
type Writer struct {
	W     io.Writer
	Count *atomic.Int64 // the number of bytes written is added here
}

// Write implements io.Writer.
func (c *Writer) Write(p []byte) (int, error) {
	n, err := c.W.Write(p)
	c.Count.Add(int64(n))
	return n, err
}
