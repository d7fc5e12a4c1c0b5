package stoatsoak

import (
	"net"
	"net/netip"
	"sync"
)

// proxy is the way from one entry to the store or to a seed.
type proxy struct {
	h      *harness
	ln     net.Listener
	addr   netip.AddrPort
	target string

	mu      sync.Mutex
	refuses bool // new connections and those open are closed
	oneWay  bool // nothing comes back to the entry
	conns   map[net.Conn]*proxyConn
}

// proxyConn is one connection; one that is mute carries nothing any more, for good.
type proxyConn struct {
	mu     sync.Mutex
	silent bool
}

func (c *proxyConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (h *harness) newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{h: h, ln: ln, target: to, addr: ln.Addr().(*net.TCPAddr).AddrPort(), conns: map[net.Conn]*proxyConn{}}
	h.group.Go(p.accept)
	return p, nil
}

func (p *proxy) accept() error {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return nil
		}
		p.mu.Lock()
		refuse := p.refuses
		p.mu.Unlock()
		if refuse {
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxyConn{}
		p.mu.Lock()
		p.conns[in] = c
		p.mu.Unlock()
		p.h.group.Go(func() error { return p.forward(c, in, out, true) })
		p.h.group.Go(func() error { return p.forward(c, out, in, false) })
	}
}

func (p *proxy) forward(c *proxyConn, from, to net.Conn, fromEntry bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.isSilent() && (fromEntry || !p.isOneWay()) {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	if fromEntry {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}
	return nil
}

func (p *proxy) isOneWay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.oneWay
}

// setOneWay has nothing come back any more, or again.
func (p *proxy) setOneWay(oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay = oneWay
}

// silence makes the open connections carry nothing any more.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// setRefuse closes what is open and refuses what comes, or no more.
func (p *proxy) setRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = refuse
	if refuse {
		for in := range p.conns {
			_ = in.Close()
		}
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for in := range p.conns {
		_ = in.Close()
	}
}
