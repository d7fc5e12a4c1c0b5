package stoatpeer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcount"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

const (
	dialTimeout  = time.Second
	helloTimeout = 2 * time.Second
	// idleTimeout is how long a connection may be without a message. Heartbeats come every half second, so
	// that a connection without any is closed although TCP still considers it open.
	idleTimeout = 3 * time.Second
	queueSize   = 512 // frames that wait for one peer
)

// Handler is told of connections and messages. Its methods must not block for long.
type Handler interface {
	Connected(h stoatmessage.Hello)
	Disconnected(id stoatpaddle.InstanceID)
	Received(from stoatpaddle.InstanceID, m stoatmessage.Message)
}

// Config configures a Transport.
type Config struct {
	Hello   stoatmessage.Hello
	Addr    netip.AddrPort
	Handler Handler
	Log     stoatevent.Sink
	// Partitioned reports whether the network between this entry and the instance counts as cut. It is for
	// tests.
	Partitioned func(id stoatpaddle.InstanceID) bool
}

// Transport manages the connections of one entry with its peers.
type Transport struct {
	cfg      Config
	listener net.Listener
	group    *errgroup.Group
	ctx      context.Context
	stop     context.CancelFunc

	mu    sync.Mutex
	conns map[stoatpaddle.InstanceID]*peerConn

	sent     atomic.Int64
	received atomic.Int64
}

// peerConn is one connection after both hellos.
type peerConn struct {
	id     stoatpaddle.InstanceID
	conn   net.Conn
	queue  chan []byte
	once   sync.Once
	closed chan struct{}
}

func (c *peerConn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

// New starts to listen for peers.
func New(ctx context.Context, cfg Config) (*Transport, error) {
	ln, err := net.Listen("tcp", cfg.Addr.String())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	t := &Transport{cfg: cfg, listener: ln, group: group, ctx: ctx, stop: stop, conns: map[stoatpaddle.InstanceID]*peerConn{}}
	group.Go(t.accept)
	return t, nil
}

// SetInstance replaces the instance that later hellos carry.
func (t *Transport) SetInstance(i stoatpaddle.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Hello.Instance = i
}

func (t *Transport) hello() stoatmessage.Hello {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Hello
}

// Connected reports whether there is a connection with the peer.
func (t *Transport) Connected(id stoatpaddle.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns[id] != nil
}

// Close closes every connection and waits for the goroutines.
func (t *Transport) Close() {
	t.stop()
	_ = t.listener.Close()
	t.mu.Lock()
	for _, c := range t.conns {
		c.close()
	}
	t.mu.Unlock()
	_ = t.group.Wait()
}

// Bytes returns the bytes of frames sent and received.
func (t *Transport) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }

func (t *Transport) accept() error {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			continue
		}
		t.group.Go(func() error {
			t.serve(conn)
			return nil
		})
	}
}

// Dial connects to a peer in the background.
func (t *Transport) Dial(addr netip.AddrPort) {
	t.group.Go(func() error {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(t.ctx, "tcp", addr.String())
		if err == nil {
			t.serve(conn)
		}
		return nil
	})
}

// Disconnect closes the connection with a peer.
func (t *Transport) Disconnect(id stoatpaddle.InstanceID) {
	t.mu.Lock()
	c := t.conns[id]
	t.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// Send queues a message for a peer. Without a connection, the message is dropped. If the queue is full, the
// connection is closed.
func (t *Transport) Send(to stoatpaddle.InstanceID, m stoatmessage.Message) {
	t.mu.Lock()
	c := t.conns[to]
	t.mu.Unlock()
	if c == nil || t.partitioned(to) {
		return
	}
	frame, err := Encode(m)
	if err != nil {
		t.cfg.Log.Emit(EventMalformedFrame, stoatevent.F("peer", string(to)), stoatevent.F("cause", err.Error()))
		return
	}
	select {
	case c.queue <- frame:
	default:
		t.cfg.Log.Emit(EventSlowPeer, stoatevent.F("peer", string(to)))
		c.close()
	}
}

func (t *Transport) partitioned(id stoatpaddle.InstanceID) bool {
	return t.cfg.Partitioned != nil && t.cfg.Partitioned(id)
}

// serve runs one connection to its end.
func (t *Transport) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	hello, r, ok := t.handshake(conn)
	if !ok {
		return
	}
	c := &peerConn{id: hello.Instance.ID, conn: conn, queue: make(chan []byte, queueSize), closed: make(chan struct{})}
	if !t.add(c) {
		return
	}
	t.cfg.Handler.Connected(*hello)
	t.group.Go(func() error {
		t.write(c)
		return nil
	})
	t.read(c, r)
	c.close()
	if t.remove(c) {
		t.cfg.Handler.Disconnected(c.id)
	}
}

// handshake exchanges hellos and checks the one of the peer.
func (t *Transport) handshake(conn net.Conn) (*stoatmessage.Hello, *bufio.Reader, bool) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	own := t.hello()
	frame, err := Encode(&own)
	if err != nil {
		return nil, nil, false
	}
	if _, err := conn.Write(frame); err != nil {
		return nil, nil, false
	}
	r := bufio.NewReader(conn)
	m, err := Read(r)
	if err != nil {
		t.reportMalformed(conn, err)
		return nil, nil, false
	}
	hello, ok := m.(*stoatmessage.Hello)
	if !ok || hello.Cluster != own.Cluster || hello.Instance.ID == own.Instance.ID {
		t.cfg.Log.Emit(EventPeerRefused, stoatevent.F("address", conn.RemoteAddr().String()))
		return nil, nil, false
	}
	if t.partitioned(hello.Instance.ID) {
		return nil, nil, false
	}
	_ = conn.SetDeadline(time.Time{})
	return hello, r, true
}

func (t *Transport) reportMalformed(conn net.Conn, err error) {
	// The end of a connection is not a violation of the protocol.
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr) {
		return
	}
	t.cfg.Log.Emit(EventMalformedFrame, stoatevent.F("address", conn.RemoteAddr().String()), stoatevent.F("cause", err.Error()))
}

// add registers c as the connection with its peer, in place of an earlier one. It returns false if the
// transport is closed.
func (t *Transport) add(c *peerConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	if old := t.conns[c.id]; old != nil {
		old.close()
	}
	t.conns[c.id] = c
	return true
}

// remove unregisters c, or returns false if a later connection has replaced it.
func (t *Transport) remove(c *peerConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[c.id] != c {
		return false
	}
	delete(t.conns, c.id)
	return true
}

func (t *Transport) write(c *peerConn) {
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.queue:
			_ = c.conn.SetWriteDeadline(time.Now().Add(idleTimeout))
			n, err := c.conn.Write(frame)
			t.sent.Add(int64(n))
			if err != nil {
				c.close()
				return
			}
		}
	}
}

func (t *Transport) read(c *peerConn, r *bufio.Reader) {
	counter := &stoatcount.Reader{R: r, Count: &t.received}
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		m, err := Read(counter)
		if err != nil {
			t.reportMalformed(c.conn, err)
			return
		}
		if t.partitioned(c.id) {
			return
		}
		t.cfg.Handler.Received(c.id, m)
	}
}
