package stoatfake

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Fabric is a stand-in for the provider's fabric: it hands each packet, encapsulated, to
// an entry chosen at random.
type Fabric struct {
	conn    *net.UDPConn
	mu      sync.Mutex
	rnd     *rand.Rand
	entries []netip.AddrPort
}

// NewFabric returns a fabric that sends from its own socket.
func NewFabric(seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &Fabric{conn: conn, rnd: rand.New(rand.NewPCG(seed, 6))}, nil
}

// SetEntries replaces the entries that packets are handed to.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// Send hands one packet to a random entry.
func (f *Fabric) Send(packet []byte) {
	f.mu.Lock()
	if len(f.entries) == 0 {
		f.mu.Unlock()
		return
	}
	to := f.entries[f.rnd.IntN(len(f.entries))]
	f.mu.Unlock()
	_, _ = f.conn.WriteToUDPAddrPort(packet, to)
}

// Close releases the socket.
func (f *Fabric) Close() { _ = f.conn.Close() }
