// Package stoatroute keeps what an entry believes about routes and upstreams, and how sure
// it is, on a platform where upstreams register themselves.
//
// A Book takes in what the platform says and yields immutable Tables, which traffic reads.
// It performs no I/O and reads no clock.
package stoatroute
