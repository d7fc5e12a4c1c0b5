package stoatedge

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// reader reads datagrams, and knows since when there may be some that it has not read. One
// goroutine uses it.
//
// The load: an entry with a twentieth of a core in a burst of six times the traffic reads its
// socket later than packets come. Callers repeat what waits in it, and what upstreams answered
// long ago is acknowledged in it: all of them look silent.
type reader struct {
	raw     syscall.RawConn
	attempt func(fd uintptr) bool // made once: a closure for each datagram would be garbage
	drained time.Time             // when the socket was last known to be empty
	waits   bool                  // it was, at the last attempt
	starved func() bool           // whether the process lately did not run for a while

	// Of the read under way.
	buf    []byte
	n      int
	failed error
}

func newReader(conn *net.UDPConn, starved func() bool) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &reader{raw: raw, starved: starved, drained: clock()}
	r.attempt = r.try
	return r, nil
}

// read waits for a datagram, as the connection's Read does.
func (r *reader) read(buf []byte) (int, error) {
	r.buf, r.n, r.failed = buf, 0, nil
	if err := r.raw.Read(r.attempt); err != nil {
		return 0, err
	}
	return max(0, r.n), r.failed
}

// try reads once, and tells whether that ended the read.
func (r *reader) try(fd uintptr) bool {
	if r.waits && !r.starved() {
		// It was empty until whatever woke this goroutine came.
		r.drained = clock()
	}
	r.waits = false
	for {
		r.n, r.failed = syscall.Read(int(fd), r.buf)
		if !errors.Is(r.failed, syscall.EINTR) {
			break
		}
	}
	if errors.Is(r.failed, syscall.EAGAIN) {
		r.drained, r.waits = clock(), true
		return false
	}
	return true
}
