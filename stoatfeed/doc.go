// Package stoatfeed decides when an entry asks the platform, what it asks, and how long it
// believes an answer.
//
// A Feed follows one kind of object: it lists, then watches, and starts again when a watch
// went silent or its history is gone. It performs no I/O; the caller does each Call and
// feeds its end back.
package stoatfeed
