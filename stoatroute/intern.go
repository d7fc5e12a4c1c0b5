package stoatroute

import "github.com/stoatpaddle/stoatpaddle"

// interner keeps one copy of each name that several upstreams share, because every message that is decoded
// allocates its own copy.
type interner struct {
	services map[stoatpaddle.ServiceID]stoatpaddle.ServiceID
	centres  map[stoatpaddle.DataCentreID]stoatpaddle.DataCentreID
}

// maxNames limits the memory for names, because names of services that are gone are not removed.
const maxNames = 1 << 14

// intern returns the registration with its names replaced by the shared copies.
func (in *interner) intern(r stoatpaddle.Registration) stoatpaddle.Registration {
	r.Service, r.DataCentre = internString(&in.services, r.Service), internString(&in.centres, r.DataCentre)
	return r
}

// internString returns the shared copy of a name, which is the given one if there is none yet.
func internString[S ~string](interned *map[S]S, s S) S {
	if kept, known := (*interned)[s]; known {
		return kept
	}
	if *interned == nil || len(*interned) >= maxNames {
		*interned = map[S]S{}
	}
	(*interned)[s] = s
	return s
}
