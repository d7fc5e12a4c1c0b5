// Bare is a minimal entry: it opens one UDP socket, lists the upstreams from the platform once, and forwards
// each packet to one upstream. BenchmarkStart uses it as the baseline for entries.
package main
