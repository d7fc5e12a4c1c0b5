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
func (id Identity) Same(other Identity) bool { return id.compare(other) == sameIncarnation }

// incarnationOrder is the relation of a registration to the known one of the same upstream.
type incarnationOrder uint8

const (
	sameIncarnation incarnationOrder = iota
	earlierIncarnation
	laterIncarnation
	foreignWriter // the upstream cannot have written the registration
)

// compare returns the relation of other to the known identity id. If id has no incarnation, as with servers that
// got a new id at each start, a different address, service or data centre counts as a restart.
func (id Identity) compare(other Identity) incarnationOrder {
	moved := id.Service != other.Service || id.DataCentre != other.DataCentre || id.Addr != other.Addr
	switch {
	case id.Incarnation == 0 && moved:
		return laterIncarnation
	case id.Incarnation == 0:
		return sameIncarnation
	case other.Incarnation == 0:
		return foreignWriter
	case other.Incarnation < id.Incarnation:
		return earlierIncarnation
	case other.Incarnation > id.Incarnation:
		return laterIncarnation
	case moved:
		return foreignWriter
	}
	return sameIncarnation
}
