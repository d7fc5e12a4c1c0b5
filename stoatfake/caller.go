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
	Services        []netip.AddrPort // flows are spread over them
	Flows           int              // kept open
	SegmentInterval time.Duration    // between segments of a flow
	ChurnRate       float64          // flows closed and opened anew, a second, of all
	Seed            uint64
}

// FlowCounts tells what callers saw.
type FlowCounts struct {
	Open    int
	Opened  int
	Broken  int // reset after it was open
	Refused int // reset while opening
	Closed  int
}

type callerFlow struct {
	tuple   stoatpacket.Tuple
	seq     uint32
	open    bool
	closing bool
	waiting bool // for an acknowledgment
	// asked is when what it waits for was first sent.
	asked   time.Time
	since   time.Time
	payload []byte
}

// Callers is a stand-in for callers that hold flows open; a flow that is reset is opened anew.
type Callers struct {
	cfg    CallersConfig
	conn   *net.UDPConn
	fabric *Fabric
	mu     sync.Mutex
	rnd    *rand.Rand
	flows  map[stoatpacket.Tuple]*callerFlow
	order  []*callerFlow
	next   uint32
	counts FlowCounts
	done   chan struct{}
}

// callerTick is how often the callers look at a part of their flows.
const (
	callerTick  = 10 * time.Millisecond
	callerAgain = time.Second // a segment without an answer is sent again
)

// NewCallers opens the callers' socket, where answers arrive.
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

// Addr is where answers and resets to callers are sent.
func (c *Callers) Addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Start begins to open flows.
func (c *Callers) Start(group *errgroup.Group) { group.Go(c.drive) }

// Close ends the callers.
func (c *Callers) Close() {
	close(c.done)
	_ = c.conn.Close()
}

// Counts returns what the callers saw so far.
func (c *Callers) Counts() FlowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	for _, f := range c.order {
		if f.open {
			out.Open++
		}
	}
	return out
}

// Unanswered returns how many open flows wait for what they first sent before that time: whether they
// are broken shows with the answer, a second and more later if a packet was lost.
func (c *Callers) Unanswered(before time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, f := range c.order {
		if f.open && f.waiting && f.asked.Before(before) {
			n++
		}
	}
	return n
}

// newFlow returns a flow from a fresh address; it is called under the lock.
func (c *Callers) newFlow() *callerFlow {
	c.next++
	n := c.next
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 14), byte(n >> 6)}), uint16(1024+n&63))
	dst := c.cfg.Services[int(n)%len(c.cfg.Services)]
	f := &callerFlow{
		tuple: stoatpacket.Tuple{Src: src, Dst: dst, Protocol: stoatpaddle.ProtocolTCP},
		seq:   c.rnd.Uint32(), payload: []byte("pledge"),
	}
	c.flows[f.tuple] = f
	return f
}

// drive looks at every flow once in Every, a part at each tick.
func (c *Callers) drive() error {
	ticker := time.NewTicker(callerTick)
	defer ticker.Stop()
	c.mu.Lock()
	for range c.cfg.Flows {
		c.order = append(c.order, c.newFlow())
	}
	c.mu.Unlock()
	parts := max(1, int(c.cfg.SegmentInterval/callerTick))
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return nil
		case <-ticker.C:
		}
		for i := n % parts; i < len(c.order); i += parts {
			if packet := c.act(i); packet != nil {
				c.fabric.Send(packet)
			}
		}
	}
}

// act returns the packet that flow i sends now.
func (c *Callers) act(i int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.order[i]
	now := time.Now()
	if f.waiting && now.Sub(f.since) < callerAgain {
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
	if !f.waiting {
		f.asked = now
	}
	f.waiting, f.since = true, now
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
			if packet := c.answer(&p); packet != nil {
				c.fabric.Send(packet)
			}
		}
	}
}

// answer takes one packet in and returns the acknowledgment that completes an opening.
func (c *Callers) answer(p *stoatpacket.Packet) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[stoatpacket.Tuple{Src: p.Tuple.Dst, Dst: p.Tuple.Src, Protocol: p.Tuple.Protocol}]
	if f == nil {
		return nil
	}
	switch {
	case p.Reset:
		c.reset(f)
	case f.closing:
		c.counts.Closed++
		c.replace(f)
	case !f.open && p.Ack == f.seq+1:
		f.open, f.waiting = true, false
		f.seq++
		c.counts.Opened++
		data, err := stoattunnel.BuildSegment(stoattunnel.Segment{Src: f.tuple.Src, Dst: f.tuple.Dst, Seq: f.seq, ACK: true, Ack: 1})
		if err == nil {
			return data
		}
	case f.open && p.Ack == f.seq+uint32(len(f.payload)):
		f.seq = p.Ack
		f.waiting = false
	}
	return nil
}

func (c *Callers) reset(f *callerFlow) {
	switch {
	case f.closing:
		c.counts.Closed++
	case f.open:
		c.counts.Broken++
	default:
		c.counts.Refused++
	}
	c.replace(f)
}

// replace opens a fresh flow in place of f.
func (c *Callers) replace(f *callerFlow) {
	delete(c.flows, f.tuple)
	fresh := c.newFlow()
	for i, o := range c.order {
		if o == f {
			c.order[i] = fresh
			return
		}
	}
}
