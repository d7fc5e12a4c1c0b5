package stoatnode

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatmessage"
)

const (
	// offerDelay is how long the digest of a peer must differ before the peer is offered all objects: changes
	// that are still in transit need no repair.
	offerDelay    = time.Second
	offerInterval = 2 * time.Second
	// requestTimeout is how long a response to Want may take before another peer is asked.
	requestTimeout = time.Second
)

func sortedUnion(a, b map[stoatpaddle.DataCentreID]bool) []stoatpaddle.DataCentreID {
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

// higherIDDialDelay is how long the entry with the higher ID waits for the other one to dial.
const higherIDDialDelay = 2 * time.Second

// dial connects to the entries that this one has no connection to. The entry with the lower ID dials first, so
// that two entries do not open two connections at once. The one with the higher ID dials later, because the
// other one may not know of it while the platform is down.
func (n *Node) dial(now time.Time) {
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		otherDialsFirst := id < n.cfg.Self.ID && now.Sub(p.disconnectedSince) < higherIDDialDelay
		if p.connected || otherDialsFirst || now.Sub(p.lastDial) < redialInterval {
			continue
		}
		p.lastDial = now
		n.emit(Dial{Peer: id, Addr: n.instances[id].Peer})
	}
	if !n.platform.configComplete && now.Sub(n.lastSeedDial) >= redialInterval {
		n.dialSeeds(now)
	}
}

func (n *Node) dialSeeds(now time.Time) {
	n.lastSeedDial = now
	for _, addr := range n.cfg.Seeds {
		n.emit(Dial{Addr: addr})
	}
}

func (n *Node) connected(now time.Time, ev Connected) {
	i := ev.Hello.Instance
	n.mergeInstance(now, i)
	p := n.peers[i.ID]
	if p == nil {
		p = &peer{disconnectedSince: now}
		n.peers[i.ID] = p
	}
	p.connected = true
	p.lastHeard = now
	p.digestDiffersSince = time.Time{}
	n.emit(Resync{Peer: i.ID})
	n.emit(Send{To: i.ID, Message: n.membersMessage()})
	n.emit(Send{To: i.ID, Message: n.heartbeatMessage()})
}

func (n *Node) disconnected(now time.Time, id stoatpaddle.InstanceID) {
	if p := n.peers[id]; p != nil {
		p.connected = false
		p.disconnectedSince = now
	}
}

func (n *Node) heartbeatMessage() *stoatmessage.Heartbeat {
	return &stoatmessage.Heartbeat{Digest: n.digest(), State: n.cfg.Self.State}
}

func (n *Node) sendHeartbeats() {
	beat := n.heartbeatMessage()
	for _, id := range sortedIDs(n.peers) {
		if n.peers[id].connected {
			n.emit(Send{To: id, Message: beat})
		}
	}
}

// membersMessage returns the message that lists the known entries for a newly connected peer. The platform's
// list lags, and an entry that is not known to be live is not asked about the flows it has.
func (n *Node) membersMessage() *stoatmessage.Members {
	m := &stoatmessage.Members{}
	for _, id := range sortedIDs(n.instances) {
		if i := n.instances[id]; i.Role == stoatpaddle.RoleEntry {
			m.Instances = append(m.Instances, i)
		}
	}
	return m
}

func (n *Node) mergeMembers(now time.Time, m *stoatmessage.Members) {
	for _, i := range m.Instances {
		if i.ID != n.cfg.Self.ID && i.Role == stoatpaddle.RoleEntry {
			n.mergeInstance(now, i)
		}
	}
}

// announce offers a new object to all connected peers except the one that sent it.
func (n *Node) announce(o stoatpaddle.Object, from stoatpaddle.InstanceID) {
	have := &stoatmessage.Have{Objects: []stoatmessage.ObjectVersion{{Ref: o.Ref, Version: o.Version}}}
	for _, id := range sortedIDs(n.peers) {
		if id != from && n.peers[id].connected {
			n.emit(Send{To: id, Message: have})
		}
	}
}

func (n *Node) received(now time.Time, ev Received) {
	p := n.peers[ev.From]
	if p == nil {
		return
	}
	p.lastHeard = now
	switch m := ev.Message.(type) {
	case *stoatmessage.Heartbeat:
		n.applyPeerState(ev.From, m.State)
		n.compareDigest(now, ev.From, p, m.Digest)
	case *stoatmessage.Have:
		n.requestNewer(now, ev.From, m)
	case *stoatmessage.Want:
		n.sendRequested(ev.From, m)
	case *stoatmessage.Objects:
		n.adoptAll(now, ev.From, m)
	case *stoatmessage.Members:
		n.mergeMembers(now, m)
	case *stoatmessage.Flows:
		n.emit(DeliverFlows{From: ev.From, Flows: m})
	}
}

// compareDigest offers all objects to a peer whose digest has differed for a while.
func (n *Node) compareDigest(now time.Time, id stoatpaddle.InstanceID, p *peer, d stoatmessage.Digest) {
	if d == n.digest() {
		p.digestDiffersSince = time.Time{}
		return
	}
	if p.digestDiffersSince.IsZero() {
		p.digestDiffersSince = now
	}
	// A peer without objects has just started, perhaps during an outage of the platform, and needs them now.
	fresh := d.Newest == 0
	if len(n.objects) == 0 || now.Sub(p.lastOffer) < offerInterval || now.Sub(p.digestDiffersSince) < offerDelay && !fresh {
		return
	}
	p.lastOffer = now
	n.emit(Send{To: id, Message: n.haveAll()})
}

func (n *Node) haveAll() *stoatmessage.Have {
	have := &stoatmessage.Have{}
	for ref, o := range n.objects {
		have.Objects = append(have.Objects, stoatmessage.ObjectVersion{Ref: ref, Version: o.Version})
	}
	slices.SortFunc(have.Objects, func(a, b stoatmessage.ObjectVersion) int { return cmp.Compare(a.Version, b.Version) })
	return have
}

func (n *Node) requestNewer(now time.Time, from stoatpaddle.InstanceID, m *stoatmessage.Have) {
	want := &stoatmessage.Want{}
	for _, h := range m.Objects {
		if h.Version <= n.objects[h.Ref].Version || now.Before(n.requestedUntil[h.Ref]) {
			continue
		}
		n.requestedUntil[h.Ref] = now.Add(requestTimeout)
		want.Refs = append(want.Refs, h.Ref)
	}
	if len(want.Refs) > 0 {
		n.emit(Send{To: from, Message: want})
	}
}

func (n *Node) sendRequested(to stoatpaddle.InstanceID, m *stoatmessage.Want) {
	objects := &stoatmessage.Objects{}
	for _, ref := range m.Refs {
		if o, ok := n.objects[ref]; ok {
			objects.Objects = append(objects.Objects, o)
		}
	}
	if len(objects.Objects) > 0 {
		n.emit(Send{To: to, Message: objects})
	}
}

// adoptAll adopts objects from a peer. An entry that has never reached the platform serves as soon as it has
// the hash key: the response to its first Want contains all objects of the peer.
func (n *Node) adoptAll(now time.Time, from stoatpaddle.InstanceID, m *stoatmessage.Objects) {
	for _, o := range m.Objects {
		n.adopt(now, o, from)
	}
	if !n.platform.configComplete && n.hashKey != nil {
		n.platform.configComplete = true
		n.dirty = true
	}
}
