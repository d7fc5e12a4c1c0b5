// Package stoatedge joins the parts of an entry on a fabric whose packets bring back what
// an entry wrote into them: the socket, the flow engine, the feeds from the platform, and
// the readiness check.
//
// One actor owns what is believed about routes and upstreams; one goroutine moves packets
// and reads immutable tables.
package stoatedge
