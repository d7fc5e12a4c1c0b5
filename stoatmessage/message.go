package stoatmessage

import (
	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/stoatflow"
)

// Message is one of the types below.
type Message interface{ isMessage() }

// Hello opens a connection, from both sides.
type Hello struct {
	Cluster  stoatpaddle.ClusterID
	Instance stoatpaddle.Instance
}

// Digest sums up the versions that an entry holds.
type Digest struct {
	Newest   stoatpaddle.Version
	Checksum uint32
}

// Heartbeat tells that the sender lives and what it holds.
type Heartbeat struct {
	Digest Digest
	State  stoatpaddle.InstanceState // of the sender
}

// ObjectVersion is the version of one object.
type ObjectVersion struct {
	Ref     stoatpaddle.ObjectRef
	Version stoatpaddle.Version
}

// Have offers objects; the receiver asks for those it lacks.
type Have struct{ Objects []ObjectVersion }

// Want asks for objects.
type Want struct{ Refs []stoatpaddle.ObjectRef }

// Objects carries objects that were asked for.
type Objects struct{ Objects []stoatpaddle.Object }

// Members tells which entries the sender knows, and their states.
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
