package stoatroute

import (
	"net/netip"

	"github.com/stoatpaddle/stoatpaddle"
)

// Identity tells one incarnation of an upstream from another. No field changes during an incarnation.
type Identity struct {
	Incarnation stoatpaddle.Incarnation // 0: the upstream does not report one
	Service     stoatpaddle.ServiceID
	DataCentre  stoatpaddle.DataCentreID
	Addr        netip.AddrPort
}

// IdentityOf returns the identity of the incarnation that a registration describes.
func IdentityOf(r *stoatpaddle.Registration) Identity {
	return Identity{Incarnation: r.Incarnation, Service: r.Service, DataCentre: r.DataCentre, Addr: r.Addr}
}

// Same reports whether other may be the same incarnation.
func (l Identity) Same(other Identity) bool { return l.compare(other) == sameIncarnation }

// incarnationOrder is the relation of a registration to the known one of the same upstream.
type incarnationOrder uint8

const (
	sameIncarnation incarnationOrder = iota
	earlierIncarnation
	laterIncarnation
	foreignWriter // the upstream cannot have written the registration
)

// compare returns the relation of other to the known identity l. If l has no incarnation, as with servers that
// got a new id at each start, a different address, service or data centre counts as a restart.
func (l Identity) compare(other Identity) incarnationOrder {
	moved := l.Service != other.Service || l.DataCentre != other.DataCentre || l.Addr != other.Addr
	switch {
	case l.Incarnation == 0 && moved:
		return laterIncarnation
	case l.Incarnation == 0:
		return sameIncarnation
	case other.Incarnation == 0:
		return foreignWriter
	case other.Incarnation < l.Incarnation:
		return earlierIncarnation
	case other.Incarnation > l.Incarnation:
		return laterIncarnation
	case moved:
		return foreignWriter
	}
	return sameIncarnation
}
