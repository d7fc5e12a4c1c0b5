package stoatsoak

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
)

// What callers do, as the users' pages say it.
var openAgain = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}

const (
	openWithin  = 1400 * time.Millisecond
	repeatFirst = 200 * time.Millisecond
	repeatMost  = 1600 * time.Millisecond
	deadline    = 3 * time.Second
	aim         = 400 * time.Millisecond
	tries       = 3
	partSize    = 1000 // bytes
)

// tryEnd is how a try that was not served ended.
type tryEnd string

// Error names it.
func (e tryEnd) Error() string { return string(e) }

// The ends of a try.
const (
	errRefused tryEnd = "refused"
	errSilent  tryEnd = "silent"
	errCut     tryEnd = "cut"
)

// caller is one address; its flows have ports of their own and share a socket.
type caller struct {
	w     *world
	addr  netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
}

// flow is one flow at its caller.
type flow struct {
	c        *caller
	tuple    [2]netip.AddrPort // caller, route
	in       chan platform.Segment
	cookie   stoatpaddle.UpstreamKey
	seq, ack uint32
	entry    *entry // of a look: packets go there and nowhere else
}

func (w *world) newCaller(n int) (*caller, error) {
	addr := netip.AddrFrom4([4]byte{127, w.net, 200, byte(n + 1)})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.port)))
	if err != nil {
		return nil, err
	}
	c := &caller{w: w, addr: addr, conn: conn, flows: map[uint16]*flow{}, port: 20000}
	w.mu.Lock()
	w.sockets = append(w.sockets, conn)
	w.mu.Unlock()
	w.group.Go(c.receive)
	return c, nil
}

func (c *caller) receive() error {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return nil
		}
		var s platform.Segment
		if !platform.DecodeSegment(append([]byte(nil), buf[:n]...), &s) {
			continue
		}
		c.mu.Lock()
		f := c.flows[s.Dst.Port()]
		c.mu.Unlock()
		if f == nil || s.Src != f.tuple[1] {
			continue
		}
		select {
		case f.in <- s:
		default: // a caller that does not keep up loses packets, as a socket does
		}
	}
}

func (c *caller) newFlow(to netip.AddrPort, e *entry) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	if c.port < 20000 {
		c.port = 20000
	}
	f := &flow{
		c: c, tuple: [2]netip.AddrPort{netip.AddrPortFrom(c.addr, c.port), to}, in: make(chan platform.Segment, 16),
		seq: c.w.random(), entry: e,
	}
	c.flows[c.port] = f
	return f
}

func (f *flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.tuple[0].Port())
}

func (f *flow) send(s platform.Segment) {
	s.Src, s.Dst, s.Cookie = f.tuple[0], f.tuple[1], f.cookie
	f.c.w.forward(f, platform.AppendSegment(nil, &s))
}

// wait returns the next packet, or false when the time has passed or the run ends.
func (f *flow) wait(d time.Duration) (platform.Segment, bool) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case s := <-f.in:
		return s, true
	case <-t.C:
	case <-f.c.w.ctx.Done():
	}
	return platform.Segment{}, false
}

// open does the handshake.
func (f *flow) open() error {
	began := f.c.w.now()
	next := began
	for copies := uint32(0); ; {
		now := f.c.w.now()
		if now >= next && int(copies) <= len(openAgain) {
			f.send(platform.Segment{Opens: true, Seq: f.seq, Ack: copies})
			if int(copies) < len(openAgain) {
				next += openAgain[copies]
			}
			copies++
		}
		end := began + openWithin
		if int(copies) <= len(openAgain) {
			end = min(end, next)
		}
		s, came := f.wait(end - now)
		switch {
		case came && s.Resets:
			return errRefused
		case came && s.Opens && s.Acks:
			f.cookie, f.ack = s.Cookie, s.Seq+1
			f.seq++
			f.send(platform.Segment{Acks: true, Seq: f.seq, Ack: f.ack})
			f.c.w.check.opened()
			return nil
		case f.c.w.now()-began >= openWithin || f.c.w.ctx.Err() != nil:
			return errSilent
		}
	}
}

// request sends one and waits for its answer; ended tells that the upstream closed the flow.
func (f *flow) request(k *kind, id string, until time.Duration) (ended bool, err error) {
	first := f.seq
	sendAll := func() {
		for n := range k.parts {
			head := fmt.Sprintf("%s %s %s %t %d %d ", id, k.name, k.service, k.repeatable, n, k.parts)
			data := head + strings.Repeat("x", partSize-len(head))
			f.send(platform.Segment{Acks: true, Seq: first + uint32(n)*partSize, Ack: f.ack, Data: []byte(data)})
		}
	}
	end := first + uint32(k.parts)*partSize
	again := repeatFirst
	next := f.c.w.now()
	for {
		now := f.c.w.now()
		if now >= until || f.c.w.ctx.Err() != nil {
			return false, errSilent
		}
		if now >= next {
			sendAll()
			next = now + again
			again = min(repeatMost, 2*again)
		}
		s, came := f.wait(min(next, until) - now)
		switch {
		case !came:
		case s.Resets:
			f.cut(&s)
			return false, errCut
		case len(s.Data) > 0 && s.Ack == end:
			got, _, _ := strings.Cut(string(s.Data), " ")
			f.c.w.check.answered(f.c.w.now(), id, got)
			f.seq, f.ack, f.cookie = end, s.Seq+uint32(len(s.Data)), s.Cookie
			f.send(platform.Segment{Acks: true, Seq: f.seq, Ack: f.ack, Ends: s.Ends})
			return s.Ends, nil
		}
	}
}

// cut looks at a reset: an entry's is a breach while the flow's upstream lives.
func (f *flow) cut(s *platform.Segment) {
	if s.HasChecksum {
		return
	}
	if u := f.c.w.holder(f); u != nil {
		f.c.w.check.wasReset(f.c.w.now(), f.tuple[0].String()+">"+f.tuple[1].String(), u.id)
	}
}

func (f *flow) close() {
	f.send(platform.Segment{Acks: true, Ends: true, Seq: f.seq, Ack: f.ack})
	f.forget()
}

// kind is one kind of request.
type kind struct {
	name       string
	service    string
	listen     netip.AddrPort
	repeatable bool
	long       bool // flows stay open for many requests
	parts      int
	every      time.Duration // between two requests of one caller
}

// ask serves one request to its end, with retries; held is an open flow, or nil, and what is
// left open is returned.
func (c *caller) ask(k *kind, held *flow) *flow {
	began := c.w.now()
	id := "r" + strconv.FormatUint(c.w.ids.Add(1), 10)
	for try := range tries {
		f := held
		held = nil
		if f == nil {
			f = c.newFlow(k.listen, nil)
			if err := f.open(); err != nil {
				f.forget()
				if c.w.now()-began >= deadline || c.w.ctx.Err() != nil {
					break
				}
				continue // it never opened: every kind may be tried again
			}
		}
		ended, err := f.request(k, id+"."+strconv.Itoa(try), began+deadline)
		if err == nil {
			c.done(k, began, true)
			if ended || !k.long {
				if !ended {
					f.close()
				}
				f.forget()
				return nil
			}
			return f
		}
		f.forget()
		if !k.repeatable || c.w.now()-began >= deadline {
			break
		}
	}
	c.done(k, began, false)
	return nil
}

func (c *caller) done(k *kind, began time.Duration, served bool) {
	if c.w.ctx.Err() == nil {
		c.w.check.tried(c.w.now(), began, k.name, served, c.w.now()-began > aim)
	}
}

// run asks until the run ends; a long flow is closed now and then.
func (c *caller) run(k *kind) error {
	var held *flow
	for n := 1; c.w.pause(c.w.jitter(k.every)); n++ {
		held = c.ask(k, held)
		if held != nil && n%20 == 0 {
			held.close()
			held = nil
		}
	}
	return nil
}
