// Package stoatfilter decides which upstreams may get a new flow, before stoatecho chooses the best of
// them: none of a data centre that is evacuated, none outside the regions that a route allows, and one
// that is cold only as often as it bears. Values in and decisions out; no I/O, no clock.
//
// What it leaves out is no last resort either: when nothing is left, the caller is refused at once.
// Open flows are not its concern, they go on.
package stoatfilter
