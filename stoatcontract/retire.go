package stoatcontract

import (
	"time"

	"github.com/stoatpaddle/stoatpaddle"
)

// retireFor is how long an upstream that was taken out of a contract stays known: as long
// as an entry remembers an idle flow.
const retireFor = 8 * time.Hour

// AddRetired adds to next the upstreams that an amendment takes out of the standing contract,
// and those taken out before that may still have flows.
func AddRetired(now time.Time, standing, next stoatpaddle.Contract) stoatpaddle.Contract {
	services := append([]stoatpaddle.Service(nil), next.Services...)
	for i := range services {
		old := findService(&standing, services[i].ID)
		if old == nil {
			continue
		}
		services[i].Retired = retired(now, old, &services[i])
	}
	next.Services = services
	return next
}

func retired(now time.Time, old, next *stoatpaddle.Service) []stoatpaddle.RetiredUpstream {
	var out []stoatpaddle.RetiredUpstream
	for _, r := range old.Retired {
		if now.Before(r.Until) && !declares(next, r.Upstream.ID) {
			out = append(out, r)
		}
	}
	for _, u := range old.Upstreams {
		if !declares(next, u.ID) {
			out = append(out, stoatpaddle.RetiredUpstream{Upstream: u, Until: now.Add(retireFor)})
		}
	}
	return out
}

func declares(s *stoatpaddle.Service, id stoatpaddle.UpstreamID) bool {
	for _, u := range s.Upstreams {
		if u.ID == id {
			return true
		}
	}
	return false
}
