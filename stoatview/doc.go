// Package stoatview builds the immutable routing snapshot that the data path reads.
//
// A view holds the current entries, and the current upstreams of each service, together with the last few
// earlier sets of both, because packets of flows that opened under those sets still arrive.
package stoatview
