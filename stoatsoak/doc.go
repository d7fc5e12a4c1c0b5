// Package stoatsoak is a soak test: it runs the real program as separate processes on loopback addresses,
// with fakes of the callers, the upstreams, the fabric and the store. It injects faults from outside the
// processes, in a sequence that a seed determines, and checks the guarantees of the system from what callers and
// upstreams observe.
//
// The fake fabric is an echo fabric (see stoatecho). The package signals and ends only processes that it started.
package stoatsoak
