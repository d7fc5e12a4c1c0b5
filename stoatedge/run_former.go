package stoatedge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/goccy/go-json"

	"github.com/stoatpaddle/stoatpaddle"
	"github.com/stoatpaddle/stoatpaddle/platform"
	"github.com/stoatpaddle/stoatpaddle/stoatevent"
	"github.com/stoatpaddle/stoatpaddle/stoatplatform"
	"github.com/stoatpaddle/stoatpaddle/stoatroute"
)

// The former services of routes are saved at the platform. The configuration has the present services only,
// and after a power loss of all entries no entry knows the former ones: packets of flows at these services
// would be dropped as forged.

// formerRef names the object that has the former services.
var formerRef = stoatpaddle.ObjectRef{Kind: stoatpaddle.ObjectFormerServices, Name: "former"}

const (
	// maxSavePause spreads the attempts of the seeds: the first one writes, and the others find the object up
	// to date.
	maxSavePause = time.Second
	// saveAttempts limits the attempts to save, and loadTimeout the time that loading may take.
	saveAttempts = 5
	loadTimeout  = 2 * time.Second
)

// wireFormer is the object's value. Version is the version of the configuration with which it was saved.
type wireFormer struct {
	Version uint64        `json:"version"`
	Routes  []wireService `json:"routes"`
}

type wireService struct {
	Listen  string `json:"listen"`
	Service string `json:"service"`
	UntilMS int64  `json:"until"` // Unix ms by the writer's clock
}

func encodeFormer(x saveFormer) ([]byte, error) {
	w := wireFormer{Version: uint64(x.version)}
	for _, f := range x.former {
		w.Routes = append(w.Routes, wireService{Listen: f.Listen.String(), Service: string(f.Service), UntilMS: f.Until.UnixMilli()})
	}
	return json.Marshal(w)
}

// decodeFormer decodes the object's value. It returns *stoatpaddle.DecodeError if a part of it cannot be decoded,
// together with everything else.
func decodeFormer(value []byte) (saveFormer, error) {
	var w struct {
		Version uint64            `json:"version"`
		Routes  []json.RawMessage `json:"routes"`
	}
	fault := func(err error) error { return &stoatpaddle.DecodeError{What: formerRef.String(), Cause: err} }
	if err := json.Unmarshal(value, &w); err != nil {
		return saveFormer{}, fault(err)
	}
	x := saveFormer{version: stoatpaddle.Version(w.Version)}
	var first error
	for _, raw := range w.Routes {
		f, err := decodeFormerService(raw)
		if err != nil {
			if first == nil {
				first = fault(err)
			}
			continue
		}
		x.former = append(x.former, f)
	}
	return x, first
}

func decodeFormerService(raw []byte) (stoatroute.FormerService, error) {
	var w wireService
	if err := json.Unmarshal(raw, &w); err != nil {
		return stoatroute.FormerService{}, err
	}
	listen, err := netip.ParseAddrPort(w.Listen)
	return stoatroute.FormerService{Listen: listen, Service: stoatpaddle.ServiceID(w.Service), Until: time.UnixMilli(w.UntilMS)}, err
}

// loadFormer loads the former services. A replica is enough: what it lacks was saved some seconds ago, and the
// entries that ran at that time send it.
func (e *Edge) loadFormer() {
	ctx, cancel := context.WithTimeout(e.ctx, loadTimeout)
	defer cancel()
	x, err := e.readFormer(ctx)
	if err != nil {
		e.log.emit(clock(), EventFormerLoadFailed, stoatevent.F("cause", err.Error()))
	}
	if len(x.former) > 0 {
		e.post(formerLoaded{former: x.former})
	}
}

// readFormer returns what a replica has; the zero value if there is no such object. Other objects of the kind may fill
// pages before it.
func (e *Edge) readFormer(ctx context.Context) (saveFormer, error) {
	q := platform.Query{Kind: stoatplatform.StoreKind, AllowStale: true}
	for {
		answer, err := e.store.Read(ctx, q)
		if err != nil {
			return saveFormer{}, err
		}
		after := q.After
		for _, item := range answer.Items {
			// An object with another name is none of this entry's.
			if o, err := stoatplatform.FromStoreObject(item, answer.Era); err == nil && o.Ref == formerRef {
				return decodeFormer(o.Value)
			}
			if item.Meta.Name != "" {
				q.After = item.Meta.Name
			}
		}
		if !answer.More || q.After == after {
			return saveFormer{}, nil
		}
	}
}

// saveFormer saves the former services, unless another entry has saved those of the same or a later version.
func (e *Edge) saveFormer(x saveFormer) {
	client := stoatplatform.New(stoatplatform.Config{Addr: e.settings().PlatformAddr})
	var err error
	for range saveAttempts {
		if !stoatplatform.Sleep(e.ctx, time.Duration(rand.Int64N(int64(maxSavePause)))) {
			return
		}
		if err = writeFormer(e.ctx, client, x); err == nil {
			return
		}
	}
	e.log.emit(clock(), EventFormerSaveFailed, stoatevent.F("version", x.version.String()), stoatevent.F("cause", err.Error()))
}

func writeFormer(ctx context.Context, p stoatpaddle.Platform, x saveFormer) error {
	stored, err := p.Get(ctx, formerRef)
	var missing *stoatpaddle.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil {
		if kept, err := decodeFormer(stored.Value); err == nil && kept.version >= x.version {
			return nil
		}
	}
	value, err := encodeFormer(x)
	if err != nil {
		return err
	}
	_, err = p.Put(ctx, stoatpaddle.Object{Ref: formerRef, Version: stored.Version, Value: value})
	return err
}
