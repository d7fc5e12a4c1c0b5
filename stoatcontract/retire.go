package stoatcontract

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// retiredRetention is how long an upstream that was taken out of a contract stays known: as long
// as an entry remembers an idle flow.
const retiredRetention = 8 * time.Hour

// Retire adds to next the upstreams that an amendment takes out of the standing contract,
// and those taken out before that may still have flows.
func Retire(now time.Time, current, next stoatpaddle.Contract) stoatpaddle.Contract {
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

func retiredUpstreams(now time.Time, old, next *stoatpaddle.Service) []stoatpaddle.Retired {
	var out []stoatpaddle.Retired
	for _, r := range old.Retired {
		if now.Before(r.Until) && !hasUpstream(next, r.Upstream.ID) {
			out = append(out, r)
		}
	}
	for _, u := range old.Upstreams {
		if !hasUpstream(next, u.ID) {
			out = append(out, stoatpaddle.Retired{Upstream: u, Until: now.Add(retiredRetention)})
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
