package stoatsoak

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
)

// proxy is a TCP proxy between one entry and the store or a seed. It injects network faults.
type proxy struct {
	h      *harness
	ln     net.Listener
	addr   netip.AddrPort
	target string
	// sender replaces senderHere in the exchange of loads: a seed takes loads only from the addresses of other seeds
	// in its settings, which are those of its own proxies.
	senderHere, sender []byte

	mu      sync.Mutex
	refuses bool // new connections are closed
	oneWay  bool // data towards the entry is dropped
	cut     bool // all data is dropped
	conns   map[net.Conn]*proxyConn
}

// proxyConn is the state of a proxied connection. A silent connection drops all data until it is closed.
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
		if n > 0 && !c.isSilent() && !p.drops(fromEntry) {
			_, _ = to.Write(p.translate(buf[:n], fromEntry))
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

// translate returns the data with the sender's address as the receiver knows it.
func (p *proxy) translate(data []byte, fromEntry bool) []byte {
	if !fromEntry || len(p.sender) == 0 || !bytes.HasPrefix(data, []byte("POST /v1/load?centre=")) {
		return data
	}
	return bytes.Replace(data, p.senderHere, p.sender, 1)
}

func (p *proxy) drops(fromEntry bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut || p.oneWay && !fromEntry
}

// isUsed reports whether the entry has a connection open.
func (p *proxy) isUsed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// setCut starts or stops dropping all data. Connections that lost data carry none afterwards either.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.silence()
}

// setOneWay starts or stops dropping the data towards the entry.
func (p *proxy) setOneWay(oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay = oneWay
}

// silence makes the open connections drop all data from now on. New connections are not affected.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// setRefuse starts or stops refusing connections. Open connections are closed at the start.
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
