package stoatpaddle

import "strconv"

// InstanceID identifies one entry instance or one upstream.
type InstanceID string

// DataCentreID identifies one data centre.
type DataCentreID string

// RegionID identifies one region, which is a group of data centres.
type RegionID string

// CustomerID identifies one customer.
type CustomerID string

// ServiceID identifies one service of one customer.
type ServiceID string

// UpstreamID identifies one upstream of one service.
type UpstreamID string

// ClusterID identifies one cluster: the entries that exchange state with each other.
type ClusterID string

// Version is the platform's revision at which an object was last written; 0 means that the object does not
// exist. Where one number has to cover the revisions of several eras, it is the result of Position.Version.
// The version of a Declaration is assigned by the operators instead.
type Version uint64

// Era numbers the platform's histories from 1. A new era begins each time the platform is restored from a
// backup. 0 means that the platform does not report an era.
type Era uint64

// WriteToken identifies one write attempt, so that the writer recognises its own write after a lost answer.
type WriteToken string

// Incarnation distinguishes the starts of one instance id. A later start has a higher one and supersedes the
// earlier ones.
type Incarnation uint64

// FlowHash is the keyed hash of a flow's five-tuple (SipHash-2-4, Aumasson and Bernstein 2012), truncated to
// FlowHashBits to keep the records that entries exchange short. With 400,000 flows open, the probability that
// the hash of a new one collides with any of theirs is 1 in 700 million.
type FlowHash uint64

// FlowHashBits is the length of a FlowHash in bits.
const FlowHashBits = 48

// UpstreamKey identifies an upstream in the records that entries exchange, which have 32 bits for it.
type UpstreamKey uint32

// Weight is a relative share of new work; 0 means none.
type Weight uint32

// ServiceRef identifies a service among the services of all customers.
type ServiceRef struct {
	Customer CustomerID
	Service  ServiceID
}

// String returns customer/service.
func (r ServiceRef) String() string { return string(r.Customer) + "/" + string(r.Service) }

// String returns the revision in decimal.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// String returns the number in decimal.
func (e Era) String() string { return strconv.FormatUint(uint64(e), 10) }
