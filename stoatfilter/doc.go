// Package stoatfilter decides which upstreams may receive a new flow; stoatecho then chooses the best of
// them. It excludes the upstreams of evacuated data centres and those outside the regions that a route
// allows, and it limits how often a cold upstream receives a new flow. The package performs no I/O and
// reads no clock.
//
// An excluded upstream is not used as a last resort either: if no upstream is left, the caller is refused
// at once. The filter does not affect open flows, which continue.
package stoatfilter
