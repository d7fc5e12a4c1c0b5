package stoatcontract

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// retiredRetention is how long a contract keeps an upstream that was removed from it: as long as an entry
// remembers an idle flow.
const retiredRetention = 8 * time.Hour

// AddRetired returns the contract next with its lists of retired upstreams filled in: the upstreams that next
// removes from the current contract, and those that were removed earlier and may still have flows.
func AddRetired(now time.Time, current, next stoatpaddle.Contract) stoatpaddle.Contract {
	services := append([]stoatpaddle.Service(nil), next.Services...)
	for i := range services {
		old := findService(&current, services[i].ID)
		if old == nil {
			continue
		}
		services[i].Retired = retiredUpstreams(now, old, &services[i])
	}
	next.Services = services
	return next
}

func retiredUpstreams(now time.Time, old, next *stoatpaddle.Service) []stoatpaddle.RetiredUpstream {
	var out []stoatpaddle.RetiredUpstream
	for _, r := range old.Retired {
		if now.Before(r.Until) && !hasUpstream(next, r.Upstream.ID) {
			out = append(out, r)
		}
	}
	for _, u := range old.Upstreams {
		if !hasUpstream(next, u.ID) {
			out = append(out, stoatpaddle.RetiredUpstream{Upstream: u, Until: now.Add(retiredRetention)})
		}
	}
	return out
}

func hasUpstream(s *stoatpaddle.Service, id stoatpaddle.UpstreamID) bool {
	for _, u := range s.Upstreams {
		if u.ID == id {
			return true
		}
	}
	return false
}
