// Package stoatadmission decides which openings of flows are admitted to the upstreams of one service in one data
// centre while these upstreams reject requests.
//
// Openings belong to priority levels. In an overload, the least urgent level is refused first, in proportion to the
// excess load, and the next one only when the one below is refused completely. The package performs no I/O and reads
// no clock.
package stoatadmission
