package stoatpaddle

import (
	"context"
	"time"
)

// ObjectKind is the kind of an object on the platform.
type ObjectKind string

// The kinds of object that the system stores on the platform.
const (
	ObjectContract ObjectKind = "contract"
	ObjectInstance ObjectKind = "instance"
	ObjectCluster  ObjectKind = "cluster"
	// ObjectEvacuation is named after a data centre, whose upstreams get no new work as long as the object exists.
	ObjectEvacuation ObjectKind = "evacuation"
	// ObjectFormerServices lists the former services of routes; echo fabric only.
	ObjectFormerServices ObjectKind = "routes"
)

// ObjectRef identifies one object.
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
	Token   WriteToken // of the write that created this version
	Deleted bool       // the object was deleted at Version
	Value   []byte
}

// Listing is a list of objects and the revision that it reflects.
type Listing struct {
	Revision Version
	Objects  []Object
	// Foreign has the reasons why other objects of the same kind on the platform are none of the system's.
	Foreign []error
}

// Platform is the provider's object API.
//
// Every method returns *UnavailableError if the platform gave no usable answer, and *RateLimitError if the
// platform refused the call because of its rate limit.
type Platform interface {
	// Get returns the object, or *NotFoundError.
	Get(ctx context.Context, ref ObjectRef) (Object, error)
	// List returns the objects of all kinds that the system stores.
	List(ctx context.Context) (Listing, error)
	// Put writes o if the stored version is o.Version (0: the object must not exist), else it returns
	// *ConflictError.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete deletes o if the stored version is o.Version, else it returns *ConflictError.
	Delete(ctx context.Context, o Object) (Object, error)
	// Watch returns the changes after revision from. It waits up to wait for the first one.
	Watch(ctx context.Context, from Version, wait time.Duration) (Listing, error)
}
