package stoatrelay

import "github.com/stoatpaddle/stoatpaddle/stoatoutlier"

// Head begins each message. Messages are msgpack arrays: one comes every second or so to each child, and
// names of fields would be half of it.
type Head struct {
	_msgpack          struct{} `msgpack:",as_array"`
	PositionRevision  uint64
	AgeMS             int64 // -1: never known to be up to date
	Path              []string
	Siblings          []string
	Centre            string                    // of the parent
	Reports           []stoatoutlier.WireReport // which upstreams fail, as all entries of the child's data centre saw it
	FullReports       bool                      // Seen has all, and not what changed
	HasBody           bool                      // a Body follows
	Rank              int                       // of the child among the entries of its data centre
	DataCentreEntries int                       // how many these are; 0: it is in another one, or that is not known
	PositionEra       uint64                    // of Known
	BodyEra           uint64                    // of the revisions in the Body; 0: the parent knows of none
}

// Body follows a Head where something changed.
type Body struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Full        bool     // all upstreams there are; otherwise those that changed
	Names       []string // of services and data centres, which others name by their place here
	Declaration *wireConfig
	Upstreams   []wireHeld
	Evacuations []wireEvacuation
}

type wireEvacuation struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Centre    int
	Revision  uint64
	Withdrawn bool
}

// wireConfig is a declaration, or how it differs from the one with version Base.
type wireConfig struct {
	_msgpack struct{} `msgpack:",as_array"`
	Revision uint64
	Version  uint64
	Base     uint64 // 0: Routes are all there are
	Routes   []wireRoute
	Removed  [][]byte // addresses
	Caps     []wireCap
	IdleMS   int64
}

type wireRoute struct {
	_msgpack struct{} `msgpack:",as_array"`
	Listen   []byte   // the address and port in binary: 6 bytes instead of 17 in text
	Backends []wireBackend
	Earlier  []int // services
	Repeat   bool  // its requests may run twice
	AimMS    int64 // objective
	Priority int
	Regions  []int // those that it allows
}

type wireBackend struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  int
	Weight   uint32
}

type wireCap struct {
	_msgpack struct{} `msgpack:",as_array"`
	Service  int
	Flows    int
	Cold     float64 // requests a second while cold; 0: no limit
}

type wireHeld struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Target   uint64
	Service  int
	Centre   int
	Addr     []byte
	Slots    int
	Leaving  bool
	Revision uint64
	Created  uint64
	Standing uint8
	ColdMS   int64  // how much longer it is slow
	Life     uint64 // its incarnation
}

// Refusal says why an entry tells nothing, and whom to ask instead.
type Refusal struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Reason       string
	Alternatives []string
}
