package stoatedge

import (
	"context"
	"encoding/hex"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatecho"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
	"github.com/stoatpaddle/stoatpaddle/stoatsetting"
	"github.com/stoatpaddle/stoatpaddle/stoattree"
)

// Guards against a flow that is open twice (review/2): its opening waited in the socket of an entry that did not run, a
// copy opened the flow through another entry meanwhile, and the first one is placed when the entry runs again.
func TestOpeningsThatWaitedAreNotPlaced(t *testing.T) {
	conn, out := udpPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &Edge{
		engine: stoatecho.New(stoatecho.Config{Start: clock()}), verifier: stoatecho.NewVerifier(), log: newEventLog(io.Discard, stoatsetting.Settings{}),
		conn: conn, ctx: ctx, ownAddr: netip.MustParseAddr("10.0.0.1"), relay: newRelayState(stoattree.Config{}),
	}
	defer e.log.close()
	e.table.Store(&stoatroute.Table{})
	var err error
	if e.reader, err = newReader(conn, func() time.Duration { return 3500 * ms }, func(time.Time) bool { return false }); err != nil {
		t.Fatal(err)
	}
	e.reader.empty = true // until the entry stopped running
	syn, err := hex.DecodeString(strings.ReplaceAll("10 00 00 00 00 bb 01 41 9c 01 00 12 c6 07 00 40 64 00 00 44 33 22 11 00 00 00 00 d5 c3 b2 a1", " ", ""))
	if err != nil || len(syn) != platform.HeaderSize {
		t.Fatal(len(syn), err)
	}
	ack := append([]byte{64}, syn[1:]...)
	for _, b := range [][]byte{syn, ack} {
		if _, err := out.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan error)
	go func() { done <- e.handleTraffic() }()
	held := func() int {
		e.engineMu.Lock()
		defer e.engineMu.Unlock()
		return len(e.held.Take())
	}
	for end := time.Now().Add(20 * time.Second); held() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the packet of an open flow is not handled")
		}
	}
	if n := e.counts.dropped[stoatpacket.DropStale].Load(); n != 1 {
		t.Error(n, "openings were dropped as stale")
	}
	cancel()
	_ = conn.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
