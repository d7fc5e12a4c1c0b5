package stoatedge

import (
	"net"
	"testing"
	"time"
)

// Packets come faster than they are read. While one waits, the socket does not count as empty;
// once all are read, and after a wait for the next one, it does.
func TestReaderKnowsWhenItIsBehind(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	out, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	send := func() {
		t.Helper()
		if _, err := out.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	r, err := newReader(conn)
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
	time.AfterFunc(20*time.Millisecond, send)
	if n, err := r.read(buf); n != 1 || err != nil || r.drained.Equal(time.Unix(1000, 0)) || r.waits {
		t.Fatal(n, err, r.drained)
	}
}
