// Package stoatload describes the load of services: what entries observe of the requests to the upstreams of one
// service in one data centre, and how the observations of several entries are added up and exchanged.
//
// An Aggregator adds up the loads of an entry and those below it in the relay tree, and keeps the sum of the data centre
// and the loads of other data centres. A Pacer decides when entries exchange them, and the codec converts the messages.
// The package performs no I/O and reads no clock.
package stoatload
