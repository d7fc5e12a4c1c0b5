package stoatedge

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// reader reads datagrams, and knows since when there may be some that it has not read. One goroutine uses it.
//
// In a burst of six times the traffic, an entry with a twentieth of a core reads its socket more slowly than
// packets come. Callers repeat packets that still wait in the socket, and acknowledgements of answers that
// upstreams sent long ago wait there too: all these upstreams would look silent.
type reader struct {
	raw     syscall.RawConn
	attempt func(fd uintptr) bool // allocated once: a closure for each datagram would be garbage
	drained time.Time             // when the socket was last known to be empty
	empty   bool                  // the socket was empty at the last attempt
	starved func() bool           // whether the process recently did not run for a while

	// State of the read in progress.
	buf []byte
	n   int
	err error
}

func newReader(conn *net.UDPConn, starved func() bool) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &reader{raw: raw, starved: starved, drained: clock()}
	r.attempt = r.tryRead
	return r, nil
}

// read waits for a datagram, as the connection's Read does.
func (r *reader) read(buf []byte) (int, error) {
	r.buf, r.n, r.err = buf, 0, nil
	if err := r.raw.Read(r.attempt); err != nil {
		return 0, err
	}
	return max(0, r.n), r.err
}

// tryRead reads once, and reports whether that completed the read.
func (r *reader) tryRead(fd uintptr) bool {
	if r.empty && !r.starved() {
		// The socket was empty until the event that woke this goroutine.
		r.drained = clock()
	}
	r.empty = false
	for {
		r.n, r.err = syscall.Read(int(fd), r.buf)
		if !errors.Is(r.err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(r.err, syscall.EAGAIN) {
		r.drained, r.empty = clock(), true
		return false
	}
	return true
}
