package stoatpaddle

import (
	"context"
	"time"
)

// ObjectKind groups the platform's objects.
type ObjectKind string

// The kinds of object that the system keeps on the platform.
const (
	ObjectContract ObjectKind = "contract"
	ObjectInstance ObjectKind = "instance"
	ObjectCluster  ObjectKind = "cluster"
	// ObjectEvacuation is named after a data centre whose upstreams are to get no new work while it stands.
	ObjectEvacuation ObjectKind = "evacuation"
	// ObjectFormerServices holds which services routes had before, on an echo fabric.
	ObjectFormerServices ObjectKind = "routes"
)

// ObjectRef names one object.
type ObjectRef struct {
	Kind ObjectKind
	Name string
}

// String returns kind/name.
func (r ObjectRef) String() string { return string(r.Kind) + "/" + r.Name }

// Object is one versioned value on the platform.
type Object struct {
	Ref     ObjectRef
	Version Version
	Token   WriteToken // of the write that made this version
	Deleted bool       // deleted at Version
	Value   []byte
}

// Listing is a set of objects and the revision at which it was complete.
type Listing struct {
	Revision Version
	Objects  []Object
}

// Platform is the provider's object API.
//
// Every method returns *UnavailableError when the platform gave no answer and
// *RateError when it refused the call by rate.
type Platform interface {
	// Get returns the object, or *NotFoundError.
	Get(ctx context.Context, ref ObjectRef) (Object, error)
	// List returns the objects of all kinds that the system keeps.
	List(ctx context.Context) (Listing, error)
	// Put writes o if its current version is o.Version (0: must not exist), or returns *ConflictError.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes the object at that version, or returns *ConflictError.
	Delete(ctx context.Context, o Object) (Object, error)
	// Watch returns the changes after from, waiting up to wait for the first one.
	Watch(ctx context.Context, from Version, wait time.Duration) (Listing, error)
}
