package stoatroute

import (
	"strings"
	"time"
)

// Parts is a set of parts of the state that the platform keeps. Each part is read by calls of its own, from the
// platform itself or from one of its replicas, which may be seconds behind.
type Parts uint8

// The parts of the state, as the platform itself has them.
const (
	PartRoutes      Parts = 1 << iota // the configuration
	PartUpstreams                     // the registrations
	PartEvacuations                   // the evacuated data centres

	allParts = PartRoutes | PartUpstreams | PartEvacuations
)

const (
	partCount = 3
	// PartCount is the number of parts, each counted as the platform itself has it and as a replica has it.
	PartCount = 2 * partCount
)

var partNames = [PartCount]string{"configuration", "upstreams", "evacuations", "configuration(replica)", "upstreams(replica)", "evacuations(replica)"}

// OfReplica returns the parts as a replica has them.
func (p Parts) OfReplica() Parts { return (p & allParts) << partCount }

// Has reports whether the set has the part with the given index, from 0.
func (p Parts) Has(index int) bool { return p&(1<<index) != 0 }

// String returns the names of the parts, for logs.
func (p Parts) String() string {
	var names []string
	for i, name := range partNames {
		if p.Has(i) {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

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

// AsOf returns the time as of which the parts are known: the answer to a call that was sent then showed them. What is
// not in the table did not exist at that time, as far as the platform or the replica knew. A zero time means that
// nothing is known about one of the parts; updates of other entries never change it.
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
