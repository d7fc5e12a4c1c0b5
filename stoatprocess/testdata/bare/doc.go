// Bare is the least that an entry could be: one UDP socket, one list of the platform, and the
// first packet goes on. BenchmarkStart measures entries against it.
package main
