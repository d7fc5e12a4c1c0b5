package stoatedge

import (
	"net"
	"testing"
	"time"
)

// udpPair returns a socket and one that sends to it.
func udpPair(t *testing.T) (conn, out *net.UDPConn) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if out, err = net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	return conn, out
}

// Packets come faster than they are read. While one waits, the socket does not count as empty. The socket
// counts as empty once all packets are read, and until the next one comes.
func TestReaderTracksDrainedSocket(t *testing.T) {
	conn, out := udpPair(t)
	send := func() {
		t.Helper()
		if _, err := out.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	var gap time.Duration
	var pauseEnd time.Time
	r, err := newReader(conn, func() time.Duration { return gap }, func(at time.Time) bool { return pauseEnd.After(at) })
	if err != nil {
		t.Fatal(err)
	}
	r.drained = time.Unix(1000, 0)
	buf := make([]byte, 10)
	for range 3 {
		send()
	}
	for i := range 3 {
		if n, err := r.read(buf); n != 1 || err != nil || !r.drained.Equal(time.Unix(1000, 0)) {
			t.Fatal(i, n, err, r.drained)
		}
	}
	// readUntilEmpty makes the reader look at the empty socket.
	readUntilEmpty := func() {
		for !r.empty {
			_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if n, err := r.read(buf); err == nil {
				t.Fatal("read", n)
			}
		}
		_ = conn.SetReadDeadline(time.Time{})
	}
	readUntilEmpty()
	r.drained = time.Unix(2000, 0)
	send()
	if n, err := r.read(buf); n != 1 || err != nil || r.drained.Equal(time.Unix(2000, 0)) || r.empty {
		t.Error("it was empty until the packet came:", n, err, r.drained)
	}
	// The process did not run while the reader waited: the packet may have been there for long.
	readUntilEmpty()
	gap, r.drained = 500*ms, time.Unix(3000, 0)
	send()
	if n, err := r.read(buf); n != 1 || err != nil || !r.drained.Equal(time.Unix(3000, 0)) || r.empty {
		t.Error("a packet that came while the process did not run counts as new:", n, err, r.drained)
	}
	if r.stale {
		t.Error("a short pause makes packets stale")
	}
	// The process does not run for a second: what is read is stale until the socket is empty.
	readUntilEmpty()
	gap = time.Second
	send()
	send()
	for i := range 2 {
		if n, err := r.read(buf); n != 1 || err != nil || !r.stale {
			t.Error(i, "a packet that waited during a pause is not stale:", n, err)
		}
		gap = 100 * ms // the next tick came
	}
	readUntilEmpty()
	send()
	if n, err := r.read(buf); n != 1 || err != nil || r.stale {
		t.Error("a packet that came after the pause is stale:", n, err)
	}
	// Two ticks came between the end of a pause and the read, so that the gap no longer shows it.
	readUntilEmpty()
	pauseEnd = time.Now()
	send()
	if n, err := r.read(buf); n != 1 || err != nil || !r.stale {
		t.Error("a packet that waited during a pause is not stale after two ticks:", n, err)
	}
	readUntilEmpty()
	send()
	if n, err := r.read(buf); n != 1 || err != nil || r.stale {
		t.Error("a packet that came after the socket was empty is stale:", n, err)
	}
}

// Guards against a pause that is forgotten before the packets that waited are read: a ticker keeps its phase, so that the
// second tick may follow the first one after a pause at once.
func TestPauseIsRememberedOverTicks(t *testing.T) {
	var d pauseDetector
	d.tick(time.Hour)
	before := time.Now()
	d.tick(time.Hour + 100*ms)
	if d.pausedSince(before) {
		t.Error("a tick in time is taken for a pause")
	}
	d.tick(time.Hour + 3600*ms)
	d.tick(time.Hour + 3605*ms)
	if d.gap(time.Hour+3606*ms) >= staleAfter || !d.pausedSince(before) || d.pausedSince(time.Now()) {
		t.Error(d.gap(time.Hour+3606*ms), d.pausedSince(before), d.pausedSince(time.Now()))
	}
}

// The machine has no time for the process, between two ticks or since the last one. In both cases the process
// counts as starved until the next tick is on time.
func TestStarved(t *testing.T) {
	var w pauseDetector
	at := time.Hour
	w.tick(at)
	for _, c := range []struct {
		tick, look time.Duration
		want       bool
	}{
		{100 * ms, 10 * ms, false},
		{100 * ms, 150 * ms, false},
		{190 * ms, 10 * ms, false},
		{350 * ms, 10 * ms, true},
		{100 * ms, 10 * ms, false},
		{100 * ms, 250 * ms, true},
	} {
		at += c.tick
		w.tick(at)
		if got := w.gap(at+c.look) > starvedAfter; got != c.want {
			t.Errorf("%+v: %t", c, got)
		}
	}
}
