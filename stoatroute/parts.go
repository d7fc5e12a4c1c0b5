package stoatroute

import "time"

// Parts is a set of parts of the state that the platform keeps. Each part is read by calls of its own.
type Parts uint8

// The parts of the state.
const (
	PartRoutes      Parts = 1 << iota // the configuration
	PartUpstreams                     // the registrations
	PartEvacuations                   // the evacuated data centres
	partsEnd
	AllParts = partsEnd - 1
)

// PartCount is the number of parts.
const PartCount = 3

var partNames = [PartCount]string{"configuration", "upstreams", "evacuations"}

// String returns the names of the parts, for logs and metrics.
func (p Parts) String() string {
	out := ""
	for i, name := range partNames {
		if !p.Has(i) {
			continue
		}
		if out != "" {
			out += " "
		}
		out += name
	}
	return out
}

// Has reports whether the set has the part with the given index, from 0.
func (p Parts) Has(index int) bool { return p&(1<<index) != 0 }

// partTimes has a time for each part of the state.
type partTimes [PartCount]time.Time

// advance sets the times of the parts to at, except those that are later.
func (x *partTimes) advance(parts Parts, at time.Time) {
	for i := range x {
		if parts.Has(i) && at.After(x[i]) {
			x[i] = at
		}
	}
}

// AsOf returns the time as of which the parts are known to be current: the platform's own answer to a call that
// was sent then showed it. What is not in the table did not exist at that time. A zero time means that nothing is
// known about one of the parts; updates of other entries never change it.
func (t *Table) AsOf(parts Parts) time.Time {
	var out time.Time
	first := true
	for i, at := range t.partsAsOf {
		if !parts.Has(i) {
			continue
		}
		if first || at.Before(out) {
			out = at
		}
		first = false
	}
	return out
}
