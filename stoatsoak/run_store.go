package stoatsoak

import (
	"net"
	"net/netip"
	"sync"
)

// storeProxy stands between one entry and the store.
type storeProxy struct {
	w    *world
	ln   net.Listener
	addr netip.AddrPort

	mu     sync.Mutex
	refuse bool // new connections and those open are closed
	conns  map[net.Conn]*carried
}

// carried is one connection; one that is mute carries nothing any more, for good.
type carried struct {
	mu   sync.Mutex
	mute bool
}

func (c *carried) isMute() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mute
}

func newStoreProxy(w *world) (*storeProxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{w: w, ln: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort(), conns: map[net.Conn]*carried{}}
	w.group.Go(p.accept)
	return p, nil
}

func (p *storeProxy) accept() error {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return nil
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp4", p.w.storeAddr)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &carried{}
		p.mu.Lock()
		p.conns[in] = c
		p.mu.Unlock()
		p.w.group.Go(func() error { return p.carry(c, in, out, true) })
		p.w.group.Go(func() error { return p.carry(c, out, in, false) })
	}
}

func (p *storeProxy) carry(c *carried, from, to net.Conn, first bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.isMute() {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	if first {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}
	return nil
}

// silence makes the open connections carry nothing any more.
func (p *storeProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.mute = true
		c.mu.Unlock()
	}
}

// setRefuse closes what is open and refuses what comes, or no more.
func (p *storeProxy) setRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
	if refuse {
		for in := range p.conns {
			_ = in.Close()
		}
	}
}

func (p *storeProxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for in := range p.conns {
		_ = in.Close()
	}
}
