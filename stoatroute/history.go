package stoatroute

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// FormerService is a service that a route used before, and until when flows that were opened there may continue.
type FormerService struct {
	Listen  netip.AddrPort
	Service stoatpaddle.ServiceID
	Until   time.Time
}

// formerKey identifies a service of a route.
type formerKey struct {
	listen  netip.AddrPort
	service stoatpaddle.ServiceID
}

// FormerServices returns the services that routes no longer use but at which flows may still be open, ordered
// by address and service. added reports whether there is one that was not returned before.
func (b *Builder) FormerServices(now time.Time) (list []FormerService, added bool) {
	former := map[formerKey]time.Time{}
	for listen, r := range b.routes {
		for _, s := range r.FormerServices() {
			key := formerKey{listen: listen, service: s}
			until, known := b.formerUntil[key]
			if !known {
				until, added = now.Add(b.cfg.Retention), true
			}
			former[key] = until
			if now.Before(until) {
				list = append(list, FormerService{Listen: listen, Service: s, Until: until})
			}
		}
	}
	b.formerUntil = former
	slices.SortFunc(list, func(x, y FormerService) int {
		return cmp.Or(x.Listen.Compare(y.Listen), cmp.Compare(x.Service, y.Service))
	})
	return list, added
}

// RestoreFormerServices adds former services that were read back from the platform to their routes, and reports
// whether any of them was unknown. It ignores services at which no flow can be open any more.
func (b *Builder) RestoreFormerServices(now time.Time, list []FormerService) bool {
	var routes []stoatpaddle.Route
	for _, f := range list {
		if !now.Before(f.Until) {
			continue
		}
		routes = append(routes, stoatpaddle.Route{Listen: f.Listen, FormerServices: []stoatpaddle.ServiceID{f.Service}})
		if b.formerUntil == nil {
			b.formerUntil = map[formerKey]time.Time{}
		}
		b.formerUntil[formerKey{listen: f.Listen, service: f.Service}] = f.Until
	}
	return b.AddFormerServices(routes)
}
