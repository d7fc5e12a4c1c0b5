package stoatmeasure

import (
	"net/netip"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
	"github.com/stoatpaddle/stoatpaddle/stoatpacket"
	"github.com/stoatpaddle/stoatpaddle/stoatview"
)

// scheduleArrivals opens flows at random times for as long as the experiment runs.
func (f *fleet) scheduleArrivals() {
	f.q.after(time.Duration(f.rnd.ExpFloat64()/f.cfg.OpenRate*float64(time.Second)), func() {
		lifetime := time.Duration(f.rnd.ExpFloat64() * float64(f.cfg.Flows) / f.cfg.OpenRate * float64(time.Second))
		f.openFlow(lifetime)
		f.scheduleArrivals()
	})
}

// openFlow opens a flow that its caller ends after the given lifetime.
func (f *fleet) openFlow(lifetime time.Duration) {
	f.lastConnID++
	n := f.lastConnID
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 22), byte(n >> 14), byte(n >> 6)}), uint16(1024+n&63))
	c := &conn{
		id: n, tuple: stoatpacket.Tuple{Src: src, Dst: vip, Protocol: stoatpaddle.ProtocolTCP},
		seq: f.rnd.Uint32(), end: f.q.now + lifetime,
	}
	if f.viewsMayDiffer() {
		f.assignSide(c)
	}
	f.live[n] = c
	f.sendSYN(c)
}

// sendSYN sends the opening packet, and repeats it until an upstream accepts the flow.
func (f *fleet) sendSYN(c *conn) {
	if c.done || c.upstream != 0 {
		f.sendData(c)
		return
	}
	f.send(c, stoatpacket.Packet{Opens: true})
	f.q.after(2*clientDelay, func() {
		if c.upstream != 0 {
			f.sendData(c)
			return
		}
		f.q.after(synTimeout, func() { f.sendSYN(c) })
	})
}

// sendData sends segments at random intervals until the flow ends.
func (f *fleet) sendData(c *conn) {
	if c.done {
		return
	}
	if f.q.now >= c.end {
		f.endFlow(c)
		return
	}
	c.seq += 100
	f.send(c, stoatpacket.Packet{Size: 100})
	next := time.Duration(float64(dataInterval) * (0.5 + f.rnd.Float64()))
	f.q.after(min(next, max(c.end-f.q.now, time.Millisecond)), func() { f.sendData(c) })
}

// endFlow ends a flow from its caller's side.
func (f *fleet) endFlow(c *conn) {
	f.send(c, stoatpacket.Packet{Ends: true})
	f.removeFlow(c)
}

// removeFlow takes a flow out of the counts of open ones.
func (f *fleet) removeFlow(c *conn) {
	if c.done {
		return
	}
	c.done = true
	delete(f.live, c.id)
	if c.upstream != 0 {
		f.openByUpstream[c.upstream]--
		f.openFlows--
	}
}

// The sides of a partition.
const (
	sideIsolated = 1 // data centre 0
	sideRest     = 2 // all other data centres
)

func (f *fleet) sideOf(dc stoatpaddle.DataCentreID) int {
	if dc == centre(0) {
		return sideIsolated
	}
	return sideRest
}

// settleTime is how long after a partition the views of the entries may still differ.
const settleTime = 5 * time.Second

// viewsMayDiffer reports whether the views on the two sides of a partition may differ.
func (f *fleet) viewsMayDiffer() bool {
	return f.partitioned || f.healedAt > 0 && f.q.now < f.healedAt+settleTime
}

// assignSide assigns a caller to one side of the partition. Half of the callers stay there until the views agree
// again; the others roam as soon as the network is connected.
func (f *fleet) assignSide(c *conn) {
	c.side = f.randomSide()
	c.roams = f.rnd.IntN(2) == 0
}

// mayReceive reports whether the fabric may pass the flow's packets to the entry.
func (f *fleet) mayReceive(c *conn, e *entry) bool {
	if !f.viewsMayDiffer() || !f.partitioned && c.roams {
		return true
	}
	return c.side == f.sideOf(e.instance.DataCentre)
}

func (f *fleet) randomSide() int {
	return f.sideOf(centre(f.rnd.IntN(centreCount)))
}

// send passes a packet to a random entry that the fabric knows and that the caller reaches.
func (f *fleet) send(c *conn, p stoatpacket.Packet) {
	p.Tuple, p.Seq = c.tuple, c.seq
	var to []*entry
	for _, e := range f.entries {
		if !e.alive || e.leaving && f.q.now-e.leavingSince > fabricLag {
			continue
		}
		if !f.mayReceive(c, e) {
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
			f.handleNaive(e, c, &p)
			f.handle(e, c, p, stoatflow.Header{}, netip.AddrPort{})
		}
	})
}

// handle lets an entry decide about a packet, and executes the decision.
func (f *fleet) handle(e *entry, c *conn, p stoatpacket.Packet, h stoatflow.Header, from netip.AddrPort) {
	svc := e.view.FlowService(vip, stoatpaddle.ProtocolTCP)
	a := e.engine.Handle(f.now(), e.view, &stoatflow.Inbound{
		Packet: &p, Key: e.view.Seed.Hash(c.tuple), Service: svc, Header: h, From: from,
	})
	switch a.Verdict {
	case stoatflow.Forward:
		f.forward(e, c, &p, a.Upstream)
		f.deliverNotice(e, a, e.view.Seed.Hash(c.tuple))
	case stoatflow.Relay:
		to := f.byRelay[a.To]
		f.result.Relayed++
		f.q.after(f.delay(e, to), func() {
			if to.alive && f.connected(e, to) {
				f.handle(to, c, p, a.Header, e.instance.Relay)
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

// deliverNotice transmits the datagram that tells a flow's owner the upstream, if the action asks for one.
func (f *fleet) deliverNotice(e *entry, a stoatflow.Action, k stoatpaddle.FlowHash) {
	if !a.NotifyAddr.IsValid() {
		return
	}
	to := f.byRelay[a.NotifyAddr]
	f.result.Notices++
	f.q.after(f.delay(e, to), func() {
		if to.alive && f.connected(e, to) {
			to.engine.ReceiveNotice(f.now(), to.view, stoatflow.Record{Key: k, Upstream: a.Upstream.Key})
		}
	})
}

// forward handles a packet at the upstream to which an entry sent it.
func (f *fleet) forward(e *entry, c *conn, p *stoatpacket.Packet, u *stoatview.Upstream) {
	if f.partitioned && f.sideOf(u.DataCentre) != f.sideOf(e.instance.DataCentre) {
		return
	}
	if c.done {
		return
	}
	switch {
	case c.upstream == 0 && p.Opens:
		c.upstream = u.Key
		f.openByUpstream[u.Key]++
		f.openFlows++
		if f.counting {
			f.result.Opened++
		}
		if _, leaving := f.instances[stoatpaddle.InstanceID(u.ID)]; leaving {
			f.result.LateOpenDelay = max(f.result.LateOpenDelay, f.q.now-f.leftAt(u.ID))
		}
	case c.upstream != u.Key && !c.broken:
		f.breakFlow(c)
	}
}

// separated reports whether the flow's caller and upstream are on different sides of the partition.
func (f *fleet) separated(c *conn) bool {
	if !f.partitioned {
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

// breakFlow ends a flow that an entry reset, or whose packet reached another upstream, which resets it.
func (f *fleet) breakFlow(c *conn) {
	c.broken = true
	switch {
	case f.separated(c):
		f.result.BrokenByPartition++
	case c.roams:
		f.result.BrokenByRoaming++
	default:
		f.result.Broken++
	}
	f.removeFlow(c)
}

// handleNaive is the baseline: each naive entry hashes over the upstreams that it knows and remembers the
// flows that it has seen.
func (f *fleet) handleNaive(e *entry, c *conn, p *stoatpacket.Packet) {
	if c.naiveBroken || c.done {
		return
	}
	set := e.view.FlowService(vip, stoatpaddle.ProtocolTCP).Set
	key, known := e.naiveFlows[c.id]
	if !known {
		u := set.Preferred(e.view.Seed.Hash(c.tuple))
		if u == nil {
			return
		}
		key = u.Key
		e.naiveFlows[c.id] = key
	}
	switch {
	case c.naiveUpstream == 0 && p.Opens:
		c.naiveUpstream = key
	case c.naiveUpstream != 0 && c.naiveUpstream != key:
		c.naiveBroken = true
		if !f.separated(c) {
			f.result.NaiveBroken++
		}
	}
	if p.Ends {
		for _, o := range f.entries {
			delete(o.naiveFlows, c.id)
		}
	}
}
