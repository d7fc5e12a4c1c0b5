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
	gap     func() time.Duration  // for how long the process recently did not run
	checked time.Time             // when gap was last called
	// pausedSince reports whether a long pause has ended after a time, and just now.
	pausedSince func(time.Time) bool
	// stale is set from a pause of the process until the socket is empty: what is read may have waited for as long.
	stale bool

	// State of the read in progress.
	buf []byte
	n   int
	err error
}

// staleAfter is the pause of the process after which openings that waited in the socket are not placed. The fabric takes
// an entry that misses two checks, half a second apart, out of rotation, and sends the copies of its openings to others.
const staleAfter = time.Second

func newReader(conn *net.UDPConn, gap func() time.Duration, pausedSince func(time.Time) bool) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &reader{raw: raw, gap: gap, pausedSince: pausedSince, drained: clock(), checked: clock()}
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
	if now := clock(); r.empty || now.Sub(r.checked) > starvedAfter {
		gap := r.gap()
		paused := gap >= staleAfter || r.pausedSince(r.drained)
		if r.empty && gap <= starvedAfter && !paused {
			// The socket was empty until the event that woke this goroutine.
			r.drained = now
		}
		r.checked, r.stale = now, r.stale || paused
	}
	r.empty = false
	for {
		r.n, r.err = syscall.Read(int(fd), r.buf)
		if !errors.Is(r.err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(r.err, syscall.EAGAIN) {
		r.drained, r.empty, r.stale = clock(), true, false
		return false
	}
	return true
}
