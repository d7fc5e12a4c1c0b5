package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// arrive opens flows at random moments for as long as the experiment runs.
func (f *fleet) arrive() {
	f.q.after(time.Duration(f.rnd.ExpFloat64()/f.cfg.OpenRate*float64(time.Second)), func() {
		life := time.Duration(f.rnd.ExpFloat64() * float64(f.cfg.Flows) / f.cfg.OpenRate * float64(time.Second))
		f.openFlow(life)
		f.arrive()
	})
}

func (f *fleet) openFlow(life time.Duration) {
	f.conns++
	n := f.conns
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 22), byte(n >> 14), byte(n >> 6)}), uint16(1024+n&63))
	c := &conn{
		id: n, tuple: stoatpacket.Tuple{Src: src, Dst: vip, Protocol: stoatpaddle.ProtocolTCP},
		seq: f.rnd.Uint32(), end: f.q.now + life,
	}
	if f.split() {
		f.place(c)
	}
	f.live[n] = c
	f.syn(c)
}

// syn sends the opening packet, again if it got lost.
func (f *fleet) syn(c *conn) {
	if c.done || c.upstream != 0 {
		f.data(c)
		return
	}
	f.send(c, stoatpacket.Packet{Opens: true})
	f.q.after(2*clientDelay, func() {
		if c.upstream != 0 {
			f.data(c)
			return
		}
		f.q.after(synAgain, func() { f.syn(c) })
	})
}

// data sends a segment now and then until the flow ends.
func (f *fleet) data(c *conn) {
	if c.done {
		return
	}
	if f.q.now >= c.end {
		f.finish(c)
		return
	}
	c.seq += 100
	f.send(c, stoatpacket.Packet{Size: 100})
	next := time.Duration(float64(dataEvery) * (0.5 + f.rnd.Float64()))
	f.q.after(min(next, max(c.end-f.q.now, time.Millisecond)), func() { f.data(c) })
}

func (f *fleet) finish(c *conn) {
	f.send(c, stoatpacket.Packet{Ends: true})
	f.close(c)
}

func (f *fleet) close(c *conn) {
	if c.done {
		return
	}
	c.done = true
	delete(f.live, c.id)
	if c.upstream != 0 {
		f.open[c.upstream]--
		f.openNow--
	}
}

// sides of a cut network.
const (
	sideApart = 1 // data centre 0
	sideRest  = 2
)

func (f *fleet) sideOf(dc stoatpaddle.DataCentreID) int {
	if dc == centre(0) {
		return sideApart
	}
	return sideRest
}

// healTime is how long after a cut the entries' views may still differ.
const healTime = 5 * time.Second

// split tells whether the two sides may see the system differently.
func (f *fleet) split() bool { return f.cut || f.healed > 0 && f.q.now < f.healed+healTime }

// place puts a caller on one side of the cut. Half of the callers stay there until the
// views are one again; the others roam as soon as the network is whole.
func (f *fleet) place(c *conn) {
	c.side = f.randomSide()
	c.roams = f.rnd.IntN(2) == 0
}

// reaches tells whether the fabric may hand the flow's packets to the entry.
func (f *fleet) reaches(c *conn, e *entry) bool {
	if !f.split() || !f.cut && c.roams {
		return true
	}
	return c.side == f.sideOf(e.inst.DataCentre)
}

func (f *fleet) randomSide() int {
	return f.sideOf(centre(f.rnd.IntN(centreCount)))
}

// send hands a packet to a random entry that the fabric knows.
func (f *fleet) send(c *conn, p stoatpacket.Packet) {
	p.Tuple, p.Seq = c.tuple, c.seq
	var to []*entry
	for _, e := range f.entries {
		if !e.alive || e.leaving && f.q.now-e.since > fabricLag {
			continue
		}
		if !f.reaches(c, e) {
			continue
		}
		to = append(to, e)
	}
	if len(to) == 0 {
		return
	}
	e := to[f.rnd.IntN(len(to))]
	f.q.after(clientDelay, func() {
		if e.alive {
			f.naive(e, c, &p)
			f.handle(e, c, p, stoatflow.Header{}, netip.AddrPort{})
		}
	})
}

// handle has an entry decide and carries the decision out.
func (f *fleet) handle(e *entry, c *conn, p stoatpacket.Packet, h stoatflow.Header, from netip.AddrPort) {
	svc := e.view.FlowService(vip, stoatpaddle.ProtocolTCP)
	a := e.engine.Handle(f.now(), e.view, &stoatflow.Inbound{
		Packet: &p, Key: e.view.Seed.Hash(c.tuple), Service: svc, Header: h, From: from,
	})
	switch a.Verdict {
	case stoatflow.Forward:
		f.forward(e, c, &p, a.Upstream)
		f.tell(e, a, e.view.Seed.Hash(c.tuple))
	case stoatflow.Relay:
		to := f.byRelay[a.To]
		f.result.Relayed++
		f.q.after(f.delay(e, to), func() {
			if to.alive && f.reach(e, to) {
				f.handle(to, c, p, a.Header, e.inst.Relay)
			}
		})
	case stoatflow.Drop:
		f.result.Dropped++
	case stoatflow.Reset:
		if c.upstream != 0 && !c.done {
			f.breakFlow(c)
		}
	}
}

// tell carries a Known datagram.
func (f *fleet) tell(e *entry, a stoatflow.Action, k stoatpaddle.FlowHash) {
	if !a.NotifyAddr.IsValid() {
		return
	}
	to := f.byRelay[a.NotifyAddr]
	f.result.Notices++
	f.q.after(f.delay(e, to), func() {
		if to.alive && f.reach(e, to) {
			to.engine.ReceiveNotice(f.now(), to.view, stoatflow.Record{Key: k, Upstream: a.Upstream.Key})
		}
	})
}

// forward is what the upstream sees.
func (f *fleet) forward(e *entry, c *conn, p *stoatpacket.Packet, u *stoatview.Upstream) {
	if f.cut && f.sideOf(u.DataCentre) != f.sideOf(e.inst.DataCentre) {
		return
	}
	if c.done {
		return
	}
	switch {
	case c.upstream == 0 && p.Opens:
		c.upstream = u.Key
		f.open[u.Key]++
		f.openNow++
		if f.counting {
			f.result.Opened++
		}
		if _, leaving := f.instance[stoatpaddle.InstanceID(u.ID)]; leaving {
			f.result.LateOpenDelay = max(f.result.LateOpenDelay, f.q.now-f.leftAt(u.ID))
		}
	case c.upstream != u.Key && !c.broken:
		f.breakFlow(c)
	}
}

// parted tells whether the flow's caller and upstream are on two sides of the cut.
func (f *fleet) parted(c *conn) bool {
	if !f.cut {
		return false
	}
	return c.side != f.sideOf(f.centreOf(c.upstream))
}

func (f *fleet) centreOf(key stoatpaddle.UpstreamKey) stoatpaddle.DataCentreID {
	for _, u := range f.contract.Services[0].Upstreams {
		if stoatview.UpstreamKeyOf(service, u.ID) == key {
			return u.DataCentre
		}
	}
	return ""
}

// breakFlow ends a flow whose packet came to the wrong place; the upstream there resets it.
func (f *fleet) breakFlow(c *conn) {
	c.broken = true
	switch {
	case f.parted(c):
		f.result.BrokenByPartition++
	case c.roams:
		f.result.BrokenByRoaming++
	default:
		f.result.Broken++
	}
	f.close(c)
}

// naive is the baseline: each entry hashes over its own set and remembers what it saw.
func (f *fleet) naive(e *entry, c *conn, p *stoatpacket.Packet) {
	if c.naiveBad || c.done {
		return
	}
	set := e.view.FlowService(vip, stoatpaddle.ProtocolTCP).Set
	key, known := e.naive[c.id]
	if !known {
		u := set.Preferred(e.view.Seed.Hash(c.tuple))
		if u == nil {
			return
		}
		key = u.Key
		e.naive[c.id] = key
	}
	switch {
	case c.naive == 0 && p.Opens:
		c.naive = key
	case c.naive != 0 && c.naive != key:
		c.naiveBad = true
		if !f.parted(c) {
			f.result.NaiveBroken++
		}
	}
	if p.Ends {
		for _, o := range f.entries {
			delete(o.naive, c.id)
		}
	}
}
