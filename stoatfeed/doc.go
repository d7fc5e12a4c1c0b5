// Package stoatfeed decides when an entry calls the platform, what it requests, and how long it relies on
// an answer.
//
// A Feed follows one kind of object: it lists the objects, then watches them for changes. It starts over
// when a watch has gone silent or when the platform no longer has the history that the watch needs. A Feed
// performs no I/O: the caller makes each Call and reports its result to the Feed.
package stoatfeed
