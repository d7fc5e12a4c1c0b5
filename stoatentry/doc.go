// Package stoatentry assembles a running entry from its components: the sockets, the control state machine
// in an actor, the flow engine, the proxy for calls, the peer transport and the administration API.
package stoatentry
