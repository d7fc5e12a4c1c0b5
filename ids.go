package stoatpaddle

import "strconv"

// InstanceID names one entry instance or one upstream.
type InstanceID string

// DataCentreID names one data centre.
type DataCentreID string

// RegionID names one region, which holds data centres.
type RegionID string

// CustomerID names one customer.
type CustomerID string

// ServiceID names one service of one customer.
type ServiceID string

// UpstreamID names one upstream of one service.
type UpstreamID string

// ClusterID names the set of entries that talk to each other.
type ClusterID string

// Version is the platform's revision at which an object was last written; 0 means absent. Where revisions
// of several eras meet in one number it is Position.Version.
type Version uint64

// Era numbers the platform's histories from 1: each time it comes back from an older copy of itself the next
// one begins. 0: not said.
type Era uint64

// WriteToken identifies one write attempt, so that its writer recognises it after a lost answer.
type WriteToken string

// Incarnation counts the lives of one instance id; a higher one supersedes a lower one.
type Incarnation uint64

// FlowHash is the keyed hash of a flow's five-tuple (SipHash-2-4, Aumasson and Bernstein
// 2012), cut to FlowHashBits: records between entries are short, and among 400,000 flows
// a new one meets its like once in 700 million.
type FlowHash uint64

// FlowHashBits is the length of a FlowHash.
const FlowHashBits = 48

// UpstreamKey is the 32-bit name of an upstream in records between entries.
type UpstreamKey uint32

// Weight is a relative share; 0 takes no new work.
type Weight uint32

// ServiceRef names a service across customers.
type ServiceRef struct {
	Customer CustomerID
	Service  ServiceID
}

// String returns customer/service.
func (r ServiceRef) String() string { return string(r.Customer) + "/" + string(r.Service) }

// String returns the decimal revision.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// String returns the decimal count.
func (e Era) String() string { return strconv.FormatUint(uint64(e), 10) }
