// Package stoatsoak runs the real program as separate processes on loopback addresses, with
// stand-ins for callers, upstreams, the fabric and the store, injects faults from outside by
// a seed, and checks what callers and upstreams see.
//
// It is a test tool for an echo fabric. It ends only processes that it started.
package stoatsoak
