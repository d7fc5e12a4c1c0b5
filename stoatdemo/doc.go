// Package stoatdemo runs the whole system in one process on loopback addresses. It changes the system and
// injects faults under traffic, and reports what callers observed.
package stoatdemo
