// Package stoatroute keeps what an entry knows about routes and upstreams, and how current that knowledge
// is. Upstreams register themselves on the platform.
//
// A Builder applies what the platform and other entries report, and builds immutable Tables for the code
// that forwards traffic. The package performs no I/O and reads no clock.
package stoatroute
