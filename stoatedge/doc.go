// Package stoatedge runs an entry on an echo fabric, whose packets carry back the cookie that an entry wrote
// into them. It connects the packet socket, the flow engine, the feeds from the platform, and the readiness
// check.
//
// One goroutine owns the state of routes and upstreams; another one forwards packets and reads immutable
// tables.
package stoatedge
