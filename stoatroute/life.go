package stoatroute

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// Identity is what tells one life of an upstream from another, and what it keeps for all of it.
type Identity struct {
	Incarnation stoatpaddle.Incarnation // 0: it does not say
	Service     stoatpaddle.ServiceID
	DataCentre  stoatpaddle.DataCentreID
	Addr        netip.AddrPort
}

// IdentityOf returns the life that a registration is of.
func IdentityOf(r *stoatpaddle.Registration) Identity {
	return Identity{Incarnation: r.Incarnation, Service: r.Service, DataCentre: r.DataCentre, Addr: r.Addr}
}

// Same tells whether the other may be the same life.
func (l Identity) Same(o Identity) bool { return l.compare(o) == sameLife }

// lifeOrder is how a registration relates to the one that is known of its upstream.
type lifeOrder uint8

const (
	sameLife lifeOrder = iota
	earlierLife
	laterLife
	otherWriter // neither: the upstream cannot have written it
)

// compare tells what o is, l being known. Where neither states its incarnation, as servers did
// that got a new id at each start, a move is taken for a start.
func (l Identity) compare(o Identity) lifeOrder {
	moved := l.Service != o.Service || l.DataCentre != o.DataCentre || l.Addr != o.Addr
	switch {
	case l.Incarnation == 0 && moved:
		return laterLife
	case l.Incarnation == 0:
		return sameLife
	case o.Incarnation == 0:
		return otherWriter
	case o.Incarnation < l.Incarnation:
		return earlierLife
	case o.Incarnation > l.Incarnation:
		return laterLife
	case moved:
		return otherWriter
	}
	return sameLife
}
