package stoatmessage

import (
	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
)

// Message is any of the message types of this package.
type Message interface{ isMessage() }

// Hello is the first message on a connection, sent by both sides.
type Hello struct {
	Cluster  stoatpaddle.ClusterID
	Instance stoatpaddle.Instance
}

// Digest summarizes the object versions that an entry holds. Entries with different digests hold different versions.
type Digest struct {
	Newest   stoatpaddle.Version // highest version
	Checksum uint32              // XOR of the hashes of all objects with their versions
}

// Heartbeat says that the sender is alive, and which objects it holds.
type Heartbeat struct {
	Digest Digest
	State  stoatpaddle.InstanceState // of the sender
}

// ObjectVersion is a reference to one version of an object.
type ObjectVersion struct {
	Ref     stoatpaddle.ObjectRef
	Version stoatpaddle.Version
}

// Have offers objects; the receiver requests those that it lacks with Want.
type Have struct{ Objects []ObjectVersion }

// Want requests objects.
type Want struct{ Refs []stoatpaddle.ObjectRef }

// Objects carries objects that were requested.
type Objects struct{ Objects []stoatpaddle.Object }

// Members lists the instances that the sender knows, with their states.
type Members struct{ Instances []stoatpaddle.Instance }

// Flows carries flow records and load reports.
type Flows struct{ Batch stoatflow.Batch }

func (*Hello) isMessage()     {}
func (*Heartbeat) isMessage() {}
func (*Have) isMessage()      {}
func (*Want) isMessage()      {}
func (*Objects) isMessage()   {}
func (*Flows) isMessage()     {}
func (*Members) isMessage()   {}
