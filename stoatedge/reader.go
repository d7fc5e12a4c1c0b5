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
	drained time.Time // when the socket was last known to be empty
	waits   bool      // it was, at the last attempt
}

func newReader(conn *net.UDPConn) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &reader{raw: raw, drained: clock()}, nil
}

// read waits for a datagram, as the connection's Read does.
func (r *reader) read(buf []byte) (int, error) {
	var n int
	var failed error
	err := r.raw.Read(func(fd uintptr) bool {
		if r.waits {
			// It was empty until whatever woke this goroutine came.
			r.drained, r.waits = clock(), false
		}
		for {
			if n, failed = syscall.Read(int(fd), buf); !errors.Is(failed, syscall.EINTR) {
				break
			}
		}
		if errors.Is(failed, syscall.EAGAIN) {
			r.drained, r.waits = clock(), true
			return false
		}
		return true
	})
	if err != nil {
		return 0, err
	}
	return max(0, n), failed
}
