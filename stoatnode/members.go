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
		n.invalid(o, err)
		return
	}
	if id == n.cfg.Self.ID {
		n.applySelf(now, i)
		return
	}
	n.merge(now, i)
}

// applySelf follows an operator's mark on this entry.
func (n *Node) applySelf(now time.Time, i stoatpaddle.Instance) {
	if i.Incarnation == n.cfg.Self.Incarnation && i.State == stoatpaddle.StateLeaving {
		n.beginStop(now)
	}
}

func (n *Node) instanceGone(id stoatpaddle.InstanceID) {
	if id == n.cfg.Self.ID {
		if !n.stop.asked {
			n.do(Register{Instance: n.cfg.Self})
		}
		return
	}
	if _, known := n.instances[id]; !known {
		return
	}
	delete(n.instances, id)
	delete(n.peers, id)
	n.do(Disconnect{Peer: id})
	n.dirty = true
}

// merge takes in what the platform or a peer says of an instance. A lower incarnation is
// an earlier life under the same id, so it says nothing about the present one.
func (n *Node) merge(now time.Time, i stoatpaddle.Instance) {
	old, known := n.instances[i.ID]
	if known && i.Incarnation < old.Incarnation {
		return
	}
	if known && i.Incarnation == old.Incarnation && i.Role == stoatpaddle.RoleEntry && rank(i.State) < rank(old.State) {
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
		// The other side may be the one to dial, so it has that much longer to be heard
		// first: an entry that lives but counts as dead is not asked about its flows.
		n.peers[i.ID] = &peer{heard: now.Add(higherDials), apart: now}
	}
}

// rank orders the states of one life of an entry: what is said late, by a hello or a
// lagging list, must not take it back to an earlier one.
func rank(s stoatpaddle.InstanceState) int {
	switch s {
	case stoatpaddle.StateLeaving:
		return 2
	case stoatpaddle.StateLive:
		return 1
	default:
		return 0
	}
}

// stated notes the state that a peer says it is in, which works while the platform is
// down. Leaving is never taken back within one life.
func (n *Node) stated(id stoatpaddle.InstanceID, s stoatpaddle.InstanceState) {
	i, known := n.instances[id]
	if !known || rank(s) <= rank(i.State) {
		return
	}
	i.State = s
	n.instances[id] = i
	n.dirty = true
	if s == stoatpaddle.StateLeaving {
		n.log(EventMemberLeaving, stoatevent.F("member", string(id)))
	}
}

// resume follows a pause of this process: everybody looks dead, and nobody needs to be.
func (n *Node) resume(now time.Time, gap time.Duration) {
	n.log(EventProcessPaused, stoatevent.F("gap", gap.String()))
	for _, p := range n.peers {
		if !p.dead {
			p.heard = now
		}
	}
}

// members decides who is dead.
func (n *Node) members(now time.Time) {
	for _, id := range sortedIDs(n.peers) {
		p := n.peers[id]
		dead := now.Sub(p.heard) >= n.cfg.DeadAfter
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
	n.centres()
}

// centres notes which data centres have entries, none of which answers.
func (n *Node) centres() {
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
	cut := map[stoatpaddle.DataCentreID]bool{}
	for dc := range dead {
		if !alive[dc] {
			cut[dc] = true
		}
	}
	for _, dc := range sortedCentres(cut, n.cut) {
		if cut[dc] == n.cut[dc] {
			continue
		}
		n.dirty = true
		if cut[dc] {
			n.log(EventCentrePartitioned, stoatevent.F("centre", string(dc)))
		} else {
			n.log(EventCentreBack, stoatevent.F("centre", string(dc)))
		}
	}
	n.cut = cut
}
