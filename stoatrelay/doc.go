// Package stoatrelay defines the messages that an entry sends to its children in the relay tree, and their
// codec. A message carries the routes and upstreams of the platform as the parent knows them, the position
// up to which that knowledge is complete and its age, the upstream failures that the data centre observed,
// and the receiver's rank among the entries of its data centre. The package makes no decisions and performs
// no I/O but the codec's.
package stoatrelay
