// Package stoatoutlier aggregates the upstream failures that the entries of a data centre observe.
//
// One entry out of forty sees only a fortieth of an upstream's requests, which is too little to tell a
// failing upstream from a lost packet. Each entry therefore reports to its parent in the relay tree what it
// and the entries below it observed, and receives the sum over the whole data centre. Reports name only
// upstreams that at least one entry saw failing, so that nothing is sent while nothing fails.
package stoatoutlier
