package stoatfake

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoattunnel"
)

// Upstream is a stand-in for a server of a flow service: the network stack decapsulates,
// and a small TCP endpoint answers the caller directly. A segment for a connection that
// it does not know gets a reset, which is what a broken flow is.
type Upstream struct {
	conn    *net.UDPConn
	callers netip.AddrPort
	mu      sync.Mutex
	flows   map[stoatpacket.Tuple]uint32 // the next sequence number of each
	opened  time.Time                    // when it last accepted a flow
	unknown atomic.Int64
	silent  atomic.Bool
}

// NewUpstream opens the upstream's socket; answers go to callers.
func NewUpstream(group *errgroup.Group, callers netip.AddrPort) (*Upstream, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	u := &Upstream{conn: conn, callers: callers, flows: map[stoatpacket.Tuple]uint32{}}
	group.Go(u.run)
	return u, nil
}

// Addr is where entries send packets to.
func (u *Upstream) Addr() netip.AddrPort { return u.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// OpenFlows returns the number of open flows.
func (u *Upstream) OpenFlows() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flows)
}

// LastOpened returns when the last flow was accepted.
func (u *Upstream) LastOpened() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.opened
}

// SetSilent makes the upstream answer nothing.
func (u *Upstream) SetSilent(on bool) { u.silent.Store(on) }

// Close releases the socket.
func (u *Upstream) Close() { _ = u.conn.Close() }

func (u *Upstream) run() error {
	parser, buf := stoattunnel.NewParser(), make([]byte, 65536)
	var p stoatpacket.Packet
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		if parser.Parse(buf[:n], &p) != stoatpacket.DropNone || p.ICMP || u.silent.Load() {
			continue
		}
		if answer, ok := u.segment(&p); ok {
			if data, err := stoattunnel.BuildSegment(answer); err == nil {
				_, _ = u.conn.WriteToUDPAddrPort(data, u.callers)
			}
		}
	}
}

// segment answers one segment.
func (u *Upstream) segment(p *stoatpacket.Packet) (stoattunnel.Segment, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	answer := stoattunnel.Segment{Src: p.Tuple.Dst, Dst: p.Tuple.Src, ACK: true, Ack: p.Seq + uint32(p.Size)}
	next, known := u.flows[p.Tuple]
	switch {
	case p.Reset:
		delete(u.flows, p.Tuple)
		return answer, false
	case p.Opens:
		u.opened = time.Now()
		u.flows[p.Tuple] = p.Seq + 1
		answer.SYN, answer.Ack = true, p.Seq+1
	case !known:
		u.unknown.Add(1)
		answer = stoattunnel.Segment{Src: p.Tuple.Dst, Dst: p.Tuple.Src, RST: true, Seq: p.Ack}
	case p.Ends:
		delete(u.flows, p.Tuple)
		answer.FIN, answer.Ack = true, p.Seq+1
	case p.Seq == next:
		u.flows[p.Tuple] = next + uint32(p.Size)
	}
	return answer, true
}
