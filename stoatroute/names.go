package stoatroute

import "github.com/stoatpaddle/stoatpaddle"

// names keeps one copy of each name that upstreams share: each message that names one brings a copy of its own.
type names struct {
	services map[stoatpaddle.ServiceID]stoatpaddle.ServiceID
	centres  map[stoatpaddle.DataCentreID]stoatpaddle.DataCentreID
}

// maxNames bounds the memory: names of services that are gone stay.
const maxNames = 1 << 14

// shared returns the registration with the copies that are kept.
func (n *names) shared(r stoatpaddle.Registration) stoatpaddle.Registration {
	r.Service, r.DataCentre = keep(&n.services, r.Service), keep(&n.centres, r.DataCentre)
	return r
}

func keep[S ~string](held *map[S]S, s S) S {
	if kept, known := (*held)[s]; known {
		return kept
	}
	if *held == nil || len(*held) >= maxNames {
		*held = map[S]S{}
	}
	(*held)[s] = s
	return s
}
