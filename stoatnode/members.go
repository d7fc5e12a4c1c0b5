package stoatnode

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatcontract"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
)

func (n *Node) applyInstance(now time.Time, o stoatpaddle.Object) {
	id := stoatpaddle.InstanceID(o.Ref.Name)
	if o.Deleted {
		n.instanceGone(id)
		return
	}
	i, err := stoatcontract.DecodeInstance(o.Value)
	if err != nil || i.ID != id {
		n.logInvalid(o, err)
		return
	}
	if id == n.cfg.Self.ID {
		n.applySelf(now, i)
		return
	}
	n.mergeInstance(now, i)
}

// applySelf begins the planned stop if an operator marked this incarnation of the entry as leaving.
func (n *Node) applySelf(now time.Time, i stoatpaddle.Instance) {
	if i.Incarnation == n.cfg.Self.Incarnation && i.State == stoatpaddle.StateLeaving {
		n.beginStop(now)
	}
}

func (n *Node) instanceGone(id stoatpaddle.InstanceID) {
	if id == n.cfg.Self.ID {
		if !n.stop.requested {
			n.emit(Register{Instance: n.cfg.Self})
		}
		return
	}
	if _, known := n.instances[id]; !known {
		return
	}
	delete(n.instances, id)
	delete(n.peers, id)
	n.emit(Disconnect{Peer: id})
	n.dirty = true
}

// mergeInstance applies the state of an instance that the platform or a peer reported. A report of a lower
// incarnation is ignored: it says nothing about the present process under this ID.
func (n *Node) mergeInstance(now time.Time, i stoatpaddle.Instance) {
	old, known := n.instances[i.ID]
	if known && i.Incarnation < old.Incarnation {
		return
	}
	if known && i.Incarnation == old.Incarnation && i.Role == stoatpaddle.RoleEntry && stateRank(i.State) < stateRank(old.State) {
		return
	}
	if known && i == old {
		return
	}
	n.instances[i.ID] = i
	n.dirty = true
	if i.State == stoatpaddle.StateLeaving && old.State != stoatpaddle.StateLeaving {
		n.log(EventMemberLeaving, stoatevent.F("member", string(i.ID)))
	}
	if i.Role == stoatpaddle.RoleEntry && n.peers[i.ID] == nil {
		// This entry may have to wait for the other one to dial, so the first message may arrive later by
		// higherIDDialDelay. An entry wrongly considered dead is not asked about its flows.
		n.peers[i.ID] = &peer{lastHeard: now.Add(higherIDDialDelay), disconnectedSince: now}
	}
}

// stateRank orders the states of one incarnation of an entry: a late report, in a hello or a lagging list,
// must not return the entry to an earlier state.
func stateRank(s stoatpaddle.InstanceState) int {
	switch s {
	case stoatpaddle.StateLeaving:
		return 2
	case stoatpaddle.StateLive:
		return 1
	default:
		return 0
	}
}

// applyPeerState applies the state that a peer reports of itself, which also works while the platform is down.
// An incarnation that is leaving stays so.
func (n *Node) applyPeerState(id stoatpaddle.InstanceID, s stoatpaddle.InstanceState) {
	i, known := n.instances[id]
	if !known || stateRank(s) <= stateRank(i.State) {
		return
	}
	i.State = s
	n.instances[id] = i
	n.dirty = true
	if s == stoatpaddle.StateLeaving {
		n.log(EventMemberLeaving, stoatevent.F("member", string(id)))
	}
}

// resumeAfterPause restarts the timeouts of all live peers after a pause of this process: all of them look
// dead, since no messages were read during the pause.
func (n *Node) resumeAfterPause(now time.Time, gap time.Duration) {
	n.log(EventProcessPaused, stoatevent.F("gap", gap.String()))
	for _, p := range n.peers {
		if !p.dead {
			p.lastHeard = now
		}
	}
}

// checkPeers updates which peers are considered dead.
func (n *Node) checkPeers(now time.Time) {
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		dead := now.Sub(p.lastHeard) >= n.cfg.DeadAfter
		if dead == p.dead {
			continue
		}
		p.dead = dead
		n.dirty = true
		if dead {
			n.log(EventMemberDead, stoatevent.F("member", string(id)))
		} else {
			n.log(EventMemberBack, stoatevent.F("member", string(id)))
		}
	}
	n.checkCentres()
}

// checkCentres updates which data centres are partitioned: all their known entries are dead.
func (n *Node) checkCentres() {
	alive := map[stoatpaddle.DataCentreID]bool{n.cfg.Self.DataCentre: true}
	dead := map[stoatpaddle.DataCentreID]bool{}
	for _, id := range sortedIDs(n.peers) {
		dc := n.instances[id].DataCentre
		if n.peers[id].dead {
			dead[dc] = true
		} else {
			alive[dc] = true
		}
	}
	partitioned := map[stoatpaddle.DataCentreID]bool{}
	for dc := range dead {
		if !alive[dc] {
			partitioned[dc] = true
		}
	}
	for _, dc := range sortedUnion(partitioned, n.partitioned) {
		if partitioned[dc] == n.partitioned[dc] {
			continue
		}
		n.dirty = true
		if partitioned[dc] {
			n.log(EventCentrePartitioned, stoatevent.F("centre", string(dc)))
		} else {
			n.log(EventCentreBack, stoatevent.F("centre", string(dc)))
		}
	}
	n.partitioned = partitioned
}
