package stoatplatform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
)

// Config configures a Client.
type Config struct {
	Addr    netip.AddrPort
	Timeout time.Duration // of a call, not counting the wait of a watch; default 2 s
}

const defaultTimeout = 2 * time.Second

// Client implements stoatpaddle.Platform on the provider's object store.
type Client struct {
	timeout time.Duration
	store   *platform.Store
	era     atomic.Uint64 // the latest era seen in a response
}

var _ stoatpaddle.Platform = (*Client)(nil)

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{timeout: cfg.Timeout, store: platform.NewStore(cfg.Addr)}
}

// Get implements stoatpaddle.Platform.
func (c *Client) Get(ctx context.Context, ref stoatpaddle.ObjectRef) (stoatpaddle.Object, error) {
	res, err := c.call(ctx, http.MethodGet, objectPath(ref), nil)
	if err != nil {
		return stoatpaddle.Object{}, err
	}
	o, err := decodeResponse(ref, res)
	if err == nil && o.Deleted {
		return stoatpaddle.Object{}, &stoatpaddle.NotFoundError{Ref: ref}
	}
	return o, err
}

// List implements stoatpaddle.Platform. The revision is that of the first page: a watch from there returns
// what changed while the other pages were read.
func (c *Client) List(ctx context.Context) (stoatpaddle.Listing, error) {
	var l stoatpaddle.Listing
	q := platform.Query{Kind: StoreKind}
	var era uint64
	for {
		a, err := c.read(ctx, c.timeout, q)
		if err != nil {
			return stoatpaddle.Listing{}, err
		}
		if q.After == "" {
			l.Revision = versionAsOf(&a)
			era = a.Era
		}
		if a.Era != era {
			// The platform was restored between two pages, so the pages do not belong together.
			return stoatpaddle.Listing{}, &stoatpaddle.UnavailableError{Op: StoreKind, Cause: &platform.HistoryError{From: a.AsOf, Era: a.Era}}
		}
		after := q.After
		for _, item := range a.Items {
			add(&l, item, a.Era, false)
			if item.Meta.Name != "" {
				q.After = item.Meta.Name
			}
		}
		switch {
		case !a.More || len(a.Items) == 0:
			return l, nil
		case q.After == after:
			// No name in the page can be read: the next call would return the same page, forever.
			return stoatpaddle.Listing{}, &stoatpaddle.UnavailableError{Op: StoreKind, Cause: a.Items[0].DecodeErr}
		}
	}
}

// add adds an object of the platform to the listing.
func add(l *stoatpaddle.Listing, p platform.Object, era uint64, deleted bool) {
	o, err := FromStoreObject(p, era)
	if err != nil {
		l.Foreign = append(l.Foreign, err)
		return
	}
	// The system itself only writes tombstones, but an operator may delete an object by hand.
	o.Deleted = o.Deleted || deleted
	l.Objects = append(l.Objects, o)
}

// Watch implements stoatpaddle.Platform. If the platform no longer has the changes after from, the error
// wraps *platform.HistoryError, and the caller has to list again.
func (c *Client) Watch(ctx context.Context, from stoatpaddle.Version, wait time.Duration) (stoatpaddle.Listing, error) {
	pos := from.Position()
	// The timeout is a little longer than the wait: a watch that gets no response is abandoned, as it
	// would hide every later change.
	a, err := c.read(ctx, wait+c.timeout, platform.Query{Kind: StoreKind, Watch: true, From: uint64(pos.Revision), Wait: wait})
	if err != nil {
		return stoatpaddle.Listing{}, err
	}
	if a.Era != 0 && stoatpaddle.Era(a.Era) != pos.Era {
		// The watch started at this revision of another era and omits the objects with lower revisions.
		return stoatpaddle.Listing{}, &stoatpaddle.UnavailableError{Op: StoreKind, Cause: &platform.HistoryError{From: uint64(pos.Revision), Era: a.Era}}
	}
	l := stoatpaddle.Listing{Revision: versionAsOf(&a)}
	for _, ev := range a.Events {
		add(&l, ev.Object, a.Era, ev.Deleted)
	}
	return l, nil
}

func (c *Client) read(ctx context.Context, timeout time.Duration, q platform.Query) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.store.Read(ctx, q)
	if err == nil {
		c.recordEra(a.Era)
	}
	return a, err
}

func versionAsOf(a *platform.ReadResult) stoatpaddle.Version {
	return stoatpaddle.Position{Era: stoatpaddle.Era(a.Era), Revision: stoatpaddle.Version(a.AsOf)}.Version()
}

func (c *Client) recordEra(era uint64) {
	for {
		known := c.era.Load()
		if era <= known || c.era.CompareAndSwap(known, era) {
			return
		}
	}
}

// Put implements stoatpaddle.Platform.
func (c *Client) Put(ctx context.Context, o stoatpaddle.Object) (stoatpaddle.Object, error) {
	if o.Version > 0 {
		return c.write(ctx, http.MethodPut, o)
	}
	written, err := c.write(ctx, http.MethodPost, o)
	current, isConflict := conflictOf(err)
	// The tombstone of a deleted object prevents a creation, so the object is written on top of it.
	if isConflict && current.Deleted {
		o.Version = current.Version
		return c.write(ctx, http.MethodPut, o)
	}
	return written, err
}

// Delete implements stoatpaddle.Platform by writing a tombstone.
func (c *Client) Delete(ctx context.Context, o stoatpaddle.Object) (stoatpaddle.Object, error) {
	o.Deleted = true
	return c.write(ctx, http.MethodPut, o)
}

// write sends one write. It returns *stoatpaddle.ConflictError if the current version of the object is not
// o.Version.
func (c *Client) write(ctx context.Context, method string, o stoatpaddle.Object) (stoatpaddle.Object, error) {
	p, err := ToStoreObject(o)
	if err != nil {
		return stoatpaddle.Object{}, err
	}
	data, err := json.Marshal(p)
	if err != nil {
		return stoatpaddle.Object{}, &stoatpaddle.DecodeError{What: o.Ref.String(), Cause: err}
	}
	path := StoreKind
	if method == http.MethodPut {
		path = objectPath(o.Ref)
		if era := c.era.Load(); o.Version > 0 && uint64(o.Version.Position().Era) < era {
			// A restored platform may have assigned this revision again, to the write of another client.
			// The condition would hold, and that write would be lost.
			return c.conflictError(ctx, o)
		}
	}
	res, err := c.call(ctx, method, path, data)
	if err != nil {
		return stoatpaddle.Object{}, err
	}
	return decodeResponse(o.Ref, res)
}

// conflictError returns *stoatpaddle.ConflictError with the current object.
func (c *Client) conflictError(ctx context.Context, o stoatpaddle.Object) (stoatpaddle.Object, error) {
	current, err := c.Get(ctx, o.Ref)
	var missing *stoatpaddle.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return stoatpaddle.Object{}, err
	}
	return stoatpaddle.Object{}, &stoatpaddle.ConflictError{Ref: o.Ref, Current: current}
}

func (c *Client) call(ctx context.Context, method, target string, body []byte) (platform.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.store.Call(ctx, method, target, body)
	if err == nil {
		c.recordEra(res.Era)
	}
	return res, err
}

func objectPath(ref stoatpaddle.ObjectRef) string { return StoreKind + "/" + objectName(ref) }

// decodeResponse decodes the response to a call for one object.
func decodeResponse(ref stoatpaddle.ObjectRef, res platform.Response) (stoatpaddle.Object, error) {
	switch res.Status {
	case http.StatusNotFound:
		return stoatpaddle.Object{}, &stoatpaddle.NotFoundError{Ref: ref}
	case http.StatusOK, http.StatusCreated, http.StatusConflict:
	default:
		return stoatpaddle.Object{}, platform.UnexpectedStatus(ref.String(), res.Status, res.Body)
	}
	p := platform.DecodeObject(res.Body)
	if p.DecodeErr != nil && p.Meta.Name == "" {
		return stoatpaddle.Object{}, &stoatpaddle.UnavailableError{Op: ref.String(), Cause: p.DecodeErr}
	}
	o, err := FromStoreObject(p, res.Era)
	if err != nil {
		return stoatpaddle.Object{}, err
	}
	if res.Status == http.StatusConflict {
		return stoatpaddle.Object{}, &stoatpaddle.ConflictError{Ref: ref, Current: o}
	}
	return o, nil
}

func conflictOf(err error) (stoatpaddle.Object, bool) {
	var c *stoatpaddle.ConflictError
	if errors.As(err, &c) {
		return c.Current, true
	}
	return stoatpaddle.Object{}, false
}
