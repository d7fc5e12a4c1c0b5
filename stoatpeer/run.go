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
	// silence is how long a connection may bring nothing: heartbeats come every half
	// second, so one that went silent is dropped although TCP still believes in it.
	silence   = 3 * time.Second
	queueSize = 512
)

// Handler takes what happens on the connections. Its methods must not block for long.
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
	// Partitioned tells that the network between this entry and the address is cut; tests set it.
	Partitioned func(id stoatpaddle.InstanceID) bool
}

// Transport holds the connections of one entry with its peers.
type Transport struct {
	cfg   Config
	ln    net.Listener
	group *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc

	mu    sync.Mutex
	links map[stoatpaddle.InstanceID]*link

	sent     atomic.Int64
	received atomic.Int64
}

// link is one connection after both hellos.
type link struct {
	id   stoatpaddle.InstanceID
	conn net.Conn
	out  chan []byte
	once sync.Once
	gone chan struct{}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.gone)
		_ = l.conn.Close()
	})
}

// New listens for peers.
func New(ctx context.Context, cfg Config) (*Transport, error) {
	ln, err := net.Listen("tcp", cfg.Addr.String())
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	t := &Transport{cfg: cfg, ln: ln, group: group, ctx: ctx, stop: stop, links: map[stoatpaddle.InstanceID]*link{}}
	group.Go(t.accept)
	return t, nil
}

// SetInstance changes what later hellos say of this entry.
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

// Connected tells whether there is a connection with the peer.
func (t *Transport) Connected(id stoatpaddle.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[id] != nil
}

// Close ends every connection and waits for the goroutines.
func (t *Transport) Close() {
	t.stop()
	_ = t.ln.Close()
	t.mu.Lock()
	for _, l := range t.links {
		l.close()
	}
	t.mu.Unlock()
	_ = t.group.Wait()
}

// Bytes returns the bytes of frames sent and received.
func (t *Transport) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }

func (t *Transport) accept() error {
	for {
		conn, err := t.ln.Accept()
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
	l := t.links[id]
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Send queues a message; without a connection it is dropped.
func (t *Transport) Send(to stoatpaddle.InstanceID, m stoatmessage.Message) {
	t.mu.Lock()
	l := t.links[to]
	t.mu.Unlock()
	if l == nil || t.severed(to) {
		return
	}
	frame, err := Encode(m)
	if err != nil {
		t.cfg.Log.Emit(EventMalformedFrame, stoatevent.F("peer", string(to)), stoatevent.F("cause", err.Error()))
		return
	}
	select {
	case l.out <- frame:
	default:
		t.cfg.Log.Emit(EventSlowPeer, stoatevent.F("peer", string(to)))
		l.close()
	}
}

func (t *Transport) severed(id stoatpaddle.InstanceID) bool {
	return t.cfg.Partitioned != nil && t.cfg.Partitioned(id)
}

// serve runs one connection to its end.
func (t *Transport) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	hello, r, ok := t.greet(conn)
	if !ok {
		return
	}
	l := &link{id: hello.Instance.ID, conn: conn, out: make(chan []byte, queueSize), gone: make(chan struct{})}
	if !t.add(l) {
		return
	}
	t.cfg.Handler.Connected(*hello)
	t.group.Go(func() error {
		t.write(l)
		return nil
	})
	t.read(l, r)
	l.close()
	if t.remove(l) {
		t.cfg.Handler.Disconnected(l.id)
	}
}

// greet exchanges hellos.
func (t *Transport) greet(conn net.Conn) (*stoatmessage.Hello, *bufio.Reader, bool) {
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
		t.malformed(conn, err)
		return nil, nil, false
	}
	hello, ok := m.(*stoatmessage.Hello)
	if !ok || hello.Cluster != own.Cluster || hello.Instance.ID == own.Instance.ID {
		t.cfg.Log.Emit(EventPeerRefused, stoatevent.F("address", conn.RemoteAddr().String()))
		return nil, nil, false
	}
	if t.severed(hello.Instance.ID) {
		return nil, nil, false
	}
	_ = conn.SetDeadline(time.Time{})
	return hello, r, true
}

func (t *Transport) malformed(conn net.Conn, err error) {
	// The end of a connection is no breach of the protocol.
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr) {
		return
	}
	t.cfg.Log.Emit(EventMalformedFrame, stoatevent.F("address", conn.RemoteAddr().String()), stoatevent.F("cause", err.Error()))
}

// add makes l the connection with its peer in place of an earlier one.
func (t *Transport) add(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	if old := t.links[l.id]; old != nil {
		old.close()
	}
	t.links[l.id] = l
	return true
}

func (t *Transport) remove(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.id] != l {
		return false
	}
	delete(t.links, l.id)
	return true
}

func (t *Transport) write(l *link) {
	for {
		select {
		case <-l.gone:
			return
		case frame := <-l.out:
			_ = l.conn.SetWriteDeadline(time.Now().Add(silence))
			n, err := l.conn.Write(frame)
			t.sent.Add(int64(n))
			if err != nil {
				l.close()
				return
			}
		}
	}
}

func (t *Transport) read(l *link, r *bufio.Reader) {
	counted := &stoatcount.Reader{R: r, Count: &t.received}
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(silence))
		m, err := Read(counted)
		if err != nil {
			t.malformed(l.conn, err)
			return
		}
		if t.severed(l.id) {
			return
		}
		t.cfg.Handler.Received(l.id, m)
	}
}
