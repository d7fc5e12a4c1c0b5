package stoatfake

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoattunnel"
)

// CallersConfig configures Callers.
type CallersConfig struct {
	Services        []netip.AddrPort // flows are distributed over them
	Flows           int              // kept open
	SegmentInterval time.Duration    // between segments of a flow
	ChurnRate       float64          // share of the flows that is closed and replaced per second
	Seed            uint64
	// OnBroken is called for each open flow that is reset, with the time when its last segment was first sent; nil
	// means no call. It must not call the Callers.
	OnBroken func(flow stoatpacket.Tuple, sent time.Time)
}

// FlowCounts is what the callers observed.
type FlowCounts struct {
	Open    int
	Opened  int
	Broken  int // reset while open
	Refused int // reset while opening
	Closed  int
}

// callerFlow is one TCP connection of a caller.
type callerFlow struct {
	tuple       stoatpacket.Tuple
	seq         uint32
	open        bool
	closing     bool
	awaitingAck bool
	// firstSent is when the segment that awaits its acknowledgement was first sent, and lastSent when it was
	// last sent.
	firstSent time.Time
	lastSent  time.Time
	payload   []byte // of each segment
}

// Callers is a stand-in for callers that keep flows open. A flow that is reset is replaced by a new one.
type Callers struct {
	cfg     CallersConfig
	conn    *net.UDPConn
	fabric  *Fabric
	mu      sync.Mutex
	rnd     *rand.Rand
	flows   map[stoatpacket.Tuple]*callerFlow
	slots   []*callerFlow // one flow each
	created uint32        // flows so far
	counts  FlowCounts
	done    chan struct{}
}

const (
	tickInterval    = 10 * time.Millisecond // between two parts of the flows that the callers process
	retransmitDelay = time.Second           // after which a segment without an answer is sent again
)

// NewCallers opens the callers' socket, at which answers arrive.
func NewCallers(group *errgroup.Group, fabric *Fabric, cfg CallersConfig) (*Callers, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(8 << 20)
	c := &Callers{
		cfg: cfg, conn: conn, fabric: fabric, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)),
		flows: map[stoatpacket.Tuple]*callerFlow{}, done: make(chan struct{}),
	}
	group.Go(c.receive)
	return c, nil
}

// Addr returns the address to which answers and resets to callers are sent.
func (c *Callers) Addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Start starts to open flows.
func (c *Callers) Start(group *errgroup.Group) { group.Go(c.run) }

// Close stops the callers.
func (c *Callers) Close() {
	close(c.done)
	_ = c.conn.Close()
}

// Counts returns what the callers observed so far.
func (c *Callers) Counts() FlowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	for _, f := range c.slots {
		if f.open {
			out.Open++
		}
	}
	return out
}

// Unanswered returns how many open flows await an answer to a segment that they first sent before that time.
// Only the answer shows whether a flow is broken, and it takes a second or more if a packet was lost.
func (c *Callers) Unanswered(before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, f := range c.slots {
		if f.open && f.awaitingAck && f.firstSent.Before(before) {
			n++
		}
	}
	return n
}

// newFlow returns a flow from a new address. c.mu must be held.
func (c *Callers) newFlow() *callerFlow {
	c.created++
	n := c.created
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 14), byte(n >> 6)}), uint16(1024+n&63))
	dst := c.cfg.Services[int(n)%len(c.cfg.Services)]
	f := &callerFlow{
		tuple: stoatpacket.Tuple{Src: src, Dst: dst, Protocol: stoatpaddle.ProtocolTCP},
		seq:   c.rnd.Uint32(), payload: []byte("pledge"),
	}
	c.flows[f.tuple] = f
	return f
}

// run processes each flow once per interval between segments, a part of the flows at each tick.
func (c *Callers) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.mu.Lock()
	for range c.cfg.Flows {
		c.slots = append(c.slots, c.newFlow())
	}
	c.mu.Unlock()
	parts := max(1, int(c.cfg.SegmentInterval/tickInterval))
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return nil
		case <-ticker.C:
		}
		for i := n % parts; i < len(c.slots); i += parts {
			if packet := c.nextPacket(i); packet != nil {
				c.fabric.Send(packet)
			}
		}
	}
}

// nextPacket returns the packet that the flow in slot i sends now, or nil.
func (c *Callers) nextPacket(i int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.slots[i]
	now := time.Now()
	if f.awaitingAck && now.Sub(f.lastSent) < retransmitDelay {
		return nil
	}
	s := stoattunnel.Segment{Src: f.tuple.Src, Dst: f.tuple.Dst, Seq: f.seq}
	switch {
	case !f.open:
		s.SYN = true
	case f.closing || c.rnd.Float64() < c.cfg.ChurnRate*c.cfg.SegmentInterval.Seconds():
		f.closing = true
		s.FIN, s.ACK = true, true
	default:
		s.ACK, s.Payload = true, f.payload
	}
	if !f.awaitingAck {
		f.firstSent = now
	}
	f.awaitingAck, f.lastSent = true, now
	data, err := stoattunnel.BuildSegment(s)
	if err != nil {
		return nil
	}
	return data
}

func (c *Callers) receive() error {
	parser, buf := stoattunnel.NewParser(), make([]byte, 65536)
	var p stoatpacket.Packet
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		if parser.Parse(buf[:n], &p) == stoatpacket.DropNone {
			if packet := c.handle(&p); packet != nil {
				c.fabric.Send(packet)
			}
		}
	}
}

// handle processes one packet and returns the acknowledgement that completes an opening, or nil.
func (c *Callers) handle(p *stoatpacket.Packet) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[stoatpacket.Tuple{Src: p.Tuple.Dst, Dst: p.Tuple.Src, Protocol: p.Tuple.Protocol}]
	if f == nil {
		return nil
	}
	switch {
	case p.Reset:
		c.handleReset(f)
	case f.closing:
		c.counts.Closed++
		c.replace(f)
	case !f.open && p.Ack == f.seq+1:
		f.open, f.awaitingAck = true, false
		f.seq++
		c.counts.Opened++
		data, err := stoattunnel.BuildSegment(stoattunnel.Segment{Src: f.tuple.Src, Dst: f.tuple.Dst, Seq: f.seq, ACK: true, Ack: 1})
		if err == nil {
			return data
		}
	case f.open && p.Ack == f.seq+uint32(len(f.payload)):
		f.seq = p.Ack
		f.awaitingAck = false
	}
	return nil
}

// handleReset counts a flow that was reset, and replaces it.
func (c *Callers) handleReset(f *callerFlow) {
	switch {
	case f.closing:
		c.counts.Closed++
	case f.open:
		c.counts.Broken++
		if c.cfg.OnBroken != nil {
			c.cfg.OnBroken(f.tuple, f.firstSent)
		}
	default:
		c.counts.Refused++
	}
	c.replace(f)
}

// replace opens a new flow in place of f.
func (c *Callers) replace(f *callerFlow) {
	delete(c.flows, f.tuple)
	fresh := c.newFlow()
	for i, o := range c.slots {
		if o == f {
			c.slots[i] = fresh
			return
		}
	}
}
