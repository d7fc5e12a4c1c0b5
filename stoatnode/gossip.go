package stoatnode

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

const (
	// differsFor is how long two digests may differ before everything is offered: news
	// under way needs no repair.
	differsFor = time.Second
	offerEvery = 2 * time.Second
	// wantAgain is how long an answer to Want may take before another peer is asked.
	wantAgain = time.Second
)

func sortedCentres(a, b map[stoatpaddle.DataCentreID]bool) []stoatpaddle.DataCentreID {
	var out []stoatpaddle.DataCentreID
	for dc := range a {
		out = append(out, dc)
	}
	for dc := range b {
		if !a[dc] {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// higherDials is how long the entry with the higher id waits for the other to dial.
const higherDials = 2 * time.Second

// dial connects to the entries that this one has no connection with. The lower id dials
// first, so that two entries do not open two connections at once; the higher one does
// later, for while the platform is down the other may not know of it.
func (n *Node) dial(now time.Time) {
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		second := id < n.cfg.Self.ID && now.Sub(p.apart) < higherDials
		if p.connected || second || now.Sub(p.dialled) < redialAfter {
			continue
		}
		p.dialled = now
		n.do(Dial{Peer: id, Addr: n.instances[id].Peer})
	}
	if !n.platform.known && now.Sub(n.seeded) >= redialAfter {
		n.dialSeeds(now)
	}
}

func (n *Node) dialSeeds(now time.Time) {
	n.seeded = now
	for _, addr := range n.cfg.Seeds {
		n.do(Dial{Addr: addr})
	}
}

func (n *Node) connected(now time.Time, ev Connected) {
	i := ev.Hello.Instance
	n.merge(now, i)
	p := n.peers[i.ID]
	if p == nil {
		p = &peer{apart: now}
		n.peers[i.ID] = p
	}
	p.connected = true
	p.heard = now
	p.differs = time.Time{}
	n.do(Resync{Peer: i.ID})
	n.do(Send{To: i.ID, Message: n.introduction()})
	n.do(Send{To: i.ID, Message: n.beatMessage()})
}

func (n *Node) disconnected(now time.Time, id stoatpaddle.InstanceID) {
	if p := n.peers[id]; p != nil {
		p.connected = false
		p.apart = now
	}
}

func (n *Node) beatMessage() *stoatmessage.Heartbeat {
	return &stoatmessage.Heartbeat{Digest: n.digest(), State: n.cfg.Self.State}
}

func (n *Node) heartbeat() {
	beat := n.beatMessage()
	for _, id := range sortedIDs(n.peers) {
		if n.peers[id].connected {
			n.do(Send{To: id, Message: beat})
		}
	}
}

// introduction tells a new peer which entries there are: the platform's list lags, and one
// that is not known to be live is not asked about the flows it has.
func (n *Node) introduction() *stoatmessage.Members {
	m := &stoatmessage.Members{}
	for _, id := range sortedIDs(n.instances) {
		if i := n.instances[id]; i.Role == stoatpaddle.RoleEntry {
			m.Instances = append(m.Instances, i)
		}
	}
	return m
}

func (n *Node) introduced(now time.Time, m *stoatmessage.Members) {
	for _, i := range m.Instances {
		if i.ID != n.cfg.Self.ID && i.Role == stoatpaddle.RoleEntry {
			n.merge(now, i)
		}
	}
}

// announce offers a new object to the peers, but the one it came from.
func (n *Node) announce(o stoatpaddle.Object, from stoatpaddle.InstanceID) {
	have := &stoatmessage.Have{Objects: []stoatmessage.ObjectVersion{{Ref: o.Ref, Version: o.Version}}}
	for _, id := range sortedIDs(n.peers) {
		if id != from && n.peers[id].connected {
			n.do(Send{To: id, Message: have})
		}
	}
}

func (n *Node) received(now time.Time, ev Received) {
	p := n.peers[ev.From]
	if p == nil {
		return
	}
	p.heard = now
	switch m := ev.Message.(type) {
	case *stoatmessage.Heartbeat:
		n.stated(ev.From, m.State)
		n.compare(now, ev.From, p, m.Digest)
	case *stoatmessage.Have:
		n.want(now, ev.From, m)
	case *stoatmessage.Want:
		n.give(ev.From, m)
	case *stoatmessage.Objects:
		n.take(now, ev.From, m)
	case *stoatmessage.Members:
		n.introduced(now, m)
	case *stoatmessage.Flows:
		n.do(DeliverFlows{From: ev.From, Flows: m})
	}
}

// compare offers everything to a peer that has held something else for a while.
func (n *Node) compare(now time.Time, id stoatpaddle.InstanceID, p *peer, d stoatmessage.Digest) {
	if d == n.digest() {
		p.differs = time.Time{}
		return
	}
	if p.differs.IsZero() {
		p.differs = now
	}
	// A peer that holds nothing has just started, perhaps without the platform.
	fresh := d.Newest == 0
	if len(n.objects) == 0 || now.Sub(p.offered) < offerEvery || now.Sub(p.differs) < differsFor && !fresh {
		return
	}
	p.offered = now
	n.do(Send{To: id, Message: n.everything()})
}

func (n *Node) everything() *stoatmessage.Have {
	have := &stoatmessage.Have{}
	for ref, o := range n.objects {
		have.Objects = append(have.Objects, stoatmessage.ObjectVersion{Ref: ref, Version: o.Version})
	}
	slices.SortFunc(have.Objects, func(a, b stoatmessage.ObjectVersion) int { return cmp.Compare(a.Version, b.Version) })
	return have
}

func (n *Node) want(now time.Time, from stoatpaddle.InstanceID, m *stoatmessage.Have) {
	want := &stoatmessage.Want{}
	for _, h := range m.Objects {
		if h.Version <= n.objects[h.Ref].Version || now.Before(n.wanted[h.Ref]) {
			continue
		}
		n.wanted[h.Ref] = now.Add(wantAgain)
		want.Refs = append(want.Refs, h.Ref)
	}
	if len(want.Refs) > 0 {
		n.do(Send{To: from, Message: want})
	}
}

func (n *Node) give(to stoatpaddle.InstanceID, m *stoatmessage.Want) {
	objects := &stoatmessage.Objects{}
	for _, ref := range m.Refs {
		if o, ok := n.objects[ref]; ok {
			objects.Objects = append(objects.Objects, o)
		}
	}
	if len(objects.Objects) > 0 {
		n.do(Send{To: to, Message: objects})
	}
}

// take adopts objects from a peer. An entry that the platform never answered serves as
// soon as it holds the key: the answer to its first Want is everything the peer had.
func (n *Node) take(now time.Time, from stoatpaddle.InstanceID, m *stoatmessage.Objects) {
	for _, o := range m.Objects {
		n.adopt(now, o, from)
	}
	if !n.platform.known && n.seed != nil {
		n.platform.known = true
		n.dirty = true
	}
}
