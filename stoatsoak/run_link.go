package stoatsoak

import (
	"net"
	"net/netip"
	"sync"
)

// link is the way from one entry to the store or to a seed.
type link struct {
	w    *world
	ln   net.Listener
	addr netip.AddrPort
	to   string

	mu     sync.Mutex
	refuse bool // new connections and those open are closed
	oneWay bool // nothing comes back to the entry
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

func (w *world) newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{w: w, ln: ln, to: to, addr: ln.Addr().(*net.TCPAddr).AddrPort(), conns: map[net.Conn]*carried{}}
	w.group.Go(p.accept)
	return p, nil
}

func (p *link) accept() error {
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
		out, err := net.Dial("tcp4", p.to)
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

func (p *link) carry(c *carried, from, to net.Conn, first bool) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.isMute() && (first || !p.isOneWay()) {
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

func (p *link) isOneWay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.oneWay
}

// setOneWay has nothing come back any more, or again.
func (p *link) setOneWay(oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay = oneWay
}

// silence makes the open connections carry nothing any more.
func (p *link) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.mute = true
		c.mu.Unlock()
	}
}

// setRefuse closes what is open and refuses what comes, or no more.
func (p *link) setRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
	if refuse {
		for in := range p.conns {
			_ = in.Close()
		}
	}
}

func (p *link) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for in := range p.conns {
		_ = in.Close()
	}
}
