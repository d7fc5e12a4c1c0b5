// Package stoatsoak is a soak test: it runs the real program as separate processes on loopback addresses,
// with fakes of the callers, the upstreams, the fabric and the store. A seed determines the faults that it
// injects from outside. It checks the guarantees of the system from what callers and upstreams observe.
//
// The fabric is of the echo kind. The package signals and ends only processes that it started.
package stoatsoak
