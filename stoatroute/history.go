package stoatroute

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// FormerService is a service that a route had, and until when flows that opened there may go on.
type FormerService struct {
	Listen  netip.AddrPort
	Service stoatpaddle.ServiceID
	Until   time.Time
}

// formerKey names one service of one route.
type formerKey struct {
	listen  netip.AddrPort
	service stoatpaddle.ServiceID
}

// FormerServices returns the services that routes had and have no more, in order, and whether there is one that it did
// not return before.
func (b *Builder) FormerServices(now time.Time) (list []FormerService, news bool) {
	former := map[formerKey]time.Time{}
	for listen, r := range b.routes {
		for _, s := range r.FormerServices() {
			key := formerKey{listen: listen, service: s}
			until, known := b.former[key]
			if !known {
				until, news = now.Add(b.cfg.Retention), true
			}
			former[key] = until
			if now.Before(until) {
				list = append(list, FormerService{Listen: listen, Service: s, Until: until})
			}
		}
	}
	b.former = former
	slices.SortFunc(list, func(x, y FormerService) int {
		return cmp.Or(x.Listen.Compare(y.Listen), cmp.Compare(x.Service, y.Service))
	})
	return list, news
}

// RestoreFormerServices takes in which services routes had, as the platform keeps it, and tells whether that is news.
// What no flow can be open to any more is left out.
func (b *Builder) RestoreFormerServices(now time.Time, list []FormerService) bool {
	var routes []stoatpaddle.Route
	for _, f := range list {
		if !now.Before(f.Until) {
			continue
		}
		routes = append(routes, stoatpaddle.Route{Listen: f.Listen, Earlier: []stoatpaddle.ServiceID{f.Service}})
		if b.former == nil {
			b.former = map[formerKey]time.Time{}
		}
		b.former[formerKey{listen: f.Listen, service: f.Service}] = f.Until
	}
	return b.AddFormerServices(routes)
}
