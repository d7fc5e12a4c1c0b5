// Package stoatpaddle defines the domain types, the identifiers, the typed errors and the platform
// interface that the other packages share.
//
// The package performs no I/O and reads no clock.
package stoatpaddle
