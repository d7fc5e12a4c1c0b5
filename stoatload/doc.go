// Package stoatload describes the load of services: what entries observe of the requests to the upstreams of one
// service in one data centre, and how the observations of several entries are added up. The package performs no
// I/O and reads no clock.
package stoatload
