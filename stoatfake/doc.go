// Package stoatfake provides stand-ins for what surrounds the system: the platform, the fabric, upstreams and
// callers. Tests, the demo and the soak use them.
package stoatfake
