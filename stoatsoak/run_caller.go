package stoatsoak

import (
	"errors"
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

// openRetryDelays and the constants below make callers behave as the user documentation describes.
var openRetryDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond}

const (
	openTimeout          = 1400 * time.Millisecond
	firstRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay   = 1600 * time.Millisecond
	requestDeadline      = 3 * time.Second
	targetLatency        = 400 * time.Millisecond
	maxAttempts          = 3
	partSize             = 1000 // bytes per part of a request
)

// attemptError is the reason why an attempt of a request failed.
type attemptError string

// Error returns the reason.
func (e attemptError) Error() string { return string(e) }

// The reasons why an attempt fails.
const (
	errRefused attemptError = "refused"
	errTimeout attemptError = "silent"
	errReset   attemptError = "cut"
	errNotRun  attemptError = "not run"
)

// caller is a fake caller with one address. Its flows differ in their ports, which exist only in the packets,
// and share one socket.
type caller struct {
	h        *harness
	addr     netip.Addr
	centre   string // empty if its packets go to entries of all data centres
	conn     *net.UDPConn
	mu       sync.Mutex
	flows    map[uint16]*flow
	lastPort uint16
}

// flow is the caller's side of a flow.
type flow struct {
	c        *caller
	tuple    [2]netip.AddrPort // caller, route
	segments chan platform.Segment
	cookie   stoatpaddle.UpstreamKey
	seq, ack uint32
	entry    *entry // set for a probe, whose packets all go to this entry
}

func (h *harness) newCaller(n int) (*caller, error) {
	addr := netip.AddrFrom4([4]byte{127, h.subnet, 200, byte(n + 1)})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, h.port)))
	if err != nil {
		return nil, err
	}
	c := &caller{h: h, addr: addr, conn: conn, flows: map[uint16]*flow{}, lastPort: 20000}
	h.mu.Lock()
	h.callerConns = append(h.callerConns, conn)
	h.mu.Unlock()
	h.group.Go(c.receive)
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
		case f.segments <- s:
		default: // Packets that the flow is too slow to read are dropped, as by a socket.
		}
	}
}

func (c *caller) newFlow(to netip.AddrPort, e *entry) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPort++
	if c.lastPort < 20000 {
		c.lastPort = 20000
	}
	f := &flow{
		c: c, tuple: [2]netip.AddrPort{netip.AddrPortFrom(c.addr, c.lastPort), to}, segments: make(chan platform.Segment, 16),
		seq: c.h.random(), entry: e,
	}
	c.flows[c.lastPort] = f
	return f
}

func (f *flow) remove() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.tuple[0].Port())
}

func (f *flow) send(s platform.Segment) {
	s.Src, s.Dst, s.Cookie = f.tuple[0], f.tuple[1], f.cookie
	f.c.h.forward(f, platform.AppendSegment(nil, &s))
}

// wait returns the next packet, or false if none arrives within d or the run ends.
func (f *flow) wait(d time.Duration) (platform.Segment, bool) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case s := <-f.segments:
		return s, true
	case <-t.C:
	case <-f.c.h.ctx.Done():
	}
	return platform.Segment{}, false
}

// open performs the handshake. Its errors are of type attemptError.
func (f *flow) open() error {
	start := f.c.h.now()
	nextSend := start
	for copies := uint32(0); ; {
		now := f.c.h.now()
		if now >= nextSend && int(copies) <= len(openRetryDelays) {
			f.send(platform.Segment{Opens: true, Seq: f.seq, Ack: copies})
			if int(copies) < len(openRetryDelays) {
				nextSend += openRetryDelays[copies]
			}
			copies++
		}
		end := start + openTimeout
		if int(copies) <= len(openRetryDelays) {
			end = min(end, nextSend)
		}
		s, received := f.wait(end - now)
		switch {
		case received && s.Resets:
			return errRefused
		case received && s.Opens && s.Acks:
			f.cookie, f.ack = s.Cookie, s.Seq+1
			f.seq++
			f.send(platform.Segment{Acks: true, Seq: f.seq, Ack: f.ack})
			f.c.h.check.flowOpened()
			return nil
		case f.c.h.now()-start >= openTimeout || f.c.h.ctx.Err() != nil:
			return errTimeout
		}
	}
}

// request sends a request and waits for its answer. The result ended tells whether the upstream closed the
// flow. The errors are of type attemptError.
func (f *flow) request(typ *requestType, id string, until time.Duration) (ended bool, err error) {
	firstSeq := f.seq
	sendAll := func() {
		for n := range typ.parts {
			head := fmt.Sprintf("%s %s %s %t %d %d ", id, typ.name, typ.service, typ.repeatable, n, typ.parts)
			data := head + strings.Repeat("x", partSize-len(head))
			f.send(platform.Segment{Acks: true, Seq: firstSeq + uint32(n)*partSize, Ack: f.ack, Data: []byte(data)})
		}
	}
	endSeq := firstSeq + uint32(typ.parts)*partSize
	retransmitDelay := firstRetransmitDelay
	nextSend := f.c.h.now()
	for {
		now := f.c.h.now()
		if now >= until || f.c.h.ctx.Err() != nil {
			return false, errTimeout
		}
		if now >= nextSend {
			sendAll()
			nextSend = now + retransmitDelay
			retransmitDelay = min(maxRetransmitDelay, 2*retransmitDelay)
		}
		s, received := f.wait(min(nextSend, until) - now)
		switch {
		case !received:
		case s.Resets:
			f.checkReset(&s)
			return false, errReset
		case len(s.Data) > 0 && s.Ack == endSeq:
			got, rest, _ := strings.Cut(string(s.Data), " ")
			f.c.h.check.gotAnswer(f.c.h.now(), id, got)
			f.seq, f.ack, f.cookie = endSeq, s.Seq+uint32(len(s.Data)), s.Cookie
			f.send(platform.Segment{Acks: true, Seq: f.seq, Ack: f.ack, Ends: s.Ends})
			if rest == notRunAnswer {
				return s.Ends, errNotRun
			}
			return s.Ends, nil
		}
	}
}

// checkReset reports a reset by an entry to the checker if the flow's upstream is alive. A reset by an upstream
// has a checksum and is no breach.
func (f *flow) checkReset(s *platform.Segment) {
	if s.HasChecksum {
		return
	}
	if u := f.c.h.upstreamOf(f); u != nil {
		f.c.h.check.flowReset(f.c.h.now(), f.tuple[0].String()+">"+f.tuple[1].String(), u.id, u.centre == f.c.centre)
	}
}

func (f *flow) close() {
	f.send(platform.Segment{Acks: true, Ends: true, Seq: f.seq, Ack: f.ack})
	f.remove()
}

// requestType is a type of request that callers send.
type requestType struct {
	name       string
	service    string
	listen     netip.AddrPort
	repeatable bool
	reusesFlow bool // a caller sends many requests on one flow
	parts      int
	interval   time.Duration // mean pause of a caller between two requests
}

// request performs a request, including retries. It uses the given open flow first, if it is not nil, and returns
// the flow that is open afterwards, or nil.
func (c *caller) request(typ *requestType, open *flow) *flow {
	start := c.h.now()
	id := "r" + strconv.FormatUint(c.h.lastRequestID.Add(1), 10)
	for attempt := range maxAttempts {
		f, attemptID := open, id+"."+strconv.Itoa(attempt)
		open = nil
		if f == nil {
			f = c.newFlow(typ.listen, nil)
			sent := c.h.now()
			if err := f.open(); err != nil {
				f.remove()
				c.reportUnopened(err, typ, attemptID, sent)
				if c.h.now()-start >= requestDeadline || c.h.ctx.Err() != nil {
					break
				}
				continue // No flow was opened, so a request of any type may be retried.
			}
		}
		sent := c.h.now()
		ended, err := f.request(typ, attemptID, start+requestDeadline)
		if err == nil {
			c.recordResult(typ, start, true)
			if ended || !typ.reusesFlow {
				if !ended {
					f.close()
				}
				f.remove()
				return nil
			}
			return f
		}
		if errors.Is(err, errNotRun) {
			c.h.check.requestRefused(c.h.now(), sent, attemptID, true)
			f.close()
		}
		f.remove()
		if !typ.repeatable && !errors.Is(err, errNotRun) || c.h.now()-start >= requestDeadline {
			break
		}
	}
	c.recordResult(typ, start, false)
	return nil
}

// reportUnopened reports to the checker that a flow did not open.
func (c *caller) reportUnopened(err error, typ *requestType, id string, sent time.Duration) {
	switch {
	case c.h.ctx.Err() != nil:
	case errors.Is(err, errRefused):
		c.h.check.requestRefused(c.h.now(), sent, id, false)
	default:
		c.h.check.openingSilent(c.h.now(), sent, typ.name)
	}
}

func (c *caller) recordResult(typ *requestType, start time.Duration, served bool) {
	if c.h.ctx.Err() == nil {
		c.h.check.requestDone(c.h.now(), start, typ.name, served, c.h.now()-start > targetLatency)
	}
}

// run sends requests until the run ends. It closes a reused flow now and then.
func (c *caller) run(typ *requestType) error {
	var open *flow
	for n := 1; c.h.sleep(c.h.jitter(typ.interval)); n++ {
		open = c.request(typ, open)
		if open != nil && n%20 == 0 {
			open.close()
			open = nil
		}
	}
	return nil
}
