package stoatrelay

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/stoatpaddle/stoatpaddle/stoatoutlier"
)

// Head begins each message. Messages are msgpack arrays: each child gets one about every second, and field
// names would be half of it.
type Head struct {
	_msgpack          struct{}                  `msgpack:",as_array"`
	PositionRevision  uint64                    // revision of the position up to which the parent knows everything
	AgeMS             int64                     // age of the parent's knowledge; -1: it was never known to be up to date
	Path              []string                  // addresses from an entry that reads the platform to the parent
	Siblings          []string                  // addresses of other children, to ask when the parent is gone
	Centre            string                    // data centre of the parent
	Reports           []stoatoutlier.WireReport // failing upstreams, as all entries of the child's data centre observed them
	FullReports       bool                      // Reports has all of them, not only what changed
	HasBody           bool                      // a Body follows
	Rank              int                       // rank of the child among the entries of its data centre
	DataCentreEntries int                       // number of those entries; 0: the child is in another data centre, or the number is not known
	PositionEra       uint64                    // era of the position whose revision is PositionRevision
	BodyEra           uint64                    // era of the revisions in the Body; 0: the parent knows of none
	CentreLoad        msgpack.RawMessage        // load of the child's data centre; empty: none is needed, or none is known
	OtherLoads        msgpack.RawMessage        // loads of other data centres; empty: none are known
	// Leads says for each topic how far its position is ahead of PositionRevision, in the order of the platform's parts
	// (configuration, upstreams, evacuations); empty: none is.
	Leads []uint64
}

// Body follows a Head when something changed.
type Body struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Full        bool     // Upstreams has all upstreams; otherwise only those that changed
	Names       []string // of services, data centres and regions; other fields refer to them by index
	Declaration *wireConfig
	Upstreams   []wireHeld
	Evacuations []wireEvacuation
	skipped     int // upstreams and evacuations that could not be decoded; not sent
}

// wireEvacuation says that a data centre is evacuated, or is no longer.
type wireEvacuation struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Centre    int
	Revision  uint64
	Withdrawn bool
}

// wireConfig is a declaration, or its difference from the declaration with version Base.
type wireConfig struct {
	_msgpack struct{} `msgpack:",as_array"`
	Revision uint64
	Version  uint64
	Base     uint64 // 0: Routes is complete
	Routes   []wireRoute
	Removed  [][]byte // listen addresses of removed routes
	Limits   []wireCap
	IdleMS   int64
}

// wireRoute is one route of a declaration.
type wireRoute struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Listen          []byte   // address and port in binary: 6 bytes instead of 17 in text
	Backends        []wireBackend
	FormerServices  []int // indexes of the names of its former services
	Idempotent      bool  // its requests may run twice
	TargetLatencyMS int64 // an answer later than this is late
	Priority        int
	Regions         []int // indexes of the names of the regions that its flows may go to
}

// wireBackend is a service that a route sends flows to, with its weight.
type wireBackend struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  int
	Weight   uint32
}

// wireCap holds the limits of each upstream of one service.
type wireCap struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  int
	MaxFlows int
	ColdRate float64 // requests a second while cold; 0: no limit
}

// wireHeld is an upstream as the parent knows it.
type wireHeld struct {
	_msgpack       struct{} `msgpack:",as_array"`
	ID             string
	Target         uint64
	Service        int
	Centre         int
	Addr           []byte
	Slots          int
	Leaving        bool
	Revision       uint64
	CreateRevision uint64
	State          uint8
	ColdMS         int64 // remaining time of its slow start
	Incarnation    uint64
}

// Refusal says why an entry does not accept a child, and which entries to ask instead.
type Refusal struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Reason       string
	Alternatives []string
}
